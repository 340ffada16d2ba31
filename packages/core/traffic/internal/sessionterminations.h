#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Requests, with the next probe, the termination of a database session whose
//! connection was closed with a statement in flight or a transaction open. The
//! target may otherwise keep the session and its locks, which block other
//! transactions.
void
ScheduleTermination(Target& aTarget, BackendId aBackend);

//! The sessions that the target's next probe must terminate.
//! NOTE Sessions of other hosts are included only under a valid grant. The list
//! of former holders came with the grant, so it is no older than a lease. A
//! former holder that has reconnected since began its transactions less than a
//! lease ago, and only older ones are terminated.
SessionTerminations
CollectTerminations(Context& aContext, Target& aTarget);

//! Called when the probe with the last termination requests was answered or has
//! failed. After a failure the next probe repeats the requests.
void
OnTerminationsSettled(Target& aTarget, bool aAnswered);

} // namespace wigeonlb::core::traffic::internal
