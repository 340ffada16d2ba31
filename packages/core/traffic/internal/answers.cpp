#include "core/traffic/internal/answers.h"

#include <utility>

#include "core/traffic/internal/acknowledgement.h"
#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/dispatch.h"
#include "core/traffic/internal/floors.h"
#include "core/traffic/internal/grants.h"
#include "core/traffic/internal/outcomes.h"
#include "core/traffic/internal/probes.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

// Delay before a target that was behind is tried again for the same floor:
// about the usual lag.
constexpr Duration kBehindRetryDelay = 10ms;

// Suggested to the caller after a statement that every target rejected.
constexpr Duration kRejectedRetryAfter = 50ms;

bool
IsOnPrimary(const Request& aRequest)
{
  return aRequest.term_ != 0;
}

// Errors that may not occur on another replica: conflicts with replay,
// shutdown, exhausted resources, system errors of the server.
bool
IsRetryableReplicaError(std::string_view aSqlstate)
{
  return aSqlstate.starts_with("40") || aSqlstate.starts_with("53") ||
         aSqlstate.starts_with("57P") || aSqlstate.starts_with("58");
}

bool
IsOutcomeUnknown(std::string_view aSqlstate)
{
  return aSqlstate.starts_with("08") || aSqlstate == "40003";
}

Finish
MakeTargetFinish(const Request& aRequest, wire::Outcome aOutcome)
{
  Finish finish;
  finish.outcome_ = aOutcome;
  finish.servedBy_ = aRequest.servedBy_;
  finish.passTargetAnswer_ = true;
  return finish;
}

// A read, or a statement that is marked repeatable, may be sent again.
bool
MayRetry(Context& aContext, const Request& aRequest)
{
  Group& group = aContext.group_;
  if (!group.settings_.guards_.singleDispatch_) {
    return true;
  }
  const bool safe = aRequest.class_ == wire::STATEMENT_READ ||
                    aRequest.class_ == wire::STATEMENT_BEGIN_READ ||
                    aRequest.repeatable_;
  if (!safe || aRequest.inTransaction_ || aRequest.accepted_ ||
      aRequest.attempts_ >= group.settings_.maxAttempts_) {
    return false;
  }
  return retry::SpendRetry(group.retries_) ||
         !group.settings_.guards_.retryBudget_;
}

// The request lost its connection, or the response is unusable.
void
RetryOrFinish(Context& aContext, Request& aRequest, const char* aReason)
{
  aRequest.connection_ = 0;
  if (!MayRetry(aContext, aRequest)) {
    FinishUnknown(aContext, aRequest, aReason);
    return;
  }
  aRequest.avoid_ = aRequest.servedBy_;
  aRequest.term_ = 0;
  Route(aContext, aRequest);
}

void
CountRead(Context& aContext, const Request& aRequest)
{
  if (IsOnPrimary(aRequest)) {
    ++aContext.counters_.readsByPrimary_;
  } else {
    ++aContext.counters_.readsByReplica_;
  }
}

// Statements too short to be useful as a measurement of the service time.
bool
IsControlStatement(const Request& aRequest)
{
  return aRequest.class_ == wire::STATEMENT_BEGIN ||
         aRequest.class_ == wire::STATEMENT_BEGIN_READ ||
         aRequest.class_ == wire::STATEMENT_ROLLBACK;
}

// Measures how long a slot is held: for one statement or, on targets where an
// open transaction holds its slot, from its first statement to its last.
void
MeasureService(Context& aContext,
               const Connection& aConnection,
               const Session& aSession,
               const Request& aRequest,
               char aStatus)
{
  Group& group = aContext.group_;
  const Duration spent = aContext.now_ - aConnection.since_;
  routing::RecordAnswer(aConnection.target_->health_, spent);
  EjectOutlierReplicas(aContext);
  const bool byStatement = aConnection.target_->state_.slots_by_statement();
  if (byStatement ? IsControlStatement(aRequest) : aStatus != 'I') {
    return;
  }
  const Duration held = aRequest.inTransaction_ && !byStatement
                          ? aContext.now_ - aSession.transactionBeganAt_
                          : spent;
  admission::AddSample(
    IsOnPrimary(aRequest) ? group.primaryService_ : group.readService_, held);
}

