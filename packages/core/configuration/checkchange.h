#pragma once

#include "control.pb.h"
#include "foundation/findings.h"

namespace wigeonlb::core::configuration {

//! Returns a finding for each operation of a change that would be refused if it
//! were applied to aState now; empty if all would be accepted. The location of
//! a finding is `operation N`, counted from 1. Does not check the expected
//! revision.
foundation::Findings
CheckChange(const wire::ControlState& aState,
            const wire::ConfigurationChange& aChange);

} // namespace wigeonlb::core::configuration
