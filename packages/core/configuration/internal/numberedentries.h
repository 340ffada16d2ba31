#pragma once

#include "control.pb.h"

namespace wigeonlb::core::configuration {

//! Replaces the databases and organisations of the state by those of a numbered
//! configuration, at the state's revision. Unchanged entries keep theirs, so
//! that deltas contain only the others.
void
AdoptEntries(wire::ControlState& aState,
             const wire::NumberedConfiguration& aConfiguration);

} // namespace wigeonlb::core::configuration
