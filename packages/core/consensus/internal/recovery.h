#pragma once

#include "core/consensus/internal/stepcontext.h"

namespace wigeonlb::core::consensus {

//! True while this founder has neither a past nor the word of the others that
//! they have none.
bool
IsFoundingPending(const ConsensusState& aState);

//! Asks the other founders whether they have a past, while this host has none
//! and the time for it has come.
void
QueryFounderHistories(StepContext& aContext);

//! Proposes the new incarnation of a voter that lost its disk and has been
//! caught up.
void
ReadmitIfCaughtUp(StepContext& aContext, const foundation::HostId& aHost);

void
HandlePastQuery(StepContext& aContext, const wire::ConsensusMessage& aMessage);
void
HandlePastReply(StepContext& aContext, const wire::ConsensusMessage& aMessage);

} // namespace wigeonlb::core::consensus
