#include <catch2/catch.hpp>

#include "core/consensus/tests/simulatednetwork.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;
using namespace std::chrono_literals;

constexpr std::uint64_t kToken = 7;

SimulatedNetwork
MakeReliableNetwork(int aMembers, const Guards& aGuards = {})
{
  NetworkSettings settings;
  settings.members_ = aMembers;
  settings.lossPercent_ = 0;
  settings.duplicatePercent_ = 0;
  settings.guards_ = aGuards;
  return MakeNetwork(settings);
}

// Sends a change of the system option tenant_share to a member.
void
ProposeTenantShare(SimulatedNetwork& aNetwork, const HostId& aTo, int aPercent)
{
  static int number = 0;
  Operator& sender = aNetwork.operators_[kToken];
  sender = Operator();
  sender.answered_ = false;
  sender.change_.set_change_id("change " + std::to_string(++number));
  auto& set = *sender.change_.add_operations()->mutable_set_system_option();
  set.set_key("tenant_share");
  set.set_value(std::to_string(aPercent));
  SendChange(aNetwork, kToken, aTo);
}

// The leader of three members and the roles of the others in a test.
struct ElectedCluster
{
  HostId leader_;
  HostId follower_;
  HostId cutOff_;
};

ElectedCluster
Elect(SimulatedNetwork& aNetwork)
{
  Run(aNetwork, 3s);
  ElectedCluster elected;
  elected.leader_ = Leader(aNetwork);
  REQUIRE_FALSE(elected.leader_.empty());
  for (const auto& [host, member] : aNetwork.members_) {
    if (host != elected.leader_) {
      (elected.follower_.empty() ? elected.follower_ : elected.cutOff_) = host;
    }
  }
  return elected;
}

// Isolates the leader and lets the two others continue without it. They must
// still have all entries that the leader has committed.
void
ContinueWithoutLeader(SimulatedNetwork& aNetwork,
                      const ElectedCluster& aElected)
{
  Heal(aNetwork);
  Isolate(aNetwork, aElected.leader_);
  Start(aNetwork, aElected.follower_);
  Run(aNetwork, 5s);
  const HostId next = Leader(aNetwork);
  if (!next.empty()) {
    ProposeTenantShare(aNetwork, next, 66);
  }
  Run(aNetwork, 1s);
  Heal(aNetwork);
  Run(aNetwork, 10s);
  CheckAllLogs(aNetwork);
}

const std::string&
GetTenantShare(SimulatedNetwork& aNetwork, const HostId& aHost)
{
  return (
    *aNetwork.members_[aHost].control_.mutable_settings())["tenant_share"];
}

} // namespace

TEST_CASE("answering before the state is persisted loses committed entries",
          "[consensus][guard]")
{
  const bool guarded = GENERATE(true, false);
  SimulatedNetwork network =
    MakeReliableNetwork(3, { .persistBeforeAnswer_ = guarded });
  const ElectedCluster elected = Elect(network);
  Isolate(network, elected.cutOff_);
  network.crashesAtPersist_ = elected.follower_;
  ProposeTenantShare(network, elected.leader_, 33);
  Run(network, 200ms);
  REQUIRE_FALSE(network.members_[elected.follower_].up_);
  ContinueWithoutLeader(network, elected);
  CHECK(network.violations_.empty() == guarded);
  CHECK(network.violations_.contains("a committed entry was replaced") !=
        guarded);
}

TEST_CASE("a vote of a member that lost its disk loses committed entries",
          "[consensus][guard]")
{
  const bool guarded = GENERATE(true, false);
  SimulatedNetwork network =
    MakeReliableNetwork(3, { .recoveringAbstains_ = guarded });
  const ElectedCluster elected = Elect(network);
  Isolate(network, elected.cutOff_);
  ProposeTenantShare(network, elected.leader_, 33);
  Run(network, 200ms);
  REQUIRE(GetTenantShare(network, elected.leader_) == "33");
  LoseDisk(network, elected.follower_);
  ContinueWithoutLeader(network, elected);
  CHECK(network.violations_.empty() == guarded);
  CHECK(network.violations_.contains("a committed entry was replaced") !=
        guarded);
  if (guarded) {
    for (const auto& [host, member] : network.members_) {
      CHECK(GetTenantShare(network, host) == "33");
      CHECK_FALSE(IsRecovering(member.consensus_));
    }
  }
}

