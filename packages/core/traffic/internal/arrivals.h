#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

void
OnRequestArrived(Context& aContext, const RequestArrived& aEvent);
void
OnCancelRequested(Context& aContext, const CancelRequested& aEvent);
void
OnSessionClosed(Context& aContext, const SessionClosed& aEvent);

} // namespace wigeonlb::core::traffic::internal
