#include "core/failover/internal/plannedchange.h"

#include "core/membership/membership.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

namespace {

//! Why a planned change to this target cannot succeed now; empty when it can.
std::string
GetPromotionObstacle(const GroupContext& aContext, const std::string& aWanted)
{
  const auto& group = aContext.group_;
  const auto& membership = aContext.state_.membership_;
  const auto* target = positions::FindTarget(group, aWanted);
  if (target == nullptr || !target->counted()) {
    return "doesn't count";
  }
  const auto* report =
    membership::FindNewestReport(membership, group.group(), aWanted);
  const auto* primary =
    membership::FindNewestReport(membership, group.group(), group.primary());
  if (report == nullptr || primary == nullptr ||
      !positions::CountsForMajority(report->report_, group)) {
    return "doesn't report";
  }
  if (target->leaving()) {
    return "leaves";
  }
  const auto reached = positions::GetWrittenPosition(report->report_, group);
  const auto allowed =
    target->counts_terms() ? kPlannedLagCommits : kPlannedLagBytes;
  const bool isClose =
    reached.offset_ + allowed >= primary->report_.synced_offset();
  return isClose && reached.term_ == group.term() ? "" : "has not caught up";
}

//! The target that the operator requested, or, when the primary is leaving, any
//! target that can replace it. Empty when no change is planned.
std::string
FindDesiredPrimary(const GroupContext& aContext)
{
  const auto& group = aContext.group_;
  const auto* entry = membership::FindTarget(
    aContext.state_.membership_, group.group(), group.primary());
  const auto* primary = positions::FindTarget(group, group.primary());
  const bool leaves = (entry != nullptr && entry->leaving_) ||
                      (primary != nullptr && primary->leaving());
  if (!group.requested_primary().empty() || !leaves) {
    return group.requested_primary();
  }
  for (const auto& target : group.targets()) {
    if (target.target() != group.primary() &&
        GetPromotionObstacle(aContext, target.target()).empty()) {
      return target.target();
    }
  }
  return {};
}

} // namespace

void
StepPlannedChange(GroupContext& aContext)
{
  const auto& group = aContext.group_;
  auto& progress = aContext.progress_;
  const auto wanted = FindDesiredPrimary(aContext);
  if (wanted.empty() || wanted == group.primary() ||
      aContext.now_ - progress.plannedChangeAt_ < kPlannedRetryIntervalMs) {
    return;
  }
  const auto problem = GetPromotionObstacle(aContext, wanted);
  if (!problem.empty()) {
    SetWaitingReason(aContext, "promote: " + wanted + " " + problem);
    return;
  }
  progress.plannedChangeAt_ = aContext.now_;
  ProposeFence(aContext, "planned change to " + wanted);
}

} // namespace wigeonlb::core::failover
