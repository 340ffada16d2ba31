#pragma once

#include <string>
#include <string_view>

namespace wigeonlb::foundation {

//! Returns a cryptographic digest of a secret key, from which the key can't be
//! computed. Hosts store, compare and send digests in place of keys.
std::string
DigestKey(std::string_view aKey);

} // namespace wigeonlb::foundation
