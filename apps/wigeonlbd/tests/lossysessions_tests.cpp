#include <catch2/catch.hpp>

#include <iostream>

#include "tests/lossysessions.h"

namespace wigeonlb::daemon::traffic {

namespace {

constexpr std::uint64_t kSchedules = 400;

} // namespace

TEST_CASE("lost, late and repeated messages never put a statement into another "
          "transaction",
          "[lossysessions]")
{
  std::size_t handedOn = 0;
  std::size_t givenUp = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    LossySessions schedule(seed, {});
    schedule.Run();
    schedule.Settle();
    INFO("seed " << seed << "\n" << schedule.Violations());
    CHECK(schedule.Violations().empty());
    CHECK(schedule.CountOpenTransactions() == 0);
    CHECK(schedule.closes_.closes_.empty());
    for (const EntryModel& entry : schedule.entries_) {
      CHECK(entry.done_ == 1);
    }
    handedOn += schedule.handedOn_;
    givenUp += schedule.givenUp_;
  }
  std::cout << "schedules," << kSchedules << ",given_up," << givenUp
            << ",handed_on," << handedOn << '\n';
}

TEST_CASE(
  "without matching transactions a schedule finds a statement in another "
  "one",
  "[lossysessions]")
{
  core::traffic::Guards guards;
  guards.matchTransactions_ = false;
  bool found = false;
  for (std::uint64_t seed = 1; seed <= kSchedules && !found; ++seed) {
    LossySessions schedule(seed, guards);
    schedule.Run();
    found =
      schedule.Violations().find("ran in transaction") != std::string::npos;
  }
  CHECK(found);
}

} // namespace wigeonlb::daemon::traffic
