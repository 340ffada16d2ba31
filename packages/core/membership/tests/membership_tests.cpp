#include <catch2/catch.hpp>

#include "core/membership/membership.h"

namespace wigeonlb::core::membership {

using foundation::Instant;
using std::chrono::milliseconds;

namespace {

constexpr Instant kStart{ std::chrono::seconds(1000) };

wire::HostInfo
MakeHost(const std::string& aName, std::uint64_t aBoot)
{
  wire::HostInfo host;
  host.set_host(aName);
  host.set_boot(aBoot);
  return host;
}

wire::TargetReport
MakeReport(bool aReachable, std::uint64_t aSynced, std::uint64_t aIncarnation)
{
  wire::TargetReport report;
  report.set_group("g");
  report.set_target("a");
  report.set_reachable(aReachable);
  report.set_synced_offset(aSynced);
  report.set_incarnation(aIncarnation);
  return report;
}

} // namespace

TEST_CASE("late heartbeats of an incarnation are rejected", "[membership]")
{
  MembershipState state;
  CHECK(NoteHost(state, MakeHost("h", 1), 5, kStart));
  CHECK_FALSE(NoteHost(state, MakeHost("h", 1), 5, kStart));
  CHECK_FALSE(NoteHost(state, MakeHost("h", 1), 4, kStart));
  const auto version = state.hostsVersion_;
  CHECK(NoteHost(state, MakeHost("h", 1), 6, kStart));
  CHECK(state.hostsVersion_ == version);
  CHECK(NoteHost(state, MakeHost("h", 2), 1, kStart));
  CHECK(state.hostsVersion_ != version);
}

TEST_CASE("hosts and targets expire without messages", "[membership]")
{
  MembershipState state;
  NoteHost(state, MakeHost("h", 1), 1, kStart);
  wire::Announcement announcement;
  announcement.set_group("g");
  announcement.set_target("a");
  NoteAnnouncement(state, announcement, kStart);
  const auto version = state.hostsVersion_;

  RemoveExpired(state, kStart + kHostTimeoutMs);
  CHECK(ListLiveHosts(state).size() == 1);
  RemoveExpired(state, kStart + kHostTimeoutMs + milliseconds(1));
  CHECK(ListLiveHosts(state).empty());
  CHECK(state.hostsVersion_ != version);

  CHECK(AcceptsNewWork(state, "g", "a", kStart + kTargetTimeoutMs));
  CHECK_FALSE(AcceptsNewWork(
    state, "g", "a", kStart + kTargetTimeoutMs + milliseconds(1)));
  announcement.set_leaving(true);
  NoteAnnouncement(state, announcement, kStart);
  CHECK_FALSE(AcceptsNewWork(state, "g", "a", kStart));
}

TEST_CASE("a host list is sent as a delta where possible", "[membership]")
{
  constexpr std::uint64_t kFirst = std::uint64_t{ 7 } << 32U;
  struct Row
  {
    std::string_view what_;
    std::uint64_t known_;
    std::uint64_t base_;
    std::vector<std::string> hosts_;
    std::vector<std::string> removed_;
  };
  const auto row = GENERATE(values<Row>({
    { "no list", 0, 0, { "a", "c", "d" }, {} },
    { "of an earlier leader", kFirst - 5, 0, { "a", "c", "d" }, {} },
    { "before all hosts", kFirst, kFirst, { "a", "c", "d" }, { "b" } },
    { "with a, b", kFirst + 2, kFirst + 2, { "c", "d" }, { "b" } },
    { "with a, b, c", kFirst + 3, kFirst + 3, { "c", "d" }, { "b" } },
    { "c restarted", kFirst + 4, kFirst + 4, { "d" }, { "b" } },
    { "without b", kFirst + 5, kFirst + 5, { "d" }, {} },
    { "newest", kFirst + 6, 0, {}, {} },
  }));
  INFO(row.what_);
  MembershipState state;
  StartHostVersions(state, kFirst);
  NoteHost(state, MakeHost("a", 1), 1, kStart);
  NoteHost(state, MakeHost("b", 1), 1, kStart);
  const auto later = kStart + kHostTimeoutMs;
  NoteHost(state, MakeHost("c", 1), 1, later);
  NoteHost(state, MakeHost("a", 1), 2, later);
  NoteHost(state, MakeHost("c", 2), 1, later);
  RemoveExpired(state, later + milliseconds(1));
  NoteHost(state, MakeHost("d", 1), 1, later);

  wire::HeartbeatReply reply;
  AddHostChanges(state, row.known_, reply);
  CHECK(reply.hosts_version() == kFirst + 6);
  CHECK(reply.hosts_base() == row.base_);
  std::vector<std::string> hosts;
  for (const auto& host : reply.hosts()) {
    hosts.push_back(host.host());
  }
  CHECK(hosts == row.hosts_);
  CHECK(std::vector<std::string>(reply.hosts_gone().begin(),
                                 reply.hosts_gone().end()) == row.removed_);
}

TEST_CASE("after too many removed hosts a whole list is sent", "[membership]")
{
  MembershipState state;
  StartHostVersions(state, 100);
  for (std::size_t i = 0; i <= kMaxRemovedHosts; ++i) {
    NoteHost(state, MakeHost("h" + std::to_string(i), 1), 1, kStart);
  }
  const auto known = state.hostsVersion_;
  const auto later = kStart + kHostTimeoutMs + milliseconds(1);
  NoteHost(state, MakeHost("stays", 1), 1, later);
  RemoveExpired(state, later);
  wire::HeartbeatReply reply;
  AddHostChanges(state, known, reply);
  CHECK(reply.hosts_base() == 0);
  CHECK(reply.hosts_size() == 1);
}

TEST_CASE("a rebuild is detected from each observer's reports", "[membership]")
{
  struct Row
  {
    std::string_view what_;
    std::string_view firstObserver_;
    wire::TargetReport first_;
    std::string_view secondObserver_;
    wire::TargetReport second_;
    bool rebuilt_;
  };
  const auto row = GENERATE(values<Row>({
    { "position grows",
      "h",
      MakeReport(true, 5, 1),
      "h",
      MakeReport(true, 6, 1),
      false },
    { "position falls",
      "h",
      MakeReport(true, 5, 1),
      "h",
      MakeReport(true, 4, 1),
      true },
    { "new incarnation",
      "h",
      MakeReport(true, 5, 1),
      "h",
      MakeReport(true, 9, 2),
      true },
    { "other observer",
      "h",
      MakeReport(true, 5, 1),
      "k",
      MakeReport(true, 4, 1),
      false },
    { "unreachable",
      "h",
      MakeReport(true, 5, 1),
      "h",
      MakeReport(false, 0, 0),
      false },
  }));
  INFO(row.what_);
  MembershipState state;
  NoteReport(state, std::string(row.firstObserver_), row.first_, kStart);
  NoteReport(state, std::string(row.secondObserver_), row.second_, kStart);
  CHECK(WasRebuildObserved(state, "g", "a") == row.rebuilt_);
  ClearRebuildObservation(state, "g", "a");
  CHECK_FALSE(WasRebuildObserved(state, "g", "a"));
}

TEST_CASE("the newest report is the one with the latest probe", "[membership]")
{
  MembershipState state;
  auto old = MakeReport(true, 5, 1);
  old.set_age_us(900000);
  NoteReport(state, "h", MakeReport(true, 7, 1), kStart);
  NoteReport(state, "k", old, kStart + milliseconds(100));
  REQUIRE(FindNewestReport(state, "g", "a") != nullptr);
  CHECK(FindNewestReport(state, "g", "a")->report_.synced_offset() == 7);
}

TEST_CASE("late announcements change nothing", "[membership]")
{
  struct Row
  {
    std::uint64_t incarnation_, sequence_;
    bool leaving_, isAccepted_, acceptsWork_;
  };
  // The first announcement has sequence 5 of incarnation 100 and leaves.
  const auto row = GENERATE(values<Row>({
    { 100, 4, false, false, false },
    { 100, 6, false, true, false }, // still leaving
    { 90, 99, false, false, false },
    { 110, 1, false, true, true },
    { 110, 1, true, true, false },
  }));
  const Instant now{ std::chrono::seconds(100) };
  MembershipState state;
  wire::Announcement first;
  first.set_group("g");
  first.set_target("t");
  first.set_incarnation(100);
  first.set_sequence(5);
  first.set_leaving(true);
  CHECK(NoteAnnouncement(state, first, now));
  wire::Announcement second = first;
  second.set_incarnation(row.incarnation_);
  second.set_sequence(row.sequence_);
  second.set_leaving(row.leaving_);
  CHECK(NoteAnnouncement(state, second, now) == row.isAccepted_);
  CHECK(AcceptsNewWork(state, "g", "t", now) == row.acceptsWork_);
}

TEST_CASE("a target that observers reach needs no announcement", "[membership]")
{
  const bool reached = GENERATE(true, false);
  const Instant start{ std::chrono::seconds(100) };
  const Instant now = start + 2 * kTargetTimeoutMs;
  MembershipState state;
  wire::Announcement announcement;
  announcement.set_group("g");
  announcement.set_target("t");
  announcement.set_incarnation(1);
  NoteAnnouncement(state, announcement, start);
  wire::TargetReport report;
  report.set_group("g");
  report.set_target("t");
  report.set_reachable(reached);
  NoteReport(state, "h", report, now);
  CHECK(AcceptsNewWork(state, "g", "t", now) == reached);
}

} // namespace wigeonlb::core::membership
