#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlb::storage::internal {

//! Size of a record's header: length, checksum of length and sequence number,
//! sequence number, checksum of the content.
constexpr std::size_t kRecordHeaderBytes = 4 + 4 + 8 + 8;

//! A complete, valid record.
struct DecodedRecord
{
  std::uint64_t sequence_ = 0;
  std::string_view content_;
};

void
AppendRecord(std::string& aBytes,
             std::uint64_t aSequence,
             std::string_view aContent);

//! Decodes the record at the start of aBytes. Returns nothing when it is
//! incomplete or a checksum does not match.
std::optional<DecodedRecord>
DecodeRecord(std::string_view aBytes);

//! Returns true when a valid record with a sequence number above aSequence
//! starts anywhere in aBytes.
bool
HasNewerRecord(std::string_view aBytes, std::uint64_t aSequence);

//! Returns true when the record at the start of aBytes may be the result of a
//! write that a crash interrupted: the bytes end within the record, or all or
//! the end of it was never written and reads as zeros. A complete header must
//! be valid, because a damaged length is not a torn write.
bool
IsTornWrite(std::string_view aBytes);

} // namespace wigeonlb::storage::internal
