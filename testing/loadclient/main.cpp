#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

#include "testing/loadclient/loadsession.h"
#include "testing/loadclient/pgrequest.h"
#include "testing/loadclient/report.h"

namespace wigeonlb::testing::loadclient {

namespace {

// Timeout for creating the table, and for reading it at the end; long enough to
// outlast an injected fault.
constexpr std::chrono::seconds kSetupTimeoutSeconds(30);
constexpr std::chrono::milliseconds kRetryMs(50);

// Runs a statement on the first host that executes it. Returns the last error
// if none does in time.
harness::QueryResult
RunOnAnyHost(const Settings& aSettings, const std::string& aSql)
{
  const Instant end = foundation::SteadyNow() + kSetupTimeoutSeconds;
  harness::QueryResult result;
  for (std::size_t i = 0; foundation::SteadyNow() < end; ++i) {
    const auto connection =
      ConnectWithTimeout(aSettings.hosts_[i % aSettings.hosts_.size()],
                         aSettings.group_,
                         "",
                         aSettings.timeout_);
    result = RunWithTimeout(*connection, aSql, aSettings.timeout_);
    if (result.sqlstate_.empty()) {
      break;
    }
    std::this_thread::sleep_for(kRetryMs);
  }
  return result;
}

bool
CreateTable(const Settings& aSettings)
{
  for (const char* sql :
       { "CREATE TABLE IF NOT EXISTS ledger(id text, session text, n integer)",
         "CREATE INDEX IF NOT EXISTS ledger_by_session ON ledger(session, "
         "n)" }) {
    const auto result = RunOnAnyHost(aSettings, sql);
    if (!result.sqlstate_.empty()) {
      std::cerr << "cannot create the table ledger: " << result.sqlstate_ << ' '
                << result.message_ << '\n';
      return false;
    }
  }
  return true;
}

void
RunSessions(const Settings& aSettings, RunResult& aResult)
{
  std::vector<LoadSession> sessions;
  sessions.reserve(aSettings.sessions_);
  for (std::uint64_t i = 0; i < aSettings.sessions_; ++i) {
    sessions.emplace_back(aSettings, i);
  }
  aResult.startedAt_ = foundation::SteadyNow();
  const Instant end = aResult.startedAt_ + aSettings.runDuration_;
  std::vector<std::thread> threads;
  threads.reserve(sessions.size());
  for (LoadSession& session : sessions) {
    threads.emplace_back([&session, end] { session.Run(end); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  aResult.endedAt_ = foundation::SteadyNow();
  for (LoadSession& session : sessions) {
    Merge(aResult.statistics_, session.ExtractStatistics());
  }
}

bool
ReadLedger(const Settings& aSettings, RunResult& aResult)
{
  const auto rows =
    RunOnAnyHost(aSettings,
                 "SELECT id, count(*) FROM ledger WHERE id LIKE '" +
                   aSettings.run_ + "-%' GROUP BY id");
  if (!rows.sqlstate_.empty()) {
    std::cerr << "cannot read the table ledger: " << rows.message_ << '\n';
    return false;
  }
  constexpr int kDecimal = 10;
  std::map<std::string, std::uint64_t> counts;
  for (const auto& row : rows.rows_) {
    counts[row[0]] = std::strtoull(row[1].c_str(), nullptr, kDecimal);
  }
  aResult.ledger_ = CheckLedger(aResult.statistics_.writes_, counts);
  return true;
}

// The times are microseconds of the steady clock, which all processes of a
// machine share.
void
WriteReadLog(const std::string& aPath, std::span<const ReadRecord> aRecords)
{
  std::ofstream file(aPath);
  for (const ReadRecord& record : aRecords) {
    file << record.sentAt_.time_since_epoch().count() << ','
         << record.floor_.offset_ << ',' << (record.tolerant_ ? 1 : 0) << '\n';
  }
}

int
Run(const Settings& aSettings)
{
  constexpr int kExitNotChecked = 2;
  RunResult result;
  if (!CreateTable(aSettings)) {
    return kExitNotChecked;
  }
  RunSessions(aSettings, result);
  if (!aSettings.readLog_.empty()) {
    WriteReadLog(aSettings.readLog_, result.statistics_.readLog_);
  }
  const bool checked = ReadLedger(aSettings, result);
  for (const auto& [error, count] : result.statistics_.errors_) {
    std::cerr << count << " times " << error << '\n';
  }
  std::cout << ToCsv(aSettings, result);
  if (!checked) {
    return kExitNotChecked;
  }
  return HasViolations(result) ? 1 : 0;
}

} // namespace

} // namespace wigeonlb::testing::loadclient

int
main(int argc, char** argv)
{
  using namespace wigeonlb;
  testing::loadclient::Settings settings;
  foundation::Findings findings;
  if (!testing::loadclient::ReadSettings(argc, argv, settings, findings)) {
    return 0;
  }
  if (!findings.empty()) {
    std::cerr << foundation::ToString(findings);
    return 2;
  }
  return testing::loadclient::Run(settings);
}
