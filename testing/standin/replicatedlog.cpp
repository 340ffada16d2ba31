#include "testing/standin/replicatedlog.h"

#include <algorithm>
#include <string_view>

namespace wigeonlb::testing::standin {

namespace {

constexpr std::uint64_t kEntryHeaderBytes = 16;
constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037ULL;

// Continues an FNV-1a digest with the text.
std::uint64_t
Digest(std::uint64_t aDigest, std::string_view aText)
{
  constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
  for (const char byte : aText) {
    aDigest = (aDigest ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return aDigest;
}

} // namespace

std::uint64_t
EndOffset(const ReplicatedLog& aLog)
{
  return aLog.empty() ? 0 : aLog.back().endOffset_;
}

std::uint64_t
EndDigest(const ReplicatedLog& aLog)
{
  return aLog.empty() ? kFnvOffsetBasis : aLog.back().digest_;
}

void
AppendEntry(ReplicatedLog& aLog, std::uint64_t aTerm, std::string aScript)
{
  LogEntry entry;
  entry.term_ = aTerm;
  entry.endOffset_ = EndOffset(aLog) + kEntryHeaderBytes + aScript.size();
  entry.digest_ =
    Digest(Digest(EndDigest(aLog), std::to_string(aTerm)), aScript);
  entry.script_ = std::move(aScript);
  aLog.push_back(std::move(entry));
}

bool
IsPrefix(const ReplicatedLog& aLog,
         std::uint64_t aOffset,
         std::uint64_t aDigest,
         std::size_t& aNext)
{
  const auto entry =
    std::lower_bound(aLog.begin(),
                     aLog.end(),
                     aOffset,
                     [](const LogEntry& aEntry, std::uint64_t aValue) {
                       return aEntry.endOffset_ < aValue;
                     });
  if (aOffset == 0) {
    aNext = 0;
    return true;
  }
  if (entry == aLog.end() || entry->endOffset_ != aOffset ||
      entry->digest_ != aDigest) {
    return false;
  }
  aNext = static_cast<std::size_t>(entry - aLog.begin()) + 1;
  return true;
}

} // namespace wigeonlb::testing::standin
