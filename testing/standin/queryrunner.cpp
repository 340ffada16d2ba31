#include "testing/standin/queryrunner.h"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "caller/sqlstates.h"

namespace wigeonlb::testing::standin {

namespace {

using caller::TransactionStatus;
namespace sqlstates = caller::sqlstates;

constexpr std::size_t kFlushBytes = 65536;

// Occupies a slot while a statement runs.
class SlotScope
{
public:
  SlotScope(State& aState, Cancellation& aCancellation)
    : state_(aState)
    , ready_(aState.BeginStatement(aCancellation))
  {
  }
  ~SlotScope() { state_.EndStatement(); }
  SlotScope(const SlotScope&) = delete;
  SlotScope& operator=(const SlotScope&) = delete;
  bool Ready() const { return ready_; }

private:
  State& state_;
  bool ready_;
};

std::string_view
GetSqlstate(sqlite3* aHandle)
{
  const int code = sqlite3_extended_errcode(aHandle);
  constexpr int kPrimaryCodeMask = 0xff;
  switch (code & kPrimaryCodeMask) {
    case SQLITE_INTERRUPT:
      return sqlstates::kQueryCancelled;
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return sqlstates::kSerializationFailure;
    case SQLITE_CONSTRAINT:
      return code == SQLITE_CONSTRAINT_NOTNULL ? "23502" : "23505";
    default:
      break;
  }
  const std::string_view message = sqlite3_errmsg(aHandle);
  if (message.starts_with("no such column")) {
    return "42703";
  }
  return message.starts_with("no such table") ? "42P01"
                                              : sqlstates::kSyntaxError;
}

std::uint32_t
GetTypeOid(sqlite3_stmt* aStatement, int aColumn)
{
  const char* declared = sqlite3_column_decltype(aStatement, aColumn);
  const std::string type = declared == nullptr ? "" : FirstWord(declared);
  if (type.starts_with("INT") || type == "BIGINT") {
    return caller::kInt8TypeOid;
  }
  return type == "REAL" ? caller::kFloat8TypeOid : caller::kTextTypeOid;
}

bool
IsSessionSetting(const std::string& aWord)
{
  return aWord == "SET" || aWord == "RESET" || aWord == "DISCARD";
}

} // namespace

QueryRunner::QueryRunner(State& aState,
                         Connection* aConnection,
                         QueryOutput aOutput)
  : state_(aState)
  , connection_(aConnection)
  , output_(std::move(aOutput))
{
}

QueryRunner::~QueryRunner()
{
  RollBack();
}

std::string
QueryRunner::Run(std::string_view aSql)
{
  frames_.clear();
  readOnly_ = false;
  std::string_view statement;
  std::string_view next;
  if (!ExtractStatement(aSql, statement)) {
    caller::AppendEmptyQueryResponse(frames_);
  }
  while (!statement.empty()) {
    const bool last = !ExtractStatement(aSql, next);
    if (!RunStatement(statement, last)) {
      break;
    }
    statement = next;
  }
  // An implicit transaction with writes whose last statement was not run by
  // SQLite, such as a control call.
  if (status_ == TransactionStatus::Idle && writing_) {
    CommitWrites();
  }
  return std::move(frames_);
}

bool
QueryRunner::RunStatement(std::string_view aStatement, bool aLast)
{
  const std::string word = FirstWord(aStatement);
  const bool endsTransaction =
    word == "COMMIT" || word == "END" || word == "ROLLBACK" || word == "ABORT";
  if (status_ == TransactionStatus::Failed && !endsTransaction) {
    return Fail(sqlstates::kFailedTransaction,
                "current transaction is aborted, commands ignored until end "
                "of transaction block");
  }
  ControlCall call;
  const bool control = ParseControlCall(aStatement, call);
  if (connection_ != nullptr) {
    state_.CountStatement(control);
  }
  if (control) {
    return RunControl(call);
  }
  if (connection_ == nullptr) {
    return Fail(sqlstates::kFeatureNotSupported,
                "a replication connection cannot run SQL statements");
  }
  if (endsTransaction || word == "BEGIN" || word == "START") {
    return RunTransactionStatement(word);
  }
  if (IsSessionSetting(word)) {
    readOnly_ = readOnly_ || aStatement == "SET TRANSACTION READ ONLY";
    caller::AppendCommandComplete(frames_, word);
    return true;
  }
  return RunSql(aStatement, aLast);
}

bool
QueryRunner::RunTransactionStatement(const std::string& aWord)
{
  const bool commit = aWord == "COMMIT" || aWord == "END";
  if (aWord == "BEGIN" || aWord == "START") {
    status_ = TransactionStatus::InTransaction;
    caller::AppendCommandComplete(frames_, "BEGIN");
    return true;
  }
  const bool failed = status_ == TransactionStatus::Failed;
  status_ = TransactionStatus::Idle;
  if (!commit || failed) {
    RollBack();
    caller::AppendCommandComplete(frames_, "ROLLBACK");
    return true;
  }
  if (!CommitWrites()) {
    return false;
  }
  caller::AppendCommandComplete(frames_, "COMMIT");
  return true;
}

bool
QueryRunner::RunSql(std::string_view aStatement, bool aLast)
{
  std::optional<SlotScope> slot(
    std::in_place, state_, connection_->GetCancellation());
  if (!slot->Ready()) {
    return Fail(sqlstates::kQueryCancelled,
                "canceling statement due to user request");
  }
  sqlite3_stmt* prepared = nullptr;
  const int result = sqlite3_prepare_v2(connection_->Handle(),
                                        aStatement.data(),
                                        static_cast<int>(aStatement.size()),
                                        &prepared,
                                        nullptr);
  const std::unique_ptr<sqlite3_stmt, decltype(&sqlite3_finalize)> owner(
    prepared, &sqlite3_finalize);
  if (result != SQLITE_OK) {
    return FailFromSqlite();
  }
  if (sqlite3_stmt_readonly(prepared) == 0) {
    // Releases the slot while waiting for the write lock: the session that
    // holds the lock may need a slot to finish its transaction.
    slot.reset();
    if (!BeginWrite(aStatement)) {
      return false;
    }
  }
  std::uint64_t rows = 0;
  if (!Step(prepared, rows)) {
    return false;
  }
  if (aLast && status_ == TransactionStatus::Idle && writing_ &&
      !CommitWrites()) {
    return false;
  }
  AppendTag(aStatement, rows);
  return true;
}

bool
QueryRunner::Step(sqlite3_stmt* aStatement, std::uint64_t& aRows)
{
  const bool hasRows = sqlite3_column_count(aStatement) > 0;
  if (hasRows) {
    AppendColumns(aStatement);
  }
  int result = sqlite3_step(aStatement);
  for (; result == SQLITE_ROW; result = sqlite3_step(aStatement)) {
    AppendRow(aStatement);
    ++aRows;
    if (frames_.size() >= kFlushBytes) {
      output_.flush_(std::exchange(frames_, {}));
    }
    if (connection_->GetCancellation().IsCancelled()) {
      return Fail(sqlstates::kQueryCancelled,
                  "canceling statement due to user request");
    }
  }
  if (result != SQLITE_DONE) {
    return FailFromSqlite();
  }
  if (!hasRows) {
    aRows = static_cast<std::uint64_t>(sqlite3_changes(connection_->Handle()));
  }
  return true;
}

// A transaction acquires SQLite's write lock with its first write. Until then,
// each of its statements sees the latest commit, as under READ COMMITTED.
bool
QueryRunner::BeginWrite(std::string_view aStatement)
{
  if (!state_.IsPrimary() || readOnly_) {
    return FailReadOnly();
  }
  if (!writing_) {
    if (!connection_->Run("BEGIN IMMEDIATE")) {
      return FailFromSqlite();
    }
    writing_ = true;
  }
  script_.append(aStatement).append(";");
  return true;
}

bool
QueryRunner::CommitWrites()
{
  if (!writing_) {
    return true;
  }
  bool fenced = false;
  if (state_.Commit(*connection_, std::exchange(script_, {}), fenced)) {
    writing_ = false;
    return true;
  }
  return fenced ? FailReadOnly() : FailFromSqlite();
}

void
QueryRunner::RollBack()
{
  if (writing_) {
    connection_->Run("ROLLBACK");
  }
  writing_ = false;
  script_.clear();
}

void
QueryRunner::AppendColumns(sqlite3_stmt* aStatement)
{
  const int count = sqlite3_column_count(aStatement);
  std::vector<caller::ColumnDescription> columns;
  columns.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    columns.push_back({ .name_ = sqlite3_column_name(aStatement, i),
                        .typeOid_ = GetTypeOid(aStatement, i) });
  }
  caller::AppendRowDescription(frames_, columns);
}

