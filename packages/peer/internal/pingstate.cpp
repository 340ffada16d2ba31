#include "peer/internal/pingstate.h"

#include <algorithm>
#include <utility>

#include "forward.pb.h"

namespace wigeonlb::peer {

using foundation::Duration;
using foundation::Instant;

std::uint64_t
Microseconds(Instant aInstant)
{
  return static_cast<std::uint64_t>(aInstant.time_since_epoch().count());
}

void
RecordPing(PingState& aState, Instant aNow)
{
  aState.lastPing_ = aNow;
  aState.unansweredSince_ = aState.unansweredSince_.value_or(aNow);
}

void
RecordPong(PingState& aState, Instant aSentAt)
{
  if (!aState.unansweredSince_ || aSentAt < *aState.unansweredSince_) {
    return;
  }
  aState.unansweredSince_.reset();
  aState.confirmingSince_.reset();
  if (aSentAt < aState.lastPing_) {
    aState.unansweredSince_ = aState.lastPing_;
  }
}

std::string
BuildPiggybackFields(PingState& aState, Duration aMinPingAge, Instant aNow)
{
  wire::PeerMessage piggybackFields;
  if (const auto pending = std::exchange(aState.pendingPong_, std::nullopt)) {
    const auto held = (aNow - pending->receivedAt_).count();
    piggybackFields.mutable_riding_pong()->set_sent_at_us(pending->sentAtUs_);
    piggybackFields.mutable_riding_pong()->set_held_us(
      static_cast<std::uint64_t>(held));
  }
  if (aNow - aState.lastPing_ >= aMinPingAge) {
    piggybackFields.mutable_riding_ping()->set_sent_at_us(Microseconds(aNow));
    RecordPing(aState, aNow);
  }
  return piggybackFields.SerializeAsString();
}

Instant
GetPongTime(const PingState& aState)
{
  if (!aState.pendingPong_) {
    return Instant::max();
  }
  const Duration wait =
    aState.pendingPong_->mayPiggyback_ ? kMaxPiggybackDelayMs : Duration(0);
  return aState.pendingPong_->receivedAt_ + wait;
}

Instant
GetConfirmingPingTime(const PingState& aState, Duration aLostAfter)
{
  return aState.unansweredSince_ && !aState.confirmingSince_
           ? *aState.unansweredSince_ + aLostAfter - aLostAfter / 4
           : Instant::max();
}

Instant
GetPingDeadline(const PingState& aState, Duration aLostAfter)
{
  if (!aState.unansweredSince_) {
    return Instant::max();
  }
  const Instant deadline = *aState.unansweredSince_ + aLostAfter;
  return aState.confirmingSince_
           ? std::max(deadline, *aState.confirmingSince_ + aLostAfter / 4)
           : deadline;
}

} // namespace wigeonlb::peer
