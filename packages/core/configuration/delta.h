#pragma once

#include "control.pb.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::configuration {

//! What a host in force at aSince lacks, as the configuration fields of a
//! heartbeat reply: revision, base_revision, whole, groups, databases, what was
//! dropped of both, and settings. The other fields are left for the caller to
//! set. NOTE A host that is newer than aState gets aState's revision and no
//! groups, which it ignores.
wire::HeartbeatReply
DeltaSince(const wire::ControlState& aState, foundation::Revision aSince);

} // namespace wigeonlb::core::configuration
