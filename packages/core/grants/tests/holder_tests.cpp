#include <catch2/catch.hpp>

#include <set>

#include "core/grants/holder.h"

namespace wigeonlb::core::grants {

using foundation::Duration;
using foundation::Instant;
using std::chrono::milliseconds;

namespace {

constexpr Instant kStart{ std::chrono::seconds(1000) };
constexpr Duration kLeaseMs = milliseconds(1000);

//! A holder, with the actions that its last event produced.
struct Fixture
{
  HolderState state_;
  Instant now_ = kStart;
  std::vector<HolderAction> actions_;
  wire::Heartbeat sent_; //!< in the last NextReply

  explicit Fixture(std::uint64_t aSeed = 1)
  {
    wire::HostInfo self;
    self.set_host("h");
    self.set_boot(7);
    state_ = MakeHolder(self, { "m0", "m1", "m2" }, aSeed);
  }

  void Feed(const HolderEvent& aEvent, Duration aLater = Duration(0))
  {
    now_ += aLater;
    actions_.clear();
    Step(state_, aEvent, now_, actions_);
  }

  template<class Action>
  std::vector<Action> Actions() const
  {
    std::vector<Action> found;
    for (const auto& action : actions_) {
      if (const auto* one = std::get_if<Action>(&action)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  //! Sends the next heartbeat and returns the leader's reply to it.
  wire::HeartbeatReply NextReply(std::uint64_t aTerm, std::uint32_t aShare = 5)
  {
    Feed(Tick{}, kHeartbeatIntervalMs);
    const auto sent = Actions<SendHeartbeat>();
    REQUIRE(sent.size() == 1);
    sent_ = sent[0].heartbeat_;
    wire::HeartbeatReply reply;
    reply.set_from("m1");
    reply.set_leader(true);
    reply.set_sequence(sent[0].heartbeat_.sequence());
    reply.set_sent_at_us(sent[0].heartbeat_.sent_at_us());
    if (aTerm > 0) {
      auto* grant = reply.add_grants();
      grant->set_group("g");
      grant->set_term(aTerm);
      grant->set_connection_share(aShare);
      grant->set_lease_us(static_cast<std::uint64_t>(kLeaseMs.count()));
    }
    return reply;
  }
};

wire::RevokeGrant
MakeRevoke(std::uint64_t aTerm)
{
  wire::RevokeGrant revoke;
  revoke.mutable_key()->set_group("g");
  revoke.mutable_key()->set_term(aTerm);
  return revoke;
}

} // namespace

TEST_CASE("a lease starts when the heartbeat was sent", "[holder]")
{
  Fixture holder;
  const auto reply = holder.NextReply(1);
  const auto sent = holder.now_;
  holder.Feed(ReplyReceived{ reply }, milliseconds(300));
  CHECK(Holds(holder.state_, "g", 1, sent + kLeaseMs - milliseconds(1)));
  CHECK_FALSE(Holds(holder.state_, "g", 1, sent + kLeaseMs));
  CHECK_FALSE(Holds(holder.state_, "g", 2, sent));
  CHECK(holder.state_.members_[holder.state_.followed_] == "m1");
}

TEST_CASE("an older or late reply changes nothing", "[holder]")
{
  Fixture holder;
  const auto older = holder.NextReply(1, 9);
  const auto newer = holder.NextReply(1, 4);
  holder.Feed(ReplyReceived{ newer });
  holder.Feed(ReplyReceived{ older });
  holder.Feed(ReplyReceived{ newer });
  CHECK(holder.actions_.empty());
  CHECK(holder.state_.grants_.at("g").grant_.connection_share() == 4);

  Fixture frozen;
  const auto reply = frozen.NextReply(1);
  frozen.Feed(ReplyReceived{ reply }, kLeaseMs);
  CHECK(frozen.state_.grants_.empty());
}

TEST_CASE("a holder that was frozen notices the end of its lease", "[holder]")
{
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  holder.Feed(Tick{}, milliseconds(60000));
  const auto changes = holder.Actions<GrantChanged>();
  REQUIRE(changes.size() == 1);
  CHECK_FALSE(changes[0].grant_.has_value());
  CHECK_FALSE(MayAcknowledge(holder.state_, "g", 1, holder.now_));
}

TEST_CASE("a revoked term drains, is released, and never returns", "[holder]")
{
  const bool inTime = GENERATE(true, false);
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  const auto late = holder.NextReply(1);
  holder.Feed(RevokeReceived{ MakeRevoke(1) });
  REQUIRE(holder.Actions<StopNewWrites>().size() == 1);
  CHECK_FALSE(Holds(holder.state_, "g", 1, holder.now_));
  CHECK(MayAcknowledge(holder.state_, "g", 1, holder.now_));

  if (inTime) {
    holder.Feed(DrainedForRelease{ "g", 1 });
  } else {
    holder.Feed(Tick{}, kReleaseDrainMs);
  }
  const auto sent = holder.Actions<SendHeartbeat>();
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].heartbeat_.released_size() == 1);
  CHECK(sent[0].heartbeat_.released(0).term() == 1);
  CHECK_FALSE(MayAcknowledge(holder.state_, "g", 1, holder.now_));

