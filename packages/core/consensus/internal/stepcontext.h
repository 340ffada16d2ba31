#pragma once

#include <vector>

#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

//! One call of Step. What has to be persisted is gathered here and comes
//! before the other actions.
struct StepContext
{
  ConsensusState& state_;
  foundation::Instant now_;
  Persist persist_;
  bool persistNeeded_ = false;
  std::vector<Action> actions_;
};

//! A message to another member with the sender's fields filled in.
wire::ConsensusMessage
NewMessage(const ConsensusState& aState, const foundation::HostId& aTo);
void
Send(StepContext& aContext, wire::ConsensusMessage aMessage);

//! All voters and learners but this host.
std::vector<foundation::HostId>
OtherMembers(const ConsensusState& aState);

//! Number of voters that make a quorum of the members in force.
std::size_t
QuorumSize(const ConsensusState& aState);

//! The incarnation of a host that the members in force name.
std::uint64_t
AdmittedIncarnation(const ConsensusState& aState,
                    const foundation::HostId& aHost);

//! Draws the time of the next election.
void
ResetElectionTimer(StepContext& aContext);

//! Draws the time of the next round of pre-votes, from aEarliest on.
void
SchedulePreVote(StepContext& aContext, foundation::Duration aEarliest);

//! Takes on a higher term, without a vote.
void
RaiseTerm(StepContext& aContext, std::uint64_t aTerm);

//! Follows aLeader, which may be unknown, in aTerm, which may be higher.
void
BecomeFollower(StepContext& aContext,
               std::uint64_t aTerm,
               const foundation::HostId& aLeader);

//! Answers what was proposed here and is not decided yet.
void
AbandonProposals(StepContext& aContext);

//! Adds an entry to the log and to what is persisted.
void
AppendEntry(StepContext& aContext, const wire::ConsensusEntry& aEntry);

//! Applies the entries up to aIndex, which must be held.
void
AdvanceCommit(StepContext& aContext, std::uint64_t aIndex);

//! The incarnation with which the newest change, committed or not, adds a
//! voter; zero if it does not add it. The change before it is committed, so
//! nothing rests on an earlier life of that voter any more.
std::uint64_t
AddedIncarnation(const ConsensusState& aState, const foundation::HostId& aHost);

//! Lets a member that lost its disk take part again once its log readmits it.
void
EndRecovery(StepContext& aContext);

//! What follows from a higher commit index besides applying entries.
void
AfterCommit(StepContext& aContext);

} // namespace wigeonlb::core::consensus
