#include <algorithm>
#include <iostream>

#include <catch2/catch.hpp>

#include "core/trace/tests/grouptrace.h"
#include "core/trace/tests/guardfailures.h"

namespace wigeonlb::core::trace::tests {

namespace {

using traffic::Guards;
using traffic::tests::Schedule;

constexpr std::uint64_t kSchedules = 2000;

} // namespace

TEST_CASE("recorded traffic schedules have no findings", "[trace][schedules]")
{
  std::size_t records = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Schedule schedule(seed, Guards{});
    const GroupTrace trace(schedule.Group());
    schedule.Run();
    records += trace.Traces()[0].records_.size();
    INFO("seed " << seed);
    for (const auto& finding : CheckTraces(trace.Traces())) {
      FAIL_CHECK(finding.number_ << " " << finding.rule_ << ": "
                                 << finding.text_);
    }
  }
  std::cout << "traffic schedules," << kSchedules << ",records," << records
            << '\n';
}

TEST_CASE("the checker finds the violation that each traffic guard prevents",
          "[trace][schedules]")
{
  const auto failures = TrafficFailures();
  const auto& row =
    failures[GENERATE_COPY(range(std::size_t{ 0 }, failures.size()))];
  INFO(row.name_);
  Guards guards;
  guards.*row.guard_ = false;
  Schedule schedule(row.seed_, guards);
  const GroupTrace trace(schedule.Group());
  schedule.Run();
  CHECK(std::ranges::any_of(
    CheckTraces(trace.Traces()),
    [&](const TraceFinding& aFinding) { return aFinding.rule_ == row.rule_; }));
}

} // namespace wigeonlb::core::trace::tests
