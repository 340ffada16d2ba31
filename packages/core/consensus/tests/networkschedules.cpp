#include "core/consensus/tests/networkschedules.h"

#include <google/protobuf/util/message_differencer.h>

namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;
using google::protobuf::util::MessageDifferencer;
using namespace std::chrono_literals;

HostId
PickHost(SimulatedNetwork& aNetwork)
{
  auto member = aNetwork.members_.begin();
  std::advance(member, aNetwork.random_() % aNetwork.members_.size());
  return member->first;
}

void
Remove(google::protobuf::RepeatedPtrField<std::string>& aHosts,
       const HostId& aHost)
{
  const auto found = std::ranges::find(aHosts, aHost);
  if (found != aHosts.end()) {
    aHosts.erase(found);
  }
}

// A voter and a learner change places, if there is one.
void
ReplaceVoter(SimulatedNetwork& aNetwork)
{
  const HostId leader = Leader(aNetwork);
  if (leader.empty()) {
    return;
  }
  wire::ControlRecord record;
  auto& members = *record.mutable_members();
  members = Members(aNetwork.members_[leader].consensus_);
  if (members.learners().empty() || IsJoint(members)) {
    return;
  }
  *members.mutable_outgoing_voters() = members.voters();
  const int number =
    static_cast<int>(aNetwork.random_() % members.voters_size());
  members.mutable_voters(number)->swap(*members.mutable_learners(0));
  Feed(aNetwork, leader, Propose{ record, 3 });
}

// Moves a host to the next of the states: no member, learner, voter.
void
ChangeMembers(SimulatedNetwork& aNetwork)
{
  const HostId leader = Leader(aNetwork);
  if (leader.empty()) {
    return;
  }
  const HostId host = PickHost(aNetwork);
  wire::ControlRecord record;
  auto& members = *record.mutable_members();
  members = Members(aNetwork.members_[leader].consensus_);
  const bool isLearner =
    std::ranges::find(members.learners(), host) != members.learners().end();
  if (IsVoter(members, host)) {
    Remove(*members.mutable_voters(), host);
  } else if (isLearner) {
    Remove(*members.mutable_learners(), host);
    members.add_voters(host);
  } else {
    members.add_learners(host);
  }
  if (members.voters_size() >= 3) {
    Feed(aNetwork, leader, Propose{ record, 3 });
  }
}

// The protocol tolerates one lost disk at a time, and none while a membership
// change is uncommitted.
bool
MayLoseDisk(SimulatedNetwork& aNetwork)
{
  const HostId leader = Leader(aNetwork);
  if (leader.empty()) {
    return false;
  }
  const ConsensusState& state = aNetwork.members_[leader].consensus_;
  if (state.log_.members_.back().first > state.commitIndex_) {
    return false;
  }
  return std::ranges::all_of(Members(state).voters(), [&](const auto& aHost) {
    const Disk& disk = aNetwork.members_[aHost].disk_;
    return disk.hardState_ && !disk.hardState_->recovering();
  });
}

void
InjectFault(SimulatedNetwork& aNetwork, const Faults& aFaults)
{
  const HostId host = PickHost(aNetwork);
  const std::uint64_t kind = aNetwork.random_() % 8;
  if (!aNetwork.members_[host].up_) {
    Start(aNetwork, host);
  } else if (kind == 0) {
    Crash(aNetwork, host);
  } else if (kind == 1 && aFaults.losesDisks_ && MayLoseDisk(aNetwork)) {
    LoseDisk(aNetwork, host);
  } else if (kind == 2 && aFaults.cutsLinks_) {
    Isolate(aNetwork, host);
  } else if (kind == 3 && aFaults.cutsLinks_) {
    // Cuts the link in one direction only.
    aNetwork.cutLinks_.insert({ host, PickHost(aNetwork) });
  } else if (kind == 5 && aFaults.refusesWrites_) {
    aNetwork.refusingDisks_.insert(host);
  } else if (kind == 4) {
    for (const auto& [other, member] : aNetwork.members_) {
      Crash(aNetwork, other);
      Start(aNetwork, other);
    }
  } else {
    Heal(aNetwork);
    aNetwork.refusingDisks_.clear();
  }
}

