#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

#include "core/failover/tests/simulationschedules.h"

namespace wigeonlb::core::failover {

namespace {

constexpr std::uint64_t kSchedules = 1200;

//! Number of targets that cannot be used without an operator. Targets that were
//! restarted without data are counted again only under a live primary; diverged
//! ones that refuse to rewind never are.
std::size_t
CountDisabledTargets(const Simulation& aSimulation)
{
  std::size_t disabled = 0;
  for (const auto& target : aSimulation.targets_) {
    const bool stuck = target.adopted_ != CommittedGroup(aSimulation).term() ||
                       target.diverged_ || !target.up_;
    disabled += stuck || target.incarnation_ > 1 ? 1 : 0;
  }
  return disabled;
}

} // namespace

TEST_CASE("random schedules lose no acknowledged write", "[schedules]")
{
  std::size_t acknowledged = 0;
  std::size_t changes = 0;
  std::size_t stopped = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Simulation simulation;
    SimulationSettings settings;
    settings.seed_ = seed;
    RunSchedule(simulation, settings);
    INFO("seed " << seed << ": " << FirstViolation(simulation));
    CHECK(simulation.violations_.empty());
    const bool writesContinue =
      FirstAcknowledged(simulation, kScheduleEnd - 1000 * kMs).has_value();
    stopped += writesContinue ? 0 : 1;
    CHECK((writesContinue || CountDisabledTargets(simulation) > 0));
    const auto& leader = simulation.members_[simulation.leader_].state_;
    CHECK((writesContinue || !GetWaitingReason(leader, "g").empty()));
    acknowledged += simulation.acknowledged_.size();
    changes += CommittedGroup(simulation).term() - 1;
  }
  std::cout << "schedules: " << kSchedules
            << ", changes of primary: " << changes
            << ", acknowledged writes: " << acknowledged
            << ", without writes at the end: " << stopped << '\n';
}

//! Runs a schedule and returns the steps of all members with their times, and
//! the final state. Adds the ticks at which the group is idle to aIdleTicks.
std::vector<std::string>
RecordSteps(std::uint64_t aSeed, bool aStepsIdle, std::size_t& aIdleTicks)
{
  Simulation simulation;
  SimulationSettings settings;
  settings.seed_ = aSeed;
  settings.stepsIdleGroups_ = aStepsIdle;
  std::vector<std::string> outcome;
  simulation.observer_.memberStepped_ =
    [&](std::size_t aMember,
        const FailoverEvent& aEvent,
        std::span<const FailoverAction> aActions,
        foundation::Instant aNow) {
      const auto& state = simulation.members_[aMember].state_;
      const auto group = state.groups_.find("g");
      aIdleTicks += std::holds_alternative<Tick>(aEvent) && state.leading_ &&
                        group != state.groups_.end() &&
                        aNow < group->second.idleUntil_
                      ? 1
                      : 0;
      outcome.push_back(std::to_string(aNow.time_since_epoch().count()) + " " +
                        std::to_string(aActions.size()) + " " +
                        std::to_string(state.lastReadNumber_) + " " +
                        GetWaitingReason(state, "g"));
    };
  RunSchedule(simulation, settings);
  outcome.push_back(CommittedGroup(simulation).ShortDebugString());
  outcome.push_back(std::to_string(simulation.acknowledged_.size()));
  return outcome;
}

TEST_CASE("skipping idle groups changes no step", "[schedules]")
{
  std::size_t idleTicks = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules / 8; ++seed) {
    const auto all = RecordSteps(seed, true, idleTicks);
    const auto due = RecordSteps(seed, false, idleTicks);
    const auto difference = std::ranges::mismatch(all, due);
    INFO("seed " << seed);
    CHECK((difference.in1 == all.end() ? "" : *difference.in1) ==
          (difference.in2 == due.end() ? "" : *difference.in2));
  }
  std::cout << "ticks at which the group was idle: " << idleTicks << '\n';
  CHECK(idleTicks > 0);
}

TEST_CASE("each guard is needed", "[schedules]")
{
  struct Row
  {
    std::string_view guard_;
    std::uint64_t firstSeed_;
    std::function<void(SimulationSettings&)> off_;
  };
  // The search starts shortly before the first failing seed, to save time.
  const std::vector<Row> rows{
    { "waitForReleases",
      1,
      [](auto& aSettings) { aSettings.guards_.waitForReleases_ = false; } },
    { "readAfterRelease",
      160,
      [](auto& aSettings) { aSettings.guards_.readAfterRelease_ = false; } },
    { "writtenTerm",
      200,
      [](auto& aSettings) { aSettings.guards_.writtenTerm_ = false; } },
    { "rebuiltIsNew",
      200,
      [](auto& aSettings) { aSettings.guards_.rebuiltIsNew_ = false; } },
    { "majorityRead",
      10,
      [](auto& aSettings) { aSettings.guards_.majorityRead_ = false; } },
    { "keepsMajorityOfSize",
      1,
      [](auto& aSettings) { aSettings.guards_.keepsMajorityOfSize_ = false; } },
    { "safeChoice",
      1,
      [](auto& aSettings) { aSettings.guards_.safeChoice_ = false; } },
    { "tellsDivergence",
      1,
      [](auto& aSettings) { aSettings.reportsDivergence_ = false; } },
    { "fencesByLeader",
      1,
      [](auto& aSettings) { aSettings.guards_.fencesByLeader_ = false; } },
    { "promotesUnderLease",
      1,
      [](auto& aSettings) { aSettings.guards_.promotesUnderLease_ = false; } },
    { "synced", 610, [](auto& aSettings) { aSettings.synced_ = false; } },
    { "leaseEnds",
      1,
      [](auto& aSettings) { aSettings.enforcesLeaseExpiry_ = false; } },
    { "assumeGrants",
      1,
      [](auto& aSettings) { aSettings.assumesGrants_ = false; } },
    { "majorityAcknowledges",
      1,
      [](auto& aSettings) { aSettings.requiresMajority_ = false; } },
  };
  const auto row = GENERATE_COPY(from_range(rows));
  INFO(row.guard_);
  std::uint64_t found = 0;
  std::string violation;
  for (auto seed = row.firstSeed_; seed <= 3 * kSchedules && found == 0;
       ++seed) {
    Simulation simulation;
    SimulationSettings settings;
    settings.seed_ = seed;
    row.off_(settings);
    RunSchedule(simulation, settings);
    if (!simulation.violations_.empty()) {
      found = seed;
      violation = FirstViolation(simulation);
    }
  }
  std::cout << "without " << row.guard_ << ": seed " << found << ", "
            << violation << '\n';
  CHECK(found > 0);
}

} // namespace wigeonlb::core::failover
