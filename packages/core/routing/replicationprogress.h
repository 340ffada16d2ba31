#pragma once

#include <optional>

#include "core/routing/samplewindow.h"

namespace wigeonlb::core::routing {

//! How one target's log (its synced or its applied end) follows the primary's.
struct ReplicationProgress
{
  foundation::LogPosition position_;
  foundation::Instant measuredAt_;
  //! Smoothed time from a position's first sight at the primary to its sight
  //! here; empty before the first measurement.
  std::optional<foundation::Duration> delay_;
};

//! Takes in a position that the target reported. A lower one than before (a
//! rebuilt target) starts the measurement anew.
void
RecordPosition(ReplicationProgress& aCatchUp,
               const SampleWindow& aWindow,
               const foundation::LogPosition& aPosition,
               foundation::Instant aNow);

//! The delay that a new write is likely to see: the smoothed one, or longer
//! when the target has fallen behind that. Empty when never measured.
std::optional<foundation::Duration>
EstimateDelay(const ReplicationProgress& aCatchUp,
              const SampleWindow& aWindow,
              foundation::Instant aNow);

//! When the target is likely to reach a position; the time given when it has.
//! Empty when nothing was measured yet.
std::optional<foundation::Instant>
EstimateArrival(const ReplicationProgress& aCatchUp,
                const SampleWindow& aWindow,
                const foundation::LogPosition& aPosition,
                foundation::Instant aNow);

} // namespace wigeonlb::core::routing
