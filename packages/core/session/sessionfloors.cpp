#include "core/session/sessionfloors.h"

namespace wigeonlb::core::session {

foundation::LogPosition
GetFloor(const SessionFloors& aFloors, const foundation::GroupName& aGroup)
{
  const auto found = aFloors.positions_.find(aGroup);
  return found == aFloors.positions_.end() ? foundation::LogPosition{}
                                           : found->second;
}

bool
RaiseFloor(SessionFloors& aFloors,
           const foundation::GroupName& aGroup,
           const foundation::LogPosition& aPosition)
{
  if (aPosition <= GetFloor(aFloors, aGroup)) {
    return false;
  }
  aFloors.positions_[aGroup] = aPosition;
  return true;
}

void
RaiseFloors(SessionFloors& aFloors, const SessionFloors& aOther)
{
  for (const auto& [group, position] : aOther.positions_) {
    RaiseFloor(aFloors, group, position);
  }
}

} // namespace wigeonlb::core::session
