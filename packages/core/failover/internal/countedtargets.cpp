#include "core/failover/internal/countedtargets.h"

#include <algorithm>
#include <utility>

#include "core/failover/internal/acknowledgedbound.h"
#include "core/failover/internal/announcedtargets.h"
#include "core/failover/internal/withoutmajority.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

using foundation::Instant;

namespace {

void
ProposeExpulsion(GroupContext& aContext,
                 const std::string& aTarget,
                 const std::string& aReason)
{
  wire::ControlRecord record;
  record.mutable_expel()->set_group(aContext.group_.group());
  record.mutable_expel()->set_target(aTarget);
  record.mutable_expel()->set_reason(aReason);
  ProposeRecord(
    aContext, std::move(record), "expel " + aTarget + ": " + aReason);
}

//! The announcements by which targets are admitted. Where one replica
//! acknowledges writes, one that leaves may acknowledge them, too.
std::vector<const wire::Announcement*>
FindAdmissibleAnnouncements(const GroupContext& aContext)
{
  return GetAcknowledgement(aContext.group_) == Acknowledgement::OneReplica
           ? FindReceivingAnnouncements(aContext)
           : FindLiveAnnouncements(aContext);
}

//! Proposes to admit or update one target that announced itself. With aCounted,
//! a new target is counted at once, within the group's size if writes need a
//! majority. Returns whether a record was proposed.
bool
AdmitAnnounced(GroupContext& aContext, bool aCounted)
{
  const auto& group = aContext.group_;
  const auto acknowledgement = GetAcknowledgement(group);
  const bool hasRoom =
    acknowledgement != Acknowledgement::Majority ||
    positions::CountedTargetCount(group) < GetGroupSize(group);
  for (const auto* announcement : FindAdmissibleAnnouncements(aContext)) {
    const auto* known = positions::FindTarget(group, announcement->target());
    // Admitted while the term was fenced.
    const bool mustCount = known != nullptr && !known->counted() &&
                           acknowledgement == Acknowledgement::OneReplica;
    if (known != nullptr && !mustCount &&
        MatchesAnnouncement(*known, *announcement)) {
      continue;
    }
    auto state = MakeTargetState(*announcement);
    state.set_leaving(announcement->leaving());
    if (known != nullptr) {
      state.set_draining(known->draining());
    }
    const bool newIncarnation =
      known == nullptr || known->incarnation() != announcement->incarnation();
    if (known != nullptr && known->counted() && newIncarnation && !aCounted) {
      continue; // must be expelled first
    }
    state.set_counted(newIncarnation || mustCount ? aCounted && hasRoom
                                                  : known->counted());
    const bool replaced =
      known != nullptr && known->counted() && newIncarnation;
    const auto* entry = membership::FindTarget(
      aContext.state_.membership_, group.group(), announcement->target());
    if (replaced && !MayRemove(aContext, *known, entry->announcedAt_)) {
      continue;
    }
    ProposeAdmission(aContext,
                     std::move(state),
                     "announced",
                     replaced ? FindPositionToKeep(aContext) : std::nullopt);
    return true;
  }
  return false;
}

//! Requests reads of all counted targets and returns their reports; empty until
//! each one was read.
std::vector<const wire::TargetReport*>
CollectCountedReports(GroupContext& aContext)
{
  std::vector<const wire::TargetReport*> reports;
  for (const auto& target : aContext.group_.targets()) {
    if (!target.counted()) {
      continue;
    }
    RequestRead(aContext, target, kPollIntervalMs);
    const auto* report = FindOwnReport(
      aContext, target.target(), aContext.now_ - 2 * kPollIntervalMs);
    if (report != nullptr && report->incarnation() == target.incarnation()) {
      reports.push_back(report);
    }
  }
  const auto counted = positions::CountedTargetCount(aContext.group_);
  return reports.size() == counted ? reports
                                   : std::vector<const wire::TargetReport*>{};
}

//! True when every holder of a grant uses the current counted targets.
bool
AreCountedInForce(const GroupContext& aContext)
{
  const auto& state = aContext.state_;
  const auto holders = grants::FindUnreleasedHolders(state.grants_,
                                                     aContext.group_.group(),
                                                     aContext.group_.term(),
                                                     aContext.now_);
  const bool mayPredecessorGrantsRun =
    aContext.now_ <
    grants::GetPredecessorGrantsEnd(state.grants_, aContext.group_.group());
  return !mayPredecessorGrantsRun &&
         std::ranges::all_of(holders, [&](const auto& aHolder) {
           const auto known = state.revisionsInForce_.find(aHolder.host_);
           return known != state.revisionsInForce_.end() &&
                  known->second >= aContext.progress_.countedRevision_;
         });
}

std::string
JoinCountedNames(const wire::GroupState& aGroup)
{
  std::string names;
  for (const auto& target : aGroup.targets()) {
    names += target.counted() ? target.target() + "," : "";
  }
  return names;
}

//! Returns since when all holders use the current counted targets; empty while
//! some may use earlier ones.
std::optional<Instant>
UpdateSettledAt(GroupContext& aContext)
{
  auto& progress = aContext.progress_;
  const auto counted = JoinCountedNames(aContext.group_);
  if (progress.countedNames_ != counted) {
    progress.countedNames_ = counted;
    progress.countedRevision_ = aContext.group_.revision();
    progress.settledAt_.reset();
    progress.catchUpPosition_.reset();
  }
  if (!progress.settledAt_ && AreCountedInForce(aContext)) {
    progress.settledAt_ = aContext.now_;
  }
  return progress.settledAt_;
}

//! True when a read since aSince shows that the primary leads the term in
//! force.
bool
IsPrimaryAlive(GroupContext& aContext, Instant aSince)
{
  const auto& group = aContext.group_;
  const auto* primary = positions::FindTarget(group, group.primary());
  RequestRead(aContext, *primary, kPollIntervalMs);
  const auto* report = FindOwnReport(aContext, group.primary(), aSince);
  return report != nullptr && report->primary() &&
         report->adopted_term() == group.term() &&
         report->incarnation() == primary->incarnation();
}

//! Why a counted target must be expelled; empty when it need not.
std::string
GetExpulsionReason(GroupContext& aContext, const wire::TargetState& aTarget)
{
  const auto& group = aContext.group_;
  const auto* entry = membership::FindTarget(
    aContext.state_.membership_, group.group(), aTarget.target());
  if (entry == nullptr) {
    return {};
  }
  const auto& announcement = entry->announcement_;
  if (announcement && announcement->leaving()) {
    return "it leaves";
  }
  if (announcement && announcement->incarnation() != aTarget.incarnation()) {
    return "its data began anew";
  }
  for (const auto& [observer, observation] : entry->observations_) {
    const auto& report = observation.report_;
    if (observation.probedAt_ < aContext.progress_.termSince_ ||
        !report.reachable()) {
      continue;
    }
    if (observation.rebuilt_ || report.incarnation() != aTarget.incarnation()) {
      return "it was rebuilt";
    }
    if (positions::IsDiverged(report, group)) {
      return "its log has diverged";
    }
  }
  return {};
}

//! True while more targets are counted than a majority of the group's size.
//! With fewer counted targets, writes could be acknowledged by too few servers
//! and be lost with them.
bool
MayExpel(const GroupContext& aContext)
{
  const std::size_t least = aContext.state_.guards_.keepsMajorityOfSize_
                              ? GetGroupSize(aContext.group_) / 2 + 1
                              : 1;
  return positions::CountedTargetCount(aContext.group_) > least;
}

bool
ExpelOne(GroupContext& aContext)
{
  const auto& group = aContext.group_;
  for (const auto& target : group.targets()) {
    if (!target.counted() || target.target() == group.primary()) {
      continue;
    }
    const auto reason = GetExpulsionReason(aContext, target);
    if (reason.empty()) {
      continue;
    }
    if (!MayExpel(aContext)) {
      SetWaitingReason(
        aContext,
        "keeps " + target.target() + " counted, though " + reason +
          ": too few would be left; rebuild it or start another target");
      continue;
    }
    ProposeExpulsion(aContext, target.target(), reason);
    return true;
  }
  return false;
}

//! True when the target has reached the first position of the primary that was
//! read after the last change of the counted targets was in force. Every write
//! that was acknowledged by an earlier set of targets is at or below it.
bool
HasCaughtUp(GroupContext& aContext,
            const wire::TargetState& aTarget,
            Instant aSettledAt)
{
  const auto& group = aContext.group_;
  RequestRead(aContext, aTarget, kPollIntervalMs);
  auto& catchUpPosition = aContext.progress_.catchUpPosition_;
  const auto* primary = FindOwnReport(aContext, group.primary(), aSettledAt);
  if (!catchUpPosition && primary != nullptr) {
    catchUpPosition = positions::GetWrittenPosition(*primary, group);
  }
  return catchUpPosition &&
         HasReached(aContext, aTarget, *catchUpPosition, aSettledAt);
}

//! Sets the waiting reason when no majority follows the live primary, so that
//! writes are not acknowledged.
void
ReportMissingMajority(GroupContext& aContext)
{
  const auto& group = aContext.group_;
  std::vector<wire::TargetReport> reports;
  for (const auto& target : group.targets()) {
    const auto* newest = membership::FindNewestReport(
      aContext.state_.membership_, group.group(), target.target());
    if (newest != nullptr) {
      reports.push_back(newest->report_);
    }
  }
  if (!positions::FindMajorityPosition(reports, group)) {
    SetWaitingReason(
      aContext,
      "writes wait: no majority of the counted targets follows " +
        group.primary());
  }
}

//! The target as it would be admitted: the target itself when it is not
//! counted, or with its new incarnation when it is counted but was restarted
//! without its data. Empty when it is counted and unchanged.
std::optional<wire::TargetState>
MakeAdmissionCandidate(const GroupContext& aContext,
                       const wire::TargetState& aTarget)
{
  if (!aTarget.counted()) {
    return aTarget;
  }
  const auto* entry = membership::FindTarget(
    aContext.state_.membership_, aContext.group_.group(), aTarget.target());
  if (entry == nullptr || !entry->announcement_ ||
      entry->announcement_->incarnation() == aTarget.incarnation()) {
    return std::nullopt;
  }
  auto state = MakeTargetState(*entry->announcement_);
  state.set_draining(aTarget.draining());
  return state;
}

bool
CountOneTarget(GroupContext& aContext, Instant aSettledAt)
{
  const auto& group = aContext.group_;
  if (positions::CountedTargetCount(group) >= GetGroupSize(group)) {
    return false;
  }
  for (const auto& target : group.targets()) {
    const bool announced =
      membership::AcceptsNewWork(aContext.state_.membership_,
                                 group.group(),
                                 target.target(),
                                 aContext.now_);
    auto state = MakeAdmissionCandidate(aContext, target);
    if (!state || !announced || !HasCaughtUp(aContext, *state, aSettledAt)) {
      continue;
    }
    membership::ClearRebuildObservation(
      aContext.state_.membership_, group.group(), target.target());
    aContext.progress_.reads_[target.target()].highestKnownOffset_ = 0;
    state->set_counted(true);
    ProposeAdmission(aContext, std::move(*state), "caught up");
    return true;
  }
  return false;
}

} // namespace

