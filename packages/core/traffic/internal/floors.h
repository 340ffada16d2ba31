#pragma once

#include <optional>

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! The minimum position that satisfies a staleness bound: the oldest sample of
//! the primary's position that is not older than aMaxAge. Every commit that was
//! acknowledged aMaxAge ago or earlier is at or below it. Empty when all
//! samples are older.
std::optional<LogPosition>
ComputeAgeFloor(const Group& aGroup, Duration aMaxAge, Instant aNow);

//! The minimum position that a read must see on any target: the maximum of the
//! session's floor, that of the staleness bound and, for a primary read, the
//! newest known position of the primary. Empty when the staleness bound cannot
//! be guaranteed at present.
std::optional<LogPosition>
ComputeRequiredPosition(const Group& aGroup,
                        const Request& aRequest,
                        Instant aNow);

//! Converts a floor to a position that exists in the group's current history.
//! A position of an earlier term beyond the start of the next term is reduced
//! to that start: the promotion rolled back the rest, and no log will ever
//! contain it.
LogPosition
MapFloorToHistory(const Group& aGroup, const LogPosition& aFloor);

//! A position that the primary reported under the grant, with the grant's term
//! in place of an earlier one.
LogPosition
ToGrantTerm(const Group& aGroup, const LogPosition& aPosition);

//! Records the end of the target's log that was reported with a response.
void
ApplyPosition(Context& aContext,
              const Connection& aConnection,
              const Request& aRequest,
              const StatementFinished& aEvent);

} // namespace wigeonlb::core::traffic::internal
