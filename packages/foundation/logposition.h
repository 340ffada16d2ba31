#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonlb::foundation {

//! Position in a group's replicated log. Within a term, the log up to an offset
//! includes everything at lower offsets. Terms compare before offsets.
struct LogPosition
{
  std::uint64_t term_ = 0;
  std::uint64_t offset_ = 0;

  auto operator<=>(const LogPosition&) const = default;
};

//! `term/offset`, as in `3/1048576`.
std::string
ToString(const LogPosition& aPosition);

//! Parses the output of ToString. Returns false and leaves aPosition unchanged
//! when the text is not `term/offset` in decimal.
bool
ParseLogPosition(std::string_view aText, LogPosition& aPosition);

} // namespace wigeonlb::foundation
