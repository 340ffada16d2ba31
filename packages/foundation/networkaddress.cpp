#include "foundation/networkaddress.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <system_error>

namespace wigeonlb::foundation {

namespace {

//! Length limit of host names in DNS.
constexpr std::size_t kMaxHostBytes = 253;

constexpr std::string_view kLetters =
  "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
constexpr std::string_view kDigits = "0123456789";

bool
IsPort(std::string_view aText)
{
  std::uint16_t port = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, port);
  return error == std::errc() && end == last && port > 0;
}

bool
HasOnly(std::string_view aText, std::string_view aOthers)
{
  return std::ranges::all_of(aText, [&](char aCharacter) {
    return kLetters.find(aCharacter) != std::string_view::npos ||
           kDigits.find(aCharacter) != std::string_view::npos ||
           aOthers.find(aCharacter) != std::string_view::npos;
  });
}

bool
IsHost(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxHostBytes) {
    return false;
  }
  const bool isBracketed = aText.front() == '[';
  if (!isBracketed) {
    return HasOnly(aText, "-._");
  }
  return aText.size() > 2 && aText.back() == ']' &&
         HasOnly(aText.substr(1, aText.size() - 2), ":.%");
}

} // namespace

bool
IsNetworkAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  return colon != std::string_view::npos && IsHost(aText.substr(0, colon)) &&
         IsPort(aText.substr(colon + 1));
}

} // namespace wigeonlb::foundation
