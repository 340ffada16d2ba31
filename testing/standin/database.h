#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <sqlite3.h>

namespace wigeonlb::testing::standin {

//! Lets one thread end the waits of another.
class Cancellation
{
public:
  void Reset() { cancelled_ = false; }
  void Cancel();
  bool IsCancelled() const { return cancelled_; }

  //! Waits, unless it is or becomes cancelled; false in that case.
  bool Sleep(std::chrono::milliseconds aTime);

private:
  std::atomic<bool> cancelled_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
};

//! One SQLite connection to the process's private database.
class Connection
{
public:
  //! Registers pg_sleep and repeat. Exits the process when SQLite fails.
  explicit Connection(const std::string& aPath);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  //! Runs a script; false when it failed, with ErrorText telling why.
  bool Run(const std::string& aScript);
  std::string ErrorText() const { return sqlite3_errmsg(handle_); }
  sqlite3* Handle() { return handle_; }
  Cancellation& GetCancellation() { return cancellation_; }

private:
  sqlite3* handle_ = nullptr;
  Cancellation cancellation_;
};

//! Connections to one database in files that are unlinked as soon as all are
//! open, so that nothing stays behind however the process ends.
class Database
{
public:
  explicit Database(std::size_t aConnections);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  //! Waits for a free connection.
  Connection& Acquire();
  void Release(Connection& aConnection);

  //! The connection by which shipped entries are applied.
  Connection& Applier() { return *connections_.front(); }

  //! Drops every table by the applier; false when a transaction is in the way.
  bool Clear();

private:
  std::vector<std::unique_ptr<Connection>> connections_;
  std::mutex mutex_;
  std::condition_variable released_;
  std::vector<Connection*> free_;
};

} // namespace wigeonlb::testing::standin
