#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Expected time from a commit until a majority of the counted targets reports
//! a position at or after it.
struct MajorityDelay
{
  //! As last measured; 24 h when no majority is reachable.
  Duration measured_{ 0 };
  //! The same, but once a target has caught up, its measurement decays with
  //! age, because without writes no new measurement is possible.
  Duration expected_{ 0 };
};

MajorityDelay
PredictMajorityDelay(const Context& aContext);

//! Whether replication lag makes an acknowledgement within aLeft unlikely.
//! After a long measured lag has decayed, single writes are admitted one at a
//! time to measure it again.
bool
IsMajorityTooLate(const Context& aContext, Duration aLeft);

//! Reads the position of the commit after the target has completed a write or
//! transaction.
void
RequestCommitPosition(Context& aContext,
                      Connection& aConnection,
                      Request& aRequest);

//! Handles a response that includes the position of the commit.
void
AcceptCommitPosition(Context& aContext,
                     Connection& aConnection,
                     Request& aRequest,
                     const LogPosition& aPosition);

//! With the position of the commit known, waits for a majority or acknowledges
//! the commit under the grant, depending on the group's option `acknowledge`.
void
AwaitAcknowledgement(Context& aContext,
                     Request& aRequest,
                     const LogPosition& aCommit);

//! Records a synced position reported by the primary in response to a query
//! that was sent at aSentAt.
void
AdvancePrimaryPosition(Context& aContext,
                       Target& aTarget,
                       const LogPosition& aPosition,
                       Instant aSentAt);

void
OnCommitPositionRead(Context& aContext, const CommitPositionRead& aEvent);

//! Acknowledges every commit that a majority is known to have synced.
void
AcknowledgeCommits(Context& aContext);

} // namespace wigeonlb::core::traffic::internal
