#pragma once

#include <optional>

#include "core/failover/internal/groupcontext.h"
#include "foundation/logposition.h"

namespace wigeonlb::core::failover {

//! Step of a group that never had a primary: admits announced targets until
//! `size` of them are counted, reads all of them, and adopts the primary that
//! it finds, or promotes the target with the highest position.
void
StepFirstPrimary(GroupContext& aContext);

//! Step of a group with a live primary: expels targets that were rebuilt, have
//! diverged or are leaving, admits new ones, and counts them once they have
//! caught up. The counted targets change one at a time, and each change is in
//! force at every holder before the next one.
void
StepCountedTargets(GroupContext& aContext);

//! True when a read since aSince shows that the target's log reaches aPosition.
bool
HasReached(GroupContext& aContext,
           const wire::TargetState& aTarget,
           foundation::LogPosition aPosition,
           foundation::Instant aSince);

//! aAcknowledged: kept in the replicated state, if the target's former data
//! counted and is replaced.
void
ProposeAdmission(
  GroupContext& aContext,
  wire::TargetState aTarget,
  const std::string& aReason,
  const std::optional<foundation::LogPosition>& aAcknowledged = std::nullopt);

//! Proposes the group's first primary. A target that already is primary is
//! adopted without a promotion.
void
ProposeFirst(GroupContext& aContext,
             const wire::TargetReport& aReport,
             bool aIsPrimary);

} // namespace wigeonlb::core::failover
