// The end of requests at their entry host: answers, metrics and log lines.
#include "traffic/entrysession.h"

#include "caller/sqlstates.h"

namespace wigeonlb::daemon::traffic {

namespace sqlstates = caller::sqlstates;
using foundation::Duration;
using foundation::SteadyNow;

namespace {

//! Retry delay that is suggested to callers whose name has no route yet: a
//! heartbeat brings what this host lacks.
constexpr Duration kNoRouteRetryDelayMs = std::chrono::milliseconds(300);

} // namespace

std::string
FormatRetryDelay(Duration aRetryAfter)
{
  return "retry after " +
         std::to_string(foundation::ToMilliseconds(aRetryAfter)) + " ms";
}

void
EntrySession::AnswerOutcome(const wire::ForwardEnd& aEnd,
                            std::uint64_t aOwnerBoot)
{
  if (!aEnd.target_answered() && aEnd.outcome() == wire::OUTCOME_DONE) {
    // The owner ended the transaction without a statement on a target.
    const bool committed =
      request_.statement_class() == wire::STATEMENT_COMMIT &&
      status_ != caller::TransactionStatus::Failed;
    std::string frames;
    context_.protocol_->appendLocalComplete_(frames,
                                             committed ? "COMMIT" : "ROLLBACK");
    caller_->Send(std::move(frames));
  } else if (!aEnd.target_answered()) {
    const bool notRun = aEnd.outcome() == wire::OUTCOME_NOT_RUN;
    SendError(
      { aEnd.sqlstate(),
        aEnd.message(),
        notRun ? FormatRetryDelay(Duration(aEnd.retry_after_us())) : "" });
  }
  const bool generated = !aEnd.target_answered();
  Record({ .outcome_ = aEnd.outcome(),
           .byReplica_ = aEnd.by_replica(),
           .sqlstate_ = generated ? std::string_view(aEnd.sqlstate()) : "",
           .reason_ = aEnd.message(),
           .target_ = aEnd.served_by() });
  const char status =
    aEnd.transaction_status().empty() ? 'I' : aEnd.transaction_status()[0];
  FinishAnswer(status, aOwnerBoot);
}

void
EntrySession::FinishAnswer(char aStatus, std::uint64_t aOwnerBoot)
{
  waiting_ = false;
  deadlineTimer_.cancel();
  status_ = static_cast<caller::TransactionStatus>(aStatus);
  if (status_ == caller::TransactionStatus::Idle) {
    transactionOwner_.clear();
    transaction_ = 0;
  } else if (transactionOwner_.empty()) {
    transactionOwner_ = owner_;
    transactionOwnerBoot_ = aOwnerBoot;
    transaction_ = request_.request();
  }
  caller_->FinishQuery(status_);
}

void
EntrySession::SendError(const LocalError& aLocalError)
{
  std::string frames;
  context_.protocol_->appendError_(frames,
                                   { "ERROR",
                                     std::string(aLocalError.sqlstate_),
                                     aLocalError.message_,
                                     aLocalError.detail_,
                                     "" });
  caller_->Send(std::move(frames));
}

void
EntrySession::AbandonRequest(const LocalError& aLocalError)
{
  const bool notRun = aLocalError.sqlstate_ == sqlstates::kNotRun;
  Record({ .outcome_ = notRun ? wire::OUTCOME_NOT_RUN : wire::OUTCOME_UNKNOWN,
           .sqlstate_ = aLocalError.sqlstate_,
           .reason_ = aLocalError.message_ });
  SendError(aLocalError);
  FinishAnswer('I');
}

void
EntrySession::Record(const RequestResult& aResult)
{
  context_.metrics_->Record({ group_,
                              database_,
                              tenant_,
                              IsRead(),
                              aResult.byReplica_,
                              aResult.outcome_,
                              aResult.sqlstate_,
                              SteadyNow() - startedAt_ });
  // Errors of targets are not logged: they concern only the caller.
  if (!aResult.sqlstate_.empty()) {
    Log(RequestEvent::Answered, aResult);
  }
}

void
EntrySession::Log(RequestEvent aEvent, const RequestResult& aResult)
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
  decision.transaction_ = transaction_;
  decision.database_ = database_;
  decision.outcome_ = aResult.outcome_;
  decision.sqlstate_ = aResult.sqlstate_;
  decision.reason_ = aResult.reason_;
  decision.owner_ = owner_;
  decision.target_ = aResult.target_;
  decision.floor_ = { request_.floor().term(), request_.floor().offset() };
  decision.took_ = now - startedAt_;
  if (request_.aim_us() != 0) {
    decision.latencyObjective_ = Duration(request_.aim_us());
  }
  decision.revision_ = context_.routes_->revision_;
  context_.log_->Write(decision, now);
}

EntrySession::LocalError
EntrySession::MakeNameError(NameVerdict aVerdict) const
{
  if (aVerdict == NameVerdict::Unknown) {
    return { sqlstates::kUnknownGroup,
             "there is no database group '" + database_ + "'" };
  }
  return MakeOutdatedError(aVerdict);
}

EntrySession::LocalError
EntrySession::MakeOutdatedError(NameVerdict aVerdict) const
{
  return { sqlstates::kNotRun,
           aVerdict == NameVerdict::NoConfiguration
             ? "this host knows no configuration yet"
             : "this host's configuration may be outdated: it has heard no "
               "control leader for a moment",
           FormatRetryDelay(kNoRouteRetryDelayMs) };
}

std::optional<EntrySession::LocalError>
EntrySession::IdentifyCaller()
{
  if (context_.routes_->organisations_ == nullptr) {
    return std::nullopt;
  }
  KeyVerdict key = JudgeKey(context_.routes_, keyDigest_, SteadyNow());
  tenant_ = std::move(key.organisation_);
  const DatabaseRoute* const database = FindDatabase();
  const bool isOpen = database != nullptr && database->open_;
  if (key.verdict_ == NameVerdict::Known || isOpen) {
    return std::nullopt;
  }
  if (key.verdict_ == NameVerdict::Unknown) {
    return LocalError{ sqlstates::kInvalidAuthorization,
                       "the caller's key belongs to no organisation" };
  }
  return MakeOutdatedError(key.verdict_);
}

void
EntrySession::LogRefusal(const LocalError& aError, foundation::Instant aNow)
{
  context_.metrics_->RecordRefusedSession(aError.sqlstate_);
  if (context_.log_ == nullptr) {
    return;
  }
  RequestDecision decision;
  decision.event_ = RequestEvent::SessionRefused;
  decision.request_ = { "", context_.host_, number_, 0 };
  decision.database_ = database_;
  decision.outcome_ = wire::OUTCOME_NOT_RUN;
  decision.sqlstate_ = aError.sqlstate_;
  decision.reason_ = aError.message_;
  if (context_.routes_ != nullptr) {
    decision.revision_ = context_.routes_->revision_;
  }
  if (const auto confirmation = FindConfirmation(context_.routes_)) {
    decision.confirmation_ = *confirmation;
    decision.confirmationAge_ = aNow - confirmation->askedAt_;
  }
  context_.log_->Write(decision, aNow);
}

} // namespace wigeonlb::daemon::traffic