bool
HasReached(GroupContext& aContext,
           const wire::TargetState& aTarget,
           foundation::LogPosition aPosition,
           Instant aSince)
{
  RequestRead(aContext, aTarget, kPollIntervalMs);
  const auto* report = FindOwnReport(aContext, aTarget.target(), aSince);
  return report != nullptr && report->incarnation() == aTarget.incarnation() &&
         !positions::IsDiverged(*report, aContext.group_) &&
         positions::GetWrittenPosition(*report, aContext.group_) >= aPosition;
}

void
ProposeAdmission(GroupContext& aContext,
                 wire::TargetState aTarget,
                 const std::string& aReason,
                 const std::optional<foundation::LogPosition>& aAcknowledged)
{
  const auto name = aTarget.target();
  wire::ControlRecord record;
  record.mutable_admit()->set_group(aContext.group_.group());
  if (aAcknowledged) {
    *record.mutable_admit()->mutable_acknowledged() = ToWire(*aAcknowledged);
  }
  *record.mutable_admit()->mutable_target() = std::move(aTarget);
  ProposeRecord(aContext, std::move(record), "admit " + name + ": " + aReason);
}

void
ProposeFirst(GroupContext& aContext,
             const wire::TargetReport& aReport,
             bool aIsPrimary)
{
  const auto& group = aContext.group_;
  // The term of a target that already is primary is adopted from its beginning.
  const auto term = aIsPrimary
                      ? std::max<std::uint64_t>(aReport.adopted_term(), 1)
                      : aReport.adopted_term() + 1;
  const auto start = aIsPrimary ? 0 : aReport.synced_offset();
  const auto reason = std::string(aIsPrimary ? "adopt " : "promote ") +
                      aReport.target() + " as first primary";
  wire::ControlRecord choice;
  auto* choose = choice.mutable_choose();
  choose->set_group(group.group());
  choose->set_term(term);
  choose->set_target(aReport.target());
  choose->set_start_offset(start);
  choose->set_reason(reason);
  ProposeRecord(aContext, std::move(choice), reason);
  if (!aIsPrimary || aReport.adopted_term() == 0) {
    return;
  }
  wire::ControlRecord confirmation;
  auto* confirm = confirmation.mutable_confirm();
  confirm->set_group(group.group());
  confirm->set_term(term);
  confirm->set_target(aReport.target());
  confirm->set_start_offset(start);
  ProposeRecord(aContext, std::move(confirmation), "confirm " + reason);
}

