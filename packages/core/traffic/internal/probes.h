#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Sends the target's next probe at once, whatever the interval says.
void
ProbeNow(Context& aContext, Target& aTarget);

//! Sends the probes that are due and gives up those without an answer.
void
MaintainProbes(Context& aContext);

//! When MaintainProbes has something to do.
Instant
NextProbeWork(const Group& aGroup);

void
OnProbeAnswered(Context& aContext, const ProbeAnswered& aEvent);

} // namespace wigeonlb::core::traffic::internal
