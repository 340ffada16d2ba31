#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::configuration {

//! Number of stored change results. A change that is resent gets its stored
//! result; after this many other changes it is evaluated again.
constexpr int kRecentResultsLimit = 256;

//! Number of dropped groups recorded for deltas.
constexpr int kDroppedGroupsLimit = 64;

//! Number of dropped databases, and of dropped organisations, recorded for
//! deltas.
constexpr int kDroppedEntriesLimit = 1024;

//! Number of term starts kept in the history of a group.
constexpr int kHistoryLimit = 32;

//! Safety rules. Tests disable one at a time to show that it is necessary.
struct Guards
{
  //! A change that is resent with the same id gets its first result.
  bool rememberChangeIds_ = true;
  //! A host ignores configurations older than the one in force.
  bool ignoreOlderRevisions_ = true;
};

//! Effects of one record.
struct ApplyResult
{
  //! The revision was raised.
  bool changed_ = false;
  std::vector<foundation::GroupName> changedGroups_;
  std::vector<foundation::GroupName> droppedGroups_;
  bool settingsChanged_ = false;
  //! Result of an operator's change; absent for other records.
  std::optional<wire::ChangeResult> change_;
  //! Why a decision of the leader was ignored; empty when it was applied.
  std::string ignored_;
};

//! Applies the committed record at aIndex. Deterministic: members that apply
//! the same records have the same state. An accepted change raises the
//! revision by one, unless it only contains a numbered configuration that is
//! not newer than the one in force. An applied decision raises it by one too,
//! except for SetGrantees. Refused or resent changes, ignored decisions and
//! membership changes do not raise it.
//! NOTE An index at or below `applied_index` is ignored, so that records can be
//! replayed after a restart.
ApplyResult
ApplyRecord(wire::ControlState& aState,
            const wire::ControlRecord& aRecord,
            std::uint64_t aIndex,
            const Guards& aGuards = {});

//! The target with the given name, or null.
const wire::TargetState*
FindTarget(const wire::GroupState& aGroup, std::string_view aTarget);

} // namespace wigeonlb::core::configuration
