#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Routes a request outside a transaction into a queue or a waiting list, or
//! finishes it.
//! NOTE The request may have been destroyed afterwards.
void
Route(Context& aContext, Request& aRequest);

//! Queues a request for the primary, or rejects it immediately.
void
RouteToPrimary(Context& aContext, Request& aRequest);

//! Sends queued and waiting requests to targets as far as slots, connections
//! and the grant allow.
void
Dispatch(Context& aContext);

} // namespace wigeonlb::core::traffic::internal
