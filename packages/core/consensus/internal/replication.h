#pragma once

#include <optional>

#include "core/consensus/internal/stepcontext.h"

namespace wigeonlb::core::consensus {

void
BecomeLeader(StepContext& aContext);

//! Sends entries, a part of the snapshot or an empty heartbeat to one member.
void
SendUpdate(StepContext& aContext, const foundation::HostId& aHost);

//! Sends an update to every other member that has answered the one before, and
//! a heartbeat to the others.
void
BroadcastUpdates(StepContext& aContext);

//! Appends a record to the leader's log and sends it to the other members.
//! Returns its index. A membership change must have passed IsValidChange.
std::uint64_t
ProposeRecord(StepContext& aContext, const wire::ControlRecord& aRecord);

//! True if the answers of a voter count for commits, the lease and elections:
//! it has not lost its disk, or the log admits its incarnation.
bool
CountsForQuorum(const ConsensusState& aState, const foundation::HostId& aHost);

//! True if a host has answered a request of this leader that was sent within
//! the election timeout.
bool
HasAnsweredRecently(const ConsensusState& aState,
                    const foundation::HostId& aHost,
                    foundation::Instant aNow);

//! How long the host has not answered this leader, counted from its election at
//! the earliest.
foundation::Duration
ComputeSilence(const ConsensusState& aState,
               const foundation::HostId& aHost,
               foundation::Instant aNow);

//! Latest time such that a quorum has answered requests sent at or after it;
//! absent if no quorum has answered in this term. This host always counts as
//! having answered: Instant::max() if it is the only voter.
std::optional<foundation::Instant>
QuorumAnsweredSince(const ConsensusState& aState);

//! True once an entry of the leader's own term is committed.
bool
HasCommittedOwnTerm(const ConsensusState& aState);

//! Records an answer to a request that was sent at aRound, in microseconds of
//! this host's clock, and steps down on a higher term. Returns the sender's
//! progress, or null if the answer is not for the current leadership.
Progress*
RecordAnswer(StepContext& aContext,
             const wire::ConsensusMessage& aMessage,
             std::uint64_t aRound);

//! Records that a member's log matches up to aIndex.
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
