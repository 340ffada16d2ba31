#pragma once

#include "core/consensus/internal/stepcontext.h"

namespace wigeonlb::core::consensus {

//! True while this founder has no history and the founding of the cluster is
//! pending: the other founders have not all reported an empty history.
bool
IsFoundingPending(const ConsensusState& aState);

//! Queries the other founders for their history if the founding is pending and
//! the next query is due.
void
QueryFounderHistories(StepContext& aContext);

//! Proposes the new incarnation of a voter that lost its disk and has caught up
//! with the log.
void
ReadmitIfCaughtUp(StepContext& aContext, const foundation::HostId& aHost);

void
HandlePastQuery(StepContext& aContext, const wire::ConsensusMessage& aMessage);
void
HandlePastReply(StepContext& aContext, const wire::ConsensusMessage& aMessage);

} // namespace wigeonlb::core::consensus
