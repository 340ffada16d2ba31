#include <catch2/catch.hpp>

#include "core/grants/leaderwaiters.h"

namespace wigeonlb::core::grants {

using foundation::Duration;
using foundation::Instant;
using std::chrono::milliseconds;

namespace {

constexpr Instant kStart{ std::chrono::seconds(1000) };

wire::Heartbeat
MakeHeartbeat(const std::string& aHost, std::uint64_t aSequence)
{
  wire::Heartbeat heartbeat;
  heartbeat.mutable_sender()->set_host(aHost);
  heartbeat.set_sequence(aSequence);
  heartbeat.set_sent_at_us(aSequence * 1000);
  return heartbeat;
}

} // namespace

TEST_CASE("hosts that wait for a leader are notified once", "[leaderwaiters]")
{
  struct Row
  {
    Duration delay_;
    std::size_t notified_;
  };
  const auto row = GENERATE(values<Row>({
    { milliseconds(0), 2 },
    { kLeaderWaitMs, 2 },
    { kLeaderWaitMs + milliseconds(1), 1 },
    { 2 * kLeaderWaitMs, 0 },
  }));
  LeaderWaiters waiters;
  AddWaiter(waiters, MakeHeartbeat("a", 1), kStart - milliseconds(200));
  AddWaiter(waiters, MakeHeartbeat("a", 2), kStart);
  AddWaiter(waiters, MakeHeartbeat("b", 7), kStart + milliseconds(100));
  const auto notified = RemoveWaiters(waiters, kStart + row.delay_);
  REQUIRE(notified.size() == row.notified_);
  for (const auto& waiter : notified) {
    CHECK(waiter.sequence_ == (waiter.host_ == "a" ? 2 : 7));
    CHECK(waiter.sentAtUs_ == waiter.sequence_ * 1000);
  }
  CHECK(RemoveWaiters(waiters, kStart).empty());
}

} // namespace wigeonlb::core::grants
