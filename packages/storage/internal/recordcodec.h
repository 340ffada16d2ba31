#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlb::storage::internal {

//! Size of a record's header: length, checksum of length and label, label
//! (sequence number and position in its write), checksum of the content.
constexpr std::size_t kRecordHeaderBytes = 4 + 4 + 8 + 8;

//! Tells a record from the others. All that precedes the first record of its
//! write was synced before this record was written.
struct RecordLabel
{
  std::uint64_t sequence_ = 0;
  //! Sequence number of the first record of the same write.
  std::uint64_t writeFirst_ = 0;
  bool writeLast_ = false; //!< the last record of its write
  //! Its write repeats all that the older segments contain.
  bool restates_ = false;
  //! Written by a version that stored just the sequence number and no end mark;
  //! each record then counts as a write of its own.
  bool old_ = false;
};

//! A complete, valid record.
struct DecodedRecord
{
  RecordLabel label_;
  std::string_view content_;
  std::size_t size_ = 0; //!< with header and end mark
};

//! Appends a record to aBytes, which will be written at aFileOffset.
void
AppendRecord(std::string& aBytes,
             std::uint64_t aFileOffset,
             const RecordLabel& aLabel,
             std::string_view aContent);

//! Decodes the record at the start of aBytes. Returns nothing when it is
//! incomplete or a checksum does not match.
std::optional<DecodedRecord>
DecodeRecord(std::string_view aBytes);

//! Returns true when aBytes contains a valid record that was written after the
//! record aSequence had been synced.
bool
HasNewerWrite(std::string_view aBytes, std::uint64_t aSequence);

//! Returns true when the record at aOffset of the file may be the result of a
//! write that a loss of power interrupted: the file ends within the record, or
//! a sector of it or all from some byte on was never written and reads as
//! zeros. A flipped bit never looks like this, as every part of a record that
//! can be missing has more than one bit set.
bool
IsTornWrite(std::string_view aFile, std::size_t aOffset);

} // namespace wigeonlb::storage::internal
