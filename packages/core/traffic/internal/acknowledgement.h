#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! How long after a commit a majority is likely to be seen at it.
struct MajorityDelay
{
  //! As last measured; a very long time when no majority is within reach.
  Duration measured_{ 0 };
  //! The same, but a measurement counts less the older it is, once the targets
  //! have caught up: without writes there is nothing to measure.
  Duration expected_{ 0 };
};

MajorityDelay
PredictMajorityDelay(const Context& aContext);

//! Whether lag leaves no hope of an acknowledgement within the time given. An
//! old measurement is tried anew with one write at a time.
bool
IsMajorityTooLate(const Context& aContext, Duration aLeft);

//! A write or transaction is done at the target: reads the commit's position,
//! or ends the request when nothing was written.
void
RequestCommitPosition(Context& aContext,
                      Connection& aConnection,
                      Request& aRequest);

//! The target told the commit's position with its answer.
void
AcceptCommitPosition(Context& aContext,
                     Connection& aConnection,
                     Request& aRequest,
                     const LogPosition& aPosition);

//! The commit is at this position: it waits for a majority, or is acknowledged
//! under the grant, as the group's option says.
void
AwaitAcknowledgement(Context& aContext,
                     Request& aRequest,
                     const LogPosition& aCommit);

//! Takes in a position that the primary told, as of when it was asked.
void
AdvancePrimaryPosition(Context& aContext,
                       Target& aTarget,
                       const LogPosition& aPosition,
                       Instant aSentAt);

void
OnCommitPositionRead(Context& aContext, const CommitPositionRead& aEvent);

//! Acknowledges every commit that a majority was seen at.
void
AcknowledgeCommits(Context& aContext);

} // namespace wigeonlb::core::traffic::internal
