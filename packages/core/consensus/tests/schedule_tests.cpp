#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include "core/consensus/tests/networkschedules.h"

namespace wigeonlb::core::consensus {

namespace {

constexpr int kSchedules = 1200;

// Reads a number from the environment, for longer runs or a single seed.
int
ReadNumber(const char* aVariable, int aDefault)
{
  const char* text = std::getenv(aVariable);
  return text ? static_cast<int>(std::strtol(text, nullptr, 10)) : aDefault;
}

std::string
Describe(const SimulatedNetwork& aNetwork)
{
  std::string text;
  for (const std::string& violation : aNetwork.violations_) {
    text += "seed " + std::to_string(aNetwork.settings_.seed_) + ", " +
            std::to_string(aNetwork.settings_.members_) +
            " members: " + violation + "\n";
  }
  return text;
}

} // namespace

TEST_CASE("random schedules keep all committed entries",
          "[consensus][schedules]")
{
  const int first = ReadNumber("WIGEONLB_SEED", 1);
  const int last = first + ReadNumber("WIGEONLB_SCHEDULES", kSchedules) - 1;
  std::uint64_t committed = 0;
  std::uint64_t terms = 0;
  std::uint64_t disksLost = 0;
  std::string violations;
  for (int seed = first; seed <= last; ++seed) {
    NetworkSettings settings;
    settings.seed_ = seed;
    settings.members_ = seed % 3 == 0 ? 5 : 3;
    settings.lossPercent_ = seed % 20;
    const SimulatedNetwork network =
      RunSchedule(settings, { .changesMembers_ = seed % 2 == 0 });
    violations += Describe(network);
    committed += network.committed_.size();
    terms += network.leaders_.size();
    disksLost += network.disksLost_;
  }
  std::cout << "schedules=" << last - first + 1 << " first_seed=" << first
            << " entries_committed=" << committed << " terms_led=" << terms
            << " disks_lost=" << disksLost << "\n";
  CHECK(violations.empty());
  if (!violations.empty()) {
    std::cout << violations;
  }
}

TEST_CASE("random schedules with disks that refuse writes keep all committed "
          "entries",
          "[consensus][schedules]")
{
  std::uint64_t refused = 0;
  std::string violations;
  for (int seed = 1; seed <= kSchedules / 3; ++seed) {
    NetworkSettings settings;
    settings.seed_ = seed;
    settings.members_ = seed % 3 == 0 ? 5 : 3;
    settings.lossPercent_ = seed % 20;
    const SimulatedNetwork network = RunSchedule(
      settings, { .changesMembers_ = seed % 2 == 0, .refusesWrites_ = true });
    violations += Describe(network);
    refused += network.writesRefused_;
  }
  std::cout << "writes refused: " << refused << "\n";
  CHECK(refused > 0);
  CHECK(violations.empty());
  if (!violations.empty()) {
    std::cout << violations;
  }
}

TEST_CASE("random schedules detect a disabled guard of the configuration",
          "[consensus][guard]")
{
  struct Row
  {
    std::string guard_;
    configuration::Guards guards_;
    std::string violation_;
  };
  const auto row = GENERATE(values<Row>({
    { "rememberChangeIds",
      { .rememberChangeIds_ = false },
      "a change was applied twice" },
    { "ignoreOlderRevisions",
      { .ignoreOlderRevisions_ = false },
      "a host's revision went back" },
  }));
  int seed = 0;
  bool found = false;
  while (!found && seed < kSchedules) {
    ++seed;
    NetworkSettings settings;
    settings.seed_ = seed;
    settings.configurationGuards_ = row.guards_;
    const SimulatedNetwork network = RunSchedule(settings, Faults());
    found = network.violations_.contains(row.violation_);
  }
  INFO(row.guard_);
  CHECK(found);
  std::cout << "guard disabled: " << row.guard_ << ": found at seed " << seed
            << "\n";
}

} // namespace wigeonlb::core::consensus
