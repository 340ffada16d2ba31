#include "core/consensus/memberplan.h"

#include <algorithm>

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

//! How long the host has not answered this leader, counted from its election at
//! the earliest.
foundation::Duration
GetSilence(const ConsensusState& aState, const HostId& aHost, Instant aNow)
{
  const auto progress = aState.progress_.find(aHost);
  const bool answered = progress != aState.progress_.end() &&
                        progress->second.answeredSentAt_.has_value();
  const Instant since =
    answered ? std::max(*progress->second.answeredSentAt_, aState.leadingSince_)
             : aState.leadingSince_;
  return aNow - since;
}

bool
IsUnresponsive(const ConsensusState& aState, const HostId& aHost, Instant aNow)
{
  return aHost != aState.settings_.self_ &&
         GetSilence(aState, aHost, aNow) >= kVoterTimeoutMs;
}

//! The first unresponsive voter, or empty.
HostId
FindUnresponsiveVoter(const ConsensusState& aState, Instant aNow)
{
  for (const HostId& host : Members(aState).voters()) {
    if (IsUnresponsive(aState, host, aNow)) {
      return host;
    }
  }
  return {};
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

bool
HasReadyLearner(const ConsensusState& aState, Instant aNow)
{
  return std::ranges::any_of(
    Members(aState).learners(), [&](const HostId& aHost) {
      return CheckAddedHost(aState, aHost, aNow) == ChangeRefusal::None;
    });
}

//! Promotes the first learner that may become a voter.
MemberPlan
PlanPromotion(const ConsensusState& aState, Instant aNow)
{
  MemberPlan plan;
  plan.refusal_ = ChangeRefusal::NoLearner;
  for (const HostId& host : Members(aState).learners()) {
    wire::MemberChange members = Members(aState);
    Erase(*members.mutable_learners(), host);
    members.add_voters(host);
    const ChangeRefusal refusal = CheckChange(aState, members, aNow);
    if (refusal == ChangeRefusal::None) {
      return { MemberStep::PromoteLearner, members, host };
    }
    plan.refusal_ = std::max(plan.refusal_, refusal);
  }
  return plan;
}

//! Demotes a voter to a learner, so that it can become a voter again when it
//! returns.
MemberPlan
PlanDemotion(const ConsensusState& aState, const HostId& aHost, Instant aNow)
{
  wire::MemberChange members = Members(aState);
  Erase(*members.mutable_voters(), aHost);
  members.add_learners(aHost);
  MemberPlan plan;
  plan.refusal_ = CheckChange(aState, members, aNow);
  if (plan.refusal_ == ChangeRefusal::None) {
    plan = { MemberStep::DemoteVoter, members, aHost };
  }
  return plan;
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
    if (isLive || GetSilence(aState, host, aNow) < kLearnerTimeoutMs) {
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
         const HostId& aUnresponsive,
         Instant aNow)
{
  MemberPlan learners = PlanLearners(aState, aLive);
  if (learners.step_ != MemberStep::None) {
    return learners;
  }
  const auto voters = static_cast<std::size_t>(Members(aState).voters_size());
  const bool replaces = !aUnresponsive.empty();
  if (replaces && voters > aVoters) {
    return PlanDemotion(aState, aUnresponsive, aNow);
  }
  if (voters >= aVoters && !replaces) {
    return PlanRemoval(aState, aLive, aNow);
  }
  // An odd number of voters and one less have the same quorum, and so do an
  // even number and one more. In this order no step needs the answer of a host
  // that isn't a voter yet.
  const bool demotesFirst = replaces && voters % 2 == 1 && voters >= kMinVoters;
  if (demotesFirst && HasReadyLearner(aState, aNow)) {
    return PlanDemotion(aState, aUnresponsive, aNow);
  }
  return PlanPromotion(aState, aNow);
}

} // namespace

MemberPlan
PlanMembers(const ConsensusState& aState,
            std::span<const MemberCandidate> aLive,
            std::size_t aVoters,
            Instant aNow)
{
  if (!HoldsLease(aState, aNow) ||
      aState.log_.members_.back().first > aState.commitIndex_) {
    return {};
  }
  const HostId unresponsive = FindUnresponsiveVoter(aState, aNow);
  MemberPlan plan = PlanStep(aState, aLive, aVoters, unresponsive, aNow);
  plan.unresponsive_ = unresponsive;
  return plan;
}

std::string_view
ToText(MemberStep aStep)
{
  switch (aStep) {
    case MemberStep::None:
      return "none";
    case MemberStep::AddLearners:
      return "add-learners";
    case MemberStep::PromoteLearner:
      return "promote-learner";
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
