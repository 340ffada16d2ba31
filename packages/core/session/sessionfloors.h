#pragma once

#include <map>

#include "foundation/identifiers.h"
#include "foundation/logposition.h"

namespace wigeonlb::core::session {

//! The floors of a session: for each group the minimum log position that the
//! session's reads must see.
struct SessionFloors
{
  std::map<foundation::GroupName, foundation::LogPosition> positions_;
};

//! Returns the floor of one group; its term is 0 if the session has none.
foundation::LogPosition
GetFloor(const SessionFloors& aFloors, const foundation::GroupName& aGroup);

//! Raises the floor of one group to a position; a lower position is ignored.
//! Returns whether the floor has changed.
bool
RaiseFloor(SessionFloors& aFloors,
           const foundation::GroupName& aGroup,
           const foundation::LogPosition& aPosition);

//! Raises every floor to at least the other one for the same group, such as the
//! floors decoded from a session token.
void
RaiseFloors(SessionFloors& aFloors, const SessionFloors& aOther);

} // namespace wigeonlb::core::session
