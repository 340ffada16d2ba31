#pragma once

#include "control.pb.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::configuration {

//! Returns the changes after revision aSince as the configuration fields of a
//! heartbeat reply: revision, base_revision, whole, groups, databases, the
//! dropped ones of both, and settings. Does not set the other fields.
//! NOTE If aSince is newer than aState, the reply has the revision of aState
//! and no groups, and the host ignores it.
wire::HeartbeatReply
DeltaSince(const wire::ControlState& aState, foundation::Revision aSince);

} // namespace wigeonlb::core::configuration
