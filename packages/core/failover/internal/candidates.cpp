#include "core/failover/internal/candidates.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "core/failover/internal/departedtargets.h"
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
  return positions::CountsForMajority(aReport, group) && !read->second.rebuilt_;
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

//! Compares by position, then prefers a target that is not draining, then more
//! owners in the target's data centre, then the smaller name.
bool
IsBetter(const GroupContext& aContext,
         const Candidate& aLeft,
         const Candidate& aRight)
{
  if (aLeft.position_ != aRight.position_) {
    return aLeft.position_ > aRight.position_;
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

//! True for the confirmed primary of the term in force that still leads it. It
//! was a member of each majority that acknowledged writes in the term, and
//! began the term with all earlier writes.
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
IsPlanned(const wire::GroupState& aGroup)
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
    if (IsPlanned(aContext.group_) &&
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

//! The highest position that a write acknowledged by `one_replica` can have;
//! empty while the reads don't tell. Such a write is in the log of the primary
//! and in that of another target that counts or has departed: it is not beyond
//! the primary's end, and not beyond the last of all the others.
std::optional<LogPosition>
FindAcknowledgedBound(const GroupContext& aContext,
                      const std::vector<Candidate>& aCandidates)
{
  std::optional<LogPosition> ofPrimary;
  LogPosition ofOthers;
  std::size_t othersRead = 0;
  for (const Candidate& candidate : aCandidates) {
    if (IsPrimary(aContext, candidate)) {
      ofPrimary = candidate.position_;
    } else {
      ofOthers = std::max(ofOthers, candidate.position_);
      ++othersRead;
    }
  }
  const auto& group = aContext.group_;
  const auto others =
    std::ranges::count_if(group.targets(), [&](const auto& aTarget) {
      return aTarget.counted() && aTarget.target() != group.primary();
    });
  const std::size_t departed = CountMissingDeparted(aContext, aCandidates);
  if (othersRead < static_cast<std::size_t>(others) + departed) {
    return ofPrimary;
  }
  return ofPrimary ? std::min(*ofPrimary, ofOthers) : ofOthers;
}

//! The candidates whose log holds every write that one replica has received.
//! Preferences choose only among these.
std::vector<Candidate>
FilterByOneReplica(const GroupContext& aContext,
                   const std::vector<Candidate>& aCandidates)
{
  const auto bound = FindAcknowledgedBound(aContext, aCandidates);
  std::vector<Candidate> safe;
  std::ranges::copy_if(
    aCandidates, std::back_inserter(safe), [&](const Candidate& aCandidate) {
      return bound && aCandidate.position_ >= *bound;
    });
  return safe;
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

std::vector<Candidate>
ListCandidates(const GroupContext& aContext, Instant aSince)
{
  std::vector<Candidate> candidates;
  for (const auto& target : aContext.group_.targets()) {
    const auto* report = FindOwnReport(aContext, target.target(), aSince);
    if (target.counted() && report != nullptr && MayCount(aContext, *report)) {
      candidates.push_back(
        { &target, report, GetRankPosition(aContext, *report) });
    }
  }
  return candidates;
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
    IsPlanned(group) && chosen.target_->target() == group.requested_primary();
  if (requested || (isOther(chosen) && !IsPlanned(group))) {
    return chosen;
  }
  const auto* primary = positions::FindTarget(group, group.primary());
  const bool leaves = primary != nullptr && primary->leaving();
  const auto wait =
    leaves || IsPlanned(group) ? kPlannedCatchUpWaitMs : kCatchUpWaitMs;
  if (aContext.now_ - *aContext.progress_.safeSince_ < wait) {
    return std::nullopt;
  }
  return FindBest(
    aContext,
    KeepPreferred(KeepPromising(aContext, std::move(promotable)), isOther));
}

} // namespace wigeonlb::core::failover