  holder.Feed(ReplyReceived{ late });
  CHECK_FALSE(Holds(holder.state_, "g", 1, holder.now_));
  holder.Feed(ReplyReceived{ holder.NextReply(2) });
  CHECK(Holds(holder.state_, "g", 2, holder.now_));
  CHECK(holder.state_.releases_.empty());
}

TEST_CASE("a resumed term is granted anew, and its former release is not its "
          "own",
          "[holder]")
{
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  holder.Feed(RevokeReceived{ MakeRevoke(1) });
  holder.Feed(DrainedForRelease{ "g", 1 });
  auto resumed = holder.NextReply(1);
  resumed.mutable_grants(0)->set_epoch(1);
  holder.Feed(ReplyReceived{ resumed });
  CHECK(Holds(holder.state_, "g", 1, holder.now_));
  // What is left of the former epoch changes nothing.
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  holder.Feed(DrainedForRelease{ "g", 1 });
  holder.Feed(RevokeReceived{ MakeRevoke(1) });
  CHECK(Holds(holder.state_, "g", 1, holder.now_));
  auto revoke = MakeRevoke(1);
  revoke.mutable_key()->set_epoch(1);
  holder.Feed(RevokeReceived{ revoke });
  holder.Feed(DrainedForRelease{ "g", 1 });
  CHECK(MayAcknowledge(holder.state_, "g", 1, holder.now_));
  holder.Feed(DrainedForRelease{ "g", { 1, 1 } });
  CHECK_FALSE(MayAcknowledge(holder.state_, "g", 1, holder.now_));
}

TEST_CASE("the next term's grant isn't revoked with the last one", "[holder]")
{
  Fixture draining;
  draining.Feed(ReplyReceived{ draining.NextReply(1) });
  const auto next = draining.NextReply(2);
  draining.Feed(RevokeReceived{ MakeRevoke(1) });
  draining.Feed(ReplyReceived{ next });
  CHECK(Holds(draining.state_, "g", 2, draining.now_));
  draining.Feed(Tick{}, kLeaseMs);
  CHECK_FALSE(Holds(draining.state_, "g", 2, draining.now_));
  draining.Feed(ReplyReceived{ draining.NextReply(2) });
  CHECK(Holds(draining.state_, "g", 2, draining.now_));
}

TEST_CASE("a revocation of an unknown grant is acknowledged", "[holder]")
{
  Fixture holder;
  holder.Feed(RevokeReceived{ MakeRevoke(1) });
  const auto sent = holder.Actions<SendHeartbeat>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].heartbeat_.released_size() == 1);
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  CHECK(holder.state_.grants_.empty());
}

