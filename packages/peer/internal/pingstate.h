#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "foundation/clock.h"

namespace wigeonlb::peer {

//! A pong that has not been sent yet.
struct PendingPong
{
  std::uint64_t sentAtUs_ = 0; //!< when the ping was sent, by the peer's clock
  foundation::Instant receivedAt_;
  bool mayPiggyback_ = false; //!< may wait to be piggybacked on a message
};

//! Pings and pongs of one link. They are piggybacked on other messages; only
//! when none is sent for a while are they sent as separate messages.
struct PingState
{
  foundation::Instant lastPing_{};
  //! When the oldest unanswered ping was sent.
  std::optional<foundation::Instant> unansweredSince_;
  //! When the last ping was sent that decides on the loss of a silent peer.
  std::optional<foundation::Instant> confirmingSince_;
  std::optional<PendingPong> pendingPong_;
};

//! Longest time that a pong waits to be piggybacked; far below the time after
//! which a peer is considered lost.
constexpr foundation::Duration kMaxPiggybackDelayMs =
  std::chrono::milliseconds(200);

//! Converts a time stamp to its representation in pings.
std::uint64_t
Microseconds(foundation::Instant aInstant);

//! Records that a ping was sent.
void
RecordPing(PingState& aState, foundation::Instant aNow);

//! Records the pong for a ping that was sent at aSentAt.
void
RecordPong(PingState& aState, foundation::Instant aSentAt);

//! Returns serialized fields to append to a message that is sent now: the
//! pending pong, and a ping if the last one is at least aMinPingAge old.
//! Records both as sent.
//! NOTE Fields that are appended to a serialized wire::PeerMessage become part
//! of it.
std::string
BuildPiggybackFields(PingState& aState,
                     foundation::Duration aMinPingAge,
                     foundation::Instant aNow);

//! When the pending pong has to be sent as a separate message; Instant::max()
//! without a pending pong.
foundation::Instant
GetPongTime(const PingState& aState);

//! When the peer has been silent for so long that one more ping has to be sent,
//! after which it counts as lost: this host may itself have been held up, with
//! the pongs unread. Instant::max() when that ping was sent, or all pings are
//! answered.
foundation::Instant
GetConfirmingPingTime(const PingState& aState, foundation::Duration aLostAfter);

//! When the oldest unanswered ping times out; Instant::max() when all pings are
//! answered.
foundation::Instant
GetPingDeadline(const PingState& aState, foundation::Duration aLostAfter);

} // namespace wigeonlb::peer
