#pragma once

#include <string>

#include "control.pb.h"

namespace wigeonlb::core::configuration {

//! Applies one decision of the control leader to its group. Returns why it was
//! ignored, with the group untouched; empty when it was applied.
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::AdmitTarget& aAdmit);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ExpelTarget& aExpel);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::FenceTerm& aFence);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ChoosePrimary& aChoose);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ConfirmPrimary& aConfirm);
std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::SetGrantees& aGrantees);

} // namespace wigeonlb::core::configuration
