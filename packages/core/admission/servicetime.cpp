#include "core/admission/servicetime.h"

#include <algorithm>

namespace wigeonlb::core::admission {

namespace {

constexpr int kSmoothingParts = 16;

// Of the predicted wait, for what comes slower than predicted.
constexpr int kMarginParts = 4;

} // namespace

void
Measure(ServiceTime& aService, foundation::Duration aSpent)
{
  aService.mean_ =
    aService.measured_ == 0
      ? aSpent
      : aService.mean_ + (aSpent - aService.mean_) / kSmoothingParts;
  ++aService.measured_;
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
  return wait + wait / kMarginParts;
}

} // namespace wigeonlb::core::admission
