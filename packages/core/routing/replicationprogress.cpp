#include "core/routing/replicationprogress.h"

#include <algorithm>

namespace wigeonlb::core::routing {

namespace {

using foundation::Duration;
using foundation::Instant;
using foundation::LogPosition;

// Each measurement enters the moving average with weight 1 / kSmoothingParts.
constexpr int kSmoothingParts = 4;

} // namespace

void
RecordPosition(ReplicationProgress& aCatchUp,
               const SampleWindow& aWindow,
               const LogPosition& aPosition,
               Instant aNow)
{
  if (aPosition < aCatchUp.position_) {
    aCatchUp = ReplicationProgress{ aPosition, aNow, std::nullopt };
    return;
  }
  const PositionSample* before =
    FindLastCoveredSample(aWindow, aCatchUp.position_);
  const PositionSample* reached = FindLastCoveredSample(aWindow, aPosition);
  aCatchUp.position_ = aPosition;
  if (reached == nullptr || reached == before) {
    return;
  }
  const Duration measured =
    std::max(aNow - reached->firstAt_, Duration::zero());
  aCatchUp.measuredAt_ = aNow;
  aCatchUp.delay_ =
    aCatchUp.delay_
      ? *aCatchUp.delay_ + (measured - *aCatchUp.delay_) / kSmoothingParts
      : measured;
}

std::optional<Duration>
EstimateDelay(const ReplicationProgress& aCatchUp,
              const SampleWindow& aWindow,
              Instant aNow)
{
  const PositionSample* missing =
    FindFirstSampleAfter(aWindow, aCatchUp.position_);
  if (missing == nullptr) {
    return aCatchUp.delay_;
  }
  const Duration behind = aNow - missing->firstAt_;
  return aCatchUp.delay_ ? std::max(*aCatchUp.delay_, behind) : behind;
}

std::optional<Instant>
EstimateArrival(const ReplicationProgress& aCatchUp,
                const SampleWindow& aWindow,
                const LogPosition& aPosition,
                Instant aNow)
{
  if (aCatchUp.position_ >= aPosition) {
    return aNow;
  }
  if (!aCatchUp.delay_) {
    return std::nullopt;
  }
  auto wanted = std::find_if(aWindow.samples_.rbegin(),
                             aWindow.samples_.rend(),
                             [&](const PositionSample& aSample) {
                               return aSample.position_ < aPosition;
                             });
  // The oldest sample at or beyond the position: the sample after the last one
  // that is below it.
  const Instant written =
    wanted == aWindow.samples_.rbegin() ? aNow : std::prev(wanted)->firstAt_;
  const Instant expected = written + *aCatchUp.delay_;
  if (expected > aNow) {
    return expected;
  }
  // The expected arrival has passed without the position being reached. Extend
  // the estimate by half of the time since the position was written.
  return aNow + std::max((aNow - written) / 2, Duration(1));
}

} // namespace wigeonlb::core::routing
