#include "foundation/utf8.h"

#include <cstddef>
#include <cstdint>

namespace wigeonlb::foundation {

namespace {

//! A class of sequences by their lead byte, and the range of the second byte
//! that excludes overlong forms, surrogates and values above U+10FFFF.
struct SequenceKind
{
  std::uint8_t firstLead_;
  std::uint8_t lastLead_;
  std::size_t bytes_;
  std::uint8_t lowestSecond_;
  std::uint8_t highestSecond_;
};

constexpr SequenceKind kSequenceKinds[] = {
  { 0x00, 0x7F, 1, 0x00, 0x00 }, { 0xC2, 0xDF, 2, 0x80, 0xBF },
  { 0xE0, 0xE0, 3, 0xA0, 0xBF }, { 0xE1, 0xEC, 3, 0x80, 0xBF },
  { 0xED, 0xED, 3, 0x80, 0x9F }, { 0xEE, 0xEF, 3, 0x80, 0xBF },
  { 0xF0, 0xF0, 4, 0x90, 0xBF }, { 0xF1, 0xF3, 4, 0x80, 0xBF },
  { 0xF4, 0xF4, 4, 0x80, 0x8F },
};

std::uint8_t
GetByte(std::string_view aText, std::size_t aIndex)
{
  return static_cast<std::uint8_t>(aText[aIndex]);
}

//! The kind of sequence that a lead byte begins, or null if it begins none.
const SequenceKind*
FindKind(std::uint8_t aLead)
{
  for (const SequenceKind& kind : kSequenceKinds) {
    if (aLead >= kind.firstLead_ && aLead <= kind.lastLead_) {
      return &kind;
    }
  }
  return nullptr;
}

//! The length of the well-formed sequence at the start of a non-empty text, or
//! 0 if there is none.
std::size_t
MeasureSequence(std::string_view aText)
{
  const SequenceKind* const kind = FindKind(GetByte(aText, 0));
  if (kind == nullptr || kind->bytes_ > aText.size()) {
    return 0;
  }
  if (kind->bytes_ > 1 && (GetByte(aText, 1) < kind->lowestSecond_ ||
                           GetByte(aText, 1) > kind->highestSecond_)) {
    return 0;
  }
  for (std::size_t index = 2; index < kind->bytes_; ++index) {
    if ((GetByte(aText, index) & 0xC0U) != 0x80U) {
      return 0;
    }
  }
  return kind->bytes_;
}

} // namespace

bool
IsValidUtf8(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t bytes = MeasureSequence(aText);
    if (bytes == 0) {
      return false;
    }
    aText.remove_prefix(bytes);
  }
  return true;
}

} // namespace wigeonlb::foundation
