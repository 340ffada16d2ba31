#include "peer/internal/linkhealth.h"

#include <algorithm>

namespace wigeonlb::peer {

using foundation::Duration;
using foundation::Instant;

bool
IsIdle(const Link& aLink, const LinkPolicy& aPolicy, Instant aNow)
{
  return !aLink.endpoint_.keepOpen_ && aLink.inFlight_ == 0 &&
         aLink.reachable_ && !ShouldClose(aLink, aPolicy, aNow);
}

bool
ShouldClose(const Link& aLink, const LinkPolicy& aPolicy, Instant aNow)
{
  return !aLink.endpoint_.keepOpen_ &&
         aNow - std::max(aLink.lastUsed_, aLink.lastPinged_) >
           aPolicy.settings_.closeAfter_;
}

bool
HasTimedOut(const Link& aLink, const LinkPolicy& aPolicy, Instant aNow)
{
  if (aLink.reachable_) {
    return aLink.pings_.confirmingSince_ &&
           GetPingDeadline(aLink.pings_, aPolicy.settings_.lostAfter_) < aNow;
  }
  return !aLink.lost_ && aNow - aLink.openedAt_ > aPolicy.settings_.lostAfter_;
}

Instant
GetPingTime(const Link& aLink, const LinkPolicy& aPolicy, Instant aNow)
{
  if (IsIdle(aLink, aPolicy, aNow)) {
    // A link that only the peer uses is pinged by the peer.
    const bool used = aNow - aLink.lastUsed_ <= aPolicy.settings_.closeAfter_;
    return used ? aLink.pings_.lastPing_ + aPolicy.idleInterval_
                : Instant::max();
  }
  return aLink.pings_.lastPing_ + aPolicy.settings_.pingInterval_;
}

Instant
GetNextCheckTime(const Link& aLink, const LinkPolicy& aPolicy, Instant aNow)
{
  if (!aLink.dealer_) {
    return Instant::max();
  }
  Instant deadline = Instant::max();
  if (aLink.reachable_) {
    const Duration lostAfter = aPolicy.settings_.lostAfter_;
    deadline = std::min(GetConfirmingPingTime(aLink.pings_, lostAfter),
                        GetPingDeadline(aLink.pings_, lostAfter));
  } else if (!aLink.lost_) {
    deadline = aLink.openedAt_ + aPolicy.settings_.lostAfter_;
  }
  const Instant nextSend =
    std::min(GetPongTime(aLink.pings_), GetPingTime(aLink, aPolicy, aNow));
  return std::max(std::min(deadline, std::max(nextSend, aLink.retryAt_)),
                  aNow + std::chrono::milliseconds(1));
}

Duration
GetRetryPause(const Link& aLink, const LinkPolicy& aPolicy)
{
  const bool opening = !aLink.reachable_ && !aLink.lost_;
  return opening ? Duration(kRetryWaitMs) : aPolicy.settings_.pingInterval_;
}

} // namespace wigeonlb::peer
