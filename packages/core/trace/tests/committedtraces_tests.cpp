#include <algorithm>
#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>

#include "core/trace/tests/grouptrace.h"
#include "core/trace/tests/guardfailures.h"
#include "core/trace/tests/reducetraces.h"
#include "core/trace/tests/simulationtraces.h"
#include "core/trace/tracereport.h"

namespace wigeonlb::core::trace::tests {

namespace {

using failover::Simulation;
using failover::SimulationSettings;
using traffic::Guards;

const std::filesystem::path kFolder = WIGEONLB_TEST_DATA;

void
Write(const std::string& aName, const std::string& aText)
{
  std::ofstream(kFolder / (aName + ".trace"), std::ios::binary) << aText;
}

std::string
MakeNote(std::uint64_t aSeed, bool aGuarded)
{
  return "schedule of seed " + std::to_string(aSeed) +
         (aGuarded ? ", all guards on" : ", the guard named by the file off");
}

void
WriteSimulation(const SimulationFailure& aFailure, bool aGuarded)
{
  Simulation simulation;
  const SimulationTraces recorded(simulation);
  SimulationSettings settings;
  settings.seed_ = aFailure.seed_;
  if (!aGuarded) {
    aFailure.disableGuard_(settings);
  }
  RunSchedule(simulation, settings);
  Write(aFailure.name_ + (aGuarded ? "-on" : "-off"),
        FormatFile(ReduceTraces(recorded.Traces()),
                   MakeNote(aFailure.seed_, aGuarded)));
}

void
WriteTraffic(const TrafficFailure& aFailure, bool aGuarded)
{
  Guards guards;
  guards.*aFailure.guard_ = aGuarded;
  traffic::tests::Schedule schedule(aFailure.seed_, guards);
  const GroupTrace recorded(schedule.Group());
  schedule.Run();
  Write(aFailure.name_ + (aGuarded ? "-on" : "-off"),
        FormatFile(recorded.Traces(), MakeNote(aFailure.seed_, aGuarded)));
}

//! Writes a trace of a failover with all decisions of the control leader.
void
WriteKilledPrimary()
{
  Simulation simulation;
  const SimulationTraces recorded(simulation);
  Start(simulation, SimulationSettings{});
  failover::ScheduleAt(simulation, 1000 * failover::kMs, [&simulation] {
    failover::Kill(failover::Primary(simulation));
  });
  RunUntil(simulation, 1600 * failover::kMs);
  const auto leading =
    std::ranges::max_element(recorded.Traces(), {}, [](const Trace& aTrace) {
      return std::ranges::count_if(aTrace.records_, [](const auto& aRecord) {
        return aRecord.has_failover_step();
      });
    });
  Write("killed-primary",
        FormatFile({ *leading }, "the primary is killed at 1 s; seed 1"));
}

} // namespace

TEST_CASE("committed traces give the findings that their headers expect",
          "[trace]")
{
  std::size_t files = 0;
  std::size_t decisions = 0;
  for (const auto& entry : std::filesystem::directory_iterator(kFolder)) {
    const auto name = entry.path().filename().string();
    INFO(name);
    std::ifstream input(entry.path(), std::ios::binary);
    std::vector<Trace> traces;
    foundation::Findings findings;
    CHECK_FALSE(ReadTraces(input, name, traces, findings));
    INFO(foundation::ToString(findings));
    REQUIRE_FALSE(traces.empty());
    const auto report = MakeReport(traces);
    CHECK(foundation::ToString(report.unexpected_).empty());
    CHECK(report.found_.empty() == !name.ends_with("-off.trace"));
    std::vector<TraceFinding> differences;
    decisions += ReplayFailover(traces[0], 0, differences).steps_;
    ++files;
  }
  CHECK(files ==
        1 + 2 * (SimulationFailures().size() + TrafficFailures().size()));
  CHECK(decisions > 0);
}

// Run manually after a change of the trace format or the simulations; see
// CONTRIBUTING.md.
TEST_CASE("writes the committed traces", "[.][write]")
{
  for (const bool guarded : { true, false }) {
    for (const auto& failure : SimulationFailures()) {
      WriteSimulation(failure, guarded);
    }
    for (const auto& failure : TrafficFailures()) {
      WriteTraffic(failure, guarded);
    }
  }
  WriteKilledPrimary();
}

} // namespace wigeonlb::core::trace::tests
