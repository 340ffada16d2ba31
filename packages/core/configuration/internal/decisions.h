#pragma once

#include <string>

#include "control.pb.h"

namespace wigeonlb::core::configuration {

//! Applies a decision of the control leader to its group. Returns an empty
//! string, or the reason why the decision was ignored, with the group
//! unchanged.
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::AdmitTarget& aAdmit);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ExpelTarget& aExpel);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::FenceTerm& aFence);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ResumeTerm& aResume);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ChoosePrimary& aChoose);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ConfirmPrimary& aConfirm);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::SetGrantees& aGrantees);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ForgetDeparted& aForget);

} // namespace wigeonlb::core::configuration
