#include "traffic/requestlog.h"

namespace wigeonlb::daemon::traffic {

namespace {

using foundation::Duration;
using foundation::LogField;
using foundation::LogPosition;

//! Burst size, in seconds at the full rate. The failure of a primary or a link
//! ends many requests at once.
constexpr std::uint64_t kBurstSeconds = 4;

std::string
FormatMilliseconds(Duration aDuration)
{
  return std::to_string(foundation::ToMilliseconds(aDuration));
}

void
AddText(std::vector<LogField>& aFields,
        std::string_view aKey,
        std::string_view aValue)
{
  if (!aValue.empty()) {
    aFields.emplace_back(aKey, std::string(aValue));
  }
}

void
AddPosition(std::vector<LogField>& aFields,
            std::string_view aKey,
            const LogPosition& aPosition)
{
  if (aPosition.term_ != 0) {
    aFields.emplace_back(aKey, foundation::ToString(aPosition));
  }
}

void
AddOpenTransaction(std::vector<LogField>& aFields,
                   const core::traffic::SessionTransaction& aOpen)
{
  const bool isAborted = aOpen.connection_ == 0;
  aFields.emplace_back(isAborted ? "aborted_transaction" : "open_transaction",
                       std::to_string(aOpen.transaction_));
  if (isAborted) {
    return;
  }
  aFields.emplace_back("connection", std::to_string(aOpen.connection_));
  aFields.emplace_back("open_at", aOpen.target_);
  aFields.emplace_back("open_ms", FormatMilliseconds(aOpen.age_));
  aFields.emplace_back("open_idle_ms", FormatMilliseconds(aOpen.idle_));
}

void
AddOwnerState(std::vector<LogField>& aFields, const RequestDecision& aDecision)
{
  if (aDecision.grantTerm_) {
    aFields.emplace_back("grant_term", std::to_string(*aDecision.grantTerm_));
    aFields.emplace_back("grant_left_ms",
                         FormatMilliseconds(aDecision.leaseRemaining_));
  }
  if (aDecision.queued_) {
    aFields.emplace_back("queued", std::to_string(*aDecision.queued_));
  }
  if (aDecision.queuedForPrimary_) {
    aFields.emplace_back("queued_primary",
                         std::to_string(*aDecision.queuedForPrimary_));
  }
  if (aDecision.openTransactions_) {
    aFields.emplace_back("open_transactions",
                         std::to_string(*aDecision.openTransactions_));
  }
  AddPosition(aFields, "newest", aDecision.newest_);
  if (aDecision.newestAge_) {
    aFields.emplace_back("newest_age_ms",
                         FormatMilliseconds(*aDecision.newestAge_));
  }
}

} // namespace

std::string_view
EventName(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::Answered:
      return "request-answered";
    case RequestEvent::HandedOn:
      return "request-handed-on";
    case RequestEvent::Finished:
      return "request-finished";
    case RequestEvent::TransactionDiffers:
      return "transaction-differs";
    case RequestEvent::SessionRefused:
      return "session-refused";
  }
  return "";
}

std::string_view
OutcomeName(wire::Outcome aOutcome)
{
  switch (aOutcome) {
    case wire::OUTCOME_DONE:
      return "done";
    case wire::OUTCOME_NOT_RUN:
      return "not_run";
    case wire::OUTCOME_UNKNOWN:
      return "unknown";
    default:
      return "failed";
  }
}

std::string_view
StatementClassName(wire::StatementClass aClass)
{
  switch (aClass) {
    case wire::STATEMENT_READ:
      return "read";
    case wire::STATEMENT_PRIMARY_READ:
      return "primary-read";
    case wire::STATEMENT_BEGIN:
      return "begin";
    case wire::STATEMENT_BEGIN_READ:
      return "begin-read";
    case wire::STATEMENT_COMMIT:
      return "commit";
    case wire::STATEMENT_ROLLBACK:
      return "rollback";
    default:
      return "write";
  }
}

std::vector<LogField>
BuildLogFields(const RequestDecision& aDecision)
{
  const RequestName& request = aDecision.request_;
  std::vector<LogField> fields;
  AddText(fields, "request", request.id_);
  fields.emplace_back("session",
                      std::string(request.entryHost_) + "/" +
                        std::to_string(request.session_));
  fields.emplace_back("attempt", std::to_string(request.number_));
  AddText(fields, "group", aDecision.group_);
  AddText(fields, "database", aDecision.database_);
  if (aDecision.transaction_) {
    fields.emplace_back("transaction", std::to_string(*aDecision.transaction_));
  }
  if (aDecision.class_) {
    fields.emplace_back("statement",
                        std::string(StatementClassName(*aDecision.class_)));
  }
  if (aDecision.outcome_) {
    fields.emplace_back("outcome",
                        std::string(OutcomeName(*aDecision.outcome_)));
  }
  AddText(fields, "sqlstate", aDecision.sqlstate_);
  AddText(fields, "reason", aDecision.reason_);
  AddText(fields, "owner", aDecision.owner_);
  AddText(fields, "target", aDecision.target_);
  AddPosition(fields, "floor", aDecision.floor_);
  fields.emplace_back("took_ms", FormatMilliseconds(aDecision.took_));
  if (aDecision.latencyObjective_) {
    fields.emplace_back("aim_ms",
                        FormatMilliseconds(*aDecision.latencyObjective_));
  }
  if (aDecision.revision_) {
    fields.emplace_back("revision", std::to_string(*aDecision.revision_));
  }
  if (aDecision.confirmation_) {
    fields.emplace_back("confirmed_revision",
                        std::to_string(aDecision.confirmation_->revision_));
    fields.emplace_back("confirmed_by", aDecision.confirmation_->leader_);
    fields.emplace_back("confirmed_ms",
                        FormatMilliseconds(aDecision.confirmationAge_));
  }
  if (aDecision.openTransaction_) {
    AddOpenTransaction(fields, *aDecision.openTransaction_);
  }
  AddOwnerState(fields, aDecision);
  return fields;
}

RequestLog::RequestLog(std::uint64_t aLinesPerSecond,
                       foundation::MetricsRegistry& aRegistry)
  : registry_(aRegistry)
  , budget_(foundation::MakeTokenBucket(aLinesPerSecond,
                                        kBurstSeconds * aLinesPerSecond,
                                        foundation::SteadyNow()))
{
}

void
RequestLog::Write(const RequestDecision& aDecision, foundation::Instant aNow)
{
  const std::lock_guard lock(mutex_);
  const std::string_view event = EventName(aDecision.event_);
  if (!foundation::TryCharge(budget_, 1, aNow)) {
    ++suppressedLines_[event];
    registry_
      .Counter("wigeonlb_log_lines_left_out_total", { { "event", event } })
      .Add(1);
    return;
  }
  LogSuppressedLines();
  foundation::LogChange("request", event, BuildLogFields(aDecision));
}

void
RequestLog::LogSuppressedLines()
{
  for (const auto& [event, count] : suppressedLines_) {
    foundation::LogChange(
      "request",
      "request-lines-left-out",
      { { "of", std::string(event) }, { "count", std::to_string(count) } });
  }
  suppressedLines_.clear();
}

} // namespace wigeonlb::daemon::traffic
