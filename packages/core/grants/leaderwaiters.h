#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "control.pb.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"

//! Hosts whose heartbeat was received by a member that knew no leader. They are
//! notified as soon as there is a leader, before their next heartbeat.
namespace wigeonlb::core::grants {

//! How long a host waits at most: the longest interval between two heartbeats
//! while no member responds.
constexpr foundation::Duration kLeaderWaitMs = std::chrono::milliseconds(1000);

//! A heartbeat whose reply named no leader.
struct LeaderWaiter
{
  foundation::HostId host_;
  std::uint64_t boot_ = 0; //!< start of the host that numbered the heartbeat
  std::uint64_t sequence_ = 0;
  std::uint64_t sentAtUs_ = 0; //!< on the host's own clock
  foundation::Instant receivedAt_;
};

struct LeaderWaiters
{
  std::map<foundation::HostId, LeaderWaiter> byHost_;
};

//! Stores a heartbeat; it replaces an earlier one of the same host.
void
AddWaiter(LeaderWaiters& aWaiters,
          const wire::Heartbeat& aHeartbeat,
          foundation::Instant aNow);

//! Removes all waiters and returns those that still wait, in order of host.
std::vector<LeaderWaiter>
RemoveWaiters(LeaderWaiters& aWaiters, foundation::Instant aNow);

} // namespace wigeonlb::core::grants
