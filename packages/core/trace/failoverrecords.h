#pragma once

#include <optional>
#include <span>

#include "core/failover/failover.h"
#include "foundation/clock.h"
#include "trace.pb.h"

namespace wigeonlb::core::trace {

//! Converts one decision step of the control leader into a record. Ticks
//! without actions are recorded too, as they expire state that later decisions
//! depend on.
wire::FailoverStep
ToRecord(const failover::FailoverEvent& aEvent,
         std::span<const failover::FailoverAction> aActions,
         foundation::Instant aNow);

wire::FailoverOutput
ToRecord(const failover::FailoverAction& aAction);

//! Returns the event of a recorded step, or nothing if the step has none.
std::optional<failover::FailoverEvent>
ToEvent(const wire::FailoverStep& aStep);

} // namespace wigeonlb::core::trace
