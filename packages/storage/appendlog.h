#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <system_error>
#include <vector>

#include "foundation/findings.h"
#include "storage/datafolder.h"

namespace wigeonlb::storage {

//! A segment that has grown beyond this size is followed by a new one.
constexpr std::uint64_t kSegmentBytes = std::uint64_t{ 4 } << 20U;

//! Segment files of checksummed records with consecutive sequence numbers.
struct AppendLog
{
  DataFolder* folder_ = nullptr;
  FileHandle file_ = -1;
  std::uint64_t segmentSize_ = 0;
  std::uint64_t nextSequence_ = 1;
  std::vector<std::string> segments_;
  //! A write or sync has failed; all further writes are refused.
  bool failed_ = false;
};

//! One record that was read from the log.
struct LogRecord
{
  std::uint64_t sequence_ = 0;
  std::string bytes_;
};

//! Reads all records and opens the log for appending. An incomplete last
//! record, or last segment, is removed and reported as a finding. Any other
//! damaged record is an error: CorruptLog, with file and offset in a finding;
//! nothing is truncated then.
std::error_code
OpenLog(DataFolder& aFolder,
        AppendLog& aLog,
        std::vector<LogRecord>& aRecords,
        foundation::Findings& aFindings);

//! Appends the records with a single sync.
//! NOTE After an error the log refuses all further writes, because it is
//! unknown what reached the disk until the log is read again.
std::error_code
AppendRecords(AppendLog& aLog, std::span<const std::string> aRecords);

//! Writes the records, which repeat all that is needed of the log, into a new
//! segment, syncs it, then removes the older segments.
std::error_code
StartSegment(AppendLog& aLog, std::span<const std::string> aRecords);

void
CloseLog(AppendLog& aLog);

} // namespace wigeonlb::storage
