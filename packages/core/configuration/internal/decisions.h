#pragma once

#include <string>

#include "control.pb.h"

namespace wigeonlb::core::configuration {

//! Applies one decision of the control leader to its group. Returns why it was
//! ignored, with the group untouched; empty when it was applied.
std::string
Decide(wire::GroupState& aGroup, const wire::AdmitTarget& aAdmit);
std::string
Decide(wire::GroupState& aGroup, const wire::ExpelTarget& aExpel);
std::string
Decide(wire::GroupState& aGroup, const wire::FenceTerm& aFence);
std::string
Decide(wire::GroupState& aGroup, const wire::ChoosePrimary& aChoose);
std::string
Decide(wire::GroupState& aGroup, const wire::ConfirmPrimary& aConfirm);
std::string
Decide(wire::GroupState& aGroup, const wire::SetGrantees& aGrantees);

} // namespace wigeonlb::core::configuration
