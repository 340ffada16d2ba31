#pragma once

#include <string>
#include <string_view>

namespace wigeonlb::foundation {

//! Returns a cryptographic digest of a secret key. Hosts store, compare and
//! send digests in place of keys. A long random key can't be found from its
//! digest.
std::string
DigestKey(std::string_view aKey);

} // namespace wigeonlb::foundation
