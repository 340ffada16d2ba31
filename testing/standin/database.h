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

//! Lets one thread interrupt the waits of another.
class Cancellation
{
public:
  void Reset() { cancelled_ = false; }
  void Cancel();
  bool IsCancelled() const { return cancelled_; }

  //! Waits for aTime. Returns false, at once, if cancelled before or meanwhile.
  bool Sleep(std::chrono::milliseconds aTime);

private:
  std::atomic<bool> cancelled_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
};

//! One SQLite connection to the private database of the process.
class Connection
{
public:
  //! Opens the database and registers the SQL functions pg_sleep and repeat.
  //! Exits the process on an SQLite error.
  explicit Connection(const std::string& aPath);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  //! Runs a script. Returns false on failure; ErrorText() has the reason.
  bool Run(const std::string& aScript);
  std::string ErrorText() const { return sqlite3_errmsg(handle_); }
  sqlite3* Handle() { return handle_; }
  Cancellation& GetCancellation() { return cancellation_; }

private:
  sqlite3* handle_ = nullptr;
  Cancellation cancellation_;
};

//! Connection pool of one database. Its files are unlinked as soon as all
//! connections are open, so that none remain however the process ends.
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

  //! The connection that applies replicated log entries.
  Connection& Applier() { return *connections_.front(); }

  //! Drops all tables and views through the applier. Returns false if an open
  //! transaction prevents it.
  bool Clear();

private:
  std::vector<std::unique_ptr<Connection>> connections_;
  std::mutex mutex_;
  std::condition_variable released_;
  std::vector<Connection*> free_;
};

} // namespace wigeonlb::testing::standin
