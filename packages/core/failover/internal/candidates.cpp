#include "core/failover/internal/candidates.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "core/failover/internal/acknowledgedbound.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

using foundation::Instant;
using foundation::LogPosition;

namespace {

bool
MayCount(const GroupContext& aContext, const wire::TargetReport& aReport)
{
  const auto& guards = aContext.state_.guards_;
  const auto& group = aContext.group_;
  if (!guards.rebuiltIsNew_) {
    return aReport.reachable() && !aReport.diverged() &&
           !positions::IsOnAbandonedTerm(aReport, group);
  }
  const auto read = aContext.progress_.reads_.find(aReport.target());
  return positions::HoldsUsableLog(aReport, group) && !read->second.rebuilt_;
}

LogPosition
GetRankPosition(const GroupContext& aContext, const wire::TargetReport& aReport)
{
  if (!aContext.state_.guards_.writtenTerm_) {
    return { aReport.adopted_term(), aReport.synced_offset() };
  }
  return positions::GetChoicePosition(aReport, aContext.group_);
}

std::size_t
CountOwnersNear(const GroupContext& aContext, const wire::TargetState& aTarget)
{
  const auto owners = aContext.state_.owners_.find(aContext.group_.group());
  if (owners == aContext.state_.owners_.end()) {
    return 0;
  }
  const auto& hosts = aContext.state_.membership_.hosts_;
  return static_cast<std::size_t>(
    std::ranges::count_if(owners->second.owners_, [&](const auto& aOwner) {
      const auto host = hosts.find(aOwner);
      return host != hosts.end() &&
             host->second.info_.data_centre() == aTarget.data_centre();
    }));
}

//! Compares by position, then prefers a counted target, then one that is not
//! draining, then more owners in the target's data centre, then the smaller
//! name.
bool
IsBetter(const GroupContext& aContext,
         const Candidate& aLeft,
         const Candidate& aRight)
{
  if (aLeft.position_ != aRight.position_) {
    return aLeft.position_ > aRight.position_;
  }
  if (aLeft.target_->counted() != aRight.target_->counted()) {
    return aLeft.target_->counted();
  }
  if (aLeft.target_->draining() != aRight.target_->draining()) {
    return !aLeft.target_->draining();
  }
  const auto left = CountOwnersNear(aContext, *aLeft.target_);
  const auto right = CountOwnersNear(aContext, *aRight.target_);
  return left != right ? left > right
                       : aLeft.target_->target() < aRight.target_->target();
}

//! The best of the candidates, which must not be empty.
Candidate
FindBest(const GroupContext& aContext,
         const std::vector<Candidate>& aCandidates)
{
  return *std::ranges::min_element(aCandidates,
                                   [&](const auto& aLeft, const auto& aRight) {
                                     return IsBetter(aContext, aLeft, aRight);
                                   });
}

bool
LeadsTermInForce(const GroupContext& aContext, const Candidate& aCandidate)
{
  const auto& group = aContext.group_;
  return aCandidate.target_->target() == group.primary() &&
         aCandidate.report_->primary() &&
         aCandidate.report_->adopted_term() == group.term();
}

//! The candidates for which aPredicate is true, or all if there is none.
template<class Predicate>
std::vector<Candidate>
KeepPreferred(std::vector<Candidate> aCandidates, Predicate aPredicate)
{
  if (std::ranges::any_of(aCandidates, aPredicate)) {
    std::erase_if(aCandidates, std::not_fn(aPredicate));
  }
  return aCandidates;
}

//! Leaves out, as far as others remain, candidates whose promotion failed, that
//! have diverged, or that leave.
std::vector<Candidate>
KeepPromising(const GroupContext& aContext, std::vector<Candidate> aCandidates)
{
  aCandidates =
    KeepPreferred(std::move(aCandidates), [&](const Candidate& aCandidate) {
      return FindFailure(aContext, aCandidate) == nullptr;
    });
  aCandidates =
    KeepPreferred(std::move(aCandidates), [&](const Candidate& aCandidate) {
      return !positions::IsDiverged(*aCandidate.report_, aContext.group_);
    });
  return KeepPreferred(std::move(aCandidates), [](const Candidate& aCandidate) {
    return !aCandidate.target_->leaving();
  });
}

bool
IsRequested(const wire::GroupState& aGroup)
{
  return !aGroup.requested_primary().empty() &&
         aGroup.requested_primary() != aGroup.primary();
}

//! The requested primary when its position equals that of the best candidate,
//! otherwise the best candidate.
Candidate
FindBestOrRequested(const GroupContext& aContext,
                    const std::vector<Candidate>& aCandidates)
{
  const auto best = FindBest(aContext, aCandidates);
  for (const auto& candidate : aCandidates) {
    if (IsRequested(aContext.group_) &&
        candidate.target_->target() == aContext.group_.requested_primary() &&
        candidate.position_ == best.position_) {
      return candidate;
    }
  }
  return best;
}

bool
IsPrimary(const GroupContext& aContext, const Candidate& aCandidate)
{
  return aCandidate.target_->target() == aContext.group_.primary();
}

//! The candidates that may be promoted without majority acknowledgement. Empty
//! when there is only the old primary, as promoting it would not start a new
//! term. With `primary`, a client can't rely on any of them: the one with the
//! longest log is chosen later.
std::vector<Candidate>
GetCandidatesWithoutMajority(const GroupContext& aContext,
                             const std::vector<Candidate>& aCandidates)
{
  const bool strict =
    GetAcknowledgement(aContext.group_) == Acknowledgement::OneReplica;
  auto safe = strict ? FilterByOneReplica(aContext, aCandidates) : aCandidates;
  const bool others =
    std::ranges::any_of(safe, [&](const Candidate& aCandidate) {
      return !IsPrimary(aContext, aCandidate);
    });
  return others ? std::move(safe) : std::vector<Candidate>{};
}

} // namespace

