#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <libpq-fe.h>

namespace wigeonlb::testing::harness {

using PgConnection = std::unique_ptr<PGconn, decltype(&PQfinish)>;
using PgResult = std::unique_ptr<PGresult, decltype(&PQclear)>;

//! One result set of a query, or the error returned in its place.
struct QueryResult
{
  std::string sqlstate_; //!< empty on success
  std::string message_;
  std::vector<std::vector<std::string>> rows_; //!< NULL as an empty string
  std::string tag_; //!< command tag, such as `INSERT 0 1`

  //! Values of the first row, separated by commas, or the SQLSTATE on error.
  std::string Text() const;
};

//! Returns libpq's connection string for address:port. aOptions holds further
//! `key=value` options and is appended.
std::string
ConnectionString(const std::string& aAddress,
                 const std::string& aDatabase,
                 const std::string& aOptions);

//! Connects to address:port. aOptions is appended to the connection string.
PgConnection
Connect(const std::string& aAddress,
        const std::string& aDatabase,
        const std::string& aOptions = {});

QueryResult
CopyResult(const PGresult& aResult);

//! Runs a query string and returns all its result sets.
std::vector<QueryResult>
RunAll(PGconn& aConnection, const std::string& aSql);

//! Runs a query string and returns its last result set.
QueryResult
Run(PGconn& aConnection, const std::string& aSql);

//! Runs a query string on a new connection and returns its last result set.
QueryResult
RunOnce(const std::string& aAddress, const std::string& aSql);

//! Polls aCondition until it holds. Returns false if it does not within 20 s.
bool
WaitUntil(const std::function<bool()>& aCondition);

} // namespace wigeonlb::testing::harness
