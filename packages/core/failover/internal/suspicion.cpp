#include "core/failover/internal/suspicion.h"

#include <algorithm>

#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

using foundation::Duration;
using foundation::Instant;

namespace {

//! Recent reports of the primary's observers: the group's owners and the
//! leader.
struct Observations
{
  std::size_t observers_ = 0;
  std::size_t owners_ = 0;
  std::size_t unreachable_ = 0;
  Instant unreachableSince_ = Instant::max();
  //! When the leader's last answered read was requested, on a new connection.
  std::optional<Instant> answeredSince_;
  //! An observer finds the primary unreachable or in another role.
  bool suspected_ = false;
};

//! True when the target is reachable but is not the committed primary any more.
bool
HasLostPrimaryRole(const wire::TargetReport& aReport,
                   const wire::TargetState& aTarget,
                   const wire::GroupState& aGroup)
{
  return aReport.reachable() &&
         (aReport.incarnation() != aTarget.incarnation() ||
          !aReport.primary() || aReport.adopted_term() != aGroup.term());
}

void
AddUnreachable(Observations& aObservations, Instant aSince)
{
  ++aObservations.unreachable_;
  aObservations.unreachableSince_ =
    std::min(aObservations.unreachableSince_, aSince);
  aObservations.suspected_ = true;
}

void
AddOwnerObservations(Observations& aObservations,
                     const GroupContext& aContext,
                     const wire::TargetState& aPrimary)
{
  const auto* entry = membership::FindTarget(
    aContext.state_.membership_, aContext.group_.group(), aPrimary.target());
  if (entry == nullptr) {
    return;
  }
  for (const auto& [observer, observation] : entry->observations_) {
    const bool fresh =
      aContext.now_ - observation.probedAt_ <= kObserverMaxAgeMs &&
      observation.probedAt_ >= aContext.progress_.termSince_;
    if (!fresh) {
      continue;
    }
    ++aObservations.observers_;
    ++aObservations.owners_;
    if (observation.unreachableSince_) {
      AddUnreachable(aObservations, *observation.unreachableSince_);
    } else if (HasLostPrimaryRole(
                 observation.report_, aPrimary, aContext.group_)) {
      aObservations.suspected_ = true;
    }
  }
}

//! Adds the leader's own reads of the primary.
void
AddLeaderObservation(Observations& aObservations,
                     const GroupContext& aContext,
                     const wire::TargetState& aPrimary)
{
  const auto read = aContext.progress_.reads_.find(aPrimary.target());
  if (read == aContext.progress_.reads_.end()) {
    return;
  }
  const auto& own = read->second;
  const bool failed = own.failingSince_.has_value() &&
                      aContext.now_ - own.lastFailedAt_ <= kObserverMaxAgeMs;
  const bool answered =
    own.report_ && aContext.now_ - own.reportReceivedAt_ <= kObserverMaxAgeMs;
  if (failed) {
    ++aObservations.observers_;
    AddUnreachable(aObservations, *own.failingSince_);
  } else if (answered) {
    ++aObservations.observers_;
    aObservations.answeredSince_ = own.reportRequestedAt_;
  }
}

//! How long the observers must find the primary unreachable before its term is
//! fenced. Open connections can stop responding while new ones work; in that
//! case the observers get time to reconnect.
Duration
GetRequiredSuspicionTime(const Observations& aObservations)
{
  const bool answersNewConnections =
    aObservations.answeredSince_ &&
    *aObservations.answeredSince_ >= aObservations.unreachableSince_;
  return answersNewConnections ? kContradictedSuspicionMs : kSuspicionMs;
}

bool
HasLostPrimaryRoleByOwnRead(const GroupContext& aContext,
                            const wire::TargetState& aPrimary)
{
  const auto* report =
    FindOwnReport(aContext, aPrimary.target(), aContext.progress_.termSince_);
  return report != nullptr &&
         HasLostPrimaryRole(*report, aPrimary, aContext.group_);
}

} // namespace

std::optional<std::string>
SuspectPrimary(GroupContext& aContext)
{
  const auto& group = aContext.group_;
  const auto* primary = positions::FindTarget(group, group.primary());
  if (primary == nullptr) {
    return "the primary is no longer a target of the group";
  }
  Observations observations;
  AddOwnerObservations(observations, aContext, *primary);
  const bool observedByOwners = observations.owners_ > 0;
  AddLeaderObservation(observations, aContext, *primary);
  if (observations.suspected_) {
    RequestRead(aContext, *primary, kRetryIntervalMs);
  } else if (!observedByOwners) {
    RequestRead(aContext, *primary, kPollIntervalMs);
  }
  if (HasLostPrimaryRoleByOwnRead(aContext, *primary)) {
    return "it is not the primary of the term any more";
  }
  const auto unreachableFor =
    observations.unreachable_ == 0
      ? Duration(0)
      : aContext.now_ - observations.unreachableSince_;
  const bool majorityAgrees =
    observations.unreachable_ >= 2 &&
    2 * observations.unreachable_ > observations.observers_;
  if (majorityAgrees &&
      unreachableFor >= GetRequiredSuspicionTime(observations)) {
    return std::to_string(observations.unreachable_) + " of " +
           std::to_string(observations.observers_) +
           " observers find the primary unreachable";
  }
  const bool onlyLeaderObserves =
    observations.unreachable_ == 1 && observations.observers_ == 1;
  if (onlyLeaderObserves && !observedByOwners &&
      unreachableFor >= kLeaderOnlySuspicionMs) {
    return "no owner reports, and the leader can't reach the primary";
  }
  return std::nullopt;
}

} // namespace wigeonlb::core::failover
