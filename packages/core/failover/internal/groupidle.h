#pragma once

#include "core/failover/internal/groupcontext.h"

namespace wigeonlb::core::failover {

//! Time before which the group needs no step unless a report or an announcement
//! that affects it arrives. Instant::min() when a step is due on each tick.
//! Must be called after a step.
foundation::Instant
ComputeIdleUntil(const GroupContext& aContext);

//! True when the group needs a step because of this report: it shows another
//! change than a longer log, or comes from an earlier probe than the one known.
bool
NeedsStep(const membership::MembershipState& aState,
          const foundation::HostId& aObserver,
          const wire::TargetReport& aReport,
          foundation::Instant aNow);

//! True when the group needs a step because of this announcement: it differs
//! from the replicated state of the target, the target was unresponsive before,
//! or it is leaving.
bool
NeedsStep(const membership::MembershipState& aState,
          const wire::GroupState& aGroup,
          const wire::Announcement& aAnnouncement,
          foundation::Instant aNow);

} // namespace wigeonlb::core::failover
