#include "testing/standin/database.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>

#include <unistd.h>

namespace wigeonlb::testing::standin {

namespace {

[[noreturn]] void
Fail(const std::string& aMessage)
{
  std::cerr << "standin: " << aMessage << '\n';
  std::exit(2);
}

void
PgSleep(sqlite3_context* aContext, int, sqlite3_value** aValues)
{
  constexpr double kMillisecondsPerSecond = 1000;
  auto* connection = static_cast<Connection*>(sqlite3_user_data(aContext));
  const double milliseconds =
    sqlite3_value_double(aValues[0]) * kMillisecondsPerSecond;
  const std::chrono::milliseconds time(static_cast<std::int64_t>(milliseconds));
  if (!connection->GetCancellation().Sleep(time)) {
    sqlite3_result_error_code(aContext, SQLITE_INTERRUPT);
    return;
  }
  sqlite3_result_text(aContext, "", 0, SQLITE_STATIC);
}

void
Repeat(sqlite3_context* aContext, int, sqlite3_value** aValues)
{
  const auto* text =
    reinterpret_cast<const char*>(sqlite3_value_text(aValues[0]));
  const auto bytes = static_cast<std::size_t>(sqlite3_value_bytes(aValues[0]));
  const auto count = sqlite3_value_int64(aValues[1]);
  std::string result;
  for (std::int64_t i = 0; text != nullptr && i < count; ++i) {
    result.append(text, bytes);
  }
  sqlite3_result_text64(
    aContext, result.data(), result.size(), SQLITE_TRANSIENT, SQLITE_UTF8);
}

// SQLite's busy handler: called while another connection holds a required lock.
int
OnBusy(void* aConnection, int)
{
  auto* connection = static_cast<Connection*>(aConnection);
  return connection->GetCancellation().Sleep(std::chrono::milliseconds(1)) ? 1
                                                                           : 0;
}

} // namespace

void
Cancellation::Cancel()
{
  const std::lock_guard lock(mutex_);
  cancelled_ = true;
  changed_.notify_all();
}

bool
Cancellation::Sleep(std::chrono::milliseconds aTime)
{
  std::unique_lock lock(mutex_);
  return !changed_.wait_for(lock, aTime, [this] { return IsCancelled(); });
}

Connection::Connection(const std::string& aPath)
{
  constexpr int kFlags =
    SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  if (sqlite3_open_v2(aPath.c_str(), &handle_, kFlags, nullptr) != SQLITE_OK) {
    Fail(ErrorText());
  }
  sqlite3_busy_handler(handle_, OnBusy, this);
  sqlite3_create_function(
    handle_, "pg_sleep", 1, SQLITE_UTF8, this, PgSleep, nullptr, nullptr);
  sqlite3_create_function(
    handle_, "repeat", 2, SQLITE_UTF8, this, Repeat, nullptr, nullptr);
  if (!Run("PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF;"
           "SELECT count(*) FROM sqlite_master")) {
    Fail(ErrorText());
  }
}

Connection::~Connection()
{
  sqlite3_close(handle_);
}

bool
Connection::Run(const std::string& aScript)
{
  return sqlite3_exec(handle_, aScript.c_str(), nullptr, nullptr, nullptr) ==
         SQLITE_OK;
}

Database::Database(std::size_t aConnections)
{
  std::string folder = "/tmp/standin-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    Fail("cannot create a temporary folder in /tmp");
  }
  const std::string path = folder + "/data";
  for (std::size_t i = 0; i < aConnections + 1; ++i) {
    connections_.push_back(std::make_unique<Connection>(path));
    if (i > 0) {
      free_.push_back(connections_.back().get());
    }
  }
  // The applier must not wait for a lock, as this would block replication.
  sqlite3_busy_timeout(Applier().Handle(), 0);
  for (const char* suffix : { "", "-wal", "-shm" }) {
    unlink((path + suffix).c_str());
  }
  rmdir(folder.c_str());
}

Database::~Database() = default;

Connection&
Database::Acquire()
{
  std::unique_lock lock(mutex_);
  released_.wait(lock, [this] { return !free_.empty(); });
  Connection& connection = *free_.back();
  free_.pop_back();
  return connection;
}

void
Database::Release(Connection& aConnection)
{
  const std::lock_guard lock(mutex_);
  free_.push_back(&aConnection);
  released_.notify_one();
}

bool
Database::Clear()
{
  std::string script = "BEGIN IMMEDIATE;";
  const auto addDrop = [](void* aScript, int, char** aValues, char**) {
    *static_cast<std::string*>(aScript) += aValues[0];
    return 0;
  };
  sqlite3_exec(Applier().Handle(),
               "SELECT 'DROP ' || type || ' \"' || name || '\";' "
               "FROM sqlite_master WHERE type IN ('table', 'view') "
               "AND name NOT LIKE 'sqlite_%'",
               addDrop,
               &script,
               nullptr);
  if (Applier().Run(script + "COMMIT")) {
    return true;
  }
  Applier().Run("ROLLBACK");
  return false;
}

} // namespace wigeonlb::testing::standin