TEST_CASE("a member that lost its disk recovers until it is readmitted",
          "[consensus]")
{
  SimulatedNetwork network = MakeReliableNetwork(3);
  const ElectedCluster elected = Elect(network);
  LoseDisk(network, elected.follower_);
  Isolate(network, elected.follower_);
  Start(network, elected.follower_);
  Run(network, 2s);
  const ConsensusState& lost = network.members_[elected.follower_].consensus_;
  CHECK(IsRecovering(lost));
  Heal(network);
  Run(network, 2s);
  CHECK_FALSE(IsRecovering(lost));
  const auto& incarnations = Members(lost).incarnations();
  REQUIRE(incarnations.contains(elected.follower_));
  CHECK(incarnations.at(elected.follower_) == lost.hardState_.incarnation());
  // It counts for quorums again: the leader can commit with this member only.
  Isolate(network, elected.cutOff_);
  ProposeTenantShare(network, Leader(network), 44);
  Run(network, 500ms);
  CHECK(GetTenantShare(network, elected.follower_) == "44");
  CHECK(network.violations_.empty());
}

TEST_CASE("an isolated leader steps down and its change is not applied",
          "[consensus]")
{
  SimulatedNetwork network = MakeReliableNetwork(3);
  const ElectedCluster elected = Elect(network);
  Isolate(network, elected.leader_);
  ProposeTenantShare(network, elected.leader_, 33);
  const ConsensusState& old = network.members_[elected.leader_].consensus_;
  CHECK(HoldsLease(old, network.now_));
  Run(network, 2s);
  CHECK_FALSE(HoldsLease(old, network.now_));
  CHECK_FALSE(IsLeader(old));
  CHECK(old.leader_.empty());
  const HostId next = Leader(network);
  REQUIRE_FALSE(next.empty());
  ProposeTenantShare(network, next, 44);
  Run(network, 500ms);
  Heal(network);
  Run(network, 2s);
  for (const auto& [host, member] : network.members_) {
    CHECK(GetTenantShare(network, host) == "44");
  }
  CHECK(network.violations_.empty());
}

TEST_CASE("an isolated follower returns without a new election", "[consensus]")
{
  SimulatedNetwork network = MakeReliableNetwork(3);
  const ElectedCluster elected = Elect(network);
  const ConsensusState& follower =
    network.members_[elected.follower_].consensus_;
  const std::uint64_t term = follower.hardState_.term();
  Isolate(network, elected.follower_);
  Run(network, 30s);
  Heal(network);
  Run(network, 2s);
  CHECK(follower.hardState_.term() == term);
  CHECK(Leader(network) == elected.leader_);
}

TEST_CASE("a member with a high term and an old log does not lead",
          "[consensus]")
{
  SimulatedNetwork network = MakeReliableNetwork(3);
  const ElectedCluster elected = Elect(network);
  Isolate(network, elected.cutOff_);
  ProposeTenantShare(network, elected.leader_, 33);
  Run(network, 500ms);
  ConsensusState& isolated = network.members_[elected.cutOff_].consensus_;
  isolated.hardState_.set_term(isolated.hardState_.term() + 90);
  Heal(network);
  Run(network, 5s);
  CHECK(Leader(network) != elected.cutOff_);
  CHECK(GetTenantShare(network, elected.cutOff_) == "33");
  CHECK(network.violations_.empty());
}

TEST_CASE("a member whose storage failed ignores all events", "[consensus]")
{
  SimulatedNetwork network = MakeReliableNetwork(3);
  const ElectedCluster elected = Elect(network);
  Member& leader = network.members_[elected.leader_];
  std::vector<Action> actions;
  Step(leader.consensus_, Propose{ {}, 9 }, network.now_, actions);
  actions.clear();
  Step(leader.consensus_, StorageFailed{}, network.now_, actions);
  REQUIRE(actions.size() == 2);
  CHECK(std::get<LeadershipChanged>(actions[0]).role_ == Role::Failed);
  CHECK(std::get<ProposalDecided>(actions[1]).outcome_ ==
        ProposalOutcome::Unknown);
  actions.clear();
  wire::ConsensusMessage vote;
  vote.set_from(elected.follower_);
  vote.set_to(elected.leader_);
  vote.set_term(1000);
  vote.mutable_vote_request();
  Step(leader.consensus_, MessageReceived{ vote }, network.now_, actions);
  Step(leader.consensus_, Tick{}, network.now_ + 10s, actions);
  CHECK(actions.empty());
  Run(network, 3s);
  CHECK(Leader(network) != elected.leader_);
  CHECK_FALSE(Leader(network).empty());
}

