#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonlb::storage::internal {

//! Appends a number in little-endian order.
template<typename Number>
void
AppendNumber(std::string& aBytes, Number aNumber)
{
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    aBytes += static_cast<char>(aNumber >> (8 * index));
  }
}

//! Reads a number in little-endian order from the start of aBytes, which must
//! be at least as long as the number.
template<typename Number>
Number
ReadNumber(std::string_view aBytes)
{
  Number number = 0;
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    const auto byte = static_cast<unsigned char>(aBytes[index]);
    number |= static_cast<Number>(byte) << (8 * index);
  }
  return number;
}

//! The 64-bit XXH3 hash.
std::uint64_t
Checksum(std::string_view aBytes, std::uint64_t aSeed = 0);

} // namespace wigeonlb::storage::internal
