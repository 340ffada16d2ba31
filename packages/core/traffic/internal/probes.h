#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Sends a probe to the target immediately, regardless of the interval, unless
//! one is in flight.
void
ProbeNow(Context& aContext, Target& aTarget);

//! Sends the probes that are due and times out those without a response.
void
MaintainProbes(Context& aContext);

//! When MaintainProbes has work next.
Instant
NextProbeWork(const Group& aGroup);

void
OnProbeAnswered(Context& aContext, const ProbeAnswered& aEvent);

} // namespace wigeonlb::core::traffic::internal
