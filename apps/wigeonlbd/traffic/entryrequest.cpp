// Builds the requests of an entry session: the group of the database, the
// session's state, and the bounds on what a read may see.
#include "traffic/entrysession.h"

#include "caller/sqlstates.h"

namespace wigeonlb::daemon::traffic {

namespace sqlstates = caller::sqlstates;
using foundation::Duration;

const DatabaseRoute*
EntrySession::FindDatabase() const
{
  if (context_.routes_ == nullptr) {
    return nullptr;
  }
  const auto found = context_.routes_->databases_.find(database_);
  return found == context_.routes_->databases_.end() ? nullptr : &found->second;
}

const GroupRoute*
EntrySession::Route() const
{
  // An open transaction stays in its group even if the database is moved or
  // dropped.
  foundation::GroupName group = group_;
  if (!InTransaction()) {
    const DatabaseRoute* const database = FindDatabase();
    if (database == nullptr) {
      return nullptr;
    }
    group = database->group_;
  }
  const auto found = context_.routes_->groups_.find(group);
  return found == context_.routes_->groups_.end() ? nullptr : &found->second;
}

bool
EntrySession::HandleSessionEffect(
  const core::classification::SessionEffect& aEffect)
{
  using namespace core::classification;
  const bool failed = status_ == caller::TransactionStatus::Failed;
  if (std::holds_alternative<std::monostate>(aEffect) ||
      std::holds_alternative<Execute>(aEffect)) {
    return false;
  }
  if (failed) {
    FailLocally({ sqlstates::kFailedTransaction,
                  "the transaction has failed; end it with ROLLBACK first" });
    return true;
  }
  if (const auto* value = std::get_if<SetSessionValue>(&aEffect)) {
    values_[value->name_] = value->value_;
    AnswerDone("SET");
  } else if (const auto* prepare = std::get_if<Prepare>(&aEffect)) {
    prepared_[prepare->name_] = *prepare;
    AnswerDone("PREPARE");
  } else if (const auto* deallocate = std::get_if<Deallocate>(&aEffect)) {
    if (prepared_.erase(deallocate->name_) == 0) {
      FailLocally(
        { sqlstates::kUnknownStatement,
          "there is no prepared statement '" + deallocate->name_ + "'" });
      return true;
    }
    AnswerDone("DEALLOCATE");
  }
  return true;
}

void
EntrySession::AnswerDone(std::string_view aTag)
{
  std::string frames;
  context_.protocol_->appendLocalComplete_(frames, aTag);
  caller_->Send(std::move(frames));
  caller_->FinishQuery(status_);
}

bool
EntrySession::AddStatement(const core::classification::Classification& aClass,
                           std::string_view aSql)
{
  request_.set_statement_class(aClass.class_);
  request_.set_statement(std::string(aSql));
  request_.set_repeatable(aClass.repeatable_);
  request_.set_statement_id(caller_->QueryId());
  for (const auto& [name, value] : values_) {
    wire::SessionValue& wanted = *request_.add_values();
    wanted.set_name(name);
    wanted.set_value(value);
  }
  const auto* execute =
    std::get_if<core::classification::Execute>(&aClass.sessionEffect_);
  if (execute == nullptr) {
    return true;
  }
  const auto found = prepared_.find(execute->name_);
  if (found == prepared_.end()) {
    FailLocally({ sqlstates::kUnknownStatement,
                  "there is no prepared statement '" + execute->name_ + "'" });
    return false;
  }
  const core::classification::Prepare& prepared = found->second;
  request_.set_statement_class(prepared.class_);
  request_.set_statement(execute->prefix_ + prepared.sharedName_ +
                         execute->suffix_);
  request_.mutable_prepared()->set_name(prepared.sharedName_);
  request_.mutable_prepared()->set_definition(prepared.definition_);
  return true;
}

//! Sets the latency objective and, by the read policy of the database, the
//! bounds on what a read may see. Within a transaction the objective and the
//! policy READ_PRIMARY have no effect: they applied to its BEGIN.
void
EntrySession::AddReadBounds(const GroupRoute& aRoute)
{
  const DatabaseRoute* const database = FindDatabase();
  if (database != nullptr && !InTransaction()) {
    request_.set_aim_us(
      static_cast<std::uint64_t>(database->latencyObjective_.count()));
    request_.set_priority(database->priority_);
  }
  const wire::ReadPolicy policy =
    database == nullptr ? wire::READ_SESSION : database->readPolicy_;
  if (policy == wire::READ_PRIMARY && !InTransaction()) {
    if (request_.statement_class() == wire::STATEMENT_READ) {
      request_.set_statement_class(wire::STATEMENT_PRIMARY_READ);
    } else if (request_.statement_class() == wire::STATEMENT_BEGIN_READ) {
      request_.set_statement_class(wire::STATEMENT_BEGIN);
    }
    return;
  }
  std::optional<Duration> maxAge = settings_.maxAge_;
  if (!maxAge) {
    const bool own = database != nullptr && database->maxAge_.has_value();
    maxAge = own ? database->maxAge_ : aRoute.maxAge_;
  }
  if (maxAge) {
    request_.set_max_age_us(static_cast<std::uint64_t>(maxAge->count()));
  }
  if (policy == wire::READ_BOUNDED) {
    return;
  }
  const foundation::LogPosition floor =
    core::session::GetFloor(settings_.floors_, group_);
  request_.mutable_floor()->set_term(floor.term_);
  request_.mutable_floor()->set_offset(floor.offset_);
  request_.set_needs_fresh_floor(settings_.needsFreshFloor_ &&
                                 !InTransaction());
}

Duration
EntrySession::GetStatementTimeout(const GroupRoute& aRoute) const
{
  const DatabaseRoute* const database = FindDatabase();
  if (database != nullptr && database->statementTimeout_ > Duration::zero()) {
    return database->statementTimeout_;
  }
  const Duration routeDeadline =
    IsRead() ? aRoute.readDeadline_ : aRoute.writeDeadline_;
  return routeDeadline > Duration::zero() ? routeDeadline
                                          : context_.statementDeadline_;
}

//! Reads, and statements in a transaction that is lost with its owner, have no
//! lasting effect.
bool
EntrySession::HasNoEffect() const
{
  const wire::StatementClass kind = request_.statement_class();
  return InTransaction() ? kind != wire::STATEMENT_COMMIT
                         : kind != wire::STATEMENT_WRITE;
}

//! The SQLSTATE for a request whose owner did not answer.
std::string_view
EntrySession::GetOwnerLostSqlstate() const
{
  // If the caller has received rows, its answer is incomplete: report the
  // outcome as unknown.
  return HasNoEffect() && receivedPieces_ == 0 ? sqlstates::kTransactionLost
                                               : sqlstates::kOutcomeUnknown;
}

} // namespace wigeonlb::daemon::traffic
