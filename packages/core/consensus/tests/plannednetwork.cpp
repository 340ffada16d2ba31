#include "core/consensus/tests/plannednetwork.h"

#include <algorithm>

#include "core/consensus/tests/networkschedules.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::Duration;
using foundation::HostId;

//! Time between two changes of an operator.
constexpr Duration kChangeIntervalMs = std::chrono::milliseconds(1000);

//! The first of two steps in place of a replacement.
wire::MemberChange
DemoteOnly(const ConsensusState& aState, const MemberPlan& aPlan)
{
  wire::MemberChange members = Members(aState);
  auto& voters = *members.mutable_voters();
  voters.erase(std::ranges::find(voters, aPlan.outgoing_));
  members.add_learners(aPlan.outgoing_);
  return members;
}

void
ProposeStep(PlannedNetwork& aPlanned)
{
  SimulatedNetwork& network = aPlanned.network_;
  const HostId leader = Leader(network);
  if (leader.empty() || network.heldUp_.contains(leader)) {
    return;
  }
  std::vector<MemberCandidate> live;
  for (const auto& [host, member] : network.members_) {
    if (member.up_ && !member.consensus_.leaving_) {
      live.push_back({ host, host + ":1" });
    }
  }
  const ConsensusState& state = network.members_[leader].consensus_;
  const MemberPlan plan =
    PlanMembers(state, live, aPlanned.wantedVoters_, network.now_);
  if (plan.step_ != MemberStep::None) {
    const bool twoSteps =
      plan.step_ == MemberStep::ReplaceVoters && !aPlanned.replacesInOneChange_;
    wire::ControlRecord record;
    *record.mutable_members() =
      twoSteps ? DemoteOnly(state, plan) : plan.members_;
    Feed(network, leader, Propose{ record, 3 });
  }
}

} // namespace

HostId
AddHost(PlannedNetwork& aPlanned)
{
  const HostId host = "n" + std::to_string(++aPlanned.newcomers_);
  Start(aPlanned.network_, host);
  return host;
}

void
LoseHost(PlannedNetwork& aPlanned, const HostId& aHost)
{
  LoseDisk(aPlanned.network_, aHost);
  aPlanned.gone_.insert(aHost);
}

void
RunPlanned(PlannedNetwork& aPlanned, Duration aTime)
{
  const foundation::Instant end = aPlanned.network_.now_ + aTime;
  while (aPlanned.network_.now_ < end) {
    Run(aPlanned.network_,
        std::min(kPlanIntervalMs, end - aPlanned.network_.now_));
    ProposeStep(aPlanned);
    if (aPlanned.network_.now_ >= aPlanned.changeDue_) {
      aPlanned.changeDue_ = aPlanned.network_.now_ + kChangeIntervalMs;
      RunOperators(aPlanned.network_);
    }
  }
}

std::vector<HostId>
ListVoters(const PlannedNetwork& aPlanned)
{
  const HostId leader = Leader(aPlanned.network_);
  if (leader.empty()) {
    return {};
  }
  const auto& members =
    Members(aPlanned.network_.members_.at(leader).consensus_);
  return { members.voters().begin(), members.voters().end() };
}

bool
IsWhole(const PlannedNetwork& aPlanned)
{
  const HostId leader = Leader(aPlanned.network_);
  const std::vector<HostId> voters = ListVoters(aPlanned);
  if (leader.empty()) {
    return false;
  }
  const ConsensusState& state =
    aPlanned.network_.members_.at(leader).consensus_;
  const bool complete = !IsJoint(Members(state)) &&
                        state.log_.members_.back().first <= state.commitIndex_;
  return complete && voters.size() == aPlanned.wantedVoters_ &&
         std::ranges::all_of(voters, [&](const HostId& aHost) {
           const Member& member = aPlanned.network_.members_.at(aHost);
           return member.up_ && !IsRecovering(member.consensus_);
         });
}

} // namespace wigeonlb::core::consensus
