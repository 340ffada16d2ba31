#include "control/memberplanner.h"

#include <vector>

#include "foundation/logging.h"

namespace wigeonlb::daemon::control {

namespace {

namespace consensus = core::consensus;
using foundation::Duration;
using foundation::Instant;

//! Minimum time between two plans; short against the time after which a voter
//! counts as unresponsive.
constexpr Duration kMemberChangeIntervalMs = std::chrono::milliseconds(50);

//! Minimum time between two log lines about the same refusal.
constexpr Duration kRefusalLogIntervalMs = std::chrono::milliseconds(5000);

std::vector<consensus::MemberCandidate>
ListCandidates(const core::failover::FailoverState& aLeader)
{
  std::vector<consensus::MemberCandidate> candidates;
  for (const auto& [name, host] : aLeader.membership_.hosts_) {
    if (host.info_.may_vote() && !host.info_.draining()) {
      candidates.push_back({ name, host.info_.peer_address() });
    }
  }
  return candidates;
}

void
LogStep(const consensus::MemberPlan& aPlan)
{
  foundation::LogChange(
    "control",
    "members-change-proposed",
    { { "step", std::string(ToText(aPlan.step_)) },
      { "host", aPlan.host_ },
      { "outgoing", aPlan.outgoing_ },
      { "voters", std::to_string(aPlan.members_.voters_size()) },
      { "learners", std::to_string(aPlan.members_.learners_size()) } });
}

void
LogRefusal(MemberPlanner& aPlanner,
           const consensus::MemberPlan& aPlan,
           const consensus::ConsensusState& aConsensus,
           Instant aNow)
{
  const bool known = aPlanner.loggedHost_ == aPlan.outgoing_ &&
                     aPlanner.loggedRefusal_ == aPlan.refusal_;
  if (known && aNow - aPlanner.loggedAt_ < kRefusalLogIntervalMs) {
    return;
  }
  aPlanner.loggedHost_ = aPlan.outgoing_;
  aPlanner.loggedRefusal_ = aPlan.refusal_;
  aPlanner.loggedAt_ = aNow;
  const wire::MemberChange& members = Members(aConsensus);
  foundation::LogWarning(
    "control",
    "members-change-refused",
    { { "outgoing", aPlan.outgoing_ },
      { "reason", std::string(ToText(aPlan.refusal_)) },
      { "voters", std::to_string(members.voters_size()) },
      { "wanted", std::to_string(aPlanner.wantedVoters_) },
      { "learners", std::to_string(members.learners_size()) } });
}

} // namespace

std::optional<wire::ControlRecord>
PlanMemberChange(MemberPlanner& aPlanner,
                 const consensus::ConsensusState& aConsensus,
                 const core::failover::FailoverState& aLeader,
                 Instant aNow)
{
  if (aPlanner.wantedVoters_ == 0 || aNow < aPlanner.nextPlan_) {
    return std::nullopt;
  }
  aPlanner.nextPlan_ = aNow + kMemberChangeIntervalMs;
  const consensus::MemberPlan plan = consensus::PlanMembers(
    aConsensus, ListCandidates(aLeader), aPlanner.wantedVoters_, aNow);
  if (plan.refusal_ != consensus::ChangeRefusal::None) {
    LogRefusal(aPlanner, plan, aConsensus, aNow);
  }
  if (plan.step_ == consensus::MemberStep::None) {
    return std::nullopt;
  }
  LogStep(plan);
  wire::ControlRecord record;
  *record.mutable_members() = plan.members_;
  return record;
}

} // namespace wigeonlb::daemon::control
