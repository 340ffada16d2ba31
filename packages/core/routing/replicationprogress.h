#pragma once

#include <optional>

#include "core/routing/samplewindow.h"

namespace wigeonlb::core::routing {

//! Replication progress of one target relative to the primary, for either its
//! synced or its applied log position.
struct ReplicationProgress
{
  foundation::LogPosition position_;
  foundation::Instant measuredAt_;
  //! Smoothed replication delay: the time from the first observation of a
  //! position at the primary until the target reports it. Empty before the
  //! first measurement.
  std::optional<foundation::Duration> delay_;
};

//! Records a position that the target reported and updates the smoothed delay.
//! A position lower than the previous one (the target was rebuilt) resets the
//! measurement.
void
RecordPosition(ReplicationProgress& aProgress,
               const SampleWindow& aWindow,
               const foundation::LogPosition& aPosition,
               foundation::Instant aNow);

//! Estimates the replication delay of a new write: the smoothed delay, or the
//! current lag if that is longer. Empty if nothing has been measured yet.
std::optional<foundation::Duration>
EstimateDelay(const ReplicationProgress& aProgress,
              const SampleWindow& aWindow,
              foundation::Instant aNow);

//! Estimates when the target reaches a position. Returns aNow if it already
//! has, and nothing if no delay has been measured yet.
std::optional<foundation::Instant>
EstimateArrival(const ReplicationProgress& aProgress,
                const SampleWindow& aWindow,
                const foundation::LogPosition& aPosition,
                foundation::Instant aNow);

} // namespace wigeonlb::core::routing
