#include "storage/internal/recordcodec.h"

#include <algorithm>

#include "storage/internal/checksum.h"

namespace wigeonlb::storage::internal {

namespace {

constexpr std::size_t kHeaderChecksumOffset = 4;
constexpr std::size_t kLabelOffset = 8;
constexpr std::size_t kChecksumOffset = 16;

//! Unit that a disk writes completely or not at all.
constexpr std::size_t kSectorBytes = 512;

//! A record never begins so close to the end of a sector that less than this
//! much of it is there: length and checksum of the header.
constexpr std::size_t kMinBytesInSector = 8;

//! The end mark of a record: N bytes of this value plus N, not zeros. Several
//! bytes move the next record into the next sector.
constexpr unsigned kEndMark = 0xA0;

//! Layout of the label.
constexpr std::uint64_t kNewFormat = std::uint64_t{ 1 } << 63U;
constexpr std::uint64_t kRestates = std::uint64_t{ 1 } << 62U;
constexpr std::uint64_t kWriteLast = std::uint64_t{ 1 } << 61U;
constexpr unsigned kSequenceBits = 40;
constexpr unsigned kDistanceBits = 21;
constexpr std::uint64_t kMaxSequence =
  (std::uint64_t{ 1 } << kSequenceBits) - 1;
constexpr std::uint64_t kMaxDistance =
  (std::uint64_t{ 1 } << kDistanceBits) - 1;

std::uint64_t
EncodeLabel(const RecordLabel& aLabel)
{
  const std::uint64_t distance =
    std::min(aLabel.sequence_ - aLabel.writeFirst_, kMaxDistance);
  return kNewFormat | (aLabel.restates_ ? kRestates : 0) |
         (aLabel.writeLast_ ? kWriteLast : 0) | distance << kSequenceBits |
         aLabel.sequence_;
}

RecordLabel
ReadLabel(std::string_view aBytes)
{
  const auto value = ReadNumber<std::uint64_t>(aBytes.substr(kLabelOffset));
  RecordLabel label;
  if ((value & kNewFormat) == 0) {
    label.sequence_ = label.writeFirst_ = value;
    label.writeLast_ = label.old_ = true;
    return label;
  }
  label.sequence_ = value & kMaxSequence;
  label.writeFirst_ =
    label.sequence_ - ((value >> kSequenceBits) & kMaxDistance);
  label.writeLast_ = (value & kWriteLast) != 0;
  label.restates_ = (value & kRestates) != 0;
  return label;
}

std::size_t
ComputeEndMarkSize(std::uint64_t aEnd)
{
  const std::size_t left = kSectorBytes - (aEnd + 1) % kSectorBytes;
  return left < kMinBytesInSector ? 1 + left : 1;
}

//! Returns the size of the end mark of a record's content, or 0 if there is
//! none.
std::size_t
ReadEndMarkSize(std::string_view aContent)
{
  const unsigned mark =
    aContent.empty() ? 0 : static_cast<unsigned char>(aContent.back());
  const std::size_t size = mark > kEndMark ? mark - kEndMark : 0;
  return size <= kMinBytesInSector && size <= aContent.size() ? size : 0;
}

std::size_t
ReadContentLength(std::string_view aBytes)
{
  return ReadNumber<std::uint32_t>(aBytes);
}

std::uint32_t
ComputeHeaderChecksum(std::uint64_t aLength, std::uint64_t aLabel)
{
  std::string bytes;
  AppendNumber(bytes, aLength);
  return static_cast<std::uint32_t>(Checksum(bytes, aLabel));
}

// Returns false also when aBytes is shorter than a header.
bool
HasValidHeader(std::string_view aBytes)
{
  return aBytes.size() >= kRecordHeaderBytes &&
         ReadNumber<std::uint32_t>(aBytes.substr(kHeaderChecksumOffset)) ==
           ComputeHeaderChecksum(
             ReadContentLength(aBytes),
             ReadNumber<std::uint64_t>(aBytes.substr(kLabelOffset)));
}

bool
IsZero(std::string_view aBytes)
{
  return std::all_of(
    aBytes.begin(), aBytes.end(), [](char aByte) { return aByte == '\0'; });
}

//! Returns true when a sector has no written byte from aFrom to aTo. The parts
//! of a sector that begin or end there count unless they are shorter than
//! aMinBytes.
bool
HasUnwrittenSector(std::string_view aFile,
                   std::size_t aFrom,
                   std::size_t aTo,
                   std::size_t aMinBytes)
{
  while (aFrom < aTo) {
    const std::size_t end =
      std::min(aTo, (aFrom / kSectorBytes + 1) * kSectorBytes);
    if (end - aFrom >= aMinBytes && IsZero(aFile.substr(aFrom, end - aFrom))) {
      return true;
    }
    aFrom = end;
  }
  return false;
}

//! Judges a record whose header is whole but invalid: its length is unknown.
bool
HasTornHeader(std::string_view aFile, std::size_t aOffset)
{
  const std::size_t last = aOffset + kRecordHeaderBytes - 1;
  if (IsZero(aFile.substr(last))) {
    return true; // not even the end mark was written
  }
  const std::size_t end =
    std::min(aFile.size(), (last / kSectorBytes + 1) * kSectorBytes);
  return HasUnwrittenSector(aFile, aOffset, end, kMinBytesInSector);
}

} // namespace

void
AppendRecord(std::string& aBytes,
             std::uint64_t aFileOffset,
             const RecordLabel& aLabel,
             std::string_view aContent)
{
  const std::size_t markSize = ComputeEndMarkSize(
    aFileOffset + aBytes.size() + kRecordHeaderBytes + aContent.size());
  std::string content(aContent);
  content.append(markSize, static_cast<char>(kEndMark + markSize));
  const std::uint64_t label = EncodeLabel(aLabel);
  AppendNumber(aBytes, static_cast<std::uint32_t>(content.size()));
  AppendNumber(aBytes, ComputeHeaderChecksum(content.size(), label));
  AppendNumber(aBytes, label);
  AppendNumber(aBytes, Checksum(content, label));
  aBytes += content;
}

std::optional<DecodedRecord>
DecodeRecord(std::string_view aBytes)
{
  if (!HasValidHeader(aBytes) ||
      aBytes.size() - kRecordHeaderBytes < ReadContentLength(aBytes)) {
    return std::nullopt;
  }
  std::string_view content =
    aBytes.substr(kRecordHeaderBytes, ReadContentLength(aBytes));
  const auto checksum =
    ReadNumber<std::uint64_t>(aBytes.substr(kChecksumOffset));
  const auto label = ReadNumber<std::uint64_t>(aBytes.substr(kLabelOffset));
  if (checksum != Checksum(content, label)) {
    return std::nullopt;
  }
  DecodedRecord record;
  record.label_ = ReadLabel(aBytes);
  record.size_ = kRecordHeaderBytes + content.size();
  if (!record.label_.old_) {
    content.remove_suffix(ReadEndMarkSize(content));
  }
  record.content_ = content;
  return record;
}

bool
HasNewerWrite(std::string_view aBytes, std::uint64_t aSequence)
{
  // A later record has one of the next sequence numbers. Checking this first
  // avoids computing a checksum at every byte.
  constexpr std::uint64_t kMaxSequenceGap = 1U << 24U;
  for (; aBytes.size() >= kRecordHeaderBytes; aBytes.remove_prefix(1)) {
    const RecordLabel label = ReadLabel(aBytes);
    if (label.writeFirst_ > aSequence && label.sequence_ > aSequence &&
        label.sequence_ - aSequence < kMaxSequenceGap && DecodeRecord(aBytes)) {
      return true;
    }
  }
  return false;
}

bool
IsTornWrite(std::string_view aFile, std::size_t aOffset)
{
  const std::string_view rest = aFile.substr(aOffset);
  if (rest.size() < kRecordHeaderBytes) {
    return true;
  }
  if (!HasValidHeader(rest)) {
    return HasTornHeader(aFile, aOffset);
  }
  const std::size_t length = ReadContentLength(rest);
  if (rest.size() - kRecordHeaderBytes < length) {
    return true;
  }
  const std::size_t end = aOffset + kRecordHeaderBytes + length;
  if (!ReadLabel(rest).old_) {
    return aFile[end - 1] == '\0' || HasUnwrittenSector(aFile, aOffset, end, 1);
  }
  // Without an end mark, a few zeros may be content or a flipped bit.
  return HasUnwrittenSector(aFile, aOffset, end, kSectorBytes) ||
         (length >= kSectorBytes &&
          IsZero(aFile.substr(end - kSectorBytes, kSectorBytes)));
}

} // namespace wigeonlb::storage::internal
