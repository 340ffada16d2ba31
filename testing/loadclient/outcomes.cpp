#include "testing/loadclient/outcomes.h"

#include <algorithm>
#include <iterator>

#include "caller/sqlstates.h"

namespace wigeonlb::testing::loadclient {

namespace {

namespace sqlstates = caller::sqlstates;

template<typename T>
void
Append(std::vector<T>& aTotal, std::vector<T>& aSession)
{
  aTotal.insert(aTotal.end(),
                std::make_move_iterator(aSession.begin()),
                std::make_move_iterator(aSession.end()));
}

} // namespace

Outcome
OutcomeFromSqlstate(std::string_view aSqlstate)
{
  constexpr std::string_view kConnectionFailure = "08006";
  if (aSqlstate.empty()) {
    return Outcome::Done;
  }
  if (aSqlstate == sqlstates::kNotRun ||
      aSqlstate == sqlstates::kAdminShutdown ||
      aSqlstate == sqlstates::kTooManyConnections) {
    return Outcome::NotRun;
  }
  const bool unknown =
    aSqlstate == sqlstates::kOutcomeUnknown || aSqlstate == kConnectionFailure;
  return unknown ? Outcome::Unknown : Outcome::Failed;
}

void
Merge(Statistics& aTotal, Statistics aSession)
{
  Append(aTotal.writes_, aSession.writes_);
  Append(aTotal.readTimes_, aSession.readTimes_);
  Append(aTotal.writeTimes_, aSession.writeTimes_);
  Append(aTotal.refusedTimes_, aSession.refusedTimes_);
  Append(aTotal.readLog_, aSession.readLog_);
  aTotal.withoutRetryAfter_ += aSession.withoutRetryAfter_;
  aTotal.late_ += aSession.late_;
  aTotal.reads_ += aSession.reads_;
  aTotal.tolerantReads_ += aSession.tolerantReads_;
  aTotal.readsNotRun_ += aSession.readsNotRun_;
  aTotal.readsFailed_ += aSession.readsFailed_;
  aTotal.connectFailures_ += aSession.connectFailures_;
  aTotal.moves_ += aSession.moves_;
  aTotal.stale_ += aSession.stale_;
  aTotal.tooOld_ += aSession.tooOld_;
  for (const auto& [error, count] : aSession.errors_) {
    aTotal.errors_[error] += count;
  }
}

LedgerCheck
CheckLedger(std::span<const Write> aWrites,
            const std::map<std::string, std::uint64_t>& aCounts)
{
  LedgerCheck check;
  for (const Write& write : aWrites) {
    const auto found = aCounts.find(write.id_);
    const std::uint64_t count = found == aCounts.end() ? 0 : found->second;
    check.doubled_ += count > 1 ? 1 : 0;
    if (write.outcome_ == Outcome::Done) {
      check.missing_ += count == 0 ? 1 : 0;
    } else if (write.outcome_ == Outcome::NotRun) {
      check.notRunPresent_ += count > 0 ? 1 : 0;
    } else if (write.outcome_ == Outcome::Failed) {
      check.failedPresent_ += count > 0 ? 1 : 0;
    }
  }
  return check;
}

bool
IsTooOld(std::span<const Write> aWrites,
         std::uint64_t aHighestSeen,
         Instant aSentAt,
         Duration aMaxAge)
{
  return std::any_of(aWrites.begin(), aWrites.end(), [&](const Write& aWrite) {
    return aWrite.outcome_ == Outcome::Done && aWrite.number_ > aHighestSeen &&
           aWrite.answeredAt_ + aMaxAge < aSentAt;
  });
}

Duration
Percentile(std::vector<Duration> aDurations, double aShare)
{
  if (aDurations.empty()) {
    return Duration::zero();
  }
  const auto last = static_cast<double>(aDurations.size() - 1);
  const auto nth =
    aDurations.begin() + static_cast<std::ptrdiff_t>(last * aShare);
  std::nth_element(aDurations.begin(), nth, aDurations.end());
  return *nth;
}

Duration
LongestWriteGap(std::span<const Write> aWrites, Instant aStart, Instant aEnd)
{
  std::vector<Instant> times{ aStart, aEnd };
  for (const Write& write : aWrites) {
    if (write.outcome_ == Outcome::Done) {
      times.push_back(write.answeredAt_);
    }
  }
  std::sort(times.begin(), times.end());
  Duration longest = Duration::zero();
  for (std::size_t i = 1; i < times.size(); ++i) {
    longest = std::max(longest, times[i] - times[i - 1]);
  }
  return longest;
}

} // namespace wigeonlb::testing::loadclient
