#include "core/traffic/internal/outcomes.h"

#include <utility>

#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

constexpr Duration kNoGrantRetryAfter = 200ms;
constexpr Duration kTryAnotherOwnerAfter = 1500ms;

void
CountOutcome(Context& aContext, const Finish& aFinish)
{
  auto& counters = aContext.counters_;
  switch (aFinish.outcome_) {
    case wire::OUTCOME_DONE:
      ++counters.done_;
      retry::CountSuccess(aContext.group_.retries_);
      break;
    case wire::OUTCOME_NOT_RUN:
      ++counters.notRun_;
      break;
    case wire::OUTCOME_UNKNOWN:
      ++counters.unknown_;
      break;
    default:
      ++counters.failed_;
      break;
  }
}

// Whether the statement has no lasting effect even if the target ran it: its
// transaction is rolled back with the connection, or it only reads.
bool
LeavesNoEffect(const Context& aContext, const Request& aRequest)
{
  if (!aRequest.inTransaction_) {
    return IsRead(aRequest.class_);
  }
  const Session& session = aContext.group_.sessions_.at(aRequest.id_.session_);
  return aRequest.class_ != wire::STATEMENT_COMMIT || session.term_ == 0;
}

// Rolls back the transaction of a statement that is abandoned. After a COMMIT
// or ROLLBACK the session is outside a transaction; the ROLLBACK even succeeds.
void
AbortAbandonedTransaction(Context& aContext,
                          const Request& aRequest,
                          Finish& aFinish)
{
  Session& session = aContext.group_.sessions_.at(aRequest.id_.session_);
  AbortTransaction(aContext, session);
  if (aRequest.class_ == wire::STATEMENT_ROLLBACK) {
    session.aborted_ = false;
    aFinish = Finish{};
    return;
  }
  session.aborted_ = aRequest.class_ != wire::STATEMENT_COMMIT;
  session.errorReported_ = true;
  aFinish.transactionStatus_ = session.aborted_ ? 'E' : 'I';
  if (aFinish.outcome_ == wire::OUTCOME_NOT_RUN) {
    aFinish.message_ += "; the transaction was rolled back";
  }
}

// If a BEGIN with a request key failed or has an unknown outcome, the caller's
// next statements must not run outside a transaction: the session is put into
// the state of an aborted transaction.
void
AbortRefusedTransaction(Context& aContext,
                        const Request& aRequest,
                        Finish& aFinish)
{
  const bool refused = aFinish.outcome_ == wire::OUTCOME_FAILED ||
                       aFinish.outcome_ == wire::OUTCOME_UNKNOWN;
  if (!aRequest.keyed_ || aRequest.class_ != wire::STATEMENT_BEGIN ||
      !refused) {
    return;
  }
  Session& session = aContext.group_.sessions_.at(aRequest.id_.session_);
  AbortTransaction(aContext, session);
  session.transaction_ = aRequest.id_.request_;
  session.errorReported_ = true;
  aFinish.transactionStatus_ = 'E';
}

} // namespace

Request*
FindRequest(Group& aGroup, const RequestId& aId)
{
  const auto found = aGroup.sessions_.find(aId.session_);
  if (found == aGroup.sessions_.end() || !found->second.current_ ||
      found->second.current_->id_ != aId) {
    return nullptr;
  }
  return found->second.current_.get();
}

void
Unqueue(Request& aRequest)
{
  if (aRequest.queue_ != nullptr) {
    admission::Remove(*aRequest.queue_, aRequest);
    aRequest.queue_ = nullptr;
  }
  aRequest.waitHook_.unlink();
}

void
FinishRequest(Context& aContext, Request& aRequest, Finish aFinish)
{
  aFinish.request_ = aRequest.id_;
  AbortRefusedTransaction(aContext, aRequest, aFinish);
  CountOutcome(aContext, aFinish);
  if (aFinish.outcome_ == wire::OUTCOME_UNKNOWN) {
    OnWriteLost(aContext, aRequest);
  } else {
    OnWriteUndone(aContext, aRequest);
  }
  Unqueue(aRequest);
  const SessionId id = aRequest.id_.session_;
  aContext.group_.sessions_.at(id).current_.reset();
  Emit(aContext, std::move(aFinish));
  RemoveIfIdle(aContext, id);
}

void
FinishNotRun(Context& aContext,
             Request& aRequest,
             std::string aSqlstate,
             std::string aMessage,
             Duration aRetryAfter,
             bool aTryAnotherOwner)
{
  if (aRequest.possibleRuns_ > 0) {
    FinishUnknown(aContext,
                  aRequest,
                  "sent to a target without a usable response: " + aMessage);
    return;
  }
  Finish finish;
  finish.outcome_ = wire::OUTCOME_NOT_RUN;
  finish.sqlstate_ = std::move(aSqlstate);
  finish.message_ = std::move(aMessage);
  finish.retryAfter_ = aRetryAfter;
  finish.tryAnotherOwner_ = aTryAnotherOwner && !aRequest.inTransaction_;
  if (aRequest.inTransaction_) {
    AbortAbandonedTransaction(aContext, aRequest, finish);
  }
  FinishRequest(aContext, aRequest, std::move(finish));
}

void
FinishNoGrant(Context& aContext, Request& aRequest)
{
  const auto* reason = aContext.group_.drainingTerm_
                         ? "the group's primary is being changed"
                         : "this host holds no grant for the group's primary";
  const Group& group = aContext.group_;
  const bool tryAnother =
    !group.grant_ &&
    aContext.now_ - group.grantEndedAt_ >= kTryAnotherOwnerAfter;
  FinishNotRun(
    aContext, aRequest, "57P03", reason, kNoGrantRetryAfter, tryAnother);
}

void
FinishUnknown(Context& aContext, Request& aRequest, std::string aMessage)
{
  Finish finish;
  finish.outcome_ = wire::OUTCOME_UNKNOWN;
  finish.sqlstate_ = LeavesNoEffect(aContext, aRequest) ? "40003" : "08007";
  finish.message_ = std::move(aMessage);
  finish.servedBy_ = aRequest.servedBy_;
  if (aRequest.inTransaction_) {
    AbortAbandonedTransaction(aContext, aRequest, finish);
  }
  FinishRequest(aContext, aRequest, std::move(finish));
}

void
AbortTransaction(Context& aContext, Session& aSession)
{
  Connection* connection = FindConnection(aContext.group_, aSession.pinned_);
  aSession.pinned_ = 0;
  aSession.aborted_ = true;
  aSession.errorReported_ = false;
  aSession.timedOut_ = false;
  aSession.wrote_ = false;
  aSession.failed_ = false;
  if (connection != nullptr) {
    Close(aContext, *connection);
  }
}

void
RemoveIfIdle(Context& aContext, SessionId aId)
{
  const auto found = aContext.group_.sessions_.find(aId);
  if (found == aContext.group_.sessions_.end()) {
    return;
  }
  const Session& session = found->second;
  if (!session.current_ && session.pinned_ == 0 && !session.aborted_) {
    aContext.group_.sessions_.erase(found);
  }
}

} // namespace wigeonlb::core::traffic::internal
