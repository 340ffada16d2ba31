#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "control.pb.h"
#include "foundation/logposition.h"

//! Interpretation of a target's report by the committed term history of its
//! group.
//! A target follows the primary of a term by adopting the term, possibly before
//! it receives any log of that term. Its position therefore consists of its
//! log offset, in bytes or commits, and the term that this part of the log
//! belongs to. A group's history lists the term starts: the offset at which
//! each chosen term begins, and the parent term whose log it continues.
namespace wigeonlb::core::positions {

//! Position up to which the target has synced its log to disk.
//! NOTE For a target that has adopted term t+1 but is below the start of t+1,
//! this is the term that the offset belongs to.
foundation::LogPosition
GetWrittenPosition(const wire::TargetReport& aReport,
                   const wire::GroupState& aGroup);

//! Position that ranks a target when a primary is chosen: as
//! GetWrittenPosition, but a target without any log of its term yet gets the
//! parent term, because it holds no more than a target of the parent term at
//! this offset.
foundation::LogPosition
GetChoicePosition(const wire::TargetReport& aReport,
                  const wire::GroupState& aGroup);

//! Position whose writes are visible to reads on the target; the term is
//! determined as in GetWrittenPosition.
foundation::LogPosition
GetAppliedPosition(const wire::TargetReport& aReport,
                   const wire::GroupState& aGroup);

//! True when the target holds log of an abandoned term: one that was chosen but
//! never confirmed, or whose log the primary's log does not continue. Its
//! position cannot be compared with others.
bool
IsOnAbandonedTerm(const wire::TargetReport& aReport,
                  const wire::GroupState& aGroup);

//! True when the target holds log that is not part of the primary's log: it is
//! on an abandoned term, its log extends past the start of a later term, or its
//! report says so. The report is needed for a target that has adopted a term
//! but kept its own tail: its position does not show the divergence.
//! NOTE A replaced primary whose log extends past the start of a later term
//! still reports its own term correctly, and so counts for a majority when the
//! next primary is chosen.
bool
IsDiverged(const wire::TargetReport& aReport, const wire::GroupState& aGroup);

//! State of a target as known to one observer.
struct KnownTarget
{
  std::uint64_t incarnation_ = 0;
  std::uint64_t highestSynced_ =
    0; //!< highest synced offset, in bytes or commits
};

//! True when the target has lost its data: the incarnation differs from the
//! known one, or the synced offset is lower.
//! NOTE The report must be from a later probe than the known state in causal
//! order, not by clocks: from the same observer, or from a read that was sent
//! after the known report had been received.
bool
IsRebuilt(const wire::TargetReport& aReport, const KnownTarget& aKnown);

//! The group's entry for a target, or null.
const wire::TargetState*
FindTarget(const wire::GroupState& aGroup, std::string_view aTarget);

//! Number of counted targets: those that count for majorities.
std::size_t
CountedTargetCount(const wire::GroupState& aGroup);

//! Smallest number of members that is a majority of aMembers.
constexpr std::size_t
MajoritySize(std::size_t aMembers)
{
  return aMembers / 2 + 1;
}

//! True when the report is of a reachable target with the admitted incarnation
//! that is not on an abandoned term and does not report itself as diverged.
bool
HoldsUsableLog(const wire::TargetReport& aReport,
               const wire::GroupState& aGroup);

//! True when the report may count for a majority: it is of a counted target
//! that holds a usable log.
bool
CountsForMajority(const wire::TargetReport& aReport,
                  const wire::GroupState& aGroup);

//! Highest position in the current term that a majority of the counted targets,
//! including the primary, has synced. Empty when there is none.
//! aReports must hold at most one report for each target of the group.
std::optional<foundation::LogPosition>
FindMajorityPosition(std::span<const wire::TargetReport> aReports,
                     const wire::GroupState& aGroup);

} // namespace wigeonlb::core::positions
