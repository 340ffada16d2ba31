#pragma once

#include "core/failover/internal/groupcontext.h"

namespace wigeonlb::core::failover {

//! True when the replicated state of the target equals its announcement.
bool
MatchesAnnouncement(const wire::TargetState& aState,
                    const wire::Announcement& aAnnouncement);

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

void
ProposeAdmission(GroupContext& aContext,
                 wire::TargetState aTarget,
                 const std::string& aReason);

//! Proposes the group's first primary. A target that already is primary is
//! adopted without a promotion.
void
ProposeFirst(GroupContext& aContext,
             const wire::TargetReport& aReport,
             bool aIsPrimary);

} // namespace wigeonlb::core::failover
