#include "testing/relay/linktable.h"

namespace wigeonlb::testing::relay {

LinkState
GetLink(const LinkTable& aTable,
        const ProcessName& aFrom,
        const ProcessName& aTo)
{
  const auto found = aTable.find({ aFrom, aTo });
  return found == aTable.end() ? LinkState{} : found->second;
}

bool
EitherDirectionHas(const LinkTable& aTable,
                   const ProcessName& aLeft,
                   const ProcessName& aRight,
                   LinkMode aMode)
{
  return GetLink(aTable, aLeft, aRight).mode_ == aMode ||
         GetLink(aTable, aRight, aLeft).mode_ == aMode;
}

} // namespace wigeonlb::testing::relay
