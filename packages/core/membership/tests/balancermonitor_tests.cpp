#include <catch2/catch.hpp>

#include "core/membership/balancermonitor.h"

namespace wigeonlb::core::membership {

using foundation::Duration;
using foundation::Instant;
using std::chrono::milliseconds;

TEST_CASE("a host is out of rotation after enough refusals or time",
          "[balancerwatch]")
{
  struct Row
  {
    std::uint32_t refusalsToRemove_; //!< that the balancer requires
    int consecutiveRefusals_;        //!< one per second, from 300 ms on
    Duration at_;
    bool outOfRotation_;
  };
  const auto row = GENERATE(values<Row>({
    { 2, 0, milliseconds(400), false },
    { 2, 1, milliseconds(400), false },
    { 2, 2, milliseconds(1310), false }, // the reply has not arrived yet
    { 2, 2, milliseconds(1350), true },
    { 2, 1, milliseconds(2200), true }, // a probe was lost
    { 0, 2, milliseconds(1400), false },
    { 0, 3, milliseconds(2200), true },
  }));
  const BalancerPolicy policy{ row.refusalsToRemove_, milliseconds(2200) };
  const Instant since{ std::chrono::seconds(100) };
  BalancerMonitor monitor;
  NoteProbe(monitor, false, since - milliseconds(1700));
  NoteProbe(monitor, true, since - milliseconds(700));
  for (int i = 0; i < row.consecutiveRefusals_; ++i) {
    NoteProbe(monitor, false, since + milliseconds(300 + 1000 * i));
  }
  CHECK(IsOutOfRotation(monitor, policy, since, since + row.at_) ==
        row.outOfRotation_);
}

} // namespace wigeonlb::core::membership
