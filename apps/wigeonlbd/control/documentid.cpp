#include "control/documentid.h"

#include <xxhash.h>

namespace wigeonlb::daemon::control {

std::string
MakeDocumentId(std::uint64_t aNumber, std::string_view aDocument)
{
  return "configuration-" + std::to_string(aNumber) + "-" +
         std::to_string(XXH3_64bits(aDocument.data(), aDocument.size()));
}

} // namespace wigeonlb::daemon::control
