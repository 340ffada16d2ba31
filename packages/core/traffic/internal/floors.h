#pragma once

#include <optional>

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! The oldest sample of the primary's position that is young enough: every
//! commit that was acknowledged aMaxAge ago or earlier is at or below it. Empty
//! when no sample is young enough.
std::optional<LogPosition>
ComputeAgeFloor(const Group& aGroup, Duration aMaxAge, Instant aNow);

//! What a read must see on any target: the session's floor and that of its age;
//! for a read of all that was acknowledged, the newest known position. Empty
//! when nothing vouches for the age now.
std::optional<LogPosition>
ComputeRequiredPosition(const Group& aGroup,
                        const Request& aRequest,
                        Instant aNow);

//! A floor as a target knows it. A position of an earlier term that was not
//! carried over is cut to the end of what was: a promotion took the rest back,
//! and no log will ever have it.
LogPosition
MapFloorToHistory(const Group& aGroup, const LogPosition& aFloor);

//! A position that the primary named under the grant, in the grant's term.
LogPosition
ToGrantTerm(const Group& aGroup, const LogPosition& aPosition);

//! Takes in where the target's log ends, as its answer told.
void
ApplyPosition(Context& aContext,
              const Connection& aConnection,
              const Request& aRequest,
              const StatementFinished& aEvent);

} // namespace wigeonlb::core::traffic::internal
