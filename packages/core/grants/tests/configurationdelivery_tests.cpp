#include <numeric>
#include <vector>

#include <catch2/catch.hpp>

#include "core/grants/tests/configurationdelivery.h"

namespace wigeonlb::core::grants {

// Guards against names that are refused by an aged configuration, and against
// hosts that stay behind for good.
TEST_CASE("each host has the newest configuration in time, and refuses names "
          "only by it",
          "[delivery][schedule]")
{
  const std::size_t members = GENERATE(3U, 4U);
  CAPTURE(members);
  std::vector<std::uint64_t> seeds(100);
  std::iota(seeds.begin(), seeds.end(), 1);
  // Most or all members that a host knew were replaced while it was cut off.
  seeds.insert(seeds.end(), { 2836, 3118, 3344, 3415 });
  for (const std::uint64_t seed : seeds) {
    INFO("seed " << seed);
    const Violations violations = RunSchedule(seed, { .members_ = members });
    CHECK(violations.refusedTooEarly_ == 0);
    CHECK(violations.wentBack_ == 0);
    CHECK(violations.behind_ == 0);
    CHECK(violations.unconfirmed_ == 0);
  }
}

// Guards against hosts that stay outside because all members that they know are
// gone, though another host knows the present ones.
TEST_CASE("each host finds the present members by another host",
          "[delivery][schedule]")
{
  const std::size_t members = GENERATE(3U, 4U);
  CAPTURE(members);
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    const Violations violations = RunSchedule(
      seed, { .source_ = MemberSource::OtherHosts, .members_ = members });
    CHECK(violations.refusedTooEarly_ == 0);
    CHECK(violations.wentBack_ == 0);
    CHECK(violations.behind_ == 0);
    CHECK(violations.unconfirmed_ == 0);
  }
}

TEST_CASE("the schedules notice a confirmation that is taken for younger than "
          "it is",
          "[delivery][schedule]")
{
  const auto guards = GENERATE(values<ScheduleGuards>({
    { .ageOfConfirmation_ = false },
    { .timeOfRequest_ = false },
  }));
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    found += RunSchedule(seed, { .guards_ = guards }).refusedTooEarly_;
  }
  CHECK(found > 0);
}

} // namespace wigeonlb::core::grants
