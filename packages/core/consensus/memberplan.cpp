#include "core/consensus/memberplan.h"

#include <algorithm>

#include "core/consensus/internal/memberchange.h"
#include "core/consensus/internal/quorum.h"
#include "core/consensus/internal/replication.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;
using foundation::Instant;

bool
Contains(const google::protobuf::RepeatedPtrField<std::string>& aHosts,
         const HostId& aHost)
{
  return std::ranges::find(aHosts, aHost) != aHosts.end();
}

bool
IsUnresponsive(const ConsensusState& aState, const HostId& aHost)
{
  const auto progress = aState.progress_.find(aHost);
  const int rounds =
    progress == aState.progress_.end() ? 0 : progress->second.unansweredRounds_;
  return aHost != aState.settings_.self_ &&
         rounds * aState.settings_.heartbeatInterval_ >= kVoterTimeoutMs;
}

bool
IsLeaving(const ConsensusState& aState, const HostId& aHost)
{
  if (aHost == aState.settings_.self_) {
    return aState.leaving_;
  }
  const auto progress = aState.progress_.find(aHost);
  return progress != aState.progress_.end() && progress->second.leaving_;
}

//! The voters that should be replaced: first those that do not answer, which
//! may be gone, then those that are to stop.
std::vector<HostId>
ListOutgoingVoters(const ConsensusState& aState)
{
  std::vector<HostId> outgoing;
  for (const HostId& host : Members(aState).voters()) {
    if (IsUnresponsive(aState, host) || IsLeaving(aState, host)) {
      outgoing.push_back(host);
    }
  }
  // Not of std::ranges, which clang-tidy can't read with this standard library.
  std::stable_partition(
    outgoing.begin(), outgoing.end(), [&](const HostId& aHost) {
      return IsUnresponsive(aState, aHost);
    });
  return outgoing;
}

std::vector<HostId>
ListReadyLearners(const ConsensusState& aState, Instant aNow)
{
  std::vector<HostId> ready;
  for (const HostId& host : Members(aState).learners()) {
    if (CheckAddedHost(aState, host, aNow) == ChangeRefusal::None) {
      ready.push_back(host);
    }
  }
  return ready;
}

//! The strongest reason why no learner is ready.
ChangeRefusal
ExplainNoLearner(const ConsensusState& aState, Instant aNow)
{
  ChangeRefusal refusal = ChangeRefusal::NoLearner;
  for (const HostId& host : Members(aState).learners()) {
    refusal = std::max(refusal, CheckAddedHost(aState, host, aNow));
  }
  return refusal;
}

void
Erase(google::protobuf::RepeatedPtrField<std::string>& aHosts,
      const HostId& aHost)
{
  aHosts.erase(std::remove(aHosts.begin(), aHosts.end(), aHost), aHosts.end());
}

//! Makes learners of the live hosts that are not members.
MemberPlan
PlanLearners(const ConsensusState& aState,
             std::span<const MemberCandidate> aLive)
{
  MemberPlan plan;
  plan.members_ = Members(aState);
  for (const MemberCandidate& candidate : aLive) {
    if (Contains(plan.members_.voters(), candidate.host_) ||
        Contains(plan.members_.learners(), candidate.host_)) {
      continue;
    }
    plan.members_.add_learners(candidate.host_);
    (*plan.members_.mutable_addresses())[candidate.host_] = candidate.address_;
    plan.step_ = MemberStep::AddLearners;
  }
  return plan;
}

void
Promote(wire::MemberChange& aMembers, const HostId& aHost)
{
  Erase(*aMembers.mutable_learners(), aHost);
  aMembers.add_voters(aHost);
}

//! A demoted voter stays a learner, so that it can become a voter again.
void
Demote(wire::MemberChange& aMembers, const HostId& aHost)
{
  Erase(*aMembers.mutable_voters(), aHost);
  aMembers.add_learners(aHost);
}

//! A step to these members if the checks allow it. A step that changes more
//! than one voter names the present ones as outgoing.
MemberPlan
MakeStep(const ConsensusState& aState,
         MemberStep aStep,
         const HostId& aHost,
         wire::MemberChange aMembers,
         std::size_t aChangedVoters,
         Instant aNow)
{
  if (aChangedVoters > 1) {
    *aMembers.mutable_outgoing_voters() = Members(aState).voters();
  }
  MemberPlan plan;
  plan.refusal_ = CheckChange(aState, aMembers, aNow);
  if (plan.refusal_ == ChangeRefusal::None) {
    plan = { aStep, std::move(aMembers), aHost };
  }
  return plan;
}

//! Replaces as many voters as learners are ready for.
MemberPlan
PlanReplacement(const ConsensusState& aState,
                std::span<const HostId> aOutgoing,
                std::span<const HostId> aReady,
                Instant aNow)
{
  wire::MemberChange members = Members(aState);
  const std::size_t count = std::min(aOutgoing.size(), aReady.size());
  for (std::size_t i = 0; i < count; ++i) {
    Demote(members, aOutgoing[i]);
    Promote(members, aReady[i]);
  }
  return MakeStep(aState,
                  MemberStep::ReplaceVoters,
                  aReady.front(),
                  std::move(members),
                  2 * count,
                  aNow);
}

