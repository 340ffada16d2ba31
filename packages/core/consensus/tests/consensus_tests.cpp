#include <catch2/catch.hpp>

#include "core/consensus/tests/simulatednetwork.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;
using namespace std::chrono_literals;

constexpr std::uint64_t kToken = 7;

SimulatedNetwork
Quiet(int aMembers, const Guards& aGuards = {})
{
  NetworkSettings settings;
  settings.members_ = aMembers;
  settings.lossPercent_ = 0;
  settings.duplicatePercent_ = 0;
  settings.guards_ = aGuards;
  return MakeNetwork(settings);
}

// Hands the leader a change of one option of the system.
void
ProposeShare(SimulatedNetwork& aNetwork, const HostId& aTo, int aPercent)
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

// The leader and the two others of three members.
struct Three
{
  HostId leader_;
  HostId follower_;
  HostId cutOff_;
};

Three
Elect(SimulatedNetwork& aNetwork)
{
  Run(aNetwork, 3s);
  Three three;
  three.leader_ = Leader(aNetwork);
  REQUIRE_FALSE(three.leader_.empty());
  for (const auto& [host, member] : aNetwork.members_) {
    if (host != three.leader_) {
      (three.follower_.empty() ? three.follower_ : three.cutOff_) = host;
    }
  }
  return three;
}

// The leader is cut off; the two others go on alone and must not have lost
// what the leader has committed.
void
GoOnWithoutLeader(SimulatedNetwork& aNetwork, const Three& aThree)
{
  Heal(aNetwork);
  Isolate(aNetwork, aThree.leader_);
  Start(aNetwork, aThree.follower_);
  Run(aNetwork, 5s);
  const HostId next = Leader(aNetwork);
  if (!next.empty()) {
    ProposeShare(aNetwork, next, 66);
  }
  Run(aNetwork, 1s);
  Heal(aNetwork);
  Run(aNetwork, 10s);
  CheckAllLogs(aNetwork);
}

const std::string&
Share(SimulatedNetwork& aNetwork, const HostId& aHost)
{
  return (
    *aNetwork.members_[aHost].control_.mutable_settings())["tenant_share"];
}

} // namespace

TEST_CASE("an answer before its state is persisted loses what is committed",
          "[consensus][guard]")
{
  const bool guarded = GENERATE(true, false);
  SimulatedNetwork network = Quiet(3, { .persistBeforeAnswer_ = guarded });
  const Three three = Elect(network);
  Isolate(network, three.cutOff_);
  network.crashesAtPersist_ = three.follower_;
  ProposeShare(network, three.leader_, 33);
  Run(network, 200ms);
  REQUIRE_FALSE(network.members_[three.follower_].up_);
  GoOnWithoutLeader(network, three);
  CHECK(network.violations_.empty() == guarded);
  CHECK(network.violations_.contains("a committed entry was replaced") !=
        guarded);
}

TEST_CASE("a member that lost its disk and votes loses what is committed",
          "[consensus][guard]")
{
  const bool guarded = GENERATE(true, false);
  SimulatedNetwork network = Quiet(3, { .recoveringAbstains_ = guarded });
  const Three three = Elect(network);
  Isolate(network, three.cutOff_);
  ProposeShare(network, three.leader_, 33);
  Run(network, 200ms);
  REQUIRE(Share(network, three.leader_) == "33");
  LoseDisk(network, three.follower_);
  GoOnWithoutLeader(network, three);
  CHECK(network.violations_.empty() == guarded);
  CHECK(network.violations_.contains("a committed entry was replaced") !=
        guarded);
  if (guarded) {
    for (const auto& [host, member] : network.members_) {
      CHECK(Share(network, host) == "33");
      CHECK_FALSE(IsRecovering(member.consensus_));
    }
  }
}

TEST_CASE("a member without its disk says so until it is readmitted",
          "[consensus]")
{
  SimulatedNetwork network = Quiet(3);
  const Three three = Elect(network);
  LoseDisk(network, three.follower_);
  Isolate(network, three.follower_);
  Start(network, three.follower_);
  Run(network, 2s);
  const ConsensusState& lost = network.members_[three.follower_].consensus_;
  CHECK(IsRecovering(lost));
  Heal(network);
  Run(network, 2s);
  CHECK_FALSE(IsRecovering(lost));
  const auto& incarnations = Members(lost).incarnations();
  REQUIRE(incarnations.contains(three.follower_));
  CHECK(incarnations.at(three.follower_) == lost.hardState_.incarnation());
  // It counts again: with it alone the leader commits.
  Isolate(network, three.cutOff_);
  ProposeShare(network, Leader(network), 44);
  Run(network, 500ms);
  CHECK(Share(network, three.follower_) == "44");
  CHECK(network.violations_.empty());
}

TEST_CASE("an isolated leader steps down and its change is not in force",
          "[consensus]")
{
  SimulatedNetwork network = Quiet(3);
  const Three three = Elect(network);
  Isolate(network, three.leader_);
  ProposeShare(network, three.leader_, 33);
  const ConsensusState& old = network.members_[three.leader_].consensus_;
  CHECK(HoldsLease(old, network.now_));
  Run(network, 2s);
  CHECK_FALSE(HoldsLease(old, network.now_));
  CHECK_FALSE(IsLeader(old));
  CHECK(old.leader_.empty());
  const HostId next = Leader(network);
  REQUIRE_FALSE(next.empty());
  ProposeShare(network, next, 44);
  Run(network, 500ms);
  Heal(network);
  Run(network, 2s);
  for (const auto& [host, member] : network.members_) {
    CHECK(Share(network, host) == "44");
  }
  CHECK(network.violations_.empty());
}

