#include "storage/internal/checksum.h"

#include <xxhash.h>

namespace wigeonlb::storage::internal {

std::uint64_t
Checksum(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace wigeonlb::storage::internal
