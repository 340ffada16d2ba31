#pragma once

#include "core/failover/tests/simulation.h"

namespace wigeonlb::core::failover {

//! End of a schedule, in virtual time.
constexpr Time kScheduleEnd = 12000 * kMs;

//! Runs a world under two to five random faults, drawn from its seed, and
//! checks what must hold at the end.
void
RunSchedule(Simulation& aSimulation, const SimulationSettings& aSettings);

} // namespace wigeonlb::core::failover
