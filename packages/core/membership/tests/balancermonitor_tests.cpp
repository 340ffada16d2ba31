#include <catch2/catch.hpp>

#include "core/membership/balancermonitor.h"

namespace wigeonlb::core::membership {

using foundation::Duration;
using foundation::Instant;
using std::chrono::milliseconds;

TEST_CASE("a balancer has noticed after its misses or its longest time",
          "[balancerwatch]")
{
  struct Row
  {
    std::uint32_t refusals_; //!< that the balancer waits for
    int refused_;            //!< one a second from 300 ms on
    Duration at_;
    bool noticed_;
  };
  const auto row = GENERATE(values<Row>({
    { 2, 0, milliseconds(400), false },
    { 2, 1, milliseconds(400), false },
    { 2, 2, milliseconds(1310), false }, // the answer is on its way
    { 2, 2, milliseconds(1350), true },
    { 2, 1, milliseconds(2200), true }, // a probe was lost
    { 0, 2, milliseconds(1400), false },
    { 0, 3, milliseconds(2200), true },
  }));
  const BalancerPolicy policy{ row.refusals_, milliseconds(2200) };
  const Instant since{ std::chrono::seconds(100) };
  BalancerMonitor watch;
  NoteProbe(watch, false, since - milliseconds(1700));
  NoteProbe(watch, true, since - milliseconds(700));
  for (int i = 0; i < row.refused_; ++i) {
    NoteProbe(watch, false, since + milliseconds(300 + 1000 * i));
  }
  CHECK(IsOutOfRotation(watch, policy, since, since + row.at_) == row.noticed_);
}

} // namespace wigeonlb::core::membership
