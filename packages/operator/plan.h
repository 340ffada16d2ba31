#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "operator/statements.h"
#include "operator/table.h"

namespace wigeonlb::operators {

//! The current configuration, as far as the tables show it.
struct CurrentState
{
  std::set<foundation::GroupName> groups_;
  //! By group and key. The group is empty for system settings.
  std::map<std::pair<foundation::GroupName, std::string>, std::string> options_;
  std::map<std::pair<foundation::GroupName, foundation::TargetName>, bool>
    draining_;
  std::map<foundation::GroupName, foundation::TargetName> primaries_;
  std::optional<foundation::Revision> revision_; //!< of the configuration
};

//! Reads the results of `show groups`, `show config` and `show targets`.
CurrentState
ReadCurrentState(const Table& aGroups,
                 const Table& aConfig,
                 const Table& aTargets);

//! The effect of one statement, or of one of its options.
struct PlanStep
{
  Statement statement_;
  bool needed_ = true; //!< false: already in effect
  std::string note_;   //!< the current value if known and different
};

//! Compares statements that change the configuration with its current state.
//! Steps that are already in effect are not needed. Creating a group that
//! exists is planned as setting those of its options that differ.
std::vector<PlanStep>
MakePlan(std::span<const Statement> aStatements, CurrentState aState);

//! Describes the plan, one line per step.
std::string
ToText(std::span<const PlanStep> aPlan);

//! The needed steps as statements for one change. A statement without expected
//! revision gets aRevision, if that is set.
std::string
ToStatements(std::span<const PlanStep> aPlan,
             std::optional<foundation::Revision> aRevision);

//! The text of a statement that changes the configuration, without `;`. Empty
//! for queries.
std::string
ToText(const Statement& aStatement);

} // namespace wigeonlb::operators