void
QueryRunner::AppendRow(sqlite3_stmt* aStatement)
{
  const int count = sqlite3_column_count(aStatement);
  std::vector<std::optional<std::string_view>> values;
  values.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    const auto* text =
      reinterpret_cast<const char*>(sqlite3_column_text(aStatement, i));
    const auto bytes =
      static_cast<std::size_t>(sqlite3_column_bytes(aStatement, i));
    values.push_back(text == nullptr
                       ? std::nullopt
                       : std::optional(std::string_view(text, bytes)));
  }
  caller::AppendDataRow(frames_, values);
}

void
QueryRunner::AppendTag(std::string_view aStatement, std::uint64_t aRows)
{
  std::string tag = FirstWord(aStatement);
  if (tag == "INSERT" || tag == "REPLACE") {
    tag = "INSERT 0 " + std::to_string(aRows);
  } else if (tag == "UPDATE" || tag == "DELETE") {
    tag += " " + std::to_string(aRows);
  } else if (tag == "SELECT" || tag == "WITH" || tag == "VALUES") {
    tag = "SELECT " + std::to_string(aRows);
  }
  caller::AppendCommandComplete(frames_, tag);
}

bool
QueryRunner::Fail(std::string_view aSqlstate, const std::string& aMessage)
{
  caller::AppendErrorResponse(frames_,
                              { .severity_ = "ERROR",
                                .sqlstate_ = std::string(aSqlstate),
                                .message_ = aMessage });
  RollBack();
  if (status_ == TransactionStatus::InTransaction) {
    status_ = TransactionStatus::Failed;
  }
  return false;
}

bool
QueryRunner::FailFromSqlite()
{
  const std::string_view state = GetSqlstate(connection_->Handle());
  const bool cancelled = state == sqlstates::kQueryCancelled ||
                         connection_->GetCancellation().IsCancelled();
  if (cancelled) {
    return Fail(sqlstates::kQueryCancelled,
                "canceling statement due to user request");
  }
  return Fail(state, connection_->ErrorText());
}

bool
QueryRunner::FailReadOnly()
{
  return Fail(sqlstates::kReadOnlyTransaction,
              "cannot execute a write in a read-only transaction");
}

} // namespace wigeonlb::testing::standin