// After a statement, the connection stays pinned to an open transaction or
// returns to the pool.
void
PinOrReturnToPool(Context& aContext,
                  Connection& aConnection,
                  Session& aSession,
                  std::uint64_t aTerm,
                  char aStatus)
{
  if (aStatus == 'I') {
    aSession.pinned_ = 0;
    aSession.wrote_ = false;
    aSession.failed_ = false;
    ReturnToPool(aContext, aConnection);
    return;
  }
  if (aSession.pinned_ == 0) {
    aSession.transaction_ = aSession.current_->id_.request_;
    aSession.transactionBeganAt_ = aConnection.since_;
  }
  aSession.term_ = aTerm;
  aSession.pinned_ = aConnection.id_;
  aSession.failed_ = aStatus == 'E';

  aConnection.use_ = Use::None;
  pool::ChangeState(aConnection.target_->pool_,
                    aConnection,
                    pool::ConnectionState::Pinned,
                    aContext.now_);
}

// The target ran nothing: the request is sent to another one, or later to the
// same.
void
RerouteRefused(Context& aContext,
               Target& aTarget,
               const LogPosition& aFloor,
               Request& aRequest)
{
  if (aFloor.offset_ != 0) {
    aTarget.refusedFloor_ = aFloor;
    aTarget.refusedUntil_ = aContext.now_ + kBehindRetryDelay;
  }
  --aRequest.possibleRuns_;
  aRequest.avoid_ = aTarget.state_.target();
  aRequest.accepted_ = false;
  aRequest.term_ = 0;
  if (aRequest.attempts_ >= aContext.group_.settings_.maxAttempts_) {
    FinishNotRun(aContext,
                 aRequest,
                 "57P03",
                 "targets of the group rejected the statement repeatedly",
                 kRejectedRetryAfter);
    return;
  }
  Route(aContext, aRequest);
}

void
FinishError(Context& aContext,
            Connection& aConnection,
            Session& aSession,
            Request& aRequest,
            const StatementFinished& aEvent)
{
  const bool replicaRead = !aRequest.inTransaction_ && !IsOnPrimary(aRequest);
  const bool readOnly = aEvent.refusal_ == Refusal::ReadOnly;
  const bool refused =
    aEvent.refusal_ == Refusal::Behind || aEvent.refusal_ == Refusal::Busy;
  aRequest.connection_ = 0;
  Target& target = *aConnection.target_;
  const LogPosition floor = aConnection.floor_;
  PinOrReturnToPool(
    aContext, aConnection, aSession, aRequest.term_, aEvent.transactionStatus_);
  if (refused && !aRequest.inTransaction_) {
    RerouteRefused(aContext, target, floor, aRequest);
    return;
  }
  if (readOnly && !aRequest.inTransaction_ && IsRead(aRequest.class_)) {
    // It writes or takes locks despite its class, and was not run. It goes to
    // the primary as a write, which is sent only once.
    --aRequest.possibleRuns_;
    aRequest.mustBePrimary_ = true;
    aRequest.class_ = wire::STATEMENT_WRITE;
    aRequest.accepted_ = false;
    Route(aContext, aRequest);
    return;
  }
  if (readOnly && !aRequest.inTransaction_) {
    --aRequest.possibleRuns_;
    ProbeNow(aContext, target);
    FinishNotRun(
      aContext, aRequest, "57P03", "the target is not the primary", 200ms);
    return;
  }
  if (replicaRead && !aEvent.rowsForwarded_ &&
      IsRetryableReplicaError(aEvent.sqlstate_)) {
    aRequest.accepted_ = false;
    RetryOrFinish(aContext, aRequest, "the replica aborted the statement");
    return;
  }
  if (IsOutcomeUnknown(aEvent.sqlstate_)) {
    FinishUnknown(aContext, aRequest, aEvent.message_);
    return;
  }
  Finish finish = MakeTargetFinish(aRequest, wire::OUTCOME_FAILED);
  finish.sqlstate_ = aEvent.sqlstate_;
  finish.message_ = aEvent.message_;
  finish.transactionStatus_ = aEvent.transactionStatus_;
  FinishRequest(aContext, aRequest, std::move(finish));
}

