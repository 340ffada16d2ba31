#include <algorithm>
#include <iostream>

#include <catch2/catch.hpp>

#include "core/trace/tests/guardfailures.h"
#include "core/trace/tests/simulationtraces.h"
#include "core/trace/tracereport.h"

namespace wigeonlb::core::trace::tests {

using failover::Simulation;
using failover::SimulationSettings;

namespace {

constexpr std::uint64_t kSchedules = 200;

} // namespace

TEST_CASE("recorded failover schedules have no findings and replay identically",
          "[trace][schedules]")
{
  std::size_t records = 0;
  std::size_t steps = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Simulation simulation;
    const SimulationTraces recorded(simulation);
    SimulationSettings settings;
    settings.seed_ = seed;
    RunSchedule(simulation, settings);
    auto findings = CheckTraces(recorded.Traces());
    for (std::size_t i = 0; i < recorded.Traces().size(); ++i) {
      records += recorded.Traces()[i].records_.size();
      steps += ReplayFailover(recorded.Traces()[i], i, findings).steps_;
    }
    INFO("seed " << seed);
    for (const auto& finding : findings) {
      FAIL_CHECK(recorded.Traces()[finding.trace_].name_
                 << ":" << finding.number_ << " " << finding.rule_ << ": "
                 << finding.text_);
    }
  }
  std::cout << "schedules," << kSchedules << ",records," << records
            << ",decisions," << steps << '\n';
}

TEST_CASE("the checker finds the violation that each failover guard prevents",
          "[trace][schedules]")
{
  const auto failures = SimulationFailures();
  const auto& row =
    failures[GENERATE_COPY(range(std::size_t{ 0 }, failures.size()))];
  INFO(row.name_);
  Simulation simulation;
  const SimulationTraces recorded(simulation);
  SimulationSettings settings;
  settings.seed_ = row.seed_;
  row.disableGuard_(settings);
  RunSchedule(simulation, settings);
  CHECK(std::ranges::any_of(
    CheckTraces(recorded.Traces()),
    [&](const TraceFinding& aFinding) { return aFinding.rule_ == row.rule_; }));
}

} // namespace wigeonlb::core::trace::tests
