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

//! What a caller was told of a request.
enum class Outcome
{
  Done,
  NotRun,  //!< refused before anything was handed to a target
  Unknown, //!< may have run
  Failed,  //!< a target's own error
};

//! Outcome of a statement by its SQLSTATE (empty: success). 08006 stands for an
//! answer that did not arrive.
Outcome
OutcomeFromSqlstate(std::string_view aSqlstate);

//! One attempt to write, under an id of its own.
struct Write
{
  std::string id_;
  std::uint64_t number_ = 0; //!< rises within its session
  Outcome outcome_ = Outcome::Unknown;
  Instant answeredAt_;
};

//! One read, for a comparison with what the targets had applied when it came.
struct ReadRecord
{
  Instant sentAt_;
  foundation::LogPosition floor_; //!< of its session
  bool tolerant_ = false;
};

//! What one session, or all of them, saw.
struct Statistics
{
  std::vector<Write> writes_;
  std::vector<Duration> readTimes_;     //!< of the reads that succeeded
  std::vector<Duration> writeTimes_;    //!< of the writes acknowledged
  std::vector<Duration> refusedTimes_;  //!< of what was not run
  std::uint64_t withoutRetryAfter_ = 0; //!< refused without such advice
  std::uint64_t late_ = 0; //!< sent when their session was free at last
  std::uint64_t reads_ = 0;
  std::uint64_t tolerantReads_ = 0; //!< counted in reads_ too
  std::uint64_t readsNotRun_ = 0;
  std::uint64_t readsFailed_ = 0;
  std::uint64_t connectFailures_ = 0;
  std::uint64_t moves_ = 0;
  std::uint64_t stale_ = 0; //!< reads without the session's own last write
  //! How often each error came: SQLSTATE and first line of the message.
  std::map<std::string, std::uint64_t> errors_;
  std::uint64_t tooOld_ = 0; //!< tolerant reads older than the stated age
  std::vector<ReadRecord> readLog_; //!< of the reads that succeeded, if asked
};

//! Adds one session's figures to those of all.
void
Merge(Statistics& aTotal, Statistics aSession);

//! What the ledger shows of the writes.
struct LedgerCheck
{
  std::uint64_t missing_ = 0;       //!< acknowledged, but not there
  std::uint64_t doubled_ = 0;       //!< there more than once
  std::uint64_t notRunPresent_ = 0; //!< said not to have run, but there
  std::uint64_t failedPresent_ = 0; //!< answered with an error, but there
};

//! Compares the writes with how often the ledger has each id.
LedgerCheck
CheckLedger(std::span<const Write> aWrites,
            const std::map<std::string, std::uint64_t>& aCounts);

//! Whether a tolerant read was too old: it ended before a write that had been
//! acknowledged more than aMaxAge before the read was sent. aHighestSeen is the
//! highest number that it saw.
bool
IsTooOld(std::span<const Write> aWrites,
         std::uint64_t aHighestSeen,
         Instant aSentAt,
         Duration aMaxAge);

//! The value that the given share of the durations is not above; zero when
//! there are none.
Duration
Percentile(std::vector<Duration> aDurations, double aShare);

//! Longest time in [aStart, aEnd] without an acknowledged write.
Duration
LongestWriteGap(std::span<const Write> aWrites, Instant aStart, Instant aEnd);

} // namespace wigeonlb::testing::loadclient
