#pragma once

#include <optional>

#include "core/consensus/internal/stepcontext.h"

namespace wigeonlb::core::consensus {

void
BecomeLeader(StepContext& aContext);

//! Sends entries, a part of the snapshot or a bare heartbeat to one member.
void
SendUpdate(StepContext& aContext, const foundation::HostId& aHost);

//! Sends one to every other member.
void
BroadcastUpdates(StepContext& aContext);

//! Adds a record to the leader's log and sends it. A change of members must
//! have passed IsValidChange.
std::uint64_t
ProposeRecord(StepContext& aContext, const wire::ControlRecord& aRecord);

//! True if a change of members may be proposed now: one voter at the most
//! comes or goes, one that comes is a learner that was caught up, the change
//! before it is committed, and a quorum of the new voters counts and has
//! answered lately, so that the change can be committed.
bool
IsValidChange(const ConsensusState& aState,
              const wire::MemberChange& aChange,
              foundation::Instant aNow);

//! Send time of the newest requests that a quorum has answered; absent if it
//! has not answered in this term. A host always has its own answer: alone it
//! gives Instant::max().
std::optional<foundation::Instant>
QuorumAnsweredSince(const ConsensusState& aState);

//! True once an entry of the leader's own term is committed.
bool
HasCommittedOwnTerm(const ConsensusState& aState);

//! Takes note of who answered, and of the send time of the request.
Progress*
RecordAnswer(StepContext& aContext,
             const wire::ConsensusMessage& aMessage,
             std::uint64_t aRound);

//! Takes note that a member holds the log up to aIndex.
void
RecordMatch(StepContext& aContext,
            const foundation::HostId& aHost,
            std::uint64_t aIndex);

void
HandleAppendRequest(StepContext& aContext,
                    const wire::ConsensusMessage& aMessage);
void
HandleAppendReply(StepContext& aContext,
                  const wire::ConsensusMessage& aMessage);

} // namespace wigeonlb::core::consensus
