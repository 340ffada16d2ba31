#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! The target may keep a session after its connection was let go: with a
//! statement in flight or a transaction open, whose locks others then wait for.
//! It is ended with the next probe.
void
ScheduleTermination(Target& aTarget, BackendId aBackend);

//! What the target's next probe is to end.
//! NOTE Other hosts' sessions only under a grant that holds: the list of the
//! ended holders came with it, so it is no older than a lease. A holder that
//! has come back since began its transactions less than a lease ago, and only
//! older ones are ended.
SessionTerminations
CollectTerminations(Context& aContext, Target& aTarget);

//! The probe that carried the last ends was answered, or was not.
void
OnTerminationsSettled(Target& aTarget, bool aAnswered);

} // namespace wigeonlb::core::traffic::internal
