#pragma once

#include <vector>

#include "core/grants/holder.h"

//! A holder's communication with the control members: when it sends a
//! heartbeat, what the heartbeat contains, and which member it follows.
namespace wigeonlb::core::grants::internal {

//! Schedules a heartbeat as soon as the shortest interval allows.
void
RequestUrgentHeartbeat(HolderState& aState);

//! Schedules a heartbeat at most aInterval after the last one.
void
ScheduleHeartbeatWithin(HolderState& aState, foundation::Duration aInterval);

//! Whether four members in turn have neither replied as leader nor named one,
//! and no leader has replied since: most of the members that this host knows
//! may have been replaced.
bool
HearsNoLeader(const HolderState& aState);

//! Lets the next heartbeat go to all members, as soon as the shortest interval
//! allows.
void
ScheduleHeartbeatToAll(HolderState& aState);

//! Follows the next member if the current one does not respond in time. The
//! wait grows with each attempt, so that hosts do not overload the remaining
//! members.
void
CheckMemberTimeout(HolderState& aState, foundation::Instant aNow);

//! Sends a heartbeat when one is due.
void
SendDueHeartbeat(HolderState& aState,
                 foundation::Instant aNow,
                 std::vector<HolderAction>& aActions);

//! Follows the leader named in a reply.
void
FollowLeaderHint(HolderState& aState,
                 const wire::HeartbeatReply& aReply,
                 foundation::Instant aNow);

} // namespace wigeonlb::core::grants::internal
