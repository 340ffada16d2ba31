#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Opens connections for queued requests whose organisation has no idle one, in
//! the order of the queues; if the share is used up, in place of an idle
//! connection that no queued request needs or, for a request that has waited
//! for kMaxWaitForConnection, of any that has carried a statement. Does nothing
//! unless each connection belongs to one organisation.
void
OpenForOrganisations(Context& aContext);

//! Does the same only for requests that have waited for that long. To be called
//! before requests are dispatched, which would use every free slot.
void
OpenForOverdue(Context& aContext);

} // namespace wigeonlb::core::traffic::internal
