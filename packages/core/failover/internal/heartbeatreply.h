#pragma once

#include <vector>

#include "core/failover/failover.h"

//! The control leader's reply to a host's heartbeat.
namespace wigeonlb::core::failover {

//! A reply without decisions, as a member that does not lead gives it.
wire::HeartbeatReply
MakeReply(const foundation::HostId& aSelf, const wire::Heartbeat& aHeartbeat);

//! Adds what the leader decides for the host: grants of the groups that it
//! owns, the changes of the list of hosts, and the targets that take no new
//! work. Appends proposals that grants need first to aActions.
void
AddDecisions(FailoverState& aState,
             const wire::ControlState& aControl,
             const HeartbeatReceived& aEvent,
             foundation::Instant aNow,
             wire::HeartbeatReply& aReply,
             std::vector<FailoverAction>& aActions);

} // namespace wigeonlb::core::failover
