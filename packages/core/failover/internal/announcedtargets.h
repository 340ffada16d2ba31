#pragma once

#include <vector>

#include "core/failover/internal/groupcontext.h"

//! Targets that have announced themselves.
namespace wigeonlb::core::failover {

//! The replicated state of a target as it announces itself, not counted.
wire::TargetState
MakeTargetState(const wire::Announcement& aAnnouncement);

//! True when the replicated state of the target equals its announcement.
bool
MatchesAnnouncement(const wire::TargetState& aState,
                    const wire::Announcement& aAnnouncement);

//! Announcements of targets that may receive writes, ordered by name: the live
//! ones, and those that leave but aren't gone yet.
std::vector<const wire::Announcement*>
FindReceivingAnnouncements(const GroupContext& aContext);

//! Announcements of the group's live targets, ordered by name.
std::vector<const wire::Announcement*>
FindLiveAnnouncements(const GroupContext& aContext);

} // namespace wigeonlb::core::failover
