#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Finishes every request whose deadline has passed.
void
ExpireRequests(Context& aContext);

//! Rolls back open transactions that have been idle for too long.
void
ExpireTransactions(Context& aContext);

//! When the next request or transaction expires or the next waiting read must
//! be routed again.
Instant
NextDeadline(const Group& aGroup);

} // namespace wigeonlb::core::traffic::internal
