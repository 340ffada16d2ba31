#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "caller/callersession.h"
#include "testing/standin/queryrunner.h"

namespace wigeonlb::testing::standin {

class StandinServer;

//! Runs the queries of one session on its own thread. The thread ends after the
//! session was closed and the statement in progress, if any, has finished.
class Worker : public std::enable_shared_from_this<Worker>
{
public:
  //! aCountsTowardLimit is false for a replica's session: it does not count
  //! toward the connection limit and cannot run SQL statements.
  Worker(StandinServer& aServer,
         caller::CallerSession& aSession,
         const caller::CancelKey& aKey,
         bool aCountsTowardLimit,
         std::string aName);

  //! Starts the thread, which accepts the startup after the simulated cost of
  //! connecting.
  void Start();

  void OnQuery(std::string_view aSql);
  void OnDrained();
  void OnClosed();

  //! Interrupts the statement in progress, if any.
  void Cancel();
  void Execute(SessionCommand aCommand);

  const caller::CancelKey& Key() const { return key_; }
  bool CountsTowardLimit() const { return countsTowardLimit_; }
  //! Application name of the session.
  const std::string& Name() const { return name_; }

  //! True if a transaction, or a statement outside a transaction, has been open
  //! for at least aAge.
  bool IsOpenFor(std::chrono::milliseconds aAge);

private:
  void Run();
  void RunQueries();
  bool NextQuery(std::string& aSql);
  void Flush(std::string aFrames);
  void Finish(std::string aFrames, caller::TransactionStatus aStatus);

  StandinServer& server_;
  boost::intrusive_ptr<caller::CallerSession> session_;
  caller::CancelKey key_;
  bool countsTowardLimit_;
  std::string name_;
  std::atomic<bool> unresponsive_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::string sql_;
  std::optional<Clock::time_point> openSince_;
  bool hasQuery_ = false;
  bool drained_ = true;
  bool closed_ = false;
  Connection* connection_ = nullptr;
};

} // namespace wigeonlb::testing::standin
