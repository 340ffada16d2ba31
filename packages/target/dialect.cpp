#include "target/dialect.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string_view>

#include <xxhash.h>

#include "foundation/parsenumber.h"
#include "target/targeterrors.h"

namespace wigeonlb::target {

namespace {

//! NOTE PostgreSQL has no number that increases when a server is rebuilt: a
//! copy keeps the system identifier. A rebuilt PostgreSQL server is recognised
//! by its log position moving backwards.
constexpr std::string_view kPostgresqlStatus =
  "SELECT NOT pg_is_in_recovery(), "
  "(SELECT timeline_id FROM pg_control_checkpoint()), "
  "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() "
  "ELSE pg_current_wal_flush_lsn() END, "
  "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() "
  "ELSE pg_current_wal_lsn() END, "
  "(SELECT system_identifier FROM pg_control_system())";

constexpr std::string_view kPostgresqlEndSession =
  "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity "
  "WHERE pid = {pid} AND application_name = {name}";

constexpr std::string_view kPostgresqlEndTransactions =
  "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity "
  "WHERE application_name = {name} AND pid <> pg_backend_pid() "
  "AND xact_start <= clock_timestamp() - interval '{age_ms} milliseconds'";

constexpr Dialect kDialects[] = {
  { "postgresql",
    kPostgresqlStatus,
    "SELECT pg_promote(true, 60) /* term {term} */",
    "SELECT pg_current_xact_id_if_assigned() IS NOT NULL",
    "",
    kPostgresqlEndSession,
    kPostgresqlEndTransactions,
    "CAST(extract(epoch FROM now()) AS bigint)",
    "SET TRANSACTION READ ONLY" },
  { "standin",
    "SELECT * FROM standin_status",
    "SELECT standin_promote({term})",
    "SELECT standin_wrote()",
    "SELECT standin_fence({term})",
    "SELECT standin_end_session({pid}, {name})",
    "SELECT standin_end_transactions({name}, {age_ms})",
    "CAST(strftime('%s', 'now') AS integer)",
    "SET TRANSACTION READ ONLY" },
};

template<std::integral Number>
bool
ReadNumber(const Field& aField, int aBase, Number& aNumber)
{
  return aField && foundation::ParseNumber(*aField, aNumber, aBase);
}

//! Reads a decimal number of bytes, or PostgreSQL's format of two hexadecimal
//! 32-bit halves such as `16/B374D848`.
bool
ReadOffset(const Field& aField, std::uint64_t& aOffset)
{
  if (!aField) {
    return false;
  }
  const std::size_t slash = aField->find('/');
  if (slash == std::string_view::npos) {
    return ReadNumber(aField, 10, aOffset);
  }
  std::uint32_t high = 0;
  std::uint32_t low = 0;
  if (!ReadNumber(aField->substr(0, slash), 16, high) ||
      !ReadNumber(aField->substr(slash + 1), 16, low)) {
    return false;
  }
  constexpr int kHalfBits = 32;
  aOffset = (std::uint64_t{ high } << kHalfBits) + low;
  return true;
}

void
Replace(std::string& aStatement,
        std::string_view aPlaceholder,
        const std::string& aValue)
{
  const std::size_t position = aStatement.find(aPlaceholder);
  if (position != std::string::npos) {
    aStatement.replace(position, aPlaceholder.size(), aValue);
  }
}

std::string
QuoteLiteral(std::string_view aText)
{
  const bool escapes = aText.find('\\') != std::string_view::npos;
  std::string quoted = escapes ? "E'" : "'";
  for (const char letter : aText) {
    if (letter == '\'' || letter == '\\') {
      quoted += letter;
    }
    quoted += letter;
  }
  return quoted + "'";
}

} // namespace

const Dialect*
FindDialect(std::string_view aName)
{
  if (aName.empty()) {
    return &kDialects[0];
  }
  for (const Dialect& dialect : kDialects) {
    if (dialect.name_ == aName) {
      return &dialect;
    }
  }
  return nullptr;
}

std::span<const Dialect>
GetDialects()
{
  return kDialects;
}

std::error_code
ReadStatus(std::span<const Field> aRow, wire::TargetReport& aReport)
{
  if (aRow.size() < StatusColumnCount || !aRow[IsPrimary]) {
    return TargetError::BadStatus;
  }
  std::uint64_t term = 0;
  std::uint64_t synced = 0;
  std::uint64_t applied = 0;
  std::uint64_t incarnation = 0;
  if (!ReadNumber(aRow[AdoptedTerm], 10, term) ||
      !ReadOffset(aRow[SyncedOffset], synced) ||
      !ReadOffset(aRow[AppliedOffset], applied) ||
      !ReadNumber(aRow[Incarnation], 10, incarnation)) {
    return TargetError::BadStatus;
  }
  aReport.set_reachable(true);
  aReport.set_primary(*aRow[IsPrimary] == "t");
  aReport.set_adopted_term(term);
  aReport.set_synced_offset(synced);
  aReport.set_applied_offset(applied);
  aReport.set_incarnation(incarnation);
  const bool hasColumn = aRow.size() > Diverged && aRow[Diverged];
  aReport.set_diverged(hasColumn && *aRow[Diverged] == "t");
  return {};
}

std::string
SubstituteTerm(std::string_view aStatement, std::uint64_t aTerm)
{
  std::string statement(aStatement);
  Replace(statement, "{term}", std::to_string(aTerm));
  return statement;
}

std::string
MakeFloorPrefix(const Dialect& aDialect, const foundation::LogPosition& aFloor)
{
  if (aDialect.floorPrefix_.empty() || aFloor.offset_ == 0) {
    return {};
  }
  std::string prefix = SubstituteTerm(aDialect.floorPrefix_, aFloor.term_);
  Replace(prefix, "{offset}", std::to_string(aFloor.offset_));
  return prefix;
}

std::string
MakeSetStatement(const Dialect& aDialect,
                 std::string_view aName,
                 std::string_view aValue)
{
  std::string statement(aDialect.setPrefix_);
  statement += aName;
  statement += ' ';
  statement += aValue;
  return statement;
}

std::string
MakeApplicationName(std::string_view aHost, std::uint64_t aBoot)
{
  constexpr std::size_t kMaxNameBytes = 63;
  const auto makeName = [&](std::string_view aId) {
    return "wigeonlb/" + std::string(aId) + "/" + std::to_string(aBoot);
  };
  const std::string name = makeName(aHost);
  return name.size() <= kMaxNameBytes
           ? name
           : makeName(std::to_string(XXH3_64bits(aHost.data(), aHost.size())));
}

std::string
MakeEndSessionStatement(const Dialect& aDialect,
                        std::int32_t aBackend,
                        std::string_view aApplicationName)
{
  std::string statement(aDialect.endSessionStatement_);
  Replace(statement, "{pid}", std::to_string(aBackend));
  Replace(statement, "{name}", QuoteLiteral(aApplicationName));
  return statement;
}

std::string
MakeEndTransactionsStatement(const Dialect& aDialect,
                             std::string_view aApplicationName,
                             foundation::Duration aAge)
{
  using std::chrono::ceil;
  using std::chrono::milliseconds;
  const auto age = ceil<milliseconds>(aAge).count();
  std::string statement(aDialect.endTransactionsStatement_);
  Replace(statement, "{age_ms}", std::to_string(age));
  Replace(statement, "{name}", QuoteLiteral(aApplicationName));
  return statement;
}

} // namespace wigeonlb::target
