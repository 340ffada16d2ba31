#pragma once

#include <cstddef>
#include <cstdint>

#include "foundation/clock.h"

namespace wigeonlb::core::admission {

//! Smoothed time for which a statement holds a slot.
struct ServiceTime
{
  foundation::Duration mean_{ 1000 };
  std::uint64_t measured_ = 0;
};

//! Takes in one measurement.
void
Measure(ServiceTime& aService, foundation::Duration aSpent);

//! The wait of a new item behind aAhead others at aSlots in parallel.
foundation::Duration
PredictWait(const ServiceTime& aService,
            std::size_t aAhead,
            std::size_t aSlots);

//! The wait that a new item must be able to afford: some more than predicted,
//! so that one which is let in is seldom refused at its turn after all.
foundation::Duration
PredictWaitWithMargin(const ServiceTime& aService,
                      std::size_t aAhead,
                      std::size_t aSlots);

} // namespace wigeonlb::core::admission
