#pragma once

#include <cstdint>
#include <span>

#include "foundation/clock.h"

namespace wigeonlb::core::routing {

//! Health of a target, derived from its recent answers.
struct TargetHealth
{
  //! Smoothed time from sending a statement to its answer; zero before the
  //! first answer.
  foundation::Duration latency_{ 0 };
  std::uint32_t answers_ = 0;
  std::uint32_t consecutiveFailures_ = 0;
  //! Consecutive ejections; each makes the next one longer. Reset after a
  //! series of answers without another ejection.
  std::uint32_t ejections_ = 0;
  foundation::Instant ejectedUntil_;
};

//! Records that a statement was answered.
void
RecordAnswer(TargetHealth& aHealth, foundation::Duration aLatency);

//! Records that a statement or a new connection failed.
void
RecordFailure(TargetHealth& aHealth);

//! Whether the target is currently excluded from reads.
bool
IsEjected(const TargetHealth& aHealth, foundation::Instant aNow);

//! Returns the latency to compare targets by. It is raised for some time after
//! an ejection, so that load returns to the target gradually.
foundation::Duration
GetWeightedLatency(const TargetHealth& aHealth, foundation::Instant aNow);

//! Ejects targets that fail repeatedly or are much slower than the others. At
//! most half of the targets are ejected at a time, so a single target never is.
//! Returns the number of targets ejected by this call.
std::uint32_t
EjectOutliers(std::span<TargetHealth* const> aTargets,
              foundation::Instant aNow);

} // namespace wigeonlb::core::routing
