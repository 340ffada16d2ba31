#include "foundation/keydigest.h"

#include <sodium/crypto_generichash.h>

namespace wigeonlb::foundation {

std::string
DigestKey(std::string_view aKey)
{
  // BLAKE2b; with 16 bytes, two keys don't have the same digest by chance.
  std::string digest(crypto_generichash_BYTES_MIN, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(digest.data()),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     nullptr,
                     0);
  return digest;
}

} // namespace wigeonlb::foundation
