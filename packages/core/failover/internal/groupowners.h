#pragma once

#include "core/failover/failover.h"

namespace wigeonlb::core::failover {

//! Updates the owners of all groups after a change of the live hosts or groups.
void
RefreshOwners(FailoverState& aState, const wire::ControlState& aControl);

} // namespace wigeonlb::core::failover
