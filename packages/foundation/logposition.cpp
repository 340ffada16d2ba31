#include "foundation/logposition.h"

#include <charconv>

namespace wigeonlb::foundation {

std::string
ToString(const LogPosition& aPosition)
{
  return std::to_string(aPosition.term_) + "/" +
         std::to_string(aPosition.offset_);
}

bool
ParseLogPosition(std::string_view aText, LogPosition& aPosition)
{
  LogPosition parsed;
  const char* const end = aText.data() + aText.size();
  const auto term = std::from_chars(aText.data(), end, parsed.term_);
  if (term.ec != std::errc() || term.ptr == end || *term.ptr != '/') {
    return false;
  }
  const auto offset = std::from_chars(term.ptr + 1, end, parsed.offset_);
  if (offset.ec != std::errc() || offset.ptr != end) {
    return false;
  }
  aPosition = parsed;
  return true;
}

} // namespace wigeonlb::foundation
