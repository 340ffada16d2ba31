#include "core/trace/trafficrecords.h"

#include <algorithm>
#include <utility>

#include "core/positions/positions.h"

namespace wigeonlb::core::trace {

namespace {

using foundation::Instant;
using foundation::LogPosition;

//! SQLSTATE for a write in a read-only transaction or on a replica. The target
//! has not run the statement.
constexpr std::string_view kReadOnlySqlstate = "25006";

//! Context shared by the handlers of one step.
struct StepContext
{
  TrafficRecorderState& recording_;
  Instant now_;
  std::vector<wire::TraceRecord>& records_;
};

wire::TraceRecord&
NewRecord(StepContext& aContext)
{
  return aContext.records_.emplace_back();
}

void
SetKey(const StepContext& aContext,
       const traffic::RequestId& aId,
       wire::RequestKey& aKey)
{
  aKey.set_group(aContext.recording_.group_);
  aKey.set_owner(aContext.recording_.owner_);
  aKey.set_session(aId.session_);
  aKey.set_request(aId.request_);
}

void
SetPosition(const LogPosition& aPosition, wire::LogPosition& aRecord)
{
  aRecord.set_term(aPosition.term_);
  aRecord.set_offset(aPosition.offset_);
}

//! Returns the session's unfinished request, or null.
RecordedRequest*
FindRequest(StepContext& aContext, traffic::SessionId aSession)
{
  const auto found = aContext.recording_.requests_.find(aSession);
  return found == aContext.recording_.requests_.end() ? nullptr
                                                      : &found->second;
}

RecordedConnection*
FindConnection(StepContext& aContext, traffic::ConnectionId aId)
{
  const auto found = aContext.recording_.connections_.find(aId);
  return found == aContext.recording_.connections_.end() ? nullptr
                                                         : &found->second;
}

void
UpdateSeen(StepContext& aContext,
           const foundation::TargetName& aTarget,
           const wire::TargetReport& aReport)
{
  auto& seen = aContext.recording_.seen_[aTarget];
  seen.set_target(aTarget);
  seen.set_adopted_term(aReport.adopted_term());
  seen.set_synced_offset(aReport.synced_offset());
  seen.set_incarnation(aReport.incarnation());
}

// ---------------------------------------------------------------- events

void
Process(StepContext& aContext, const traffic::GroupChanged& aEvent)
{
  wire::GroupInForce state;
  state.set_owner(aContext.recording_.owner_);
  *state.mutable_group() = aEvent.group_;
  for (const auto& target : aEvent.group_.targets()) {
    auto& use = *state.add_targets();
    use.set_target(target.target());
    use.set_takes_work(!target.draining() &&
                       std::ranges::find(aEvent.usable_, target.target()) !=
                         aEvent.usable_.end());
  }
  auto& recording = aContext.recording_;
  recording.state_ = aEvent.group_;
  std::string serialized = state.SerializeAsString();
  if (serialized != recording.lastGroupInForce_) {
    recording.lastGroupInForce_ = std::move(serialized);
    *NewRecord(aContext).mutable_group_in_force() = std::move(state);
  }
}

void
Process(StepContext& aContext, const traffic::GrantChanged& aEvent)
{
  aContext.recording_.grant_ = aEvent.grant_;
  if (!aEvent.grant_) {
    return;
  }
  auto& held = *NewRecord(aContext).mutable_grant_held();
  held.mutable_grant()->set_group(aContext.recording_.group_);
  held.mutable_grant()->set_term(aEvent.grant_->term_);
  held.mutable_grant()->set_epoch(aEvent.grant_->epoch_);
  held.mutable_grant()->set_primary(aEvent.grant_->primary_);
  held.mutable_grant()->set_connection_share(aEvent.grant_->share_);
  const auto left = aEvent.grant_->expires_ - aContext.now_;
  held.set_lease_left_us(static_cast<std::uint64_t>(
    std::max(left, foundation::Duration::zero()).count()));
}

void
Process(StepContext& aContext, const traffic::StopNewWrites& aEvent)
{
  auto& stopped = *NewRecord(aContext).mutable_grant_stopped();
  stopped.set_group(aContext.recording_.group_);
  stopped.set_term(aEvent.term_);
  stopped.set_epoch(aEvent.epoch_);
}

void
Process(StepContext& aContext, const traffic::RequestArrived& aEvent)
{
  RecordedRequest request;
  request.id_ = aEvent.id_;
  request.class_ = aEvent.class_;
  request.floor_ = aEvent.floor_;
  request.repeatable_ = aEvent.repeatable_;
  aContext.recording_.requests_[aEvent.id_.session_] = request;
}

void
Process(StepContext& aContext, const traffic::ReadProbeAnswered& aEvent)
{
  auto* const connection = FindConnection(aContext, aEvent.connection_);
  if (connection == nullptr) {
    return;
  }
  UpdateSeen(aContext, connection->target_, aEvent.report_);
  connection->probed_ =
    positions::GetAppliedPosition(aEvent.report_, aContext.recording_.state_);
}

void
Process(StepContext& aContext, const traffic::CommitPositionRead& aEvent)
{
  auto* const connection = FindConnection(aContext, aEvent.connection_);
  if (connection == nullptr) {
    return;
  }
  auto& seen = aContext.recording_.seen_[connection->target_];
  seen.set_target(connection->target_);
  if (seen.adopted_term() == aEvent.position_.term_) {
    seen.set_synced_offset(
      std::max<std::uint64_t>(seen.synced_offset(), aEvent.position_.offset_));
  }
  // A position that was read to check an idle connection belongs to no request.
  auto* const request = FindRequest(aContext, connection->request_.session_);
  if (request != nullptr && request->id_ == connection->request_) {
    request->committed_ = aEvent.position_;
  }
}

void
Process(StepContext& aContext, const traffic::ProbeAnswered& aEvent)
{
  if (aEvent.report_) {
    UpdateSeen(aContext, aEvent.target_, *aEvent.report_);
  }
}

void
Process(StepContext& aContext, const traffic::StatementFinished& aEvent)
{
  auto* const connection = FindConnection(aContext, aEvent.connection_);
  if (connection == nullptr) {
    return;
  }
  if (connection->status_ != 'I' || aEvent.transactionStatus_ != 'I') {
    auto& status = *NewRecord(aContext).mutable_transaction_status();
    SetKey(aContext, connection->request_, *status.mutable_key());
    status.set_connection(aEvent.connection_);
    status.set_status(std::string(1, aEvent.transactionStatus_));
  }
  if (aEvent.sqlstate_ == kReadOnlySqlstate && connection->status_ == 'I') {
    auto& refused = *NewRecord(aContext).mutable_refused_by_target();
    SetKey(aContext, connection->request_, *refused.mutable_key());
  }
  connection->status_ = aEvent.transactionStatus_;
}

void
Process(StepContext& aContext, const traffic::ConnectionFailed& aEvent)
{
  aContext.recording_.connections_.erase(aEvent.connection_);
}

void
Process(StepContext& aContext, const traffic::ConnectionClosed& aEvent)
{
  aContext.recording_.connections_.erase(aEvent.connection_);
}

void
Process(StepContext& aContext, const traffic::SessionClosed& aEvent)
{
  aContext.recording_.requests_.erase(aEvent.session_);
}

template<class Other>
void
Process(StepContext& /*aContext*/, const Other& /*aEvent*/)
{
}

// --------------------------------------------------------------- actions

void
Process(StepContext& aContext, const traffic::OpenConnection& aAction)
{
  aContext.recording_.connections_[aAction.connection_].target_ =
    aAction.target_;
}

void
Process(StepContext& aContext, const traffic::CloseConnection& aAction)
{
  aContext.recording_.connections_.erase(aAction.connection_);
}

void
Process(StepContext& aContext, const traffic::SendStatement& aAction)
{
  auto* const request = FindRequest(aContext, aAction.request_.session_);
  auto* const connection = FindConnection(aContext, aAction.connection_);
  if (request == nullptr || connection == nullptr) {
    return;
  }
  request->readRecorded_ = false;
  connection->request_ = aAction.request_;
  connection->probed_ = {};
  const bool inTransaction = connection->status_ != 'I';
  // A statement classified as a read but not sent as read-only has turned out
  // to be a write.
  const bool hiddenWrite = (request->class_ == wire::STATEMENT_READ ||
                            request->class_ == wire::STATEMENT_PRIMARY_READ) &&
                           !aAction.readOnly_ && !inTransaction;
  auto& event = *NewRecord(aContext).mutable_handed_over();
  SetKey(aContext, aAction.request_, *event.mutable_key());
  event.set_target(connection->target_);
  event.set_connection(aAction.connection_);
  event.set_statement_class(hiddenWrite ? wire::STATEMENT_WRITE
                                        : request->class_);
  event.set_repeatable(request->repeatable_);
  event.set_in_transaction(inTransaction);
}

void
RecordRead(StepContext& aContext,
           RecordedRequest& aRequest,
           const foundation::TargetName& aTarget,
           const LogPosition& aPosition)
{
  aRequest.readRecorded_ = true;
  auto& event = *NewRecord(aContext).mutable_read_answered();
  SetKey(aContext, aRequest.id_, *event.mutable_key());
  event.set_target(aTarget);
  SetPosition(aRequest.floor_, *event.mutable_floor());
  SetPosition(aPosition, *event.mutable_position());
}

void
Process(StepContext& aContext, const traffic::AcceptAnswer& aAction)
{
  auto* const request = FindRequest(aContext, aAction.request_.session_);
  auto* const connection = FindConnection(aContext, aAction.connection_);
  if (request != nullptr && connection != nullptr) {
    RecordRead(aContext, *request, connection->target_, connection->probed_);
  }
}

void
RecordAcknowledgement(StepContext& aContext,
                      const RecordedRequest& aRequest,
                      const LogPosition& aPosition)
{
  const auto& recording = aContext.recording_;
  auto& event = *NewRecord(aContext).mutable_write_acknowledged();
  SetKey(aContext, aRequest.id_, *event.mutable_key());
  SetPosition(aPosition, *event.mutable_position());
  if (recording.grant_) {
    event.set_grant_term(recording.grant_->term_);
    event.set_lease_left_us(
      (recording.grant_->expires_ - aContext.now_).count());
  }
  for (const auto& [name, seen] : recording.seen_) {
    *event.add_seen() = seen;
  }
}

void
Process(StepContext& aContext, const traffic::Finish& aAction)
{
  auto* const request = FindRequest(aContext, aAction.request_.session_);
  if (request == nullptr || request->id_ != aAction.request_) {
    return;
  }
  const bool done = aAction.outcome_ == wire::OUTCOME_DONE;
  const bool read = request->class_ == wire::STATEMENT_READ;
  const bool alreadyDone = aAction.sqlstate_ == traffic::kAlreadyDone;
  if ((done || alreadyDone) && request->committed_) {
    RecordAcknowledgement(aContext, *request, *request->committed_);
  }
  if (done && read && aAction.byReplica_ && !request->readRecorded_) {
    RecordRead(aContext, *request, aAction.servedBy_, {});
  }
  // The end of a successful read is recorded by ReadAnswered.
  if (!done || !read) {
    auto& event = *NewRecord(aContext).mutable_request_finished();
    SetKey(aContext, aAction.request_, *event.mutable_key());
    event.set_outcome(aAction.outcome_);
  }
  aContext.recording_.requests_.erase(aAction.request_.session_);
}

void
Process(StepContext&, const traffic::WritesAcknowledged&)
{
}

void
Process(StepContext& aContext, const traffic::TermReleased& aAction)
{
  auto& drained = *NewRecord(aContext).mutable_grant_drained();
  drained.set_group(aContext.recording_.group_);
  drained.set_term(aAction.term_.term_);
  drained.set_epoch(aAction.term_.epoch_);
}

} // namespace

void
RecordStep(TrafficRecorderState& aRecording,
           const traffic::TrafficEvent& aEvent,
           std::span<const traffic::TrafficAction> aActions,
           Instant aNow,
           std::vector<wire::TraceRecord>& aRecords)
{
  StepContext context{ aRecording, aNow, aRecords };
  std::visit([&](const auto& aOne) { Process(context, aOne); }, aEvent);
  for (const auto& action : aActions) {
    std::visit([&](const auto& aOne) { Process(context, aOne); }, action);
  }
}

} // namespace wigeonlb::core::trace
