#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

#include "core/session/sessionfloors.h"

namespace wigeonlb::core::session {

//! Maximum length of an encoded token; longer ones are refused without
//! decoding.
constexpr std::size_t kTokenLimitBytes = 4096;

//! Format version, stored in the first byte of a token's content.
constexpr unsigned char kTokenVersion = 1;

//! Reason for refusing a token.
enum class TokenError
{
  None = 0,
  TooLong,
  Truncated,
  Corrupted,
  WrongVersion,
};

std::error_code
make_error_code(TokenError aError);

//! Encodes the floors as a session token: version, content and checksum in
//! base64url. Fails with TooLong if it would exceed kTokenLimitBytes.
std::error_code
EncodeToken(const SessionFloors& aFloors, std::string& aToken);

//! Decodes a session token. On an error the floors are left unchanged.
//! NOTE The checksum detects accidental corruption, not forgery: a forged floor
//! only delays the reads of the session that presents it.
std::error_code
DecodeToken(std::string_view aToken, SessionFloors& aFloors);

} // namespace wigeonlb::core::session

template<>
struct std::is_error_code_enum<wigeonlb::core::session::TokenError>
  : std::true_type
{
};
