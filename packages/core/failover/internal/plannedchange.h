#pragma once

#include "core/failover/internal/groupcontext.h"

namespace wigeonlb::core::failover {

//! Step of a group with a live primary that an operator's `promote` replaces,
//! or that is leaving: fences the term once the change can succeed.
void
StepPlannedChange(GroupContext& aContext);

} // namespace wigeonlb::core::failover
