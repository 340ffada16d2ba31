#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

#include "core/session/sessionfloors.h"

namespace wigeonlb::core::session {

//! Longest token that is read; longer ones are refused unread.
constexpr std::size_t kTokenLimitBytes = 4096;

//! First byte of a token's content.
constexpr unsigned char kTokenVersion = 1;

//! Why a token was refused.
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

//! A token of these floors: base64url of version, content and checksum.
//! Fails with TooLong when it would pass kTokenLimitBytes.
std::error_code
EncodeToken(const SessionFloors& aFloors, std::string& aToken);

//! Reads a token. On an error the floors stay as they were.
//! NOTE The checksum finds damage, not forgery: a forged floor only delays
//! reads of the session that brings it.
std::error_code
DecodeToken(std::string_view aToken, SessionFloors& aFloors);

} // namespace wigeonlb::core::session

template<>
struct std::is_error_code_enum<wigeonlb::core::session::TokenError>
  : std::true_type
{
};