// Statements that all look like reads may still have written, through a view or
// a function that the parser cannot see into. If the target cannot determine
// whether the transaction has written, it is assumed to have. Targets that
// check positions have no such statements.
bool
NeedsAcknowledgement(const Context& aContext,
                     const Connection& aConnection,
                     const Session& aSession,
                     const Request& aRequest,
                     const StatementFinished& aEvent)
{
  if (aEvent.transactionStatus_ != 'I') {
    return false;
  }
  if (aEvent.alreadyDone_) {
    return true;
  }
  if (aRequest.inTransaction_ && aSession.term_ == 0) {
    return false; // on a replica
  }
  if (aRequest.inTransaction_) {
    const bool wrote =
      aSession.wrote_ ||
      (!aConnection.target_->state_.checks_positions() &&
       aEvent.wrote_.value_or(
         aContext.group_.settings_.guards_.detectHiddenWrites_));
    return aRequest.class_ == wire::STATEMENT_COMMIT && wrote &&
           !aSession.failed_;
  }
  return aRequest.class_ == wire::STATEMENT_WRITE;
}

void
FinishSuccess(Context& aContext,
              Connection& aConnection,
              Session& aSession,
              Request& aRequest,
              const StatementFinished& aEvent)
{
  const char status = aEvent.transactionStatus_;
  aRequest.alreadyDone_ = aEvent.alreadyDone_;
  if (NeedsAcknowledgement(aContext, aConnection, aSession, aRequest, aEvent)) {
    aSession.pinned_ = 0;
    aSession.wrote_ = false;
    // The transaction is complete: the outcome no longer depends on it.
    aRequest.inTransaction_ = false;
    if (aEvent.position_) {
      AcceptCommitPosition(aContext, aConnection, aRequest, *aEvent.position_);
    } else {
      RequestCommitPosition(aContext, aConnection, aRequest);
    }
    return;
  }
  // A transaction with a request key begins with writing the key.
  aSession.wrote_ |=
    aRequest.class_ == wire::STATEMENT_WRITE || aRequest.keyed_;
  aRequest.connection_ = 0;
  PinOrReturnToPool(aContext, aConnection, aSession, aRequest.term_, status);
  Finish finish = MakeTargetFinish(aRequest, wire::OUTCOME_DONE);
  finish.transactionStatus_ = status;
  const bool isSingleStatement = !aRequest.inTransaction_;
  if (isSingleStatement && IsRead(aRequest.class_)) {
    CountRead(aContext, aRequest);
    finish.byReplica_ = !IsOnPrimary(aRequest);
    finish.position_ =
      aRequest.needsFreshFloor_ ? aRequest.floor_ : LogPosition{};
  }
  FinishRequest(aContext, aRequest, std::move(finish));
}

void
DiscardUnprobedAnswer(Context& aContext,
                      Connection& aConnection,
                      Request& aRequest)
{
  // Without the result of the probe, the response may not satisfy the floor.
  ++aContext.counters_.answersDropped_;
  Emit(aContext, DropAnswer{ aConnection.id_, aRequest.id_ });
  ReturnToPool(aContext, aConnection);
  RetryOrFinish(aContext,
                aRequest,
                "the response came without the result of its status probe");
}

// Handles the loss of the connection of a running request.
void
OnStatementLost(Context& aContext, Request& aRequest)
{
  aRequest.connection_ = 0;

  if (aRequest.phase_ == Phase::ReadingPosition) {
    FinishUnknown(aContext,
                  aRequest,
                  "the connection was lost before the commit's position was "
                  "read");
    return;
  }
  RetryOrFinish(aContext, aRequest, "the connection was lost");
}

} // namespace

