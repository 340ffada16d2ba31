#pragma once

#include <vector>

#include "core/grants/holder.h"

//! A holder's link to the control members: when it sends a heartbeat, what it
//! says, and which member it follows.
namespace wigeonlb::core::grants::internal {

//! Asks for a heartbeat as soon as the shortest interval allows it.
void
Hurry(HolderState& aState);

//! Asks for a heartbeat within aInterval of the last one.
void
AskWithin(HolderState& aState, foundation::Duration aInterval);

//! Turns to the next member when the followed one stays silent. Each further
//! one waits longer, so that hosts don't storm the members that are left.
void
CheckContact(HolderState& aState, foundation::Instant aNow);

//! Sends a heartbeat when one is due.
void
SendDue(HolderState& aState,
        foundation::Instant aNow,
        std::vector<HolderAction>& aActions);

//! Follows the leader that a reply names.
void
FollowHint(HolderState& aState,
           const wire::HeartbeatReply& aReply,
           foundation::Instant aNow);

} // namespace wigeonlb::core::grants::internal
