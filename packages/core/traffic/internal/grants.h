#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Whether the grant of that term is held now, also while it is being drained.
bool
GrantHolds(const Group& aGroup, std::uint64_t aTerm, Instant aNow);

//! Whether new work may be handed to the primary now.
bool
MayUsePrimary(const Group& aGroup, Instant aNow);

void
OnGrantChanged(Context& aContext, const GrantChanged& aEvent);
void
OnStopNewWrites(Context& aContext, const StopNewWrites& aEvent);

//! Ends the grant when its lease has run out or its drain is over, and tells
//! when nothing is in flight under a revoked term.
void
EndGrantIfDue(Context& aContext);

//! When EndGrantIfDue has something to do.
Instant
NextGrantWork(const Group& aGroup);

} // namespace wigeonlb::core::traffic::internal
