#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "core/failover/tests/simulationschedules.h"
#include "core/traffic/tests/schedule.h"

namespace wigeonlb::core::trace::tests {

//! A schedule that breaks a rule with a guard off, and none with it on.
struct SimulationFailure
{
  std::string name_;
  std::uint64_t seed_;
  std::string_view rule_;
  std::function<void(failover::SimulationSettings&)> disableGuard_;
};

struct TrafficFailure
{
  std::string name_;
  std::uint64_t seed_;
  std::string_view rule_;
  bool traffic::Guards::*guard_;
};

std::span<const SimulationFailure>
SimulationFailures();
std::span<const TrafficFailure>
TrafficFailures();

} // namespace wigeonlb::core::trace::tests
