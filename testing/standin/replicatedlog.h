#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonlb::testing::standin {

//! One committed write transaction.
struct LogEntry
{
  std::uint64_t term_ = 0;
  std::uint64_t endOffset_ = 0; //!< size of the log up to its end, in bytes
  std::uint64_t digest_ = 0;    //!< digest of the log up to its end
  std::string script_;          //!< SQL statements of the transaction
};

using ReplicatedLog = std::vector<LogEntry>;

//! Offset of the end of the log in bytes.
std::uint64_t
EndOffset(const ReplicatedLog& aLog);

//! Digest of the whole log; equal logs have equal digests.
std::uint64_t
EndDigest(const ReplicatedLog& aLog);

//! Appends a transaction.
void
AppendEntry(ReplicatedLog& aLog, std::uint64_t aTerm, std::string aScript);

//! True if a log that ends at this offset with this digest is a prefix of aLog.
//! Then sets aNext to the index of the entry that follows the prefix.
bool
IsPrefix(const ReplicatedLog& aLog,
         std::uint64_t aOffset,
         std::uint64_t aDigest,
         std::size_t& aNext);

} // namespace wigeonlb::testing::standin
