#include <catch2/catch.hpp>

#include "foundation/clock.h"

namespace wigeonlb::foundation {

TEST_CASE("SteadyNow reads the clock that keeps running during suspend",
          "[clock]")
{
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  const Instant now = SteadyNow();
  const Duration read = std::chrono::seconds(boot.tv_sec) +
                        std::chrono::microseconds(boot.tv_nsec / 1000);
  CHECK(now.time_since_epoch() >= read);
  CHECK(now.time_since_epoch() - read < std::chrono::seconds(5));
}

} // namespace wigeonlb::foundation
