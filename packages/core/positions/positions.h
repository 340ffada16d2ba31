#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "control.pb.h"
#include "foundation/logposition.h"

//! How a target's report is read against the decided history of its group.
namespace wigeonlb::core::positions {

//! Position of the log that the target has synced to disk.
//! NOTE A report that has adopted term t+1 with an offset below the start of
//! t+1 counts with the term that the offset belongs to.
foundation::LogPosition
WrittenPosition(const wire::TargetReport& aReport,
                const wire::GroupState& aGroup);

//! Position that a target is ranked by when a primary is chosen: as
//! WrittenPosition, but one that has no log of its term yet counts with the
//! term before. It holds no more than a target of that term at this offset.
foundation::LogPosition
ChoicePosition(const wire::TargetReport& aReport,
               const wire::GroupState& aGroup);

//! Position that reads on the target can see; terms as in WrittenPosition.
foundation::LogPosition
AppliedPosition(const wire::TargetReport& aReport,
                const wire::GroupState& aGroup);

//! True when the target holds log of a term that was chosen but never
//! confirmed, or that was skipped by a later one. Its position means nothing.
bool
IsOnAbandonedTerm(const wire::TargetReport& aReport,
                  const wire::GroupState& aGroup);

//! True when the target holds log that is not part of the primary's: as
//! IsOnAbandonedTerm, or past the start of a later term, or as it says itself:
//! one that has adopted a term without giving up its own tail can't be told by
//! its position. NOTE One past the start of a later term, a primary that was
//! replaced, still tells of its own term, and so counts when the next primary
//! is chosen.
bool
IsDiverged(const wire::TargetReport& aReport, const wire::GroupState& aGroup);

//! What one observer last saw of a target.
struct KnownTarget
{
  std::uint64_t incarnation_ = 0;
  std::uint64_t highestSynced_ = 0; //!< highest synced offset, in bytes
};

//! True when the incarnation differs from the known one, or the synced offset
//! went back.
//! NOTE The report must be from a later probe than what is known, by order of
//! cause and not by clocks: from the same observer, or by a read that was sent
//! after the known report had arrived.
bool
IsRebuilt(const wire::TargetReport& aReport, const KnownTarget& aKnown);

//! The entry of a target, or null.
const wire::TargetState*
FindTarget(const wire::GroupState& aGroup, std::string_view aTarget);

//! Number of targets that count for majorities.
std::size_t
CountedTargetCount(const wire::GroupState& aGroup);

//! Size of a majority of so many members.
constexpr std::size_t
MajoritySize(std::size_t aMembers)
{
  return aMembers / 2 + 1;
}

//! True when the report may count for a majority: reachable, of a counted
//! target, with the admitted incarnation, and neither off the history nor
//! diverged by its own word.
bool
CountsForMajority(const wire::TargetReport& aReport,
                  const wire::GroupState& aGroup);

//! Highest position in the current term that a majority of the counted targets,
//! the primary included, has synced. Empty when there is none.
//! aReports holds at most one report for each target of the group.
std::optional<foundation::LogPosition>
MajorityPosition(std::span<const wire::TargetReport> aReports,
                 const wire::GroupState& aGroup);

} // namespace wigeonlb::core::positions