TEST_CASE("a single member commits at once", "[consensus]")
{
  SimulatedNetwork network = MakeReliableNetwork(1);
  Run(network, 2s);
  ProposeTenantShare(network, "a", 33);
  CHECK(GetTenantShare(network, "a") == "33");
  Crash(network, "a");
  Start(network, "a");
  Run(network, 2s);
  CHECK(GetTenantShare(network, "a") == "33");
}

TEST_CASE("members change one at a time", "[consensus]")
{
  struct Row
  {
    std::vector<std::string> voters_;
    bool wasLearner_; //!< host d is a learner before the change
    bool valid_;
  };
  const auto row = GENERATE(values<Row>({
    { { "a", "b", "c", "d" }, true, true },
    { { "a", "b", "c", "d" }, false, false },
    { { "a", "b" }, false, true },
    { { "a", "b", "c" }, false, true },
    { { "a", "b", "c", "d", "e" }, true, false },
    { { "a", "b", "d" }, true, false },
    { { "a", "b", "c", "c" }, false, false },
    { {}, false, false },
  }));
  SimulatedNetwork network = MakeReliableNetwork(3);
  const ElectedCluster elected = Elect(network);
  Start(network, "d");
  Run(network, 1s);
  CHECK(IsRecovering(network.members_["d"].consensus_));
  wire::ControlRecord record;
  *record.mutable_members() =
    Members(network.members_[elected.leader_].consensus_);
  if (row.wasLearner_) {
    record.mutable_members()->add_learners("d");
  }
  Feed(network, elected.leader_, Propose{ record, kToken });
  Run(network, 1s);
  record.mutable_members()->clear_learners();
  record.mutable_members()->mutable_voters()->Assign(row.voters_.begin(),
                                                     row.voters_.end());
  Feed(network, elected.leader_, Propose{ record, kToken });
  Run(network, 3s);
  const HostId leader = Leader(network);
  REQUIRE_FALSE(leader.empty());
  const auto& voters = Members(network.members_[leader].consensus_).voters();
  const auto expected =
    row.valid_ ? row.voters_ : std::vector<std::string>{ "a", "b", "c" };
  CHECK(std::vector<std::string>(voters.begin(), voters.end()) == expected);
  const bool joined = row.valid_ && row.voters_.size() == 4;
  CHECK(IsRecovering(network.members_["d"].consensus_) != joined);
  ProposeTenantShare(network, leader, 33);
  Run(network, 1s);
  CHECK(GetTenantShare(network, leader) == "33");
  const bool learnsOnly = !row.valid_ && row.wasLearner_;
  CHECK((GetTenantShare(network, "d") == "33") == (joined || learnsOnly));
  CHECK(network.violations_.empty());
}

TEST_CASE("a change that its new voters cannot commit is refused",
          "[consensus]")
{
  SimulatedNetwork network = MakeReliableNetwork(3);
  const ElectedCluster elected = Elect(network);
  LoseDisk(network, elected.cutOff_);
  Isolate(network, elected.cutOff_);
  Start(network, elected.cutOff_);
  Run(network, 2s);
  // The leader and a member that does not count for quorums would be the only
  // voters left.
  wire::ControlRecord record;
  record.mutable_members()->add_voters(elected.leader_);
  record.mutable_members()->add_voters(elected.cutOff_);
  Feed(network, elected.leader_, Propose{ record, kToken });
  Heal(network);
  Run(network, 3s);
  CHECK(Members(network.members_[elected.leader_].consensus_).voters_size() ==
        3);
  CHECK_FALSE(IsRecovering(network.members_[elected.cutOff_].consensus_));
  CHECK(network.violations_.empty());
}

TEST_CASE("a member that lags far behind gets a snapshot in bounded parts",
          "[consensus]")
{
  SimulatedNetwork network = MakeReliableNetwork(3);
  const ElectedCluster elected = Elect(network);
  Isolate(network, elected.cutOff_);
  for (int i = 1; i <= 60; ++i) {
    ProposeTenantShare(network, elected.leader_, i);
    Run(network, 50ms);
  }
  const ReplicatedLog& log = network.members_[elected.leader_].consensus_.log_;
  CHECK(log.entries_.size() <= 8 + 2 + 1);
  CHECK(log.snapshot_->bytes_.size() > 5 * kSnapshotPartBytes);
  Heal(network);
  Run(network, 2s);
  CHECK(GetTenantShare(network, elected.cutOff_) == "60");
  CHECK(network.largestPartBytes_ == kSnapshotPartBytes);
  CHECK(network.violations_.empty());
}

} // namespace wigeonlb::core::consensus
