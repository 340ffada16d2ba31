#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "foundation/clock.h"

namespace wigeonlb::peer {

//! A ping of the peer that has not been answered yet.
struct PendingPong
{
  std::uint64_t sentAtUs_ = 0; //!< by the peer's clock
  foundation::Instant receivedAt_;
  bool mayPiggyback_ = false; //!< may wait for a message to ride on
};

//! Pings and pongs of one link. A ping or pong rides on a message that goes out
//! anyway; only when none does for a while it goes by itself.
struct PingState
{
  foundation::Instant lastPing_{};
  //! When the oldest ping without an answer was sent.
  std::optional<foundation::Instant> unansweredSince_;
  std::optional<PendingPong> pendingPong_;
};

//! Longest time that a pong waits for a message to ride on; far below the time
//! after which a peer counts as lost.
constexpr foundation::Duration kMaxPiggybackDelayMs =
  std::chrono::milliseconds(200);

//! The instant as pings carry it.
std::uint64_t
Microseconds(foundation::Instant aInstant);

//! Notes that a ping was sent.
void
RecordPing(PingState& aState, foundation::Instant aNow);

//! Notes the answer to a ping that was sent at aSentAt.
void
RecordPong(PingState& aState, foundation::Instant aSentAt);

//! Serialized fields for a message that goes out now: the pong that is owed,
//! and a ping if the last one is older than aMinPingAge. Notes both as sent.
//! NOTE Appended to a serialized wire::PeerMessage they become part of it.
std::string
BuildPiggybackFields(PingState& aState,
                     foundation::Duration aMinPingAge,
                     foundation::Instant aNow);

//! When the owed pong has to go by itself; Instant::max() when none is owed.
foundation::Instant
GetPongTime(const PingState& aState);

//! When the link counts as silent; Instant::max() when all pings are answered.
foundation::Instant
GetPingDeadline(const PingState& aState, foundation::Duration aLostAfter);

} // namespace wigeonlb::peer
