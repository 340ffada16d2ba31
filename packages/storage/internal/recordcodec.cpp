#include "storage/internal/recordcodec.h"

#include <algorithm>

#include "storage/internal/checksum.h"

namespace wigeonlb::storage::internal {

namespace {

constexpr std::size_t kHeaderChecksumOffset = 4;
constexpr std::size_t kSequenceOffset = 8;
constexpr std::size_t kChecksumOffset = 16;

//! Unit that a disk writes completely or not at all.
constexpr std::size_t kSectorBytes = 512;

std::size_t
ReadContentLength(std::string_view aBytes)
{
  return ReadNumber<std::uint32_t>(aBytes);
}

std::uint32_t
ComputeHeaderChecksum(std::uint64_t aLength, std::uint64_t aSequence)
{
  std::string bytes;
  AppendNumber(bytes, aLength);
  return static_cast<std::uint32_t>(Checksum(bytes, aSequence));
}

// Returns false also when aBytes is shorter than a header.
bool
HasValidHeader(std::string_view aBytes)
{
  return aBytes.size() >= kRecordHeaderBytes &&
         ReadNumber<std::uint32_t>(aBytes.substr(kHeaderChecksumOffset)) ==
           ComputeHeaderChecksum(
             ReadContentLength(aBytes),
             ReadNumber<std::uint64_t>(aBytes.substr(kSequenceOffset)));
}

bool
IsZero(std::string_view aBytes)
{
  return std::all_of(
    aBytes.begin(), aBytes.end(), [](char aByte) { return aByte == '\0'; });
}

} // namespace

void
AppendRecord(std::string& aBytes,
             std::uint64_t aSequence,
             std::string_view aContent)
{
  AppendNumber(aBytes, static_cast<std::uint32_t>(aContent.size()));
  AppendNumber(aBytes, ComputeHeaderChecksum(aContent.size(), aSequence));
  AppendNumber(aBytes, aSequence);
  AppendNumber(aBytes, Checksum(aContent, aSequence));
  aBytes += aContent;
}

std::optional<DecodedRecord>
DecodeRecord(std::string_view aBytes)
{
  if (!HasValidHeader(aBytes) ||
      aBytes.size() - kRecordHeaderBytes < ReadContentLength(aBytes)) {
    return std::nullopt;
  }
  DecodedRecord record;
  record.sequence_ = ReadNumber<std::uint64_t>(aBytes.substr(kSequenceOffset));
  record.content_ =
    aBytes.substr(kRecordHeaderBytes, ReadContentLength(aBytes));
  const auto checksum =
    ReadNumber<std::uint64_t>(aBytes.substr(kChecksumOffset));
  if (checksum != Checksum(record.content_, record.sequence_)) {
    return std::nullopt;
  }
  return record;
}

bool
HasNewerRecord(std::string_view aBytes, std::uint64_t aSequence)
{
  // A later record has one of the next sequence numbers. Checking this first
  // avoids computing a checksum at every byte.
  constexpr std::uint64_t kMaxSequenceGap = 1U << 24U;
  for (; aBytes.size() >= kRecordHeaderBytes; aBytes.remove_prefix(1)) {
    const auto sequence =
      ReadNumber<std::uint64_t>(aBytes.substr(kSequenceOffset));
    if (sequence > aSequence && sequence - aSequence < kMaxSequenceGap &&
        DecodeRecord(aBytes)) {
      return true;
    }
  }
  return false;
}

bool
IsTornWrite(std::string_view aBytes)
{
  if (aBytes.size() < kRecordHeaderBytes || IsZero(aBytes)) {
    return true;
  }
  if (!HasValidHeader(aBytes)) {
    return false;
  }
  if (aBytes.size() - kRecordHeaderBytes < ReadContentLength(aBytes)) {
    return true;
  }
  const std::string_view content =
    aBytes.substr(kRecordHeaderBytes, ReadContentLength(aBytes));
  const std::string_view end =
    content.substr(content.size() - std::min(content.size(), kSectorBytes));
  return content.size() >= kSectorBytes && IsZero(end);
}

} // namespace wigeonlb::storage::internal
