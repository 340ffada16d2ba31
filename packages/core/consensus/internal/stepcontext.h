#pragma once

#include <vector>

#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

//! Context of one call of Step. Collects the state to persist, which is emitted
//! before the other actions.
struct StepContext
{
  ConsensusState& state_;
  foundation::Instant now_;
  Persist persist_;
  bool persistNeeded_ = false;
  std::vector<Action> actions_;
};

//! Creates a message to another member with the sender's fields filled in.
wire::ConsensusMessage
NewMessage(const ConsensusState& aState, const foundation::HostId& aTo);
void
Send(StepContext& aContext, wire::ConsensusMessage aMessage);

//! All voters and learners except this host.
std::vector<foundation::HostId>
OtherMembers(const ConsensusState& aState);

//! Restarts the election timer with a random timeout.
void
ResetElectionTimer(StepContext& aContext);

//! Schedules the next round of pre-votes: after aEarliest and a random part of
//! preVoteInterval_.
void
SchedulePreVote(StepContext& aContext, foundation::Duration aEarliest);

//! Adopts a higher term and clears the vote. Ignores other terms.
void
RaiseTerm(StepContext& aContext, std::uint64_t aTerm);

//! Becomes a follower of aLeader, empty if unknown, and adopts aTerm if it is
//! higher than the current term.
void
BecomeFollower(StepContext& aContext,
               std::uint64_t aTerm,
               const foundation::HostId& aLeader);

//! Reports all pending proposals of this member as Unknown.
void
AbandonProposals(StepContext& aContext);

//! Appends an entry to the log and to the state to persist.
void
AppendEntry(StepContext& aContext, const wire::ConsensusEntry& aEntry);

//! Raises the commit index to aIndex and applies the entries up to it, which
//! must be in the log.
void
AdvanceCommit(StepContext& aContext, std::uint64_t aIndex);

//! Ends the recovery of a member that lost its disk once its log admits its
//! current incarnation as a voter.
void
EndRecovery(StepContext& aContext);

//! Handles a raised commit index apart from applying entries: ends recovery,
//! requests a snapshot, and steps down if this leader was removed.
void
AfterCommit(StepContext& aContext);

} // namespace wigeonlb::core::consensus
