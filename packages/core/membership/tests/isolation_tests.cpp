#include <catch2/catch.hpp>

#include "core/membership/isolation.h"

namespace wigeonlb::core::membership {

using foundation::Duration;
using foundation::HostId;
using foundation::Instant;
using std::chrono::milliseconds;

TEST_CASE("callers are disconnected once the host is out of rotation",
          "[isolation]")
{
  struct Row
  {
    bool partition_; //!< if false, the control members are down
    Duration outOfRotationAfter_;
    std::vector<int> disconnectsAtMs_; //!< since the last message
  };
  const auto row = GENERATE(values<Row>({
    { true, milliseconds(2000), { 2000, 3000, 4000 } },
    { true, milliseconds(500), { 1400, 2400, 3400, 4400 } },
    { true, milliseconds(9000), {} },
    { false, milliseconds(500), {} },
  }));
  const std::vector<HostId> hosts{ "h0", "h1", "h2", "h3" };
  const Instant lastMessage{ std::chrono::seconds(100) };
  Isolation state;
  std::vector<int> disconnects;
  Duration refused{ 0 };
  for (Duration at{ 0 }; at <= milliseconds(4500); at += milliseconds(100)) {
    CheckLeaderContact(state, lastMessage, hosts, lastMessage + at);
    EvaluateIsolation(
      state, [&](const HostId&) { return row.partition_; }, lastMessage + at);
    if (ShouldDisconnectCallers(
          state, at >= row.outOfRotationAfter_, lastMessage + at)) {
      disconnects.push_back(static_cast<int>(foundation::ToMilliseconds(at)));
    }
    refused += MayAcceptCallers(state, true) ? Duration(0) : milliseconds(100);
  }
  CHECK(disconnects == row.disconnectsAtMs_);
  // Without a partition, callers are refused for less than the second between
  // two probes.
  CHECK((refused > kConnectTestMs) == row.partition_);
  CHECK(refused >= kConnectTestMs);
}

TEST_CASE("a host that starts isolated accepts no callers", "[isolation]")
{
  // It knows no other hosts that could be tested.
  const Instant started{ std::chrono::seconds(100) };
  Isolation state;
  CheckLeaderContact(state, started, {}, started + std::chrono::seconds(2));
  EvaluateIsolation(
    state,
    [](const HostId&) { return true; },
    started + std::chrono::seconds(4));
  const bool leaderKnown = GENERATE(false, true);
  CHECK(MayAcceptCallers(state, leaderKnown) == leaderKnown);
}

TEST_CASE("a partition is distinguished from failed control members",
          "[isolation]")
{
  struct Row
  {
    Duration sinceLeader_;    //!< since the last message from the leader
    std::size_t unreachable_; //!< unreachable ones of the eight other hosts
    bool isolated_;
  };
  const auto row = GENERATE(values<Row>({
    { milliseconds(400), 8, false },
    { milliseconds(1300), 8, false }, // test not finished
    { milliseconds(1500), 8, true },
    { milliseconds(1500), 2, true },
    { milliseconds(1500), 1, false }, // one host is down
    { milliseconds(9000), 0, false }, // control members are down
  }));
  const std::vector<HostId> hosts{ "h0", "h1", "h2", "h3",
                                   "h4", "h5", "h6", "h7" };
  const Instant lastMessage{ std::chrono::seconds(100) };
  Isolation state;
  std::size_t testedCount = 0;
  for (Duration at{ 0 }; at <= row.sinceLeader_; at += milliseconds(100)) {
    testedCount +=
      CheckLeaderContact(state, lastMessage, hosts, lastMessage + at).size();
    EvaluateIsolation(
      state,
      [&](const HostId& aHost) {
        return static_cast<std::size_t>(aHost[1] - '0') < row.unreachable_;
      },
      lastMessage + at);
  }
  CHECK(state.isolated_ == row.isolated_);
  CHECK(testedCount ==
        (row.sinceLeader_ < kLeaderTimeoutMs ? 0 : hosts.size()));
  // The leader responds again.
  const Instant later = lastMessage + row.sinceLeader_;
  CheckLeaderContact(state, later, hosts, later);
  CHECK(EvaluateIsolation(
          state, [](const HostId&) { return true; }, later) == row.isolated_);
  CHECK_FALSE(state.isolated_);
}

} // namespace wigeonlb::core::membership
