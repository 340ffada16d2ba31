#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace wigeonlb::foundation {

//! Length of time. Every interval in the code base has microsecond resolution.
using Duration = std::chrono::microseconds;

//! Clock type of the monotonic time stamps that are passed into the core.
//! NOTE It has no Now(): the core never reads a clock. The daemon and the tests
//! pass the current time as an argument.
struct MonotonicClock
{
  // Member names that std::chrono requires of a clock.
  // NOLINTBEGIN(readability-identifier-naming)
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};

//! A reading of one host's monotonic clock; not comparable between hosts.
using Instant = std::chrono::time_point<MonotonicClock, Duration>;

//! Reads the boot-time clock. Not to be called by the core.
//! NOTE Not std::chrono::steady_clock, which stops while the machine is
//! suspended, so that a lease would be extended by that time. Timers may use
//! steady_clock, because every time limit is checked against a new reading of
//! this clock when the timer fires.
inline Instant
SteadyNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

//! Whole milliseconds of a duration, rounded down.
constexpr std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace wigeonlb::foundation