TEST_CASE("an isolated follower returns without a new election", "[consensus]")
{
  SimulatedNetwork network = Quiet(3);
  const Three three = Elect(network);
  const ConsensusState& follower = network.members_[three.follower_].consensus_;
  const std::uint64_t term = follower.hardState_.term();
  Isolate(network, three.follower_);
  Run(network, 30s);
  Heal(network);
  Run(network, 2s);
  CHECK(follower.hardState_.term() == term);
  CHECK(Leader(network) == three.leader_);
}

TEST_CASE("a member with a high term and an old log does not lead",
          "[consensus]")
{
  SimulatedNetwork network = Quiet(3);
  const Three three = Elect(network);
  Isolate(network, three.cutOff_);
  ProposeShare(network, three.leader_, 33);
  Run(network, 500ms);
  ConsensusState& isolated = network.members_[three.cutOff_].consensus_;
  isolated.hardState_.set_term(isolated.hardState_.term() + 90);
  Heal(network);
  Run(network, 5s);
  CHECK(Leader(network) != three.cutOff_);
  CHECK(Share(network, three.cutOff_) == "33");
  CHECK(network.violations_.empty());
}

TEST_CASE("a member whose storage failed takes no part", "[consensus]")
{
  SimulatedNetwork network = Quiet(3);
  const Three three = Elect(network);
  Member& leader = network.members_[three.leader_];
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
  vote.set_from(three.follower_);
  vote.set_to(three.leader_);
  vote.set_term(1000);
  vote.mutable_vote_request();
  Step(leader.consensus_, MessageReceived{ vote }, network.now_, actions);
  Step(leader.consensus_, Tick{}, network.now_ + 10s, actions);
  CHECK(actions.empty());
  Run(network, 3s);
  CHECK(Leader(network) != three.leader_);
  CHECK_FALSE(Leader(network).empty());
}

TEST_CASE("one member alone commits at once", "[consensus]")
{
  SimulatedNetwork network = Quiet(1);
  Run(network, 2s);
  ProposeShare(network, "a", 33);
  CHECK(Share(network, "a") == "33");
  Crash(network, "a");
  Start(network, "a");
  Run(network, 2s);
  CHECK(Share(network, "a") == "33");
}

TEST_CASE("members change one at a time", "[consensus]")
{
  struct Row
  {
    std::vector<std::string> voters_;
    bool learns_; //!< d was a learner before
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
  SimulatedNetwork network = Quiet(3);
  const Three three = Elect(network);
  Start(network, "d");
  Run(network, 1s);
  CHECK(IsRecovering(network.members_["d"].consensus_));
  wire::ControlRecord record;
  *record.mutable_members() =
    Members(network.members_[three.leader_].consensus_);
  if (row.learns_) {
    record.mutable_members()->add_learners("d");
  }
  Feed(network, three.leader_, Propose{ record, kToken });
  Run(network, 1s);
  record.mutable_members()->clear_learners();
  record.mutable_members()->mutable_voters()->Assign(row.voters_.begin(),
                                                     row.voters_.end());
  Feed(network, three.leader_, Propose{ record, kToken });
  Run(network, 3s);
  const HostId leader = Leader(network);
  REQUIRE_FALSE(leader.empty());
  const auto& voters = Members(network.members_[leader].consensus_).voters();
  const auto expected =
    row.valid_ ? row.voters_ : std::vector<std::string>{ "a", "b", "c" };
  CHECK(std::vector<std::string>(voters.begin(), voters.end()) == expected);
  const bool joined = row.valid_ && row.voters_.size() == 4;
  CHECK(IsRecovering(network.members_["d"].consensus_) != joined);
  ProposeShare(network, leader, 33);
  Run(network, 1s);
  CHECK(Share(network, leader) == "33");
  const bool learns = !row.valid_ && row.learns_;
  CHECK((Share(network, "d") == "33") == (joined || learns));
  CHECK(network.violations_.empty());
}

TEST_CASE("a change that its new voters can't commit is refused", "[consensus]")
{
  SimulatedNetwork network = Quiet(3);
  const Three three = Elect(network);
  LoseDisk(network, three.cutOff_);
  Isolate(network, three.cutOff_);
  Start(network, three.cutOff_);
  Run(network, 2s);
  // The leader and a member that does not count would be left.
  wire::ControlRecord record;
  record.mutable_members()->add_voters(three.leader_);
  record.mutable_members()->add_voters(three.cutOff_);
  Feed(network, three.leader_, Propose{ record, kToken });
  Heal(network);
  Run(network, 3s);
  CHECK(Members(network.members_[three.leader_].consensus_).voters_size() == 3);
  CHECK_FALSE(IsRecovering(network.members_[three.cutOff_].consensus_));
  CHECK(network.violations_.empty());
}

TEST_CASE("a member far behind gets a snapshot in bounded parts", "[consensus]")
{
  SimulatedNetwork network = Quiet(3);
  const Three three = Elect(network);
  Isolate(network, three.cutOff_);
  for (int i = 1; i <= 60; ++i) {
    ProposeShare(network, three.leader_, i);
    Run(network, 50ms);
  }
  const ReplicatedLog& log = network.members_[three.leader_].consensus_.log_;
  CHECK(log.entries_.size() <= 8 + 2 + 1);
  CHECK(log.snapshotBytes_.size() > 5 * kSnapshotPartBytes);
  Heal(network);
  Run(network, 2s);
  CHECK(Share(network, three.cutOff_) == "60");
  CHECK(network.largestPart_ == kSnapshotPartBytes);
  CHECK(network.violations_.empty());
}

} // namespace wigeonlb::core::consensus
