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

//! Number of change results that are remembered for resent changes. A change
//! that is resent after this many others is judged anew.
constexpr int kRecentResultsLimit = 256;

//! Number of dropped groups that are remembered for deltas.
constexpr int kDroppedGroupsLimit = 64;

//! Number of dropped databases that are remembered for deltas.
constexpr int kDroppedDatabasesLimit = 1024;

//! Number of term starts kept for one group.
constexpr int kHistoryLimit = 32;

//! Protections that tests switch off to show that each is needed.
struct Guards
{
  //! A resent change id gets its first answer.
  bool rememberChangeIds_ = true;
  //! A host never takes an older revision.
  bool ignoreOlderRevisions_ = true;
};

//! What one record did.
struct ApplyResult
{
  //! The revision rose.
  bool changed_ = false;
  std::vector<foundation::GroupName> changedGroups_;
  std::vector<foundation::GroupName> droppedGroups_;
  bool settingsChanged_ = false;
  //! The answer to an operator's change; absent for other records.
  std::optional<wire::ChangeResult> change_;
  //! Why a decision of the leader was ignored; empty when it was applied.
  std::string ignored_;
};

//! Applies the committed record at aIndex. Deterministic: every member that
//! applies the same records has the same state. A change or decision that is
//! accepted raises the revision by one; one that is refused, ignored or resent
//! leaves it, and so does a change of the control members.
//! NOTE An index at or below `applied_index` is ignored, so that replay after
//! a restart is harmless.
ApplyResult
ApplyRecord(wire::ControlState& aState,
            const wire::ControlRecord& aRecord,
            std::uint64_t aIndex,
            const Guards& aGuards = {});

//! The target of that name, or null.
const wire::TargetState*
FindTarget(const wire::GroupState& aGroup, std::string_view aTarget);

} // namespace wigeonlb::core::configuration
