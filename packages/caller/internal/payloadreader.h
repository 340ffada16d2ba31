#pragma once

#include <cstdint>
#include <string_view>

namespace wigeonlb::caller::internal {

//! Reads values from the front of a message. A method returns false, and
//! consumes nothing, when the value is incomplete.
struct PayloadReader
{
  std::string_view rest_;

  bool ReadInt32(std::uint32_t& aValue)
  {
    constexpr std::size_t kBytes = 4;
    if (rest_.size() < kBytes) {
      return false;
    }
    aValue = 0;
    for (const char byte : rest_.substr(0, kBytes)) {
      aValue = (aValue << 8U) | static_cast<unsigned char>(byte);
    }
    rest_.remove_prefix(kBytes);
    return true;
  }

  bool ReadString(std::string_view& aValue)
  {
    const std::size_t end = rest_.find('\0');
    if (end == std::string_view::npos) {
      return false;
    }
    aValue = rest_.substr(0, end);
    rest_.remove_prefix(end + 1);
    return true;
  }
};

} // namespace wigeonlb::caller::internal
