#pragma once

#include "core/consensus/internal/stepcontext.h"

namespace wigeonlb::core::consensus {

//! Asks the voters whether they would vote for this host.
void
StartPreVote(StepContext& aContext);

//! True for a voter that may start elections and vote.
bool
MayStartElection(const ConsensusState& aState);

void
HandleVoteRequest(StepContext& aContext,
                  const wire::ConsensusMessage& aMessage);
void
HandleVoteReply(StepContext& aContext, const wire::ConsensusMessage& aMessage);

} // namespace wigeonlb::core::consensus
