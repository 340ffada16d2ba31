#include "core/positions/positions.h"

#include <algorithm>
#include <vector>

namespace wigeonlb::core::positions {

using foundation::LogPosition;

namespace {

//! The confirmed start of a term, or null.
const wire::TermStart*
FindStart(const wire::GroupState& aGroup, std::uint64_t aTerm)
{
  // A choice that is not confirmed yet is not part of the history.
  if (aTerm > aGroup.term()) {
    return nullptr;
  }
  for (const auto& start : aGroup.history()) {
    if (start.term() == aTerm) {
      return &start;
    }
  }
  return nullptr;
}

//! The term whose log a term continues; 0 for the first one known.
std::uint64_t
GetParentTerm(const wire::TermStart& aStart, const wire::GroupState& aGroup)
{
  if (aStart.parent_term() != 0) {
    return aStart.parent_term();
  }
  std::uint64_t parent = 0;
  for (const auto& start : aGroup.history()) {
    if (start.term() < aStart.term()) {
      parent = std::max(parent, start.term());
    }
  }
  return parent;
}

//! Calls aVisit for the start of each term whose log is part of the primary's
//! log, newest first. Terms can be missing: a term is skipped when the targets
//! that wrote in it are lost before another one has received its log.
template<class Visit>
void
ForEachLineageTerm(const wire::GroupState& aGroup, Visit aVisit)
{
  const auto* start = FindStart(aGroup, aGroup.term());
  while (start != nullptr) {
    aVisit(*start);
    start = FindStart(aGroup, GetParentTerm(*start, aGroup));
  }
}

bool
IsBeforeHistory(std::uint64_t aTerm, const wire::GroupState& aGroup)
{
  return aGroup.history().empty() || aTerm < aGroup.history(0).term();
}

LogPosition
GetPosition(std::uint64_t aAdoptedTerm,
            std::uint64_t aOffset,
            const wire::GroupState& aGroup)
{
  if (IsBeforeHistory(aAdoptedTerm, aGroup)) {
    return { aAdoptedTerm, aOffset };
  }
  std::uint64_t term = 0;
  ForEachLineageTerm(aGroup, [&](const auto& aStart) {
    if (aStart.term() <= aAdoptedTerm && aStart.start_offset() <= aOffset) {
      term = std::max(term, aStart.term());
    }
  });
  return { term, aOffset };
}

} // namespace

LogPosition
GetWrittenPosition(const wire::TargetReport& aReport,
                   const wire::GroupState& aGroup)
{
  return GetPosition(aReport.adopted_term(), aReport.synced_offset(), aGroup);
}

LogPosition
GetChoicePosition(const wire::TargetReport& aReport,
                  const wire::GroupState& aGroup)
{
  const auto position = GetWrittenPosition(aReport, aGroup);
  const auto* start = FindStart(aGroup, position.term_);
  if (start == nullptr || start->start_offset() < position.offset_ ||
      GetParentTerm(*start, aGroup) == 0) {
    return position;
  }
  return { GetParentTerm(*start, aGroup), position.offset_ };
}

LogPosition
GetAppliedPosition(const wire::TargetReport& aReport,
                   const wire::GroupState& aGroup)
{
  return GetPosition(aReport.adopted_term(), aReport.applied_offset(), aGroup);
}

bool
IsOnAbandonedTerm(const wire::TargetReport& aReport,
                  const wire::GroupState& aGroup)
{
  const auto adopted = aReport.adopted_term();
  if (IsBeforeHistory(adopted, aGroup) || adopted > aGroup.term()) {
    return false;
  }
  const auto* own = FindStart(aGroup, adopted);
  bool onLineage = false;
  ForEachLineageTerm(aGroup, [&](const auto& aStart) {
    onLineage = onLineage || aStart.term() == adopted;
  });
  return !onLineage &&
         (own == nullptr || aReport.synced_offset() > own->start_offset());
}

bool
IsDiverged(const wire::TargetReport& aReport, const wire::GroupState& aGroup)
{
  bool isDiverged = aReport.diverged();
  ForEachLineageTerm(aGroup, [&](const auto& aStart) {
    isDiverged =
      isDiverged || (aStart.term() > aReport.adopted_term() &&
                     aReport.synced_offset() > aStart.start_offset());
  });
  return isDiverged || IsOnAbandonedTerm(aReport, aGroup);
}

bool
IsRebuilt(const wire::TargetReport& aReport, const KnownTarget& aKnown)
{
  return aReport.incarnation() != aKnown.incarnation_ ||
         aReport.synced_offset() < aKnown.highestSynced_;
}

const wire::TargetState*
FindTarget(const wire::GroupState& aGroup, std::string_view aTarget)
{
  for (const auto& target : aGroup.targets()) {
    if (target.target() == aTarget) {
      return &target;
    }
  }
  return nullptr;
}

std::size_t
CountedTargetCount(const wire::GroupState& aGroup)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aGroup.targets(), &wire::TargetState::counted));
}

bool
HoldsUsableLog(const wire::TargetReport& aReport,
               const wire::GroupState& aGroup)
{
  const auto* target = FindTarget(aGroup, aReport.target());
  return target != nullptr && aReport.reachable() &&
         target->incarnation() == aReport.incarnation() &&
         !aReport.diverged() && !IsOnAbandonedTerm(aReport, aGroup);
}

bool
CountsForMajority(const wire::TargetReport& aReport,
                  const wire::GroupState& aGroup)
{
  const auto* target = FindTarget(aGroup, aReport.target());
  return target != nullptr && target->counted() &&
         HoldsUsableLog(aReport, aGroup);
}

std::optional<LogPosition>
FindMajorityPosition(std::span<const wire::TargetReport> aReports,
                     const wire::GroupState& aGroup)
{
  std::vector<std::uint64_t> offsets;
  bool hasPrimary = false;
  for (const auto& report : aReports) {
    const auto position = GetWrittenPosition(report, aGroup);
    if (position.term_ != aGroup.term() || !CountsForMajority(report, aGroup)) {
      continue;
    }
    hasPrimary = hasPrimary || report.target() == aGroup.primary();
    offsets.push_back(position.offset_);
  }
  const auto majority = MajoritySize(CountedTargetCount(aGroup));
  if (!hasPrimary || offsets.size() < majority) {
    return std::nullopt;
  }
  std::ranges::sort(offsets, std::greater<>());
  return LogPosition{ aGroup.term(), offsets[majority - 1] };
}

} // namespace wigeonlb::core::positions
