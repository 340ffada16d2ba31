#pragma once

#include <span>

#include "core/consensus/consensus.h"
#include "core/failover/failover.h"
#include "recording/tracerecorder.h"

//! Trace records of the control thread. Without a recorder, these functions do
//! nothing.
namespace wigeonlb::daemon::recording {

void
RecordApplied(TraceRecorder* aRecorder, const wire::ConsensusEntry& aEntry);

//! Records the control state as loaded, or after a snapshot replaced it.
void
RecordControlState(TraceRecorder* aRecorder, const wire::ControlState& aState);

void
RecordLeadership(TraceRecorder* aRecorder,
                 const core::consensus::LeadershipChanged& aChange);

//! Records the released grants that a heartbeat reports to the leader.
void
RecordReleases(TraceRecorder* aRecorder, const wire::Heartbeat& aHeartbeat);

void
RecordRevision(TraceRecorder* aRecorder, foundation::Revision aRevision);

void
RecordFailoverStep(TraceRecorder* aRecorder,
                   const core::failover::FailoverEvent& aEvent,
                   std::span<const core::failover::FailoverAction> aActions,
                   foundation::Instant aNow);

} // namespace wigeonlb::daemon::recording
