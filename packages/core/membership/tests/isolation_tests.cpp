#include <catch2/catch.hpp>

#include "core/membership/isolation.h"

namespace wigeonlb::core::membership {

using foundation::Duration;
using foundation::HostId;
using foundation::Instant;
using std::chrono::milliseconds;

TEST_CASE("callers are sent away once the balancer has noticed", "[isolation]")
{
  struct Row
  {
    bool partition_; //!< else the control members are down
    Duration noticedAfter_;
    std::vector<int> sentAwayAtMs_; //!< of the silence
  };
  const auto row = GENERATE(values<Row>({
    { true, milliseconds(2000), { 2000, 3000, 4000 } },
    { true, milliseconds(500), { 1400, 2400, 3400, 4400 } },
    { true, milliseconds(9000), {} },
    { false, milliseconds(500), {} },
  }));
  const std::vector<HostId> hosts{ "h0", "h1", "h2", "h3" };
  const Instant heard{ std::chrono::seconds(100) };
  Isolation state;
  std::vector<int> sentAway;
  Duration refused{ 0 };
  for (Duration at{ 0 }; at <= milliseconds(4500); at += milliseconds(100)) {
    CheckLeaderContact(state, heard, hosts, heard + at);
    EvaluateIsolation(
      state, [&](const HostId&) { return row.partition_; }, heard + at);
    if (ShouldDisconnectCallers(state, at >= row.noticedAfter_, heard + at)) {
      sentAway.push_back(static_cast<int>(foundation::ToMilliseconds(at)));
    }
    refused += MayAcceptCallers(state, true) ? Duration(0) : milliseconds(100);
  }
  CHECK(sentAway == row.sentAwayAtMs_);
  // Without a partition, for less than the second between two probes.
  CHECK((refused > kProofMs) == row.partition_);
  CHECK(refused >= kProofMs);
}

TEST_CASE("a host that starts in a part that is cut off takes no callers",
          "[isolation]")
{
  // It knows no other hosts that could be tried.
  const Instant started{ std::chrono::seconds(100) };
  Isolation state;
  CheckLeaderContact(state, started, {}, started + std::chrono::seconds(2));
  EvaluateIsolation(
    state,
    [](const HostId&) { return true; },
    started + std::chrono::seconds(4));
  const bool heard = GENERATE(false, true);
  CHECK(MayAcceptCallers(state, heard) == heard);
}

TEST_CASE("a host tells a partition from control members that are down",
          "[isolation]")
{
  struct Row
  {
    Duration silence_; //!< of the leader, in all
    std::size_t lost_; //!< of the eight other hosts
    bool isolated_;
  };
  const auto row = GENERATE(values<Row>({
    { milliseconds(400), 8, false },
    { milliseconds(1300), 8, false }, // not proved yet
    { milliseconds(1500), 8, true },
    { milliseconds(1500), 2, true },
    { milliseconds(1500), 1, false }, // one host is down
    { milliseconds(9000), 0, false }, // control members are down
  }));
  const std::vector<HostId> hosts{ "h0", "h1", "h2", "h3",
                                   "h4", "h5", "h6", "h7" };
  const Instant heard{ std::chrono::seconds(100) };
  Isolation state;
  std::size_t tried = 0;
  for (Duration at{ 0 }; at <= row.silence_; at += milliseconds(100)) {
    tried += CheckLeaderContact(state, heard, hosts, heard + at).size();
    EvaluateIsolation(
      state,
      [&](const HostId& aHost) {
        return static_cast<std::size_t>(aHost[1] - '0') < row.lost_;
      },
      heard + at);
  }
  CHECK(state.isolated_ == row.isolated_);
  CHECK(tried == (row.silence_ < kLeaderSilenceMs ? 0 : hosts.size()));
  // The leader is heard again.
  const Instant later = heard + row.silence_;
  CheckLeaderContact(state, later, hosts, later);
  CHECK(EvaluateIsolation(
          state, [](const HostId&) { return true; }, later) == row.isolated_);
  CHECK_FALSE(state.isolated_);
}

} // namespace wigeonlb::core::membership
