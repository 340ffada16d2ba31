#pragma once

#include <optional>
#include <string>

#include "core/failover/internal/groupcontext.h"

namespace wigeonlb::core::failover {

//! Decides whether the primary in force is lost, and requests the leader's own
//! reads that the decision needs. Returns the reason for a fence, or nothing
//! while the primary is considered reachable and in its role.
std::optional<std::string>
SuspectPrimary(GroupContext& aContext);

} // namespace wigeonlb::core::failover