TEST_CASE("a grant that a reply omits may be issued again", "[holder]")
{
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  holder.Feed(ReplyReceived{ holder.NextReply(0) });
  CHECK(holder.Actions<StopNewWrites>().size() == 1);
  CHECK_FALSE(Holds(holder.state_, "g", 1, holder.now_));
  holder.Feed(Tick{}, kReleaseDrainMs);
  CHECK(holder.state_.releases_.empty());
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  CHECK(Holds(holder.state_, "g", 1, holder.now_));
}

TEST_CASE("work under a grant that is only not renewed may last as long as the "
          "lease",
          "[holder]")
{
  struct Row
  {
    bool omitted_;
    bool revoked_;
    std::size_t stops_;
    Duration drain_;
  };
  const auto row = GENERATE(values<Row>({
    { true, false, 1, kLeaseMs },
    { false, true, 1, kReleaseDrainMs },
    { true, true, 2, kReleaseDrainMs },
  }));
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  const Instant expires = holder.state_.grants_.at("g").expires_;
  std::vector<StopNewWrites> stops;
  const auto collect = [&] {
    for (const auto& stop : holder.Actions<StopNewWrites>()) {
      stops.push_back(stop);
    }
  };
  if (row.omitted_) {
    holder.Feed(ReplyReceived{ holder.NextReply(0) });
    collect();
  }
  if (row.revoked_) {
    holder.Feed(RevokeReceived{ MakeRevoke(1) });
    collect();
  }
  REQUIRE(stops.size() == row.stops_);
  CHECK(stops.back().revoked_ == row.revoked_);
  CHECK(stops.back().releaseBy_ == std::min(expires, holder.now_ + row.drain_));
  CHECK_FALSE(Holds(holder.state_, "g", 1, holder.now_));
  holder.now_ = stops.back().releaseBy_;
  holder.Feed(Tick{});
  CHECK(holder.state_.grants_.empty());
  CHECK(holder.Actions<GrantChanged>().size() == 1);
}

TEST_CASE("a smaller share is reported once connections are closed", "[holder]")
{
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1, 9) });
  holder.Feed(ReplyReceived{ holder.NextReply(1, 4) });
  const auto heldShare = [&] {
    holder.Feed(ReplyReceived{ holder.NextReply(1, 4) });
    return holder.sent_.held(0).connection_share();
  };
  CHECK(heldShare() == 9);
  holder.Feed(ShareInUse{ "g", 4 });
  CHECK(heldShare() == 4);
}

TEST_CASE("a holder tries other members after a random delay", "[holder]")
{
  std::set<Instant> sentAt;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fixture holder(seed);
    std::set<std::string> contacted;
    for (int i = 0; i < 1000; ++i) {
      holder.Feed(Tick{}, milliseconds(10));
      for (const auto& sent : holder.Actions<SendHeartbeat>()) {
        contacted.insert(sent.member_);
        sentAt.insert(holder.now_);
      }
    }
    CHECK(contacted.size() == 3);
    CHECK(holder.state_.backOff_ <= kMaxBackOffMs);
  }
  CHECK(sentAt.size() > 100);
}

TEST_CASE("a hint to the leader that timed out is ignored", "[holder]")
{
  struct Row
  {
    std::string hint_;
    std::string nextMember_;
  };
  // The leader m1 stops responding. The next member, m2, replies with a hint.
  const auto row = GENERATE(values<Row>({
    { "m1", "m2" },
    { "m0", "m0" },
    { "", "m2" },
  }));
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  std::vector<SendHeartbeat> sent;
  while (sent.empty() || sent[0].member_ == "m1") {
    holder.Feed(Tick{}, milliseconds(10));
    sent = holder.Actions<SendHeartbeat>();
    REQUIRE(holder.now_ < kStart + std::chrono::seconds(3));
  }
  CHECK(sent[0].member_ == "m2");
  wire::HeartbeatReply reply;
  reply.set_from("m2");
  reply.set_leader_hint(row.hint_);
  reply.set_sequence(sent[0].heartbeat_.sequence());
  holder.Feed(ReplyReceived{ reply });
  sent = holder.Actions<SendHeartbeat>();
  while (sent.empty()) {
    holder.Feed(Tick{}, milliseconds(10));
    sent = holder.Actions<SendHeartbeat>();
  }
  CHECK(sent[0].member_ == row.nextMember_);
}

