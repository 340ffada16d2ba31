#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "foundation/clock.h"

namespace wigeonlb::peer {

//! A ping of the peer that has not been answered yet.
struct OwedPong
{
  std::uint64_t sentAtUs_ = 0; //!< by the peer's clock
  foundation::Instant receivedAt_;
  bool mayRide_ = false; //!< may wait for a message to ride on
};

//! Pings and pongs of one link. A ping or pong rides on a message that goes out
//! anyway; only when none does for a while it goes by itself.
struct PingState
{
  foundation::Instant lastPing_{};
  //! When the oldest ping without an answer was sent.
  std::optional<foundation::Instant> unansweredSince_;
  std::optional<OwedPong> owed_;
};

//! Longest time that a pong waits for a message to ride on; far below the time
//! after which a peer counts as lost.
constexpr foundation::Duration kRideWaitMs = std::chrono::milliseconds(200);

//! The instant as pings carry it.
std::uint64_t
Microseconds(foundation::Instant aInstant);

//! Notes that a ping was sent.
void
NotePing(PingState& aState, foundation::Instant aNow);

//! Notes the answer to a ping that was sent at aSentAt.
void
NotePong(PingState& aState, foundation::Instant aSentAt);

//! Serialized fields for a message that goes out now: the pong that is owed,
//! and a ping if the last one is older than aPingAge. Notes both as sent.
//! NOTE Appended to a serialized wire::PeerMessage they become part of it.
std::string
TakeRiders(PingState& aState,
           foundation::Duration aPingAge,
           foundation::Instant aNow);

//! When the owed pong has to go by itself; Instant::max() when none is owed.
foundation::Instant
PongDue(const PingState& aState);

//! When the link counts as silent; Instant::max() when all pings are answered.
foundation::Instant
SilentAt(const PingState& aState, foundation::Duration aLostAfter);

} // namespace wigeonlb::peer
