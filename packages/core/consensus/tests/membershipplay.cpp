#include "core/consensus/tests/membershipplay.h"

#include <algorithm>

namespace wigeonlb::core::consensus {

namespace {

using foundation::Duration;
using foundation::HostId;
using foundation::Instant;
using namespace std::chrono_literals;

constexpr Duration kStepMs = 50ms;

//! Time in which a host that is to stop waits for another to take its vote.
constexpr Duration kLeaveLimitMs = 2000ms;

//! Time in which an entry is committed once there is a leader.
constexpr Duration kProgressMs = 3000ms;

void
Thaw(MembershipPlay& aPlay, const HostId& aHost)
{
  aPlay.thawAt_.erase(aHost);
  aPlay.planned_.network_.heldUp_.erase(aHost);
  Feed(aPlay.planned_.network_, aHost, Tick{});
}

void
StartAgain(MembershipPlay& aPlay, const HostId& aHost)
{
  aPlay.startAt_.erase(aHost);
  Start(aPlay.planned_.network_, aHost);
  const auto lost = aPlay.lostDisks_.find(aHost);
  if (lost != aPlay.lostDisks_.end()) {
    lost->second.back_ = true;
  }
}

void
End(MembershipPlay& aPlay, const HostId& aHost)
{
  aPlay.leaveBy_.erase(aHost);
  aPlay.thawAt_.erase(aHost);
  aPlay.startAt_.erase(aHost);
  aPlay.planned_.network_.heldUp_.erase(aHost);
  LoseHost(aPlay.planned_, aHost);
}

//! Hosts that do not work now, and losses that still count.
std::size_t
CountLosses(const MembershipPlay& aPlay)
{
  std::set<HostId> lost;
  for (const auto& [host, loss] : aPlay.lostDisks_) {
    lost.insert(host);
  }
  for (const auto* times : { &aPlay.thawAt_, &aPlay.startAt_ }) {
    for (const auto& [host, time] : *times) {
      lost.insert(host);
    }
  }
  return lost.size();
}

//! The time of a loss runs only while no more is lost than is tolerated.
void
AgeLosses(MembershipPlay& aPlay, Duration aTime)
{
  if (CountLosses(aPlay) > aPlay.tolerated_) {
    return;
  }
  for (auto& [host, loss] : aPlay.lostDisks_) {
    loss.left_ -= loss.back_ ? aTime : Duration(0);
  }
  std::erase_if(aPlay.lostDisks_, [](const auto& aItem) {
    return aItem.second.left_ <= Duration(0);
  });
}

//! Hosts of a map whose time has come.
std::vector<HostId>
ListDue(const std::map<HostId, Instant>& aTimes, Instant aNow)
{
  std::vector<HostId> due;
  for (const auto& [host, time] : aTimes) {
    if (time <= aNow) {
      due.push_back(host);
    }
  }
  return due;
}

void
ReturnDueHosts(MembershipPlay& aPlay, Instant aNow)
{
  for (const HostId& host : ListDue(aPlay.thawAt_, aNow)) {
    Thaw(aPlay, host);
  }
  for (const HostId& host : ListDue(aPlay.startAt_, aNow)) {
    StartAgain(aPlay, host);
  }
}

void
EndLeavingHosts(MembershipPlay& aPlay, Instant aNow)
{
  const auto leaving = aPlay.leaveBy_;
  for (const auto& [host, limit] : leaving) {
    const Member& member = aPlay.planned_.network_.members_.at(host);
    const bool frozen = aPlay.thawAt_.contains(host);
    const bool handedOver = member.up_ && !frozen &&
                            !IsVoter(MembersAt(member.consensus_.log_,
                                               member.consensus_.commitIndex_),
                                     host);
    if (handedOver) {
      End(aPlay, host);
    } else if (aNow >= limit ||
               (member.up_ && !frozen && MayLeave(member.consensus_, aNow))) {
      Remove(aPlay, host);
    }
  }
}

bool
HasLeader(const SimulatedNetwork& aNetwork)
{
  const HostId leader = Leader(aNetwork);
  return !leader.empty() &&
         HoldsLease(aNetwork.members_.at(leader).consensus_, aNetwork.now_);
}

//! Whether an entry that is proposed now is committed.
bool
CommitsEntry(MembershipPlay& aPlay)
{
  SimulatedNetwork& network = aPlay.planned_.network_;
  const HostId leader = Leader(network);
  Feed(network, leader, Propose{ wire::ControlRecord(), 9 });
  const std::uint64_t index =
    LastIndex(network.members_[leader].consensus_.log_);
  const Instant end = network.now_ + kProgressMs;
  while (network.members_[leader].consensus_.commitIndex_ < index &&
         network.now_ < end) {
    Advance(aPlay, kStepMs);
  }
  return network.members_[leader].consensus_.commitIndex_ >= index;
}

//! The end of each log's members, for a finding.
std::string
DescribeMembers(const SimulatedNetwork& aNetwork)
{
  std::string text;
  for (const auto& [host, member] : aNetwork.members_) {
    const ConsensusState& state = member.consensus_;
    text += "\n" + host + (member.up_ ? "" : " (down)") +
            (IsRecovering(state) ? " recovering" : "") + ", log " +
            std::to_string(LastTerm(state.log_)) + "/" +
            std::to_string(LastIndex(state.log_)) + ", committed " +
            std::to_string(state.commitIndex_) + ", voters";
    for (const HostId& voter : Members(state).voters()) {
      text += " " + voter;
    }
    text += IsJoint(Members(state)) ? ", outgoing" : "";
    for (const HostId& voter : Members(state).outgoing_voters()) {
      text += " " + voter;
    }
  }
  return text;
}

} // namespace

MembershipPlay
MakePlay(std::size_t aTolerated, std::uint64_t aSeed, int aLossPercent)
{
  NetworkSettings settings;
  settings.seed_ = aSeed;
  settings.members_ = static_cast<int>(ComputeVoterCount(aTolerated));
  settings.lossPercent_ = aLossPercent;
  settings.smallParts_ = false;
  MembershipPlay play;
  play.tolerated_ = aTolerated;
  play.planned_.network_ = MakeNetwork(settings);
  play.planned_.wantedVoters_ = ComputeVoterCount(aTolerated);
  Advance(play, 1s);
  for (std::size_t i = 0; i < aTolerated; ++i) {
    AddHost(play.planned_);
  }
  Advance(play, kCatchUpMs);
  return play;
}

void
Freeze(MembershipPlay& aPlay, const HostId& aHost, Duration aTime)
{
  aPlay.planned_.network_.heldUp_.insert(aHost);
  aPlay.thawAt_[aHost] = aPlay.planned_.network_.now_ + aTime;
}

void
Stop(MembershipPlay& aPlay, const HostId& aHost, Duration aTime)
{
  aPlay.thawAt_.erase(aHost);
  aPlay.planned_.network_.heldUp_.erase(aHost);
  Crash(aPlay.planned_.network_, aHost);
  aPlay.startAt_[aHost] = aPlay.planned_.network_.now_ + aTime;
}

void
Wipe(MembershipPlay& aPlay, const HostId& aHost, Duration aTime)
{
  Stop(aPlay, aHost, aTime);
  LoseDisk(aPlay.planned_.network_, aHost);
  aPlay.lostDisks_[aHost] = { false, kCatchUpMs };
}

void
Remove(MembershipPlay& aPlay, const HostId& aHost)
{
  const HostId leader = Leader(aPlay.planned_.network_);
  const bool voter = std::ranges::count(ListVoters(aPlay.planned_), aHost) > 0;
  End(aPlay, aHost);
  aPlay.lostDisks_.erase(aHost);
  if (leader.empty() || leader == aHost) {
    aPlay.lostDisks_[aHost] = { true, kLeaderRemovalNoticedMs };
  } else if (voter) {
    aPlay.lostDisks_[aHost] = { true, kRemovalNoticedMs };
  }
}

void
RemoveAsPlanned(MembershipPlay& aPlay, const HostId& aHost)
{
  Feed(aPlay.planned_.network_, aHost, Leave{});
  aPlay.leaveBy_[aHost] = aPlay.planned_.network_.now_ + kLeaveLimitMs;
}

void
StopAll(MembershipPlay& aPlay)
{
  SimulatedNetwork& network = aPlay.planned_.network_;
  for (const auto& [host, member] : network.members_) {
    if (member.up_) {
      Stop(aPlay, host, std::chrono::milliseconds(network.random_() % 1000));
    }
  }
}

void
Advance(MembershipPlay& aPlay, Duration aTime)
{
  const Instant end = aPlay.planned_.network_.now_ + aTime;
  while (aPlay.planned_.network_.now_ < end) {
    const Duration step = std::min(kStepMs, end - aPlay.planned_.network_.now_);
    RunPlanned(aPlay.planned_, step);
    EndLeavingHosts(aPlay, aPlay.planned_.network_.now_);
    ReturnDueHosts(aPlay, aPlay.planned_.network_.now_);
    AgeLosses(aPlay, step);
  }
}

std::vector<HostId>
ListHealthyHosts(const MembershipPlay& aPlay)
{
  std::vector<HostId> hosts;
  for (const auto& [host, member] : aPlay.planned_.network_.members_) {
    if (member.up_ && !aPlay.thawAt_.contains(host) &&
        !aPlay.leaveBy_.contains(host)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

bool
MayLoseDisk(const MembershipPlay& aPlay)
{
  return aPlay.lostDisks_.size() + aPlay.leaveBy_.size() < aPlay.tolerated_;
}

std::string
CheckRecovery(MembershipPlay& aPlay)
{
  SimulatedNetwork& network = aPlay.planned_.network_;
  for (auto* times : { &aPlay.thawAt_, &aPlay.startAt_ }) {
    for (auto& [host, time] : *times) {
      time = std::min(time, network.now_ + 1s);
    }
  }
  while (!aPlay.thawAt_.empty() || !aPlay.startAt_.empty() ||
         !aPlay.leaveBy_.empty()) {
    Advance(aPlay, kStepMs);
  }
  const Instant end = network.now_ + kRecoveryMs;
  while (!HasLeader(network) && network.now_ < end) {
    Advance(aPlay, kStepMs);
  }
  if (!HasLeader(network)) {
    return "no leader: " + DescribeMembers(network);
  }
  CheckAllLogs(network);
  std::string findings = CommitsEntry(aPlay) ? "" : "no progress; ";
  if (network.members_[Leader(network)].control_.revision() <
      network.acknowledgedRevision_) {
    findings += "an acknowledged change is missing; ";
  }
  for (const std::string& violation : network.violations_) {
    findings += violation + "; ";
  }
  return findings;
}

} // namespace wigeonlb::core::consensus
