#include "core/session/sessiontoken.h"

#include <array>
#include <cstring>

#include <xxhash.h>

#include "core/session/internal/base64url.h"
#include "forward.pb.h"
#include "foundation/errorcategory.h"

namespace wigeonlb::core::session {

namespace {

constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kMinTokenBytes = 1 + kChecksumBytes;

using Text = foundation::ErrorText<TokenError>;

constexpr std::array kTexts{
  Text{ TokenError::TooLong, "the session token is too long" },
  Text{ TokenError::Truncated, "the session token is truncated" },
  Text{ TokenError::Corrupted, "the session token is corrupted" },
  Text{ TokenError::WrongVersion, "the session token has an unknown version" },
};

std::array<char, kChecksumBytes>
ComputeChecksum(std::string_view aContent)
{
  const XXH64_hash_t hash = XXH3_64bits(aContent.data(), aContent.size());
  XXH64_canonical_t canonical;
  XXH64_canonicalFromHash(&canonical, hash);
  std::array<char, kChecksumBytes> bytes{};
  std::memcpy(bytes.data(), canonical.digest, kChecksumBytes);
  return bytes;
}

} // namespace

std::error_code
make_error_code(TokenError aError)
{
  static const foundation::ErrorCategory<TokenError> kCategory("session token",
                                                               kTexts);
  return { static_cast<int>(aError), kCategory };
}

std::error_code
EncodeToken(const SessionFloors& aFloors, std::string& aToken)
{
  wire::SessionToken message;
  for (const auto& [group, position] : aFloors.positions_) {
    auto* floor = message.add_floors();
    floor->set_group(group);
    floor->mutable_position()->set_term(position.term_);
    floor->mutable_position()->set_offset(position.offset_);
  }
  std::string content(1, static_cast<char>(kTokenVersion));
  message.AppendToString(&content);
  const auto checksum = ComputeChecksum(content);
  content.append(checksum.data(), checksum.size());
  std::string token = internal::EncodeBase64Url(content);
  if (token.size() > kTokenLimitBytes) {
    return TokenError::TooLong;
  }
  aToken = std::move(token);
  return {};
}

std::error_code
DecodeToken(std::string_view aToken, SessionFloors& aFloors)
{
  if (aToken.size() > kTokenLimitBytes) {
    return TokenError::TooLong;
  }
  std::string content;
  if (!internal::DecodeBase64Url(aToken, content)) {
    return TokenError::Corrupted;
  }
  if (content.size() < kMinTokenBytes) {
    return TokenError::Truncated;
  }
  const std::string_view all(content);
  const auto body = all.substr(0, all.size() - kChecksumBytes);
  const auto checksum = ComputeChecksum(body);
  if (all.substr(body.size()) !=
      std::string_view(checksum.data(), checksum.size())) {
    return TokenError::Corrupted;
  }
  if (static_cast<unsigned char>(body.front()) != kTokenVersion) {
    return TokenError::WrongVersion;
  }
  wire::SessionToken message;
  if (!message.ParseFromArray(body.data() + 1,
                              static_cast<int>(body.size() - 1))) {
    return TokenError::Corrupted;
  }
  SessionFloors floors;
  for (const auto& floor : message.floors()) {
    RaiseFloor(floors,
               floor.group(),
               { floor.position().term(), floor.position().offset() });
  }
  aFloors = std::move(floors);
  return {};
}

} // namespace wigeonlb::core::session
