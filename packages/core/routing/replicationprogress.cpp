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
RecordPosition(ReplicationProgress& aProgress,
               const SampleWindow& aWindow,
               const LogPosition& aPosition,
               Instant aNow)
{
  if (aPosition < aProgress.position_) {
    aProgress = ReplicationProgress{ aPosition, aNow, std::nullopt };
    return;
  }
  const PositionSample* before =
    FindLastCoveredSample(aWindow, aProgress.position_);
  const PositionSample* reached = FindLastCoveredSample(aWindow, aPosition);
  aProgress.position_ = aPosition;
  if (reached == nullptr || reached == before) {
    return;
  }
  const Duration measured =
    std::max(aNow - reached->firstAt_, Duration::zero());
  aProgress.measuredAt_ = aNow;
  aProgress.delay_ =
    aProgress.delay_
      ? *aProgress.delay_ + (measured - *aProgress.delay_) / kSmoothingParts
      : measured;
}

std::optional<Duration>
EstimateDelay(const ReplicationProgress& aProgress,
              const SampleWindow& aWindow,
              Instant aNow)
{
  const PositionSample* missing =
    FindFirstSampleAfter(aWindow, aProgress.position_);
  if (missing == nullptr) {
    return aProgress.delay_;
  }
  const Duration behind = aNow - missing->firstAt_;
  return aProgress.delay_ ? std::max(*aProgress.delay_, behind) : behind;
}

std::optional<Instant>
EstimateArrival(const ReplicationProgress& aProgress,
                const SampleWindow& aWindow,
                const LogPosition& aPosition,
                Instant aNow)
{
  if (aProgress.position_ >= aPosition) {
    return aNow;
  }
  if (!aProgress.delay_) {
    return std::nullopt;
  }
  auto lastBelow = std::find_if(aWindow.samples_.rbegin(),
                                aWindow.samples_.rend(),
                                [&](const PositionSample& aSample) {
                                  return aSample.position_ < aPosition;
                                });
  // The oldest sample at or beyond the position: the sample after the last one
  // that is below it.
  const Instant written = lastBelow == aWindow.samples_.rbegin()
                            ? aNow
                            : std::prev(lastBelow)->firstAt_;
  const Instant expected = written + *aProgress.delay_;
  if (expected > aNow) {
    return expected;
  }
  // The expected arrival has passed without the position being reached. Extend
  // the estimate by half of the time since the position was written.
  return aNow + std::max((aNow - written) / 2, Duration(1));
}

} // namespace wigeonlb::core::routing
