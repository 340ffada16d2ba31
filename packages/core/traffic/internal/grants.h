#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Whether a grant for this term is held now, including while it is drained.
bool
GrantHolds(const Group& aGroup, std::uint64_t aTerm, Instant aNow);

//! Whether new statements may be sent to the primary now.
bool
MayUsePrimary(const Group& aGroup, Instant aNow);

void
OnGrantChanged(Context& aContext, const GrantChanged& aEvent);
void
OnStopNewWrites(Context& aContext, const StopNewWrites& aEvent);

//! Ends the grant and reports its term as released when the lease has expired,
//! the drain has timed out, or no statement is in flight any more under the
//! revoked term.
void
EndGrantIfDue(Context& aContext);

//! When EndGrantIfDue has work next.
Instant
NextGrantWork(const Group& aGroup);

} // namespace wigeonlb::core::traffic::internal
