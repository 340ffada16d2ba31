#pragma once

#include <map>
#include <optional>

#include "control.pb.h"
#include "core/configuration/groupoptions.h"
#include "foundation/findings.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::configuration {

//! Result of the operations of a change, before the change is accepted.
struct ChangeDraft
{
  //! Groups that the change concerns; empty if the group is dropped or does not
  //! exist.
  std::map<foundation::GroupName, std::optional<wire::GroupState>> groups_;
  Settings settings_;
  bool settingsChanged_ = false;
  //! A numbered configuration that replaces the one in force.
  std::optional<wire::NumberedConfiguration> adopted_;
};

//! True if the draft changes nothing.
inline bool
IsUnchanged(const ChangeDraft& aDraft)
{
  return aDraft.groups_.empty() && !aDraft.settingsChanged_ && !aDraft.adopted_;
}

//! Applies the operations to copies of the state, each to the result of the
//! previous ones. Adds a finding for each operation that is refused.
ChangeDraft
DraftChange(const wire::ControlState& aState,
            const wire::ConfigurationChange& aChange,
            foundation::Findings& aFindings);

//! Describes the current state of the groups and system options that a change
//! concerns, for an operator whose expected revision is out of date.
std::string
DescribeTouched(const wire::ControlState& aState,
                const wire::ConfigurationChange& aChange);

} // namespace wigeonlb::core::configuration
