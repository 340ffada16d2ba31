#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "caller/frames.h"
#include "testing/standin/state.h"
#include "testing/standin/statement.h"

namespace wigeonlb::testing::standin {

//! A command that one session issues for other sessions.
enum class SessionCommand
{
  StopResponding, //!< ignores further queries and sends no more answers
  Disconnect,     //!< cancels the statement and closes the connection
};

//! Selects the sessions that the server ends for another session.
struct SessionMatch
{
  std::string name_;         //!< application name
  std::uint64_t number_ = 0; //!< session number; 0: all sessions of the name
  //! Minimum age of the open transaction; used when number_ is 0.
  std::chrono::milliseconds age_{ 0 };
};

//! Callbacks from a query runner to its session.
struct QueryOutput
{
  //! Sends these frames and waits until the output buffer has room for more.
  std::function<void(std::string)> flush_;
  //! Executes a command on all other sessions.
  std::function<void(SessionCommand)> executeOnOthers_;
  //! Ends the matching sessions; returns their number.
  std::function<std::uint64_t(const SessionMatch&)> endSessions_;
};

//! Runs the queries of one session sequentially, on one thread.
class QueryRunner
{
public:
  //! aConnection belongs to the session; null for the session of a replica,
  //! which only pulls the log.
  QueryRunner(State& aState, Connection* aConnection, QueryOutput aOutput);

  //! Rolls back an open transaction.
  ~QueryRunner();
  QueryRunner(const QueryRunner&) = delete;
  QueryRunner& operator=(const QueryRunner&) = delete;

  //! Runs every statement of a query text. Returns the frames that have not
  //! been flushed, without ReadyForQuery.
  std::string Run(std::string_view aSql);

  caller::TransactionStatus Status() const { return status_; }

private:
  bool RunStatement(std::string_view aStatement, bool aLast);
  bool RunTransactionStatement(const std::string& aWord);
  bool RunSql(std::string_view aStatement, bool aLast);
  bool Step(sqlite3_stmt* aStatement, std::uint64_t& aRows);
  bool BeginWrite(std::string_view aStatement);
  bool CommitWrites();
  void RollBack();
  void AppendColumns(sqlite3_stmt* aStatement);
  void AppendRow(sqlite3_stmt* aStatement);
  void AppendTag(std::string_view aStatement, std::uint64_t aRows);

  bool Fail(std::string_view aSqlstate, const std::string& aMessage);
  bool FailFromSqlite();
  bool FailReadOnly();

  bool RunControl(const ControlCall& aCall);
  bool RunCommand(const ControlCall& aCall, std::uint64_t aNumber);
  void AppendStatus();
  void AppendStats();
  bool AppendPull(const ControlCall& aCall);
  void AppendOneValue(const std::string& aName, const std::string& aValue);

  State& state_;
  Connection* connection_;
  QueryOutput output_;
  caller::TransactionStatus status_ = caller::TransactionStatus::Idle;
  bool writing_ = false;  //!< an SQLite write transaction is open
  bool readOnly_ = false; //!< SET TRANSACTION READ ONLY, for this query text
  std::string script_;    //!< write statements of the transaction
  std::string frames_;
};

} // namespace wigeonlb::testing::standin