// Starts and connects all members and runs 11 s, in which they must agree.
void
Settle(SimulatedNetwork& aNetwork)
{
  Heal(aNetwork);
  aNetwork.refusingDisks_.clear();
  aNetwork.settings_.crashPerMille_ = 0;
  aNetwork.settings_.lossPercent_ = 0;
  for (const auto& [host, member] : aNetwork.members_) {
    if (!member.up_) {
      Start(aNetwork, host);
    }
  }
  for (int i = 0; i < 10; ++i) {
    Run(aNetwork, 1s);
    RunOperators(aNetwork);
  }
  Run(aNetwork, 1s);
  CheckAllLogs(aNetwork);
}

void
CheckSettled(SimulatedNetwork& aNetwork)
{
  const HostId leader = Leader(aNetwork);
  if (leader.empty()) {
    aNetwork.violations_.insert("there is no leader at the end");
    return;
  }
  const Member& first = aNetwork.members_[leader];
  for (const auto& [host, member] : aNetwork.members_) {
    if (!IsVoter(Members(first.consensus_), host)) {
      continue; // a host that was removed or never added
    }
    if (IsRecovering(member.consensus_)) {
      aNetwork.violations_.insert("a member stays in recovery");
    }
    if (member.control_.applied_index() < aNetwork.committed_.rbegin()->first) {
      aNetwork.violations_.insert("a committed entry is missing");
    }
    if (member.control_.revision() < aNetwork.acknowledgedRevision_) {
      aNetwork.violations_.insert("an acknowledged revision is missing");
    }
    if (!MessageDifferencer::Equals(member.control_, first.control_)) {
      aNetwork.violations_.insert("members have different states at the end");
    }
  }
}

} // namespace

void
RunOperators(SimulatedNetwork& aNetwork)
{
  for (std::uint64_t token = 1; token <= 2; ++token) {
    Operator& sender = aNetwork.operators_[token];
    const std::uint64_t known = aNetwork.host_.state_.revision();
    if (sender.answered_) {
      sender = Operator();
      sender.answered_ = false;
      sender.change_.set_change_id(std::to_string(aNetwork.random_()));
      if (known > 0) {
        sender.change_.set_expected_revision(known);
      }
      auto& set = *sender.change_.add_operations()->mutable_set_system_option();
      set.set_key("tenant_share");
      set.set_value(std::to_string(1 + aNetwork.random_() % 100));
    }
    const HostId leader = Leader(aNetwork);
    const bool informed = !leader.empty() && aNetwork.random_() % 4 > 0;
    SendChange(aNetwork, token, informed ? leader : PickHost(aNetwork));
  }
}

SimulatedNetwork
RunSchedule(const NetworkSettings& aSettings, const Faults& aFaults)
{
  NetworkSettings settings = aSettings;
  settings.crashPerMille_ = aFaults.crashPerMille_;
  SimulatedNetwork network = MakeNetwork(settings);
  for (int i = 0; i < 25; ++i) {
    Run(network, std::chrono::milliseconds(50 + network.random_() % 500));
    RunOperators(network);
    // No faults before the founding of the cluster is complete.
    if (i == 4 && aFaults.changesMembers_) {
      Start(network, "x");
    }
    if (i > 4) {
      InjectFault(network, aFaults);
    }
    if (i > 4 && i % 4 == 0 && aFaults.changesMembers_) {
      ChangeMembers(network);
    }
    if (i > 4 && i % 4 == 2 && aFaults.changesMembers_) {
      ReplaceVoter(network);
    }
  }
  Settle(network);
  if (!network.committed_.empty()) {
    CheckSettled(network);
  } else {
    network.violations_.insert("nothing was ever committed");
  }
  return network;
}

} // namespace wigeonlb::core::consensus
