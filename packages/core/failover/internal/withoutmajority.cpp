#include "core/failover/internal/withoutmajority.h"

#include <utility>

#include "core/failover/internal/acknowledgedbound.h"
#include "core/failover/internal/announcedtargets.h"
#include "core/failover/internal/countedtargets.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

using foundation::Instant;

void
AdoptExistingPrimary(GroupContext& aContext)
{
  const wire::TargetReport* knownPrimary = nullptr;
  bool allAnswered = !aContext.group_.targets().empty();
  for (const auto& target : aContext.group_.targets()) {
    RequestRead(aContext, target, kPollIntervalMs);
    const auto* report = FindOwnReport(
      aContext, target.target(), aContext.now_ - 4 * kPollIntervalMs);
    const auto& read = aContext.progress_.reads_[target.target()];
    allAnswered &= report != nullptr ||
                   (read.failingSince_ && aContext.now_ - *read.failingSince_ >=
                                            kLeaderOnlySuspicionMs);
    const bool leads = report != nullptr && report->primary();
    if (leads && (knownPrimary == nullptr ||
                  report->adopted_term() > knownPrimary->adopted_term())) {
      knownPrimary = report;
    }
  }
  if (!allAnswered || knownPrimary == nullptr) {
    SetWaitingReason(aContext,
                     "waits to read all targets before the first primary");
    return;
  }
  ProposeFirst(aContext, *knownPrimary, true);
}

bool
ProposeLeaving(GroupContext& aContext)
{
  for (const auto& target : aContext.group_.targets()) {
    const auto* entry = membership::FindTarget(
      aContext.state_.membership_, aContext.group_.group(), target.target());
    if (target.leaving() || entry == nullptr || !entry->leaving_ ||
        entry->incarnation_ != target.incarnation()) {
      continue;
    }
    auto state = target;
    state.set_leaving(true);
    ProposeAdmission(aContext, std::move(state), "it leaves");
    return true;
  }
  return false;
}

namespace {

//! True for a target that announced its permanent shutdown, or that has neither
//! announced itself nor been reachable for kTargetExpiryMs. A new leader waits
//! that long, as it has received few announcements at first.
bool
HasDeparted(const GroupContext& aContext, const wire::TargetState& aTarget)
{
  const auto* entry = membership::FindTarget(
    aContext.state_.membership_, aContext.group_.group(), aTarget.target());
  const bool leadsLongEnough =
    aContext.now_ - aContext.state_.leadingSince_ >= kTargetExpiryMs;
  if (entry == nullptr) {
    return leadsLongEnough;
  }
  if (entry->announcement_ && entry->announcement_->gone() &&
      entry->incarnation_ == aTarget.incarnation()) {
    return true;
  }
  return leadsLongEnough &&
         aContext.now_ - entry->announcedAt_ >= kTargetExpiryMs &&
         !membership::AcceptsNewWork(aContext.state_.membership_,
                                     aContext.group_.group(),
                                     aTarget.target(),
                                     aContext.now_);
}

} // namespace

bool
ExpelOneDeparted(GroupContext& aContext)
{
  for (const auto& target : aContext.group_.targets()) {
    if (target.target() == aContext.group_.primary() ||
        !HasDeparted(aContext, target)) {
      continue;
    }
    const auto* entry = membership::FindTarget(
      aContext.state_.membership_, aContext.group_.group(), target.target());
    const auto since = entry != nullptr ? entry->announcedAt_ : Instant{};
    if (target.counted() && !MayRemove(aContext, target, since)) {
      continue;
    }
    wire::ControlRecord record;
    record.mutable_expel()->set_group(aContext.group_.group());
    record.mutable_expel()->set_target(target.target());
    record.mutable_expel()->set_reason("it is gone");
    record.mutable_expel()->set_gone(true);
    const auto acknowledged = FindPositionToKeep(aContext);
    if (target.counted() && acknowledged) {
      *record.mutable_expel()->mutable_acknowledged() = ToWire(*acknowledged);
    }
    ProposeRecord(
      aContext, std::move(record), "forget " + target.target() + ": gone");
    return true;
  }
  return false;
}

bool
AdmitNewcomer(GroupContext& aContext)
{
  if (GetAcknowledgement(aContext.group_) != Acknowledgement::OneReplica) {
    return false;
  }
  for (const auto* announcement : FindReceivingAnnouncements(aContext)) {
    const auto& name = announcement->target();
    if (positions::FindTarget(aContext.group_, name) == nullptr) {
      ProposeAdmission(aContext,
                       MakeTargetState(*announcement),
                       "announced while the term is fenced");
      return true;
    }
  }
  return false;
}

} // namespace wigeonlb::core::failover
