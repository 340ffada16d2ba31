#include "testing/harness/pgclient.h"

#include <chrono>
#include <thread>

namespace wigeonlb::testing::harness {

namespace {

std::string
TextOrEmpty(const char* aText)
{
  return aText == nullptr ? "" : aText;
}

// SQLSTATE for errors raised by libpq itself, such as a lost connection.
constexpr const char* kConnectionFailure = "08006";

} // namespace

std::string
QueryResult::Text() const
{
  if (!sqlstate_.empty()) {
    return sqlstate_;
  }
  std::string text;
  for (std::size_t i = 0; !rows_.empty() && i < rows_.front().size(); ++i) {
    text += (i == 0 ? "" : ",") + rows_.front()[i];
  }
  return text;
}

std::string
ConnectionString(const std::string& aAddress,
                 const std::string& aDatabase,
                 const std::string& aOptions)
{
  const std::size_t colon = aAddress.rfind(':');
  return "host=" + aAddress.substr(0, colon) +
         " port=" + aAddress.substr(colon + 1) + " user=test dbname='" +
         aDatabase +
         "' connect_timeout=10 sslmode=disable gssencmode=disable " + aOptions;
}

PgConnection
Connect(const std::string& aAddress,
        const std::string& aDatabase,
        const std::string& aOptions)
{
  const std::string text = ConnectionString(aAddress, aDatabase, aOptions);
  return { PQconnectdb(text.c_str()), &PQfinish };
}

QueryResult
CopyResult(const PGresult& aResult)
{
  QueryResult copy;
  const auto status = PQresultStatus(&aResult);
  if (status == PGRES_FATAL_ERROR || status == PGRES_BAD_RESPONSE) {
    copy.sqlstate_ =
      TextOrEmpty(PQresultErrorField(&aResult, PG_DIAG_SQLSTATE));
    copy.sqlstate_ =
      copy.sqlstate_.empty() ? kConnectionFailure : copy.sqlstate_;
    copy.message_ = TextOrEmpty(PQresultErrorMessage(&aResult));
  }
  // PQcmdStatus takes a non-const result but does not modify it.
  copy.tag_ = PQcmdStatus(const_cast<PGresult*>(&aResult));
  for (int row = 0; row < PQntuples(&aResult); ++row) {
    auto& values = copy.rows_.emplace_back();
    for (int column = 0; column < PQnfields(&aResult); ++column) {
      values.emplace_back(PQgetvalue(&aResult, row, column));
    }
  }
  return copy;
}

std::vector<QueryResult>
RunAll(PGconn& aConnection, const std::string& aSql)
{
  std::vector<QueryResult> results;
  if (PQsendQuery(&aConnection, aSql.c_str()) == 0) {
    results.push_back(
      { kConnectionFailure, PQerrorMessage(&aConnection), {}, {} });
    return results;
  }
  while (PGresult* next = PQgetResult(&aConnection)) {
    const PgResult owner(next, &PQclear);
    results.push_back(CopyResult(*next));
  }
  return results;
}

QueryResult
Run(PGconn& aConnection, const std::string& aSql)
{
  auto results = RunAll(aConnection, aSql);
  return results.empty()
           ? QueryResult{ kConnectionFailure, "no result", {}, {} }
           : std::move(results.back());
}

QueryResult
RunOnce(const std::string& aAddress, const std::string& aSql)
{
  const PgConnection connection = Connect(aAddress, "test");
  return Run(*connection, aSql);
}

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  constexpr std::chrono::milliseconds kPollIntervalMs(5);
  constexpr int kMaxPolls = 4000;
  for (int i = 0; i < kMaxPolls; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollIntervalMs);
  }
  return false;
}

} // namespace wigeonlb::testing::harness
