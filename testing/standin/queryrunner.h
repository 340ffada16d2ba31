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

//! What can be ordered for sessions.
enum class SessionCommand
{
  StopResponding, //!< nothing more is taken in or answered
  Disconnect,     //!< the statement is cancelled and the connection closed
};

//! Sessions that one session has the server end.
struct SessionMatch
{
  std::string name_;                   //!< their application name
  std::uint64_t number_ = 0;           //!< 0: every session of the name
  std::chrono::milliseconds age_{ 0 }; //!< then: of its open transaction
};

//! What a query runner needs of the session that it runs for.
struct QueryOutput
{
  //! Sends what was collected so far and waits until there is room for more.
  std::function<void(std::string)> flush_;
  //! Carries out an order that concerns the other sessions.
  std::function<void(SessionCommand)> executeOnOthers_;
  //! Ends sessions; returns how many.
  std::function<std::uint64_t(const SessionMatch&)> endSessions_;
};

//! Runs the queries of one session, one after the other, on one thread.
class QueryRunner
{
public:
  //! aConnection is the session's own; absent for a replica that only pulls.
  QueryRunner(State& aState, Connection* aConnection, QueryOutput aOutput);

  //! Rolls an open transaction back.
  ~QueryRunner();
  QueryRunner(const QueryRunner&) = delete;
  QueryRunner& operator=(const QueryRunner&) = delete;

  //! Runs every statement of a query text; returns the frames that were not
  //! flushed yet, without ReadyForQuery.
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
  bool writing_ = false;  //!< SQLite's transaction is open
  bool readOnly_ = false; //!< SET TRANSACTION READ ONLY, for this query text
  std::string script_;    //!< the transaction's writes
  std::string frames_;
};

} // namespace wigeonlb::testing::standin
