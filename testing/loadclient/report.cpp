#include "testing/loadclient/report.h"

#include <algorithm>
#include <utility>

namespace wigeonlb::testing::loadclient {

namespace {

std::uint64_t
Count(const Statistics& aStatistics, Outcome aOutcome)
{
  return static_cast<std::uint64_t>(std::count_if(
    aStatistics.writes_.begin(),
    aStatistics.writes_.end(),
    [aOutcome](const Write& aWrite) { return aWrite.outcome_ == aOutcome; }));
}

std::uint64_t
Microseconds(const std::vector<Duration>& aDurations, double aShare)
{
  return static_cast<std::uint64_t>(Percentile(aDurations, aShare).count());
}

} // namespace

bool
HasViolations(const RunResult& aResult)
{
  const LedgerCheck& ledger = aResult.ledger_;
  return aResult.statistics_.stale_ + aResult.statistics_.tooOld_ +
           ledger.missing_ + ledger.doubled_ + ledger.notRunPresent_ +
           ledger.failedPresent_ >
         0;
}

std::string
ToCsv(const Settings& aSettings, const RunResult& aResult)
{
  constexpr double kMedianShare = 0.5;
  constexpr double kP99Share = 0.99;
  const Statistics& statistics = aResult.statistics_;
  const auto length =
    foundation::ToMilliseconds(aResult.endedAt_ - aResult.startedAt_);
  const auto gap = foundation::ToMilliseconds(
    LongestWriteGap(statistics.writes_, aResult.startedAt_, aResult.endedAt_));
  const std::pair<const char*, std::uint64_t> columns[] = {
    { "seed", aSettings.seed_ },
    { "sessions", aSettings.sessions_ },
    { "length_ms", static_cast<std::uint64_t>(length) },
    { "reads", statistics.reads_ },
    { "tolerant_reads", statistics.tolerantReads_ },
    { "reads_not_run", statistics.readsNotRun_ },
    { "reads_failed", statistics.readsFailed_ },
    { "writes", statistics.writes_.size() },
    { "acknowledged", Count(statistics, Outcome::Done) },
    { "not_run", Count(statistics, Outcome::NotRun) },
    { "unknown", Count(statistics, Outcome::Unknown) },
    { "failed", Count(statistics, Outcome::Failed) },
    { "connect_failures", statistics.connectFailures_ },
    { "moves", statistics.moves_ },
    { "read_p50_us", Microseconds(statistics.readTimes_, kMedianShare) },
    { "read_p99_us", Microseconds(statistics.readTimes_, kP99Share) },
    { "write_p50_us", Microseconds(statistics.writeTimes_, kMedianShare) },
    { "write_p99_us", Microseconds(statistics.writeTimes_, kP99Share) },
    { "refused_p50_us", Microseconds(statistics.refusedTimes_, kMedianShare) },
    { "refused_p99_us", Microseconds(statistics.refusedTimes_, kP99Share) },
    { "without_retry_after", statistics.withoutRetryAfter_ },
    { "late", statistics.late_ },
    { "longest_write_gap_ms", static_cast<std::uint64_t>(gap) },
    { "stale", statistics.stale_ },
    { "too_old", statistics.tooOld_ },
    { "missing", aResult.ledger_.missing_ },
    { "doubled", aResult.ledger_.doubled_ },
    { "not_run_present", aResult.ledger_.notRunPresent_ },
    { "failed_present", aResult.ledger_.failedPresent_ },
  };
  std::string header;
  std::string line;
  for (const auto& [name, value] : columns) {
    header += (header.empty() ? "" : ",") + std::string(name);
    line += (line.empty() ? "" : ",") + std::to_string(value);
  }
  return header + "\n" + line + "\n";
}

} // namespace wigeonlb::testing::loadclient
