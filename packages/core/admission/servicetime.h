#pragma once

#include <cstddef>
#include <cstdint>

#include "foundation/clock.h"

namespace wigeonlb::core::admission {

//! Moving average of the time for which a statement holds a slot.
struct ServiceTime
{
  foundation::Duration mean_{ 1000 };
  std::uint64_t sampleCount_ = 0;
};

//! Adds one measurement.
void
AddSample(ServiceTime& aService, foundation::Duration aSpent);

//! Predicts the wait of a new item behind aAhead others that are served on
//! aSlots slots in parallel.
foundation::Duration
PredictWait(const ServiceTime& aService,
            std::size_t aAhead,
            std::size_t aSlots);

//! Returns the predicted wait plus a safety margin. An item is admitted only if
//! its deadline allows this wait, so that an admitted item is rarely refused
//! later.
foundation::Duration
PredictWaitWithMargin(const ServiceTime& aService,
                      std::size_t aAhead,
                      std::size_t aSlots);

} // namespace wigeonlb::core::admission
