#pragma once

#include "core/failover/internal/groupcontext.h"

namespace wigeonlb::core::failover {

//! True when the target is decided just as it announces itself.
bool
MatchesAnnouncement(const wire::TargetState& aState,
                    const wire::Announcement& aAnnouncement);

//! A group that never had a primary: admits announced targets until `size` of
//! them count, reads all, and adopts the primary that it finds, or promotes
//! the one with the highest position.
void
StepFirstPrimary(GroupContext& aContext);

//! A group under a live primary: expels targets that were rebuilt, diverged or
//! leave, admits new ones, and lets them count once they have caught up. One
//! change of the counted targets at a time, each in force at every holder
//! before the next.
void
StepCountedTargets(GroupContext& aContext);

void
ProposeAdmission(GroupContext& aContext,
                 wire::TargetState aTarget,
                 const std::string& aReason);

//! Proposes the group's first primary: one that leads already is adopted.
void
ProposeFirst(GroupContext& aContext,
             const wire::TargetReport& aReport,
             bool aIsPrimary);

} // namespace wigeonlb::core::failover
