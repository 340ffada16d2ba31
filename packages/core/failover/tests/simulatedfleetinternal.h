#pragma once

#include "core/failover/tests/simulatedfleet.h"

//! Functions that the source files of the simulated fleet share.
namespace wigeonlb::core::failover {

constexpr foundation::Duration kFleetStep = std::chrono::milliseconds(10);

//! Runs an action after the delay of one message.
void
Deliver(Fleet& aFleet, std::function<void()> aAction);

void
ReceiveHeartbeat(Fleet& aFleet,
                 const foundation::HostId& aMember,
                 const wire::Heartbeat& aHeartbeat);

void
DeliverReply(Fleet& aFleet,
             const foundation::HostId& aHost,
             wire::HeartbeatReply aReply);

//! Feeds the members' ticks, proposals and delayed messages.
void
AdvanceMembers(Fleet& aFleet);

//! Lets the members pass committed records and elections on to the failover
//! logic, and counts their work.
consensus::NetworkObserver
MakeFleetObserver(Fleet& aFleet);

} // namespace wigeonlb::core::failover
