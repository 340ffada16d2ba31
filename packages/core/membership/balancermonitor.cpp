#include "core/membership/balancermonitor.h"

namespace wigeonlb::core::membership {

using foundation::Instant;

void
NoteProbe(BalancerMonitor& aWatch, bool aServing, Instant aNow)
{
  if (aServing) {
    aWatch.refused_ = 0;
    return;
  }
  ++aWatch.refused_;
  aWatch.lastRefused_ = aNow;
}

bool
IsOutOfRotation(const BalancerMonitor& aWatch,
                const BalancerPolicy& aPolicy,
                Instant aSince,
                Instant aNow)
{
  const bool enough =
    aPolicy.refusals_ > 0 && aWatch.refused_ >= aPolicy.refusals_;
  return aNow - aSince >= aPolicy.notice_ ||
         (enough && aNow - aWatch.lastRefused_ >= kAnswerTravelMs);
}

} // namespace wigeonlb::core::membership
