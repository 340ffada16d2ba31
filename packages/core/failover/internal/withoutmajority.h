#pragma once

#include "core/failover/internal/groupcontext.h"

//! Management of the targets of groups that acknowledge writes without a
//! majority.
namespace wigeonlb::core::failover {

//! Adopts the target that already is primary as the group's first primary, once
//! each target has been read or found unreachable. Without majority
//! acknowledgement, a group does not wait until `size` targets are known.
void
AdoptExistingPrimary(GroupContext& aContext);

//! Marks one leaving target in the replicated state, so that a new leader keeps
//! new work off it as well. Returns whether a record was proposed.
bool
ProposeLeaving(GroupContext& aContext);

//! Proposes to remove one target that announced its permanent shutdown, or that
//! has neither announced itself nor been reachable for kTargetExpiryMs. Returns
//! whether a record was proposed.
bool
ExpelOneDeparted(GroupContext& aContext);

//! Proposes to admit a target that announced itself after the fence, so that it
//! is read. It doesn't count, so that the choice doesn't wait for it. Returns
//! whether a record was proposed.
bool
AdmitNewcomer(GroupContext& aContext);

} // namespace wigeonlb::core::failover
