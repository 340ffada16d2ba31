// How requests end at their entry host: answers, counters, log lines.
#include "traffic/entrysession.h"

#include "caller/sqlstates.h"

namespace wigeonlb::daemon::traffic {

namespace sqlstates = caller::sqlstates;
using foundation::Duration;
using foundation::SteadyNow;

std::string
RetryText(Duration aRetryAfter)
{
  return "retry after " +
         std::to_string(foundation::ToMilliseconds(aRetryAfter)) + " ms";
}

void
EntrySession::AnswerOutcome(const wire::ForwardEnd& aEnd)
{
  if (!aEnd.target_answered() && aEnd.outcome() == wire::OUTCOME_DONE) {
    // The owner ended a transaction that no target had to be asked about.
    const bool committed =
      request_.statement_class() == wire::STATEMENT_COMMIT &&
      status_ != caller::TransactionStatus::Failed;
    std::string frames;
    context_.protocol_->appendLocalComplete_(frames,
                                             committed ? "COMMIT" : "ROLLBACK");
    caller_->Send(std::move(frames));
  } else if (!aEnd.target_answered()) {
    const bool notRun = aEnd.outcome() == wire::OUTCOME_NOT_RUN;
    SendError({ aEnd.sqlstate(),
                aEnd.message(),
                notRun ? RetryText(Duration(aEnd.retry_after_us())) : "" });
  }
  const bool madeUp = !aEnd.target_answered();
  Record({ .outcome_ = aEnd.outcome(),
           .byReplica_ = aEnd.by_replica(),
           .sqlstate_ = madeUp ? std::string_view(aEnd.sqlstate()) : "",
           .reason_ = aEnd.message(),
           .target_ = aEnd.served_by() });
  const char status =
    aEnd.transaction_status().empty() ? 'I' : aEnd.transaction_status()[0];
  FinishAnswer(status);
}

void
EntrySession::FinishAnswer(char aStatus)
{
  waiting_ = false;
  deadlineTimer_.cancel();
  status_ = static_cast<caller::TransactionStatus>(aStatus);
  if (status_ == caller::TransactionStatus::Idle) {
    transactionOwner_.clear();
  } else {
    transactionOwner_ = owner_;
  }
  caller_->FinishQuery(status_);
}

void
EntrySession::SendError(const Verdict& aVerdict)
{
  std::string frames;
  context_.protocol_->appendError_(frames,
                                   { "ERROR",
                                     std::string(aVerdict.sqlstate_),
                                     aVerdict.message_,
                                     aVerdict.detail_,
                                     "" });
  caller_->Send(std::move(frames));
}

void
EntrySession::GiveUp(const Verdict& aVerdict)
{
  const bool notRun = aVerdict.sqlstate_ == sqlstates::kNotRun;
  Record({ .outcome_ = notRun ? wire::OUTCOME_NOT_RUN : wire::OUTCOME_UNKNOWN,
           .sqlstate_ = aVerdict.sqlstate_,
           .reason_ = aVerdict.message_ });
  SendError(aVerdict);
  FinishAnswer('I');
}

void
EntrySession::Record(const Ending& aEnding)
{
  context_.metrics_->Record({ group_,
                              database_,
                              tenant_,
                              IsRead(),
                              aEnding.byReplica_,
                              aEnding.outcome_,
                              aEnding.sqlstate_,
                              SteadyNow() - startedAt_ });
  // An error that the target gave is the caller's own matter.
  if (!aEnding.sqlstate_.empty()) {
    Log(RequestEvent::Answered, aEnding);
  }
}

void
EntrySession::Log(RequestEvent aEvent, const Ending& aEnding)
{
  if (context_.log_ == nullptr) {
    return;
  }
  const foundation::Instant now = SteadyNow();
  RequestDecision decision;
  decision.event_ = aEvent;
  decision.request_ = {
    request_.statement_id(), context_.host_, number_, request_.request()
  };
  decision.group_ = group_;
  decision.database_ = database_;
  decision.outcome_ = aEnding.outcome_;
  decision.sqlstate_ = aEnding.sqlstate_;
  decision.reason_ = aEnding.reason_;
  decision.owner_ = owner_;
  decision.target_ = aEnding.target_;
  decision.floor_ = { request_.floor().term(), request_.floor().offset() };
  decision.took_ = now - startedAt_;
  if (request_.aim_us() != 0) {
    decision.latencyObjective_ = Duration(request_.aim_us());
  }
  decision.revision_ = context_.routes_->revision_;
  context_.log_->Write(decision, now);
}

} // namespace wigeonlb::daemon::traffic
