#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace wigeonlb::foundation {

//! Length of time. Every interval in the workspace has microsecond resolution.
using Duration = std::chrono::microseconds;

//! Tag of the monotonic clock whose readings are passed into the core.
//! NOTE It has no Now(): the core never reads a clock; the daemon's edges and
//! the tests hand the time in.
struct MonotonicClock
{
  // Names that std::chrono asks of a clock.
  // NOLINTBEGIN(readability-identifier-naming)
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};

//! A reading of one host's monotonic clock; not comparable between hosts.
using Instant = std::chrono::time_point<MonotonicClock, Duration>;

//! Reads the boot-time clock. For the daemon's edges only.
//! NOTE Not std::chrono::steady_clock: that one stands still while the machine
//! is suspended, and a lease would outlive its end by that time. Timers may use
//! it, for whatever rests on time is checked against a new reading.
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
