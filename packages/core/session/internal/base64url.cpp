#include "core/session/internal/base64url.h"

#include <cstdint>

namespace wigeonlb::core::session::internal {

namespace {

constexpr std::string_view kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned kBitsPerCharacter = 6;
constexpr unsigned kBitsPerByte = 8;

} // namespace

std::string
EncodeBase64Url(std::string_view aBytes)
{
  std::string text;
  std::uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char byte : aBytes) {
    buffer = (buffer << kBitsPerByte) | static_cast<unsigned char>(byte);
    bits += kBitsPerByte;
    while (bits >= kBitsPerCharacter) {
      bits -= kBitsPerCharacter;
      text += kAlphabet[(buffer >> bits) & 0x3f];
    }
  }
  if (bits > 0) {
    text += kAlphabet[(buffer << (kBitsPerCharacter - bits)) & 0x3f];
  }
  return text;
}

bool
DecodeBase64Url(std::string_view aText, std::string& aBytes)
{
  std::string bytes;
  std::uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char character : aText) {
    const auto value = kAlphabet.find(character);
    if (value == std::string_view::npos) {
      return false;
    }
    buffer = (buffer << kBitsPerCharacter) | static_cast<std::uint32_t>(value);
    bits += kBitsPerCharacter;
    if (bits >= kBitsPerByte) {
      bits -= kBitsPerByte;
      bytes += static_cast<char>((buffer >> bits) & 0xff);
    }
  }
  const std::uint32_t unusedBits = buffer & ((1U << bits) - 1);
  if (bits >= kBitsPerCharacter || unusedBits != 0) {
    return false;
  }
  aBytes = std::move(bytes);
  return true;
}

} // namespace wigeonlb::core::session::internal