void
StepFirstPrimary(GroupContext& aContext)
{
  const auto& group = aContext.group_;
  if (AdmitAnnounced(aContext, true)) {
    return;
  }
  if (GetAcknowledgement(group) != Acknowledgement::Majority) {
    AdoptExistingPrimary(aContext);
    return;
  }
  const auto counted = positions::CountedTargetCount(group);
  if (counted < GetGroupSize(group)) {
    SetWaitingReason(aContext,
                     std::to_string(counted) + " of " +
                       std::to_string(GetGroupSize(group)) +
                       " targets have announced");
    return;
  }
  const auto reports = CollectCountedReports(aContext);
  if (reports.empty()) {
    SetWaitingReason(aContext,
                     "waits to read all targets before the first primary");
    return;
  }
  const auto byTerm = [](const auto* aLeft, const auto* aRight) {
    return std::pair(aLeft->adopted_term(), aLeft->synced_offset()) <
           std::pair(aRight->adopted_term(), aRight->synced_offset());
  };
  const auto highest = (*std::ranges::max_element(reports, byTerm));
  const auto leadsHighestTerm = [&](const auto* aReport) {
    return aReport->primary() &&
           aReport->adopted_term() == highest->adopted_term();
  };
  const auto primaryCount = std::ranges::count_if(reports, leadsHighestTerm);
  if (primaryCount > 1) {
    SetWaitingReason(aContext, "more than one target leads the same term");
    return;
  }
  const auto primaryReport = std::ranges::find_if(reports, leadsHighestTerm);
  const bool found = primaryReport != reports.end();
  ProposeFirst(aContext, found ? **primaryReport : *highest, found);
}

void
StepCountedTargets(GroupContext& aContext)
{
  if (ProposeLeaving(aContext)) {
    return;
  }
  if (GetAcknowledgement(aContext.group_) != Acknowledgement::Majority) {
    if (!AdmitAnnounced(aContext, true)) {
      ExpelOneDeparted(aContext);
    }
    return;
  }
  ReportMissingMajority(aContext);
  const auto settledAt = UpdateSettledAt(aContext);
  if (!settledAt || IsProposalPending(aContext)) {
    return;
  }
  const auto& group = aContext.group_;
  const bool changeNeeded =
    positions::CountedTargetCount(group) < GetGroupSize(group) ||
    std::ranges::any_of(group.targets(), [&](const auto& aTarget) {
      return aTarget.counted() &&
             !GetExpulsionReason(aContext, aTarget).empty();
    });
  if (AdmitAnnounced(aContext, false)) {
    return;
  }
  if (!changeNeeded || !IsPrimaryAlive(aContext, *settledAt)) {
    return;
  }
  if (!ExpelOne(aContext)) {
    CountOneTarget(aContext, *settledAt);
  }
}

} // namespace wigeonlb::core::failover
