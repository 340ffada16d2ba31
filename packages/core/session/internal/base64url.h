#pragma once

#include <string>
#include <string_view>

namespace wigeonlb::core::session::internal {

//! Encodes bytes as base64url (RFC 4648 section 5), without padding.
std::string
EncodeBase64Url(std::string_view aBytes);

//! Decodes base64url without padding. Returns false, and leaves aBytes
//! unchanged, on a character outside of the alphabet, an invalid length or
//! non-zero unused bits at the end.
bool
DecodeBase64Url(std::string_view aText, std::string& aBytes);

} // namespace wigeonlb::core::session::internal
