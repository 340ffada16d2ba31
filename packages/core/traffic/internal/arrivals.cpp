#include "core/traffic/internal/arrivals.h"

#include <utility>

#include "core/traffic/internal/acknowledgement.h"
#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/dispatch.h"
#include "core/traffic/internal/grants.h"
#include "core/traffic/internal/outcomes.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

std::unique_ptr<Request>
MakeRequest(const RequestArrived& aEvent, Instant aNow)
{
  auto request = std::make_unique<Request>();
  request->id_ = aEvent.id_;
  request->tenant_ = aEvent.tenant_;
  request->deadline_ = aEvent.deadline_;
  request->latencyObjectiveAt_ = aEvent.latencyObjectiveAt_;
  request->objectiveAt_ = aEvent.latencyObjectiveAt_.value_or(Instant::max());
  request->priority_ = aEvent.priority_;
  request->class_ = aEvent.class_;
  request->floor_ = aEvent.floor_;
  // With a staleness bound, a session without a token needs no fresh floor.
  request->needsFreshFloor_ = aEvent.needsFreshFloor_ && !aEvent.maxAge_;
  request->maxAge_ = aEvent.maxAge_;
  request->repeatable_ = aEvent.repeatable_;
  request->keyed_ = aEvent.keyed_;
  request->dataCentre_ = aEvent.dataCentre_;
  request->arrivedAt_ = aNow;
  return request;
}

bool
EndsTransaction(const Request& aRequest)
{
  return aRequest.class_ == wire::STATEMENT_COMMIT ||
         aRequest.class_ == wire::STATEMENT_ROLLBACK;
}

// The session's transaction was aborted with its connection.
void
FinishInAbortedTransaction(Context& aContext,
                           Session& aSession,
                           Request& aRequest)
{
  Finish finish;
  if (!EndsTransaction(aRequest)) {
    finish.outcome_ = wire::OUTCOME_NOT_RUN;
    finish.sqlstate_ = aSession.timedOut_ ? "25P03" : "25P02";
    finish.message_ = aSession.timedOut_
                        ? "the transaction was idle for too long and was "
                          "rolled back; end it first"
                        : "the transaction was rolled back; end it first";
    finish.transactionStatus_ = 'E';
    aSession.timedOut_ = false;
    aSession.errorReported_ = true;
    FinishRequest(aContext, aRequest, std::move(finish));
    return;
  }
  // As in PostgreSQL, a COMMIT after an error gets the response of a ROLLBACK.
  // If the caller has received no error yet, the COMMIT must not look like a
  // success.
  aSession.aborted_ = false;
  if (aRequest.class_ == wire::STATEMENT_COMMIT && !aSession.errorReported_) {
    finish.outcome_ = wire::OUTCOME_NOT_RUN;
    finish.sqlstate_ = aSession.timedOut_ ? "25P03" : "40000";
    finish.message_ = aSession.timedOut_
                        ? "the transaction was idle for too long and was "
                          "rolled back"
                        : "the transaction was rolled back";
  }
  FinishRequest(aContext, aRequest, std::move(finish));
}

void
EnqueueInTransaction(Context& aContext, Session& aSession, Request& aRequest)
{
  Group& group = aContext.group_;
  aRequest.inTransaction_ = true;
  aRequest.term_ = aSession.term_;
  aRequest.phase_ = Phase::TransactionWait;
  group.transactionWaiters_.push_back(aRequest);
}

void
WaitForFreshFloor(Context& aContext, Request& aRequest)
{
  if (!MayUsePrimary(aContext.group_, aContext.now_)) {
    FinishNoGrant(aContext, aRequest);
    return;
  }
  aRequest.phase_ = Phase::FreshFloor;
  aContext.group_.freshWaiters_.push_back(aRequest);
}

std::size_t
CountQueued(const Group& aGroup)
{
  return aGroup.primaryQueue_.size_ + aGroup.readQueue_.size_;
}

void
Admit(Context& aContext, Request& aRequest)
{
  Group& group = aContext.group_;
  if (aRequest.deadline_ <= aContext.now_) {
    FinishNotRun(aContext, aRequest, "57P03", "the deadline has passed", {});
    return;
  }
  if (aRequest.keyed_ && !group.settings_.requestKeys_) {
    FinishNotRun(aContext,
                 aRequest,
                 "22023",
                 "the group does not accept request keys",
                 {});
    return;
  }
  if (CountQueued(group) >= group.settings_.queueLimit_) {
    ++aContext.counters_.shed_;
    FinishNotRun(
      aContext,
      aRequest,
      "57P03",
      "the group's queue is full",
      admission::PredictWait(group.primaryService_, CountQueued(group), 1));
    return;
  }
  if (EndsTransaction(aRequest)) {
    // Outside a transaction these have no effect; the driver generates the
    // response.
    FinishRequest(aContext, aRequest, Finish{});
    return;
  }
  if (aRequest.needsFreshFloor_) {
    WaitForFreshFloor(aContext, aRequest);
    return;
  }
  Route(aContext, aRequest);
}

