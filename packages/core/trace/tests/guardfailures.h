#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "core/failover/tests/simulationschedules.h"
#include "core/traffic/tests/schedule.h"

namespace wigeonlb::core::trace::tests {

//! A simulation schedule that violates a rule with one guard disabled, and no
//! rule with all guards enabled.
struct SimulationFailure
{
  std::string name_;
  std::uint64_t seed_;
  std::string_view rule_;
  std::function<void(failover::SimulationSettings&)> disableGuard_;
};

//! The same for a schedule of an owner's traffic.
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
