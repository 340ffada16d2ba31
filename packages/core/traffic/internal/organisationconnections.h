#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Opens connections for queued requests whose organisation has no idle one,
//! in the order of the queues; if the share is used up, in place of idle
//! connections of organisations without queued requests. Does nothing unless
//! each connection belongs to one organisation.
void
OpenForOrganisations(Context& aContext);

//! Does the same only for requests that have waited for long. To be called
//! before requests are dispatched, which would use every free slot.
void
OpenForOverdue(Context& aContext);

} // namespace wigeonlb::core::traffic::internal
