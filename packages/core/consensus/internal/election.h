#pragma once

#include "core/consensus/internal/stepcontext.h"

namespace wigeonlb::core::consensus {

//! Starts a round of pre-votes: asks the voters whether they would vote for
//! this host, without raising the term.
void
StartPreVote(StepContext& aContext);

//! True if this member may start elections.
bool
MayStartElection(const ConsensusState& aState);

void
HandleVoteRequest(StepContext& aContext,
                  const wire::ConsensusMessage& aMessage);
void
HandleVoteReply(StepContext& aContext, const wire::ConsensusMessage& aMessage);

} // namespace wigeonlb::core::consensus
