#include "core/failover/internal/groupidle.h"
#include "core/failover/internal/announcedtargets.h"

#include <algorithm>

#include "core/failover/internal/countedtargets.h"
#include "core/failover/internal/groupcontext.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

using foundation::Duration;
using foundation::Instant;

namespace {

constexpr Instant kStepDue = Instant::min();

bool
AreReadsPending(const GroupContext& aContext)
{
  return std::ranges::any_of(aContext.progress_.reads_, [&](const auto& aItem) {
    const auto& read = aItem.second;
    const bool failed = read.failingSince_ &&
                        aContext.now_ - read.lastFailedAt_ <= kObserverMaxAgeMs;
    return read.requestedAt_.has_value() || failed;
  });
}

//! True when an observation is no reason for a suspicion or an expulsion. Until
//! a report arrives for which NeedsStep() is true, the target's log only grows.
bool
IsHealthy(const GroupContext& aContext,
          const membership::Observation& aObservation,
          const wire::TargetState& aTarget)
{
  const auto& group = aContext.group_;
  const auto& report = aObservation.report_;
  const bool leads = aTarget.target() == group.primary();
  return aObservation.probedAt_ >= aContext.progress_.termSince_ &&
         !aObservation.unreachableSince_ && !aObservation.rebuilt_ &&
         report.reachable() && !report.diverged() &&
         report.primary() == leads && report.adopted_term() == group.term() &&
         report.incarnation() == aTarget.incarnation() &&
         positions::GetWrittenPosition(report, group).term_ == group.term();
}

//! Until when the observations show the target as healthy; kStepDue when they
//! do not.
Instant
ComputeHealthyUntil(const GroupContext& aContext,
                    const wire::TargetState& aTarget)
{
  const auto& group = aContext.group_;
  const auto* entry = membership::FindTarget(
    aContext.state_.membership_, group.group(), aTarget.target());
  if (entry == nullptr || entry->observations_.empty()) {
    return kStepDue;
  }
  const auto& announcement = entry->announcement_;
  if (announcement && (announcement->leaving() ||
                       announcement->incarnation() != aTarget.incarnation())) {
    return kStepDue;
  }
  auto newest = Instant::min();
  for (const auto& [observer, observation] : entry->observations_) {
    if (!IsHealthy(aContext, observation, aTarget)) {
      return kStepDue;
    }
    newest = std::max(newest, observation.probedAt_);
  }
  // The leader itself reads the primary once no owner reports on it.
  const bool leads = aTarget.target() == group.primary();
  const Duration length =
    leads ? kObserverMaxAgeMs : membership::kTargetTimeoutMs;
  return newest + length;
}

Instant
ComputeLiveIdleUntil(const GroupContext& aContext)
{
  const auto& group = aContext.group_;
  const auto& progress = aContext.progress_;
  const bool planned = !group.requested_primary().empty() &&
                       group.requested_primary() != group.primary();
  const bool unsettled =
    GetAcknowledgement(group) == Acknowledgement::Majority &&
    (!progress.settledAt_ ||
     positions::CountedTargetCount(group) < GetGroupSize(group));
  if (planned || unsettled || !progress.waitingReason_.empty()) {
    return kStepDue;
  }
  auto until = Instant::max();
  for (const auto& target : group.targets()) {
    until = std::min(until, ComputeHealthyUntil(aContext, target));
  }
  return until;
}

} // namespace

Instant
ComputeIdleUntil(const GroupContext& aContext)
{
  const auto& group = aContext.group_;
  if (AreReadsPending(aContext) || IsProposalPending(aContext) ||
      group.fenced() || !group.promoting().empty()) {
    return kStepDue;
  }
  if (!group.primary().empty()) {
    return ComputeLiveIdleUntil(aContext);
  }
  const bool announced =
    aContext.state_.membership_.targets_.contains(group.group());
  return announced || !group.targets().empty() ? kStepDue : Instant::max();
}

bool
NeedsStep(const membership::MembershipState& aState,
          const foundation::HostId& aObserver,
          const wire::TargetReport& aReport,
          Instant aNow)
{
  const auto* entry =
    membership::FindTarget(aState, aReport.group(), aReport.target());
  if (entry == nullptr) {
    return true;
  }
  const auto observation = entry->observations_.find(aObserver);
  if (observation == entry->observations_.end()) {
    return true;
  }
  const auto& known = observation->second.report_;
  return known.reachable() != aReport.reachable() ||
         known.primary() != aReport.primary() ||
         known.diverged() != aReport.diverged() ||
         known.adopted_term() != aReport.adopted_term() ||
         known.incarnation() != aReport.incarnation() ||
         known.synced_offset() > aReport.synced_offset() ||
         aNow - Duration(aReport.age_us()) < observation->second.probedAt_;
}

bool
NeedsStep(const membership::MembershipState& aState,
          const wire::GroupState& aGroup,
          const wire::Announcement& aAnnouncement,
          Instant aNow)
{
  const auto* known = positions::FindTarget(aGroup, aAnnouncement.target());
  return known == nullptr || aAnnouncement.leaving() ||
         !MatchesAnnouncement(*known, aAnnouncement) ||
         !membership::AcceptsNewWork(
           aState, aAnnouncement.group(), aAnnouncement.target(), aNow);
}

} // namespace wigeonlb::core::failover
