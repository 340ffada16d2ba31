#include "recording/controltrace.h"

#include <utility>

#include "core/trace/failoverrecords.h"

namespace wigeonlb::daemon::recording {

namespace {

using foundation::SteadyNow;

bool
IsOn(const TraceRecorder* aRecorder)
{
  return aRecorder != nullptr && aRecorder->IsOn();
}

} // namespace

void
RecordApplied(TraceRecorder* aRecorder, const wire::ConsensusEntry& aEntry)
{
  if (IsOn(aRecorder)) {
    wire::TraceRecord record;
    *record.mutable_applied() = aEntry;
    aRecorder->Record(std::move(record), SteadyNow());
  }
}

void
RecordControlState(TraceRecorder* aRecorder, const wire::ControlState& aState)
{
  if (IsOn(aRecorder)) {
    wire::TraceRecord record;
    *record.mutable_control_state() = aState;
    aRecorder->Record(std::move(record), SteadyNow());
  }
}

void
RecordLeadership(TraceRecorder* aRecorder,
                 const core::consensus::LeadershipChanged& aChange)
{
  if (IsOn(aRecorder)) {
    wire::TraceRecord record;
    auto& leadership = *record.mutable_leadership();
    leadership.set_leader(aChange.leader_);
    leadership.set_term(aChange.term_);
    leadership.set_leads(aChange.role_ == core::consensus::Role::Leader);
    aRecorder->Record(std::move(record), SteadyNow());
  }
}

void
RecordReleases(TraceRecorder* aRecorder, const wire::Heartbeat& aHeartbeat)
{
  if (IsOn(aRecorder)) {
    for (const wire::GrantKey& key : aHeartbeat.released()) {
      wire::TraceRecord record;
      *record.mutable_grant_released() = key;
      aRecorder->Record(std::move(record), SteadyNow());
    }
  }
}

void
RecordRevision(TraceRecorder* aRecorder, foundation::Revision aRevision)
{
  if (IsOn(aRecorder)) {
    wire::TraceRecord record;
    record.mutable_revision_in_force()->set_revision(aRevision);
    aRecorder->Record(std::move(record), SteadyNow());
  }
}

void
RecordFailoverStep(TraceRecorder* aRecorder,
                   const core::failover::FailoverEvent& aEvent,
                   std::span<const core::failover::FailoverAction> aActions,
                   foundation::Instant aNow)
{
  if (IsOn(aRecorder)) {
    wire::TraceRecord record;
    *record.mutable_failover_step() =
      core::trace::ToRecord(aEvent, aActions, aNow);
    aRecorder->Record(std::move(record), aNow);
  }
}

} // namespace wigeonlb::daemon::recording
