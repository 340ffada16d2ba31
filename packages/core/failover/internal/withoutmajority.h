#pragma once

#include "core/failover/internal/groupcontext.h"

//! Targets of groups that acknowledge without a majority.
namespace wigeonlb::core::failover {

//! Such a group has no size to wait for: the target that leads is adopted, once
//! each one was read or is found unreachable.
void
AdoptLeader(GroupContext& aContext);

//! A target that leaves is kept off new work by the replicated state, so that a
//! new leader knows of it, too. Returns whether something was proposed.
bool
ProposeLeaving(GroupContext& aContext);

//! Removes one target that ended, or was neither heard nor reached for long.
void
ExpelOneDeparted(GroupContext& aContext);

} // namespace wigeonlb::core::failover
