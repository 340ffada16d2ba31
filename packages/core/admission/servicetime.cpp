#include "core/admission/servicetime.h"

#include <algorithm>

namespace wigeonlb::core::admission {

namespace {

constexpr int kSmoothingDivisor = 16;

// Safety margin as a fraction of the predicted wait, for service that is slower
// than predicted.
constexpr int kMarginDivisor = 4;

} // namespace

void
AddSample(ServiceTime& aService, foundation::Duration aSpent)
{
  aService.mean_ =
    aService.sampleCount_ == 0
      ? aSpent
      : aService.mean_ + (aSpent - aService.mean_) / kSmoothingDivisor;
  ++aService.sampleCount_;
}

foundation::Duration
PredictWait(const ServiceTime& aService, std::size_t aAhead, std::size_t aSlots)
{
  const auto slots =
    static_cast<std::int64_t>(std::max<std::size_t>(aSlots, 1));
  return aService.mean_ * static_cast<std::int64_t>(aAhead) / slots;
}

foundation::Duration
PredictWaitWithMargin(const ServiceTime& aService,
                      std::size_t aAhead,
                      std::size_t aSlots)
{
  const foundation::Duration wait = PredictWait(aService, aAhead, aSlots);
  return wait + wait / kMarginDivisor;
}

} // namespace wigeonlb::core::admission
