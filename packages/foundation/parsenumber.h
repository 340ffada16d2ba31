#pragma once

#include <charconv>
#include <concepts>
#include <string_view>
#include <system_error>

namespace wigeonlb::foundation {

//! Parses a text that is one number, within the range of its type, and nothing
//! else. Otherwise returns false and leaves aNumber as it is.
//! NOTE std::from_chars consumes all digits of a number out of range as well,
//! so that the end of what it parsed does not tell.
template<std::integral Number>
bool
ParseNumber(std::string_view aText, Number& aNumber, int aBase = 10)
{
  const char* const end = aText.data() + aText.size();
  Number parsed{};
  const auto [rest, error] = std::from_chars(aText.data(), end, parsed, aBase);
  if (error != std::errc() || rest != end) {
    return false;
  }
  aNumber = parsed;
  return true;
}

} // namespace wigeonlb::foundation
