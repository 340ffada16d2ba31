#pragma once

#include "core/failover/tests/simulation.h"

namespace wigeonlb::core::failover {

//! End of a schedule, in virtual time.
constexpr Time kScheduleEnd = 12000 * kMs;

//! Runs a simulation with two to five random faults that its seed determines,
//! and checks the invariants at the end.
void
RunSchedule(Simulation& aSimulation, const SimulationSettings& aSettings);

} // namespace wigeonlb::core::failover
