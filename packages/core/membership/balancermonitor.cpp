#include "core/membership/balancermonitor.h"

namespace wigeonlb::core::membership {

using foundation::Instant;

void
NoteProbe(BalancerMonitor& aMonitor, bool aServing, Instant aNow)
{
  if (aServing) {
    aMonitor.consecutiveRefusals_ = 0;
    return;
  }
  ++aMonitor.consecutiveRefusals_;
  aMonitor.lastRefused_ = aNow;
}

bool
IsOutOfRotation(const BalancerMonitor& aMonitor,
                const BalancerPolicy& aPolicy,
                Instant aSince,
                Instant aNow)
{
  const bool enough =
    aPolicy.refusalsToRemove_ > 0 &&
    aMonitor.consecutiveRefusals_ >= aPolicy.refusalsToRemove_;
  return aNow - aSince >= aPolicy.removalTimeout_ ||
         (enough && aNow - aMonitor.lastRefused_ >= kProbeReplyDelayMs);
}

} // namespace wigeonlb::core::membership