bool
IsReadForChoice(const wire::GroupState& aGroup,
                const wire::TargetState& aTarget)
{
  return aTarget.counted() ||
         GetAcknowledgement(aGroup) == Acknowledgement::OneReplica;
}

std::vector<Candidate>
ListCandidates(const GroupContext& aContext, Instant aSince)
{
  std::vector<Candidate> candidates;
  const auto& group = aContext.group_;
  for (const auto& target : group.targets()) {
    const auto* report = FindOwnReport(aContext, target.target(), aSince);
    if (IsReadForChoice(group, target) && report != nullptr &&
        MayCount(aContext, *report)) {
      candidates.push_back(
        { &target, report, GetRankPosition(aContext, *report) });
    }
  }
  return candidates;
}

const Candidate*
FindLeadingPrimary(const GroupContext& aContext,
                   std::span<const Candidate> aCandidates)
{
  const auto leading =
    std::ranges::find_if(aCandidates, [&](const Candidate& aCandidate) {
      return LeadsTermInForce(aContext, aCandidate);
    });
  return leading == aCandidates.end() ? nullptr : &*leading;
}

bool
IsPlannedChange(const wire::GroupState& aGroup)
{
  const auto* primary = positions::FindTarget(aGroup, aGroup.primary());
  return (primary != nullptr && primary->leaving()) || IsRequested(aGroup);
}

std::vector<Candidate>
FilterSafeCandidates(const GroupContext& aContext,
                     const std::vector<Candidate>& aCandidates)
{
  const auto& guards = aContext.state_.guards_;
  const auto counted = positions::CountedTargetCount(aContext.group_);
  if (GetAcknowledgement(aContext.group_) != Acknowledgement::Majority) {
    return GetCandidatesWithoutMajority(aContext, aCandidates);
  }
  const auto needed =
    guards.majorityRead_ ? positions::MajoritySize(counted) : 1;
  const auto isSafe = [&](const Candidate& aCandidate) {
    const auto notAbove =
      std::ranges::count_if(aCandidates, [&](const auto& aOther) {
        return !guards.safeChoice_ || aOther.position_ <= aCandidate.position_;
      });
    return static_cast<std::size_t>(notAbove) >= needed ||
           LeadsTermInForce(aContext, aCandidate);
  };
  std::vector<Candidate> safe;
  std::ranges::copy_if(aCandidates, std::back_inserter(safe), isSafe);
  return safe;
}

const FailedPromotion*
FindFailure(const GroupContext& aContext, const Candidate& aCandidate)
{
  const auto& failed = aContext.progress_.failedPromotions_;
  const auto found = failed.find(aCandidate.target_->target());
  const auto& report = *aCandidate.report_;
  const bool same = found != failed.end() &&
                    found->second.incarnation_ == report.incarnation() &&
                    found->second.adoptedTerm_ == report.adopted_term() &&
                    found->second.offset_ == report.synced_offset();
  return same ? &found->second : nullptr;
}

std::optional<Candidate>
ChooseCandidate(const GroupContext& aContext,
                const std::vector<Candidate>& aSafe)
{
  const auto& group = aContext.group_;
  const auto isOther = [&](const Candidate& aCandidate) {
    return !IsPrimary(aContext, aCandidate);
  };
  const auto hasFailed = [&](const Candidate& aCandidate) {
    return FindFailure(aContext, aCandidate) != nullptr;
  };
  auto promotable = aSafe;
  if (GetAcknowledgement(group) != Acknowledgement::Majority) {
    std::erase_if(promotable, std::not_fn(isOther));
  }
  if (std::ranges::all_of(promotable, hasFailed)) {
    return *std::ranges::min_element(
      promotable, {}, [&](const auto& aCandidate) {
        return FindFailure(aContext, aCandidate)->at_;
      });
  }
  const auto chosen =
    FindBestOrRequested(aContext, KeepPromising(aContext, aSafe));
  const bool requested =
    IsRequested(group) && chosen.target_->target() == group.requested_primary();
  if (requested || (isOther(chosen) && !IsRequested(group))) {
    return chosen;
  }
  const auto wait =
    IsPlannedChange(group) ? kPlannedCatchUpWaitMs : kCatchUpWaitMs;
  if (aContext.now_ - *aContext.progress_.safeSince_ < wait) {
    return std::nullopt;
  }
  return FindBest(
    aContext,
    KeepPreferred(KeepPromising(aContext, std::move(promotable)), isOther));
}

} // namespace wigeonlb::core::failover
