#pragma once

#include <cstdint>
#include <span>

#include "foundation/clock.h"

namespace wigeonlb::core::routing {

//! What a target's recent answers say about it.
struct TargetHealth
{
  //! Smoothed time from hand-over to answer; zero before the first.
  foundation::Duration latency_{ 0 };
  std::uint32_t answers_ = 0;
  std::uint32_t consecutiveFailures_ = 0;
  //! Ejections without a good while in between; makes the next one longer.
  std::uint32_t ejections_ = 0;
  foundation::Instant ejectedUntil_;
};

//! A statement was answered.
void
RecordAnswer(TargetHealth& aHealth, foundation::Duration aLatency);

//! A statement or a new connection was lost.
void
RecordFailure(TargetHealth& aHealth);

//! No reads go to the target for now.
bool
IsEjected(const TargetHealth& aHealth, foundation::Instant aNow);

//! Latency for the choice; higher for a while after an ejection, so that work
//! comes back slowly.
foundation::Duration
GetWeightedLatency(const TargetHealth& aHealth, foundation::Instant aNow);

//! Ejects targets that fail in a row or are far slower than the others: at
//! most half of those given, and never the last one. Returns how many were
//! ejected now.
std::uint32_t
EjectOutliers(std::span<TargetHealth* const> aTargets,
              foundation::Instant aNow);

} // namespace wigeonlb::core::routing
