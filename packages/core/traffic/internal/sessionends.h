#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Has the next probe terminate a database session whose connection was closed
//! with a statement in flight or a transaction open. The target may otherwise
//! keep the session and its locks, which block other transactions.
void
ScheduleTermination(Target& aTarget, BackendId aBackend);

//! The sessions that the target's next probe must terminate.
//! NOTE Sessions of other hosts are included only under a valid grant. The list
//! of former holders came with the grant, so it is no older than a lease. A
//! former holder that has reconnected since began its transactions less than a
//! lease ago, and only older ones are terminated.
SessionTerminations
CollectTerminations(Context& aContext, Target& aTarget);

//! Reports whether the probe with the last termination requests was answered.
//! If it was not, the requests are sent again.
void
OnTerminationsSettled(Target& aTarget, bool aAnswered);

} // namespace wigeonlb::core::traffic::internal
