#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "control.pb.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"

//! Hosts whose heartbeat came to a member that knew of no leader. They are told
//! as soon as there is one, instead of at their next heartbeat.
namespace wigeonlb::core::grants {

//! How long a host waits at most: the longest pause between two heartbeats
//! while no member answers.
constexpr foundation::Duration kLeaderWaitMs = std::chrono::milliseconds(1000);

//! A heartbeat that was answered without a leader.
struct LeaderWaiter
{
  foundation::HostId host_;
  std::uint64_t sequence_ = 0;
  std::uint64_t sentAtUs_ = 0; //!< by the host's own clock
  foundation::Instant receivedAt_;
};

struct LeaderWaiters
{
  std::map<foundation::HostId, LeaderWaiter> byHost_;
};

//! Keeps the newest heartbeat of its sender.
void
AddWaiter(LeaderWaiters& aWaiters,
          const wire::Heartbeat& aHeartbeat,
          foundation::Instant aNow);

//! Those that still wait, by host; none waits afterwards.
std::vector<LeaderWaiter>
RemoveWaiters(LeaderWaiters& aWaiters, foundation::Instant aNow);

} // namespace wigeonlb::core::grants
