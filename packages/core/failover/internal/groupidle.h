#pragma once

#include "core/failover/internal/groupcontext.h"

namespace wigeonlb::core::failover {

//! Until when a step of the group does nothing, if nothing is heard of it
//! before. The past when a step is due on each tick. Called after a step.
foundation::Instant
ComputeIdleUntil(const GroupContext& aContext);

//! True when a report tells more than that a target's log has grown, or is from
//! an earlier probe than the one known.
bool
NeedsStep(const membership::MembershipState& aState,
          const foundation::HostId& aObserver,
          const wire::TargetReport& aReport,
          foundation::Instant aNow);

//! True when a target is not decided as it announces itself, or was silent.
bool
NeedsStep(const membership::MembershipState& aState,
          const wire::GroupState& aGroup,
          const wire::Announcement& aAnnouncement,
          foundation::Instant aNow);

} // namespace wigeonlb::core::failover
