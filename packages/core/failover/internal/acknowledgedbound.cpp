#include "core/failover/internal/acknowledgedbound.h"

#include <algorithm>
#include <iterator>

#include "core/failover/internal/countedtargets.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

using foundation::Instant;
using foundation::LogPosition;

namespace {

//! Null if nothing is known of the group's term.
const grants::TermWrites*
FindWrites(const GroupContext& aContext)
{
  const auto& writes = aContext.state_.grants_.writes_;
  const auto found = writes.find(aContext.group_.group());
  return found == writes.end() ? nullptr : &found->second;
}

grants::AcknowledgedBounds
FindTold(const GroupContext& aContext)
{
  return grants::FindAcknowledged(FindWrites(aContext), aContext.group_);
}

//! The position of the live primary, read after aSince; empty until it was.
std::optional<LogPosition>
ReadPrimary(GroupContext& aContext, Instant aSince)
{
  const auto& group = aContext.group_;
  const auto* primary = positions::FindTarget(group, group.primary());
  if (primary == nullptr) {
    return std::nullopt;
  }
  RequestRead(aContext, *primary, kPollIntervalMs);
  const auto* report = FindOwnReport(aContext, group.primary(), aSince);
  const bool leads = report != nullptr && report->primary() &&
                     report->adopted_term() == group.term() &&
                     report->incarnation() == primary->incarnation();
  return leads ? std::optional(positions::GetWrittenPosition(*report, group))
               : std::nullopt;
}

bool
IsPrimary(const GroupContext& aContext, const Candidate& aCandidate)
{
  return aCandidate.target_->target() == aContext.group_.primary();
}

//! The end of the longest log of a target that isn't the primary; empty until
//! every counted one was read. One that wasn't read may hold a write that was
//! acknowledged without a host's knowledge.
std::optional<LogPosition>
FindLongestReplica(const GroupContext& aContext,
                   std::span<const Candidate> aCandidates)
{
  LogPosition longest;
  for (const Candidate& candidate : aCandidates) {
    if (!IsPrimary(aContext, candidate)) {
      longest = std::max(longest, candidate.position_);
    }
  }
  const auto isMissing = [&](const wire::TargetState& aTarget) {
    return aTarget.counted() && aTarget.target() != aContext.group_.primary() &&
           std::ranges::none_of(aCandidates, [&](const Candidate& aCandidate) {
             return aCandidate.target_ == &aTarget;
           });
  };
  if (std::ranges::any_of(aContext.group_.targets(), isMissing)) {
    return std::nullopt;
  }
  return longest;
}

} // namespace

std::optional<LogPosition>
FindAcknowledgedBound(const GroupContext& aContext,
                      std::span<const Candidate> aCandidates)
{
  const auto& guards = aContext.state_.guards_;
  const auto primary =
    std::ranges::find_if(aCandidates, [&](const Candidate& aCandidate) {
      return IsPrimary(aContext, aCandidate);
    });
  if (primary != aCandidates.end() && guards.primaryBounds_) {
    return primary->position_;
  }
  const auto told = FindTold(aContext);
  if (told.isExact_ && guards.acknowledgedBounds_) {
    return told.most_;
  }
  const auto longest = FindLongestReplica(aContext, aCandidates);
  if (!longest || !guards.acknowledgedBounds_) {
    return longest;
  }
  return std::max(*longest, told.least_);
}

std::vector<Candidate>
FilterByOneReplica(const GroupContext& aContext,
                   std::span<const Candidate> aCandidates)
{
  const auto bound = FindAcknowledgedBound(aContext, aCandidates);
  std::vector<Candidate> safe;
  std::ranges::copy_if(
    aCandidates, std::back_inserter(safe), [&](const Candidate& aCandidate) {
      return bound && aCandidate.position_ >= *bound;
    });
  return safe;
}

std::string
DescribeMissingReplica(const GroupContext& aContext,
                       std::span<const Candidate> aCandidates)
{
  const auto bound = FindAcknowledgedBound(aContext, aCandidates);
  const auto told = FindTold(aContext);
  return "no replica is sure to hold every acknowledged write: " +
         std::to_string(aCandidates.size()) + " targets answer; " +
         (bound ? "none reaches " + foundation::ToString(*bound)
                : "not every counted one") +
         "; hosts told of writes up to " + foundation::ToString(told.most_) +
         (told.isExact_ ? "" : ", and may know of more") + "; waits for " +
         aContext.group_.primary() + " or for a target that reaches it";
}

bool
MayRemove(GroupContext& aContext,
          const wire::TargetState& aTarget,
          Instant aSince)
{
  const auto& group = aContext.group_;
  if (GetAcknowledgement(group) != Acknowledgement::OneReplica) {
    return true;
  }
  const auto* writes = FindWrites(aContext);
  const auto predecessorsEnd =
    grants::GetPredecessorGrantsEnd(aContext.state_.grants_, group.group());
  if (writes != nullptr && predecessorsEnd < aContext.now_ &&
      grants::HaveAllToldSince(*writes, std::max(aSince, predecessorsEnd))) {
    return true;
  }
  const auto position = ReadPrimary(aContext, aSince);
  return position &&
         std::ranges::any_of(group.targets(), [&](const auto& aOther) {
           return aOther.counted() && aOther.target() != group.primary() &&
                  aOther.target() != aTarget.target() &&
                  HasReached(aContext, aOther, *position, aSince);
         });
}

std::optional<LogPosition>
FindPositionToKeep(const GroupContext& aContext)
{
  if (GetAcknowledgement(aContext.group_) != Acknowledgement::OneReplica) {
    return std::nullopt;
  }
  return FindTold(aContext).most_;
}

} // namespace wigeonlb::core::failover