TEST_CASE("a holder leaves a member that knows no leader", "[holder]")
{
  Fixture holder;
  std::set<std::string> contacted;
  for (int i = 0; i < 300; ++i) {
    holder.Feed(Tick{}, milliseconds(10));
    for (const auto& sent : holder.Actions<SendHeartbeat>()) {
      contacted.insert(sent.member_);
      wire::HeartbeatReply reply;
      reply.set_from(sent.member_);
      reply.set_sequence(sent.heartbeat_.sequence());
      holder.Feed(ReplyReceived{ reply });
    }
  }
  CHECK(contacted.size() == 3);
}

TEST_CASE("a newly elected leader receives a heartbeat at once", "[holder]")
{
  struct Row
  {
    std::string hint_;
    std::string nextMember_;
  };
  // The followed member first knows no leader and later names one.
  const auto row = GENERATE(values<Row>({ { "m0", "m0" }, { "m1", "m1" } }));
  Fixture holder;
  holder.Feed(Tick{}, kHeartbeatIntervalMs);
  const auto sent = holder.Actions<SendHeartbeat>();
  REQUIRE(sent.size() == 1);
  wire::HeartbeatReply reply;
  reply.set_from(sent[0].member_);
  reply.set_sequence(sent[0].heartbeat_.sequence());
  holder.Feed(ReplyReceived{ reply });
  CHECK(holder.Actions<SendHeartbeat>().empty());
  reply.set_leader_hint(row.hint_);
  holder.Feed(ReplyReceived{ reply }, kUrgentIntervalMs);
  const auto next = holder.Actions<SendHeartbeat>();
  REQUIRE(next.size() == 1);
  CHECK(next[0].member_ == row.nextMember_);
}

TEST_CASE("a delta of the host list applies only to its base", "[holder]")
{
  struct Row
  {
    std::uint64_t base_;
    std::uint64_t version_;
    std::vector<std::string> hosts_;
    std::vector<std::string> removed_;
    std::string known_; //!< afterwards
  };
  // The holder has the list of a and b, version 5.
  const auto row = GENERATE(values<Row>({
    { 5, 6, { "c" }, { "a" }, "bc" },
    { 5, 6, {}, { "a" }, "b" },
    { 4, 6, { "c" }, {}, "ab" }, // the holder doesn't have this base
    { 0, 6, { "c" }, {}, "c" },
    { 0, 5, {}, {}, "ab" },
  }));
  Fixture holder;
  wire::HeartbeatReply reply = holder.NextReply(0);
  reply.set_hosts_version(5);
  reply.add_hosts()->set_host("a");
  reply.add_hosts()->set_host("b");
  holder.Feed(ReplyReceived{ reply });
  REQUIRE(holder.Actions<HostsChanged>().size() == 1);
  reply = holder.NextReply(0);
  reply.set_hosts_base(row.base_);
  reply.set_hosts_version(row.version_);
  for (const auto& host : row.hosts_) {
    reply.add_hosts()->set_host(host);
  }
  for (const auto& host : row.removed_) {
    reply.add_hosts_gone(host);
  }
  holder.Feed(ReplyReceived{ reply });
  std::string known;
  for (const auto& [name, host] : holder.state_.hosts_) {
    known += name;
  }
  CHECK(known == row.known_);
  const bool changed = row.known_ != "ab";
  CHECK(holder.Actions<HostsChanged>().size() == (changed ? 1 : 0));
  CHECK(holder.state_.hostsVersion_ == (changed ? 6 : 5));
}