// The entry host no longer waits for the session's request in progress. Its
// transaction ends with it.
void
DropCurrentRequest(Context& aContext, Session& aSession)
{
  Unqueue(*aSession.current_);
  OnWriteLost(aContext, *aSession.current_);
  DetachRequest(aContext, *aSession.current_, true);
  aSession.current_.reset();
  if (aSession.pinned_ != 0) {
    AbortTransaction(aContext, aSession);
  }
}

void
RefuseLateRequest(Context& aContext,
                  const Session& aSession,
                  const RequestId& aRequest)
{
  ++aContext.counters_.notRun_;
  Finish finish;
  finish.request_ = aRequest;
  finish.outcome_ = wire::OUTCOME_NOT_RUN;
  finish.sqlstate_ = "08P01";
  finish.transactionStatus_ =
    aSession.pinned_ != 0 ? 'T' : (aSession.aborted_ ? 'E' : 'I');
  finish.message_ = "a later statement of the session is running";
  Emit(aContext, std::move(finish));
}

// The transaction of the session as its owner knows it, open or aborted; 0 for
// none.
std::uint64_t
GetTransaction(const Session& aSession)
{
  const bool hasTransaction = aSession.pinned_ != 0 || aSession.aborted_;
  return hasTransaction ? aSession.transaction_ : 0;
}

// Makes the owner's view of the session's transaction that of its entry host,
// which knows what its caller was told. A transaction that the entry host has
// given up is rolled back; one that is not here was rolled back earlier.
void
AdoptTransaction(Context& aContext,
                 Session& aSession,
                 const RequestArrived& aEvent)
{
  const bool matches = aContext.group_.settings_.guards_.matchTransactions_;
  if (!aEvent.transaction_ || !matches) {
    const bool isLost =
      aEvent.inTransaction_ && aSession.pinned_ == 0 && !aSession.aborted_;
    if (isLost) {
      AbortTransaction(aContext, aSession);
      aSession.transaction_ = 0;
    }
    return;
  }
  if (*aEvent.transaction_ == GetTransaction(aSession)) {
    return;
  }
  aContext.counters_.transactionsGivenUp_ += aSession.pinned_ != 0 ? 1 : 0;
  AbortTransaction(aContext, aSession);
  aSession.transaction_ = *aEvent.transaction_;
  aSession.aborted_ = aSession.transaction_ != 0;
}

} // namespace

void
OnRequestArrived(Context& aContext, const RequestArrived& aEvent)
{
  Group& group = aContext.group_;
  ++aContext.counters_.arrived_;
  Session& session = group.sessions_[aEvent.id_.session_];
  session.id_ = aEvent.id_.session_;
  if (session.current_) {
    if (aEvent.id_.request_ <= session.current_->id_.request_) {
      RefuseLateRequest(aContext, session, aEvent.id_);
      return;
    }
    DropCurrentRequest(aContext, session);
  }
  session.current_ = MakeRequest(aEvent, aContext.now_);
  Request& request = *session.current_;
  group.live_.insert(request);
  AdoptTransaction(aContext, session, aEvent);
  if (session.aborted_) {
    FinishInAbortedTransaction(aContext, session, request);
  } else if (session.pinned_ != 0) {
    EnqueueInTransaction(aContext, session, request);
  } else {
    Admit(aContext, request);
  }
}

void
OnCancelRequested(Context& aContext, const CancelRequested& aEvent)
{
  Group& group = aContext.group_;
  const auto found = group.sessions_.find(aEvent.session_);
  if (found == group.sessions_.end() || !found->second.current_) {
    return;
  }
  Request& request = *found->second.current_;
  if (request.phase_ == Phase::ReadingPosition ||
      request.phase_ == Phase::Majority) {
    return;
  }
  if (request.phase_ != Phase::Running) {
    FinishNotRun(aContext, request, "57014", "cancelled by the caller", {});
    return;
  }
  if (Connection* connection = FindConnection(group, request.connection_)) {
    connection->cancelSent_ = true;
    Emit(aContext, CancelOnTarget{ connection->id_ });
  }
}

void
OnSessionClosed(Context& aContext, const SessionClosed& aEvent)
{
  Group& group = aContext.group_;
  const auto found = group.sessions_.find(aEvent.session_);
  if (found == group.sessions_.end()) {
    return;
  }
  Session& session = found->second;
  if (session.current_) {
    DropCurrentRequest(aContext, session);
  }
  AbortTransaction(aContext, session);
  group.sessions_.erase(aEvent.session_);
}

} // namespace wigeonlb::core::traffic::internal
