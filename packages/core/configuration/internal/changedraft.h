#pragma once

#include <map>
#include <optional>

#include "control.pb.h"
#include "core/configuration/groupoptions.h"
#include "foundation/findings.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::configuration {

//! The outcome of a change's operations before it is accepted.
struct ChangeDraft
{
  //! Touched groups; absent ones are dropped or never existed.
  std::map<foundation::GroupName, std::optional<wire::GroupState>> groups_;
  Settings settings_;
  bool settingsChanged_ = false;
  //! A numbered configuration that takes the place of the one in force.
  std::optional<wire::NumberedConfiguration> adopted_;
};

//! True when the draft leaves everything as it is.
inline bool
IsUnchanged(const ChangeDraft& aDraft)
{
  return aDraft.groups_.empty() && !aDraft.settingsChanged_ && !aDraft.adopted_;
}

//! Carries out the operations on copies of what they touch, each on the
//! result of those before it. Findings tell what is refused.
ChangeDraft
DraftChange(const wire::ControlState& aState,
            const wire::ConfigurationChange& aChange,
            foundation::Findings& aFindings);

//! The present state of the groups and system options that a change touches,
//! for the operator whose expected revision was passed.
std::string
DescribeTouched(const wire::ControlState& aState,
                const wire::ConfigurationChange& aChange);

} // namespace wigeonlb::core::configuration