TEST_CASE("a holder with a pending grant soon sends a heartbeat", "[holder]")
{
  struct Row
  {
    bool pending_;
    Duration nextHeartbeatAfter_;
  };
  const auto row = GENERATE(values<Row>({
    { false, kHeartbeatIntervalMs },
    { true, kPendingIntervalMs },
  }));
  Fixture holder;
  wire::HeartbeatReply reply = holder.NextReply(0);
  reply.set_grants_pending(row.pending_);
  holder.Feed(ReplyReceived{ reply });
  CHECK(NextDue(holder.state_) == holder.now_ + row.nextHeartbeatAfter_);
}

TEST_CASE("heartbeats are relayed to an unreachable leader", "[holder]")
{
  // m1 leads, but only m0 and m2 can be reached. Their hints name m1.
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  bool granted = false;
  for (int i = 0; i < 300 && !granted; ++i) {
    holder.Feed(Tick{}, milliseconds(10));
    for (const auto& sent : holder.Actions<SendHeartbeat>()) {
      wire::HeartbeatReply reply;
      reply.set_sequence(sent.heartbeat_.sequence());
      reply.set_sent_at_us(sent.heartbeat_.sent_at_us());
      if (sent.member_ == "m1") {
        continue;
      }
      if (!sent.heartbeat_.relay()) {
        reply.set_from(sent.member_);
        reply.set_leader_hint("m1");
      } else {
        reply.set_from("m1");
        reply.set_leader(true);
        reply.set_relayed_to("h");
        granted = true;
      }
      holder.Feed(ReplyReceived{ reply });
    }
  }
  CHECK(granted);
  CHECK(holder.state_.members_[holder.state_.followed_] != "m1");
}

TEST_CASE("a new list of members replaces the old one", "[holder]")
{
  struct Row
  {
    std::vector<std::string> members_;
    std::string followed_; //!< empty: any of them
  };
  const auto row = GENERATE(values<Row>({
    { { "m1", "m7", "m8" }, "m1" },
    { { "m7", "m8", "m9" }, "" },
    { {}, "m1" },
  }));
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  holder.Feed(MembersChanged{ row.members_, 9 });
  const auto& state = holder.state_;
  const auto& followed = state.members_[state.followed_];
  CHECK(state.membersIndex_ == 9);
  CHECK((row.followed_.empty() || followed == row.followed_));
  CHECK(holder.NextReply(1).sequence() > 0);
  CHECK(holder.sent_.members_index() == 9);
}

TEST_CASE("an outage of the primary is reported at once", "[holder]")
{
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  wire::TargetReport report;
  report.set_group("g");
  report.set_target("a");
  report.set_reachable(true);
  holder.Feed(ReportsChanged{ { report } }, kUrgentIntervalMs);
  REQUIRE(holder.Actions<SendHeartbeat>().size() == 1);
  holder.Feed(ReportsChanged{ { report } }, kUrgentIntervalMs);
  CHECK(holder.Actions<SendHeartbeat>().empty());
  report.set_reachable(false);
  holder.Feed(ReportsChanged{ { report } });
  CHECK(holder.Actions<SendHeartbeat>().size() == 1);
}

TEST_CASE("a host that shuts down releases a grant once drained", "[holder]")
{
  Fixture holder;
  holder.Feed(ReplyReceived{ holder.NextReply(1) });
  holder.Feed(DrainingStarted{});
  const auto announced = holder.Actions<SendHeartbeat>();
  REQUIRE(announced.size() == 1);
  CHECK(announced[0].heartbeat_.sender().draining());
  CHECK(holder.Actions<StopNewWrites>().empty());
  CHECK(Holds(holder.state_, "g", 1, holder.now_));
  holder.Feed(DrainedForRelease{ "g", 1 });
  const auto released = holder.Actions<SendHeartbeat>();
  REQUIRE(released.size() == 1);
  CHECK(released[0].heartbeat_.released_size() == 1);
  CHECK_FALSE(Holds(holder.state_, "g", 1, holder.now_));
}

} // namespace wigeonlb::core::grants
