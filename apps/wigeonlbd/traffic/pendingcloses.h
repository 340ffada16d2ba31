#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "foundation/clock.h"
#include "foundation/identifiers.h"

namespace wigeonlb::daemon::traffic {

//! A session as one owner of a group knows it.
struct SessionAtOwner
{
  foundation::HostId owner_;
  foundation::GroupName group_;
  std::uint64_t session_ = 0;

  auto operator<=>(const SessionAtOwner&) const = default;
};

//! Requests that an entry host has given up and whose owner may not know it.
struct PendingClose
{
  std::uint64_t request_ = 0; //!< the last one that was given up
  foundation::Instant resendAt_;
  foundation::Duration resendPause_{ 0 };
  foundation::Instant expiresAt_;
};

struct PendingCloses
{
  std::map<SessionAtOwner, PendingClose> closes_;
};

//! How often closes have to be checked while any is pending.
inline constexpr foundation::Duration kCloseCheckIntervalMs =
  std::chrono::milliseconds(200);

//! A close to be sent again.
struct DueClose
{
  SessionAtOwner at_;
  std::uint64_t request_ = 0;
};

//! Adds a close that has just been sent, or extends the pending one.
void
AddClose(PendingCloses& aCloses,
         const SessionAtOwner& aAt,
         std::uint64_t aRequest,
         foundation::Instant aNow);

//! The owner has confirmed the close of the requests up to a number.
void
ConfirmClose(PendingCloses& aCloses,
             const SessionAtOwner& aAt,
             std::uint64_t aRequest);

//! A later request was sent to the owner and tells it the same.
void
SupersedeClose(PendingCloses& aCloses, const SessionAtOwner& aAt);

//! Returns the closes that are due, each of which counts as sent again. Drops
//! those that have expired.
std::vector<DueClose>
ExtractDueCloses(PendingCloses& aCloses, foundation::Instant aNow);

} // namespace wigeonlb::daemon::traffic
