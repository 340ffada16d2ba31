#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"
#include "foundation/logposition.h"

namespace wigeonlb::testing::loadclient {

using foundation::Duration;
using foundation::Instant;

//! Outcome of a request as reported to the caller.
enum class Outcome
{
  Done,
  NotRun,  //!< refused before anything was sent to a target
  Unknown, //!< may have run
  Failed,  //!< error from a target
};

//! Outcome of a statement by its SQLSTATE (empty: success). 08006 means that no
//! answer was received.
Outcome
OutcomeFromSqlstate(std::string_view aSqlstate);

//! One attempt to write, with a unique id.
struct Write
{
  std::string id_;
  std::uint64_t number_ = 0; //!< increases within the session
  Outcome outcome_ = Outcome::Unknown;
  Instant answeredAt_;
};

//! One read, recorded for comparison with what the targets had applied at that
//! time.
struct ReadRecord
{
  Instant sentAt_;
  //! Minimum position that the reads of the session must see.
  foundation::LogPosition floor_;
  bool tolerant_ = false;
};

//! Statistics of one session or of all sessions.
struct Statistics
{
  std::vector<Write> writes_;
  std::vector<Duration> readTimes_;     //!< of successful reads
  std::vector<Duration> writeTimes_;    //!< of acknowledged writes
  std::vector<Duration> refusedTimes_;  //!< of requests that were not run
  std::uint64_t withoutRetryAfter_ = 0; //!< refusals without a retry delay
  std::uint64_t late_ = 0; //!< requests sent late as their session was busy
  std::uint64_t reads_ = 0;
  std::uint64_t tolerantReads_ = 0; //!< reads that accept maxAge_; in reads_
  std::uint64_t readsNotRun_ = 0;
  std::uint64_t readsFailed_ = 0;
  std::uint64_t connectFailures_ = 0;
  std::uint64_t moves_ = 0; //!< changes of the host
  std::uint64_t stale_ = 0; //!< reads that missed the session's last write
  //! Number of errors by SQLSTATE and first line of the message.
  std::map<std::string, std::uint64_t> errors_;
  std::uint64_t tooOld_ = 0; //!< tolerant reads beyond the maximum staleness
  std::vector<ReadRecord> readLog_; //!< successful reads, if enabled
};

//! Adds the statistics of one session to the total.
void
Merge(Statistics& aTotal, Statistics aSession);

//! Violations found by comparing the writes with the table `ledger`.
struct LedgerCheck
{
  std::uint64_t missing_ = 0;       //!< acknowledged, but absent
  std::uint64_t doubled_ = 0;       //!< present more than once
  std::uint64_t notRunPresent_ = 0; //!< reported as not run, but present
  std::uint64_t failedPresent_ = 0; //!< answered with an error, but present
};

//! Compares the writes with the number of ledger rows of each id.
LedgerCheck
CheckLedger(std::span<const Write> aWrites,
            const std::map<std::string, std::uint64_t>& aCounts);

//! True if a tolerant read was too old: it missed a write that had been
//! acknowledged more than aMaxAge before the read was sent. aHighestSeen is the
//! highest write number that the read returned.
bool
IsTooOld(std::span<const Write> aWrites,
         std::uint64_t aHighestSeen,
         Instant aSentAt,
         Duration aMaxAge);

//! Percentile of the durations, with aShare from 0 to 1; zero if there are
//! none.
Duration
Percentile(std::vector<Duration> aDurations, double aShare);

//! Longest interval in [aStart, aEnd] without an acknowledged write.
Duration
LongestWriteGap(std::span<const Write> aWrites, Instant aStart, Instant aEnd);

} // namespace wigeonlb::testing::loadclient