//! Adds up to aCount voters.
MemberPlan
PlanPromotion(const ConsensusState& aState,
              std::span<const HostId> aReady,
              std::size_t aCount,
              Instant aNow)
{
  wire::MemberChange members = Members(aState);
  const std::size_t count = std::min(aCount, aReady.size());
  for (const HostId& host : aReady.first(count)) {
    Promote(members, host);
  }
  return MakeStep(aState,
                  MemberStep::PromoteLearners,
                  aReady.front(),
                  std::move(members),
                  count,
                  aNow);
}

MemberPlan
PlanDemotion(const ConsensusState& aState, const HostId& aHost, Instant aNow)
{
  wire::MemberChange members = Members(aState);
  Demote(members, aHost);
  return MakeStep(
    aState, MemberStep::DemoteVoter, aHost, std::move(members), 1, aNow);
}

//! Fills the places that are free. A member of a former version can't take part
//! in a change of several voters, so that one is added at a time then.
MemberPlan
PlanGrowth(const ConsensusState& aState,
           std::span<const HostId> aReady,
           std::size_t aMissing,
           Instant aNow)
{
  MemberPlan plan = PlanPromotion(aState, aReady, aMissing, aNow);
  const bool single = plan.refusal_ == ChangeRefusal::EarlierVersion;
  return single ? PlanPromotion(aState, aReady, 1, aNow) : plan;
}

//! Removes one learner that has been silent for kLearnerTimeoutMs and is no
//! live host. Otherwise each host that was ever replaced would stay a learner,
//! and members would keep links to it.
MemberPlan
PlanRemoval(const ConsensusState& aState,
            std::span<const MemberCandidate> aLive,
            Instant aNow)
{
  for (const HostId& host : Members(aState).learners()) {
    const bool isLive =
      std::ranges::any_of(aLive, [&](const MemberCandidate& aCandidate) {
        return aCandidate.host_ == host;
      });
    if (isLive || ComputeSilence(aState, host, aNow) < kLearnerTimeoutMs) {
      continue;
    }
    MemberPlan plan{ MemberStep::RemoveLearner, Members(aState), host };
    Erase(*plan.members_.mutable_learners(), host);
    plan.members_.mutable_addresses()->erase(host);
    plan.members_.mutable_incarnations()->erase(host);
    return plan;
  }
  return {};
}

MemberPlan
PlanStep(const ConsensusState& aState,
         std::span<const MemberCandidate> aLive,
         std::size_t aVoters,
         std::span<const HostId> aOutgoing,
         Instant aNow)
{
  MemberPlan learners = PlanLearners(aState, aLive);
  if (learners.step_ != MemberStep::None) {
    return learners;
  }
  const auto voters = static_cast<std::size_t>(Members(aState).voters_size());
  if (voters > aVoters && !aOutgoing.empty()) {
    return PlanDemotion(aState, aOutgoing.front(), aNow);
  }
  if (voters >= aVoters && aOutgoing.empty()) {
    return PlanRemoval(aState, aLive, aNow);
  }
  const std::vector<HostId> ready = ListReadyLearners(aState, aNow);
  if (ready.empty()) {
    MemberPlan plan;
    plan.refusal_ = ExplainNoLearner(aState, aNow);
    return plan;
  }
  return aOutgoing.empty() ? PlanGrowth(aState, ready, aVoters - voters, aNow)
                           : PlanReplacement(aState, aOutgoing, ready, aNow);
}

} // namespace

MemberPlan
PlanMembers(const ConsensusState& aState,
            std::span<const MemberCandidate> aLive,
            std::size_t aVoters,
            Instant aNow)
{
  if (!HoldsLease(aState, aNow) || IsJoint(Members(aState)) ||
      aState.log_.members_.back().first > aState.commitIndex_) {
    return {};
  }
  const std::vector<HostId> outgoing = ListOutgoingVoters(aState);
  MemberPlan plan = PlanStep(aState, aLive, aVoters, outgoing, aNow);
  plan.outgoing_ = outgoing.empty() ? HostId() : outgoing.front();
  return plan;
}

bool
HasWantedQuorum(const wire::MemberChange& aMembers, std::size_t aWanted)
{
  bool enough = true;
  ForEachVoterSet(aMembers, [&](const HostList& aVoters) {
    enough = enough && QuorumSize(aVoters.size()) >= QuorumSize(aWanted);
  });
  return enough;
}

std::string_view
ToText(MemberStep aStep)
{
  switch (aStep) {
    case MemberStep::None:
      return "none";
    case MemberStep::AddLearners:
      return "add-learners";
    case MemberStep::PromoteLearners:
      return "promote-learners";
    case MemberStep::ReplaceVoters:
      return "replace-voters";
    case MemberStep::DemoteVoter:
      return "demote-voter";
    case MemberStep::RemoveLearner:
      return "remove-learner";
  }
  return "";
}

std::string_view
ToText(ChangeRefusal aRefusal)
{
  switch (aRefusal) {
    case ChangeRefusal::None:
      return "none";
    case ChangeRefusal::EarlierUncommitted:
      return "the previous change is not committed";
    case ChangeRefusal::NotOneStep:
      return "more than one voter would change";
    case ChangeRefusal::EarlierVersion:
      return "a voter runs an earlier version";
    case ChangeRefusal::NoLearner:
      return "no other host has persistent storage";
    case ChangeRefusal::AddedHostSilent:
      return "no learner has answered recently";
    case ChangeRefusal::AddedHostBehind:
      return "no learner holds all committed entries";
    case ChangeRefusal::NoQuorum:
      return "too few of the new voters count towards the quorum";
  }
  return "";
}

} // namespace wigeonlb::core::consensus
