#include <algorithm>

#include <catch2/catch.hpp>

#include "core/grants/granttable.h"

namespace wigeonlb::core::grants {

using foundation::Duration;
using foundation::Instant;
using std::chrono::milliseconds;

namespace {

constexpr Instant kStart{ std::chrono::seconds(1000) };
constexpr foundation::Duration kLeaseMs = milliseconds(1000);

wire::GroupState
MakeGroup(std::uint64_t aTerm, bool aFenced = false)
{
  wire::GroupState group;
  group.set_group("g");
  group.set_term(aTerm);
  group.set_primary("a");
  group.set_fenced(aFenced);
  group.add_targets()->set_connection_limit(20);
  return group;
}

wire::Heartbeat
MakeHeartbeat(const std::string& aHost,
              std::uint64_t aSequence,
              std::uint64_t aLastReply = 0,
              std::uint32_t aShare = 0)
{
  wire::Heartbeat heartbeat;
  heartbeat.mutable_sender()->set_host(aHost);
  heartbeat.mutable_sender()->set_boot(1);
  heartbeat.set_sequence(aSequence);
  heartbeat.set_last_reply(aLastReply);
  if (aShare > 0) {
    auto* held = heartbeat.add_held();
    held->set_group("g");
    held->set_term(1);
    held->set_connection_share(aShare);
  }
  return heartbeat;
}

std::uint32_t
GetShare(const std::optional<wire::Grant>& aGrant)
{
  return aGrant ? aGrant->connection_share() : 0;
}

const std::vector<foundation::HostId> kOneOwner{ "h" };
const std::vector<foundation::HostId> kTwoOwners{ "h", "k" };

} // namespace

TEST_CASE("a lease counts until its end plus the clock drift", "[grants]")
{
  GrantTable table;
  const auto group = MakeGroup(1);
  REQUIRE(
    IssueGrant(table, group, kOneOwner, MakeHeartbeat("h", 1), kStart, kStart));
  const auto end = kStart + AddClockDrift(kLeaseMs);
  CHECK_FALSE(IsTermReleased(table, "g", 1, end - milliseconds(1)));
  CHECK(IsTermReleased(table, "g", 1, end));
  CHECK_FALSE(IssueGrant(table,
                         MakeGroup(1, true),
                         kOneOwner,
                         MakeHeartbeat("h", 2),
                         kStart,
                         kStart));
}

TEST_CASE("a released grant ends the wait, but its share counts", "[grants]")
{
  GrantTable table;
  const auto group = MakeGroup(1);
  IssueGrant(table, group, kOneOwner, MakeHeartbeat("h", 1), kStart, kStart);
  auto heartbeat = MakeHeartbeat("h", 2);
  auto* released = heartbeat.add_released();
  released->set_group("g");
  released->set_term(1);
  ProcessHeartbeat(table, heartbeat, kStart);
  CHECK(IsTermReleased(table, "g", 1, kStart));
  CHECK(CountUsedConnections(table, "g", { "k", 1 }, kStart) == 15);
  CHECK_FALSE(IssueGrant(table, group, kOneOwner, heartbeat, kStart, kStart));
}

TEST_CASE("a new leader assumes that earlier grants are in use", "[grants]")
{
  GrantTable table;
  StartLeading(table, kStart);
  const auto group = MakeGroup(1);
  CHECK_FALSE(IsTermReleased(table, "g", 1, kStart + kLeaseMs));
  CHECK(IsTermReleased(table, "g", 1, kStart + AddClockDrift(kLeaseMs)));
  const auto issue = [&](const wire::Heartbeat& aHeartbeat, Instant aNow) {
    return GetShare(
      IssueGrant(table, group, kOneOwner, aHeartbeat, aNow, aNow));
  };
  CHECK(issue(MakeHeartbeat("h", 1), kStart) == 0);
  CHECK(issue(MakeHeartbeat("h", 2, 1, 7), kStart) == 7);
  CHECK(issue(MakeHeartbeat("h", 3, 2, 7), kStart + AddClockDrift(kLeaseMs)) ==
        14);
}

TEST_CASE("new grants wait for hosts that may hold old ones", "[grants]")
{
  struct Row
  {
    std::vector<std::string> grantees_;
    std::vector<std::string> reported_;
    Duration delay_;
    bool awaits_;
  };
  const auto row = GENERATE(values<Row>({
    { { "h", "k" }, {}, Duration(0), true },
    { { "h", "k" }, { "h" }, Duration(0), true },
    { { "h", "k" }, { "h", "k" }, Duration(0), false },
    { { "h", "k" }, { "h" }, AddClockDrift(kLeaseMs), false },
    { {}, { "h" }, Duration(0), false },
  }));
  GrantTable table;
  StartLeading(table, kStart);
  auto group = MakeGroup(1);
  for (const auto& host : row.grantees_) {
    group.add_grantees(host);
  }
  for (const auto& host : row.reported_) {
    ProcessHeartbeat(table, MakeHeartbeat(host, 1), kStart);
  }
  CHECK(AwaitsHeartbeats(table, group, kStart + row.delay_) == row.awaits_);
}

TEST_CASE("a new leader knows the longest lease that may run", "[grants]")
{
  GrantTable table;
  auto group = MakeGroup(1);
  (*group.mutable_options())["lease"] = "4s";
  ObserveLease(table, group, kStart);
  (*group.mutable_options())["lease"] = "500ms";
  ObserveLease(table, group, kStart + milliseconds(10));
  StartLeading(table, kStart + milliseconds(20));
  CHECK(GetPredecessorGrantsEnd(table, "g") ==
        kStart + milliseconds(20) + AddClockDrift(milliseconds(4000)));
  StartLeading(table, kStart + milliseconds(20000));
  CHECK(GetPredecessorGrantsEnd(table, "g") ==
        kStart + milliseconds(20000) + AddClockDrift(milliseconds(500)));
}

TEST_CASE("a share counts until a smaller one is confirmed", "[grants]")
{
  GrantTable table;
  const auto group = MakeGroup(1);
  const auto issue = [&](const std::vector<foundation::HostId>& aOwners,
                         const wire::Heartbeat& aHeartbeat) {
    ProcessHeartbeat(table, aHeartbeat, kStart);
    return GetShare(
      IssueGrant(table, group, aOwners, aHeartbeat, kStart, kStart));
  };
  CHECK(issue(kOneOwner, MakeHeartbeat("h", 1)) == 14);
  CHECK(issue(kTwoOwners, MakeHeartbeat("k", 1)) == 0);
  CHECK(issue(kTwoOwners, MakeHeartbeat("h", 2, 1, 14)) == 7);
  // This heartbeat was sent before the reply with the smaller share arrived.
  CHECK(issue(kTwoOwners, MakeHeartbeat("h", 3, 1, 7)) == 7);
  CHECK(issue(kTwoOwners, MakeHeartbeat("k", 2)) == 0);
  // The smaller share was accepted, but some connections are still open.
  CHECK(issue(kTwoOwners, MakeHeartbeat("h", 4, 3, 11)) == 7);
  CHECK(issue(kTwoOwners, MakeHeartbeat("k", 3)) == 2);
  CHECK(issue(kTwoOwners, MakeHeartbeat("h", 5, 4, 7)) == 7);
  CHECK(issue(kTwoOwners, MakeHeartbeat("k", 4)) == 6);
}

TEST_CASE("a holder counts until it reports or is replaced", "[grants]")
{
  struct Row
  {
    std::uint64_t boot_;      //!< sends a heartbeat after the lease; 0: none
    std::uint64_t lastReply_; //!< reply 1 contained the grant
    std::uint32_t used_;
  };
  const auto row = GENERATE(
    values<Row>({ { 0, 0, 15 }, { 1, 0, 15 }, { 1, 1, 0 }, { 2, 0, 0 } }));
  GrantTable table;
  const auto group = MakeGroup(1);
  IssueGrant(table, group, kOneOwner, MakeHeartbeat("h", 1), kStart, kStart);
  const auto later = kStart + 10 * kLeaseMs;
  if (row.boot_ > 0) {
    auto heartbeat = MakeHeartbeat("h", 2, row.lastReply_);
    heartbeat.mutable_sender()->set_boot(row.boot_);
    ProcessHeartbeat(table, heartbeat, later);
  }
  CHECK(CountUsedConnections(table, "g", { "k", 1 }, later) == row.used_);
  CHECK(CountUsedConnections(table,
                             "g",
                             { "k", 1 },
                             kStart + kLeaseMs * 2 +
                               kUnresponsiveHolderExpiryMs) == 0);
}

TEST_CASE("an unresponsive holder is listed after its lease", "[grants]")
{
  struct Row
  {
    bool newLeader_;          //!< takes over at the start, receives its list
    std::uint64_t lastReply_; //!< of its heartbeat at 500 ms; 0: none
    Duration boot_;           //!< when its next incarnation sends one; 0: never
    Duration at_;
    bool ended_;
  };
  const auto row = GENERATE(values<Row>({
    { false, 0, Duration(0), milliseconds(1009), false },
    { false, 0, Duration(0), milliseconds(1010), true },
    { false, 0, Duration(0), milliseconds(60000), true },
    { false, 1, Duration(0), milliseconds(1009), false },
    { false, 0, milliseconds(1200), milliseconds(1500), false },
    { true, 0, Duration(0), milliseconds(1009), false },
    { true, 0, Duration(0), milliseconds(1010), true },
  }));
  GrantTable table;
  const auto group = MakeGroup(1);
  if (row.newLeader_) {
    StartLeading(table, kStart);
    auto reporting = MakeHeartbeat("k", 1);
    auto* list = reporting.add_holders();
    list->set_group("g");
    list->add_holders()->set_host("h");
    list->mutable_holders(0)->set_boot(1);
    list->mutable_holders(0)->set_connections(3);
    ProcessHeartbeat(table, reporting, kStart);
  } else {
    IssueGrant(table, group, kOneOwner, MakeHeartbeat("h", 1), kStart, kStart);
  }
  if (row.lastReply_ > 0) {
    const auto receivedAt = kStart + milliseconds(500);
    const auto heartbeat = MakeHeartbeat("h", 2, row.lastReply_, 14);
    ProcessHeartbeat(table, heartbeat, receivedAt);
    IssueGrant(table, group, kOneOwner, heartbeat, receivedAt, receivedAt);
  }
  if (row.boot_ > Duration(0)) {
    auto next = MakeHeartbeat("h", 1);
    next.mutable_sender()->set_boot(2);
    ProcessHeartbeat(table, next, kStart + row.boot_);
  }
  const auto list =
    ListCountedHolders(table, "g", MakeHeartbeat("k", 9), kStart + row.at_);
  const bool ended =
    list && std::ranges::any_of(list->holders(), [](const auto& aHolder) {
      return aHolder.lease_ended();
    });
  CHECK(ended == row.ended_);
}

TEST_CASE("a holder that reports again is not listed as ended", "[grants]")
{
  GrantTable table;
  const auto group = MakeGroup(1);
  IssueGrant(table, group, kOneOwner, MakeHeartbeat("h", 1), kStart, kStart);
  const auto later = kStart + 3 * kLeaseMs;
  const auto requester = MakeHeartbeat("k", 1);
  const auto unreported = ListCountedHolders(table, "g", requester, later);
  REQUIRE(unreported);
  REQUIRE(unreported->holders_size() == 1);
  CHECK(unreported->holders(0).lease_ended());
  // The holder did not receive the reply with its grant: the share counts.
  ProcessHeartbeat(table, MakeHeartbeat("h", 2), later);
  const auto reported = ListCountedHolders(table, "g", requester, later);
  REQUIRE(reported);
  REQUIRE(reported->holders_size() == 1);
  CHECK_FALSE(reported->holders(0).lease_ended());
  CHECK(reported->version() != unreported->version());
  CHECK(reported->holders(0).connections() ==
        unreported->holders(0).connections());
}

TEST_CASE("a host that shuts down keeps its grant until drained", "[grants]")
{
  GrantTable table;
  const auto group = MakeGroup(1);
  const std::vector<foundation::HostId> next{ "k" };
  const auto issue = [&](const wire::Heartbeat& aHeartbeat) {
    ProcessHeartbeat(table, aHeartbeat, kStart);
    return GetShare(IssueGrant(table, group, next, aHeartbeat, kStart, kStart));
  };
  auto heartbeat = MakeHeartbeat("h", 1);
  heartbeat.mutable_sender()->set_draining(true);
  CHECK(issue(heartbeat) == 0);
  heartbeat = MakeHeartbeat("h", 2, 1, 12);
  CHECK(issue(heartbeat) == 0);
  heartbeat.mutable_sender()->set_draining(true);
  CHECK(issue(heartbeat) == 6);
  // The 12 connections that it reported count until it confirms the smaller
  // share.
  CHECK(issue(MakeHeartbeat("k", 1)) == 1);
  heartbeat = MakeHeartbeat("h", 3, 2, 6);
  heartbeat.mutable_sender()->set_draining(true);
  CHECK(issue(heartbeat) == 6);
  CHECK(issue(MakeHeartbeat("k", 2)) == 7);
}

} // namespace wigeonlb::core::grants
