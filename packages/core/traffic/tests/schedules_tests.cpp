#include <iostream>

#include <catch2/catch.hpp>

#include "core/traffic/tests/schedule.h"

namespace wigeonlb::core::traffic::tests {

namespace {

constexpr int kSchedules = 10000;

} // namespace

TEST_CASE("random schedules keep the invariants", "[schedules]")
{
  std::size_t requests = 0;
  std::map<wire::Outcome, std::size_t> outcomes;
  TrafficCounters total;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Schedule schedule(seed, Guards{});
    FakeGroup& group = schedule.Run();
    INFO("seed " << seed);
    for (const auto& violation : group.violations_) {
      FAIL_CHECK(violation);
    }
    for (const auto& [id, result] : group.results_) {
      ++outcomes[result.finish_.outcome_];
    }
    CHECK(group.CountUnfinished(schedule.closedSessions_) == 0);
    requests += schedule.requests_;
    total.readsByReplica_ += group.state_.counters_.readsByReplica_;
    total.answersDropped_ += group.state_.counters_.answersDropped_;
    total.unresponsiveConnections_ +=
      group.state_.counters_.unresponsiveConnections_;
  }
  std::cout << "schedules," << kSchedules << ",requests," << requests
            << ",done," << outcomes[wire::OUTCOME_DONE] << ",not_run,"
            << outcomes[wire::OUTCOME_NOT_RUN] << ",unknown,"
            << outcomes[wire::OUTCOME_UNKNOWN] << ",failed,"
            << outcomes[wire::OUTCOME_FAILED] << ",replica_reads,"
            << total.readsByReplica_ << ",dropped," << total.answersDropped_
            << ",silent," << total.unresponsiveConnections_ << '\n';
}

TEST_CASE("random schedules violate an invariant without its guard",
          "[schedules]")
{
  struct Row
  {
    bool Guards::*guard_;
    std::string found_;
  };
  const auto row = GENERATE(values<Row>({
    { &Guards::majorityBeforeAcknowledgement_, "without a majority" },
    { &Guards::probeWithRead_, "misses a write" },
    { &Guards::singleDispatch_, "sent twice" },
    { &Guards::shareLimit_, "over the share" },
    { &Guards::slotLimit_, "more statements than slots" },
    { &Guards::grantAtAcknowledgement_, "without a grant" },
    { &Guards::detectHiddenWrites_, "without a majority" },
  }));
  Guards guards;
  guards.*row.guard_ = false;
  bool found = false;
  for (std::uint64_t seed = 1; seed <= kSchedules && !found; ++seed) {
    Schedule schedule(seed, guards);
    for (const auto& violation : schedule.Run().violations_) {
      found |= violation.find(row.found_) != std::string::npos;
    }
  }
  CAPTURE(row.found_);
  CHECK(found);
}

} // namespace wigeonlb::core::traffic::tests
