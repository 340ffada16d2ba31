#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <tuple>

#include "foundation/clock.h"
#include "foundation/identifiers.h"
#include "quota.pb.h"

namespace wigeonlb::core::quota {

//! How long a token admits an operation, from when its holder requested it.
//! Long enough to bridge a change of the control leader.
constexpr foundation::Duration kTokenLifetimeMs =
  std::chrono::milliseconds(2000);

//! Longest retry delay in a reply: the limit may be raised meanwhile.
constexpr foundation::Duration kMaxRetryMs = std::chrono::milliseconds(5000);

//! What an organisation may run at most within any window: (rate x window +
//! burst) x (1 + overage) + slack operations.
struct Tolerance
{
  foundation::Duration window_ = std::chrono::seconds(5);
  double overage_ = 0.1;
  double slack_ = 20; //!< operations
};

//! Limit of one organisation's operations, over all hosts.
struct Limit
{
  double ratePerSecond_ = 0;
  double burst_ = 0; //!< operations
};

//! One traffic thread in one start of a host.
struct HolderKey
{
  foundation::HostId host_;
  std::uint64_t boot_ = 0;
  std::uint32_t shard_ = 0;
  auto operator<=>(const HolderKey&) const = default;
};

//! Tokens that were handed out with one reply.
struct IssuedTokens
{
  std::uint64_t sequence_ = 0;
  std::uint32_t count_ = 0;
  foundation::Instant until_;
};

//! Tokens that a holder may still use.
struct Outstanding
{
  std::uint32_t held_ = 0; //!< as it reported last
  foundation::Instant heldUntil_;
  //! Handed out in replies that it had not received by then.
  std::deque<IssuedTokens> unconfirmed_;
};

//! The tokens of one organisation.
struct OrganisationQuota
{
  Limit limit_;
  double level_ = 0; //!< tokens in the bucket
  foundation::Instant filledAt_;
  std::map<HolderKey, Outstanding> outstanding_;
  //! Tokens of each holder that had expired unused, as it reported last.
  std::map<HolderKey, std::uint64_t> expired_;
};

//! The control leader's tokens: a bucket for each limited organisation, and
//! those that were handed out and may still be used. Within any window no more
//! operations run than were handed out in it and were outstanding when it
//! began.
//! NOTE The tokens that a former leader handed out are not known. Therefore a
//! new leader's buckets are empty, and the outstanding tokens are limited to a
//! part of what the tolerance allows.
struct Allocator
{
  Tolerance tolerance_;
  foundation::Instant leadingSince_;
  std::map<foundation::Tenant, OrganisationQuota> organisations_;
  std::map<HolderKey, std::uint64_t> lastSequences_;
};

//! Starts a leadership: empties the buckets and forgets what was handed out.
void
StartLeading(Allocator& aAllocator, foundation::Instant aNow);

//! Sets the limits in force. A limit that is new begins with an empty bucket;
//! one that is lowered applies at once.
void
SetLimits(Allocator& aAllocator,
          const std::map<foundation::Tenant, Limit>& aLimits,
          foundation::Instant aNow);

//! Hands out tokens for a request, first for operations that wait, and takes
//! back those that have expired unused. To be called by a host only while it
//! holds the leader's lease. Organisations without a limit get all. A request
//! that was received before gets a reply without tokens.
wire::QuotaReply
Allocate(Allocator& aAllocator,
         const foundation::HostId& aHost,
         const wire::QuotaRequest& aRequest,
         foundation::Instant aNow);

//! Largest number of outstanding tokens of an organisation, while the leader
//! has led for this long.
double
GetOutstandingLimit(const Tolerance& aTolerance,
                    const Limit& aLimit,
                    foundation::Duration aLeadingFor);

//! Tokens of an organisation that may still be used.
std::uint64_t
CountOutstanding(const OrganisationQuota& aQuota, foundation::Instant aNow);

} // namespace wigeonlb::core::quota
