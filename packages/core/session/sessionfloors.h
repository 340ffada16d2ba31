#pragma once

#include <map>

#include "foundation/identifiers.h"
#include "foundation/logposition.h"

namespace wigeonlb::core::session {

//! The position of each group that a session's reads must not be behind.
struct SessionFloors
{
  std::map<foundation::GroupName, foundation::LogPosition> positions_;
};

//! The floor of one group; term 0 when the session has none.
foundation::LogPosition
GetFloor(const SessionFloors& aFloors, const foundation::GroupName& aGroup);

//! Raises the floor of one group. A lower position changes nothing. Returns
//! whether the floor moved.
bool
RaiseFloor(SessionFloors& aFloors,
           const foundation::GroupName& aGroup,
           const foundation::LogPosition& aPosition);

//! Raises every floor to those of another session, as of a token.
void
RaiseFloors(SessionFloors& aFloors, const SessionFloors& aOther);

} // namespace wigeonlb::core::session