void
OnReadProbeAnswered(Context& aContext, const ReadProbeAnswered& aEvent)
{
  Group& group = aContext.group_;
  Connection* connection = FindConnection(group, aEvent.connection_);
  if (connection == nullptr || !connection->withProbe_ ||
      connection->probeAnswered_) {
    return;
  }
  connection->probeAnswered_ = true;
  connection->lastReceivedAt_ = aContext.now_;
  Target& target = *connection->target_;
  ApplyReport(aContext, target, aEvent.report_, connection->since_);
  if (connection->use_ != Use::Statement) {
    return;
  }
  Request& request = *group.sessions_.at(connection->session_).current_;
  const bool granted = !IsOnPrimary(request) ||
                       (GrantHolds(group, request.term_, aContext.now_) &&
                        aEvent.report_.adopted_term() == request.term_) ||
                       !group.settings_.guards_.grantAtAcknowledgement_;
  if (granted && SatisfiesRead(group,
                               target,
                               aEvent.report_,
                               request.floor_,
                               request.maxAge_,
                               aContext.now_)) {
    request.accepted_ = true;
    Emit(aContext, AcceptAnswer{ connection->id_, request.id_ });
    return;
  }
  ++aContext.counters_.answersDropped_;
  DetachRequest(aContext, request, false);
  RetryOrFinish(aContext,
                request,
                "the target could not guarantee the required log position");
}

void
OnStatementFinished(Context& aContext, const StatementFinished& aEvent)
{
  Group& group = aContext.group_;
  Connection* connection = FindConnection(group, aEvent.connection_);
  if (connection == nullptr ||
      connection->state_ != pool::ConnectionState::Busy) {
    return;
  }
  connection->lastReceivedAt_ = aContext.now_;
  connection->target_->lastReceivedAt_ = aContext.now_;
  if (connection->use_ == Use::Dropped) {
    if (aEvent.transactionStatus_ == 'I') {
      ReturnToPool(aContext, *connection);
    } else {
      Close(aContext, *connection);
    }
    return;
  }
  if (connection->use_ != Use::Statement) {
    return;
  }
  Session& session = group.sessions_.at(connection->session_);
  Request& request = *session.current_;
  ApplyPosition(aContext, *connection, request, aEvent);
  MeasureService(
    aContext, *connection, session, request, aEvent.transactionStatus_);
  if (!aEvent.sqlstate_.empty()) {
    FinishError(aContext, *connection, session, request, aEvent);
  } else if (connection->withProbe_ && !request.accepted_ &&
             group.settings_.guards_.probeWithRead_) {
    DiscardUnprobedAnswer(aContext, *connection, request);
  } else {
    FinishSuccess(aContext, *connection, session, request, aEvent);
  }
}

void
OnConnectionLost(Context& aContext,
                 Connection& aConnection,
                 const ConnectionLoss& aLoss)
{
  Group& group = aContext.group_;
  Target& target = *aConnection.target_;
  const SessionId id = aConnection.session_;
  const Use use = aConnection.use_;
  const ConnectionId connectionId = aConnection.id_;
  const bool busy = aConnection.state_ == pool::ConnectionState::Busy;
  const bool running =
    busy && (use == Use::Statement || use == Use::CommitPosition);
  const bool rowsForwarded = aLoss.rowsForwarded_ && !aConnection.withProbe_;
  const bool shouldCancel = use == Use::Statement || use == Use::Dropped;
  if (aLoss.close_ && busy && shouldCancel) {
    Emit(aContext, CancelOnTarget{ connectionId });
  }
  TerminateSessionIfUsed(aConnection);
  pool::RemoveConnection(target.pool_, aConnection);
  group.connections_.erase(connectionId);
  if (aLoss.close_) {
    Emit(aContext, CloseConnection{ connectionId });
  }
  const auto found = group.sessions_.find(id);
  if (id == 0 || found == group.sessions_.end()) {
    return;
  }
  Session& session = found->second;
  if (running) {
    session.current_->accepted_ |= rowsForwarded;
    OnStatementLost(aContext, *session.current_);
  } else if (session.pinned_ == connectionId) {
    if (session.current_) {
      FinishNotRun(aContext,
                   *session.current_,
                   "25P02",
                   "the transaction was lost with its connection",
                   {});
    } else {
      AbortTransaction(aContext, session);
    }
  }
}

void
OnConnectionClosed(Context& aContext, const ConnectionClosed& aEvent)
{
  Connection* connection = FindConnection(aContext.group_, aEvent.connection_);
  if (connection == nullptr) {
    return;
  }
  Target& target = *connection->target_;
  routing::RecordFailure(target.health_);
  EjectOutlierReplicas(aContext);
  ProbeNow(aContext, target);
  OnConnectionLost(aContext, *connection, { false, aEvent.rowsForwarded_ });
}

} // namespace wigeonlb::core::traffic::internal
