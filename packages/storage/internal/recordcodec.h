#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlb::storage::internal {

//! Bytes in front of a record's content: length, checksum of length and
//! sequence, sequence, checksum of the content.
constexpr std::size_t kRecordHeaderBytes = 4 + 4 + 8 + 8;

//! A record that was found whole.
struct DecodedRecord
{
  std::uint64_t sequence_ = 0;
  std::string_view content_;
};

void
AppendRecord(std::string& aBytes,
             std::uint64_t aSequence,
             std::string_view aContent);

//! The record at the start of aBytes; empty when it is cut short or its
//! checksum does not match.
std::optional<DecodedRecord>
DecodeRecord(std::string_view aBytes);

//! True when a whole record that is newer than aSequence starts anywhere in
//! aBytes.
bool
HasNewerRecord(std::string_view aBytes, std::uint64_t aSequence);

//! True when the record at the start of aBytes may be the remains of a write
//! that a crash cut off: the bytes end before it does, or all or the end of
//! it was never written and reads as zeros. A whole header must be valid: a
//! damaged length is no cut.
bool
IsTornWrite(std::string_view aBytes);

} // namespace wigeonlb::storage::internal
