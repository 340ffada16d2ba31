#pragma once

#include <functional>
#include <span>
#include <vector>

#include "foundation/clock.h"
#include "foundation/identifiers.h"

//! Detects that this host is in a network partition that can't serve requests,
//! so that its callers should connect to other hosts.
namespace wigeonlb::core::membership {

//! Time without a message from the control leader after which connections to
//! other hosts are tested: two heartbeat intervals.
constexpr foundation::Duration kLeaderTimeoutMs =
  std::chrono::milliseconds(500);

//! Time for the tested hosts to respond or to be found unreachable. It is a
//! little above the time in which the peer links detect this.
constexpr foundation::Duration kConnectTestMs = std::chrono::milliseconds(900);

//! Largest number of hosts that are tested.
constexpr std::size_t kMaxTestedHosts = 12;

//! This host is isolated if at least 1/kUnreachableHostsDivisor of the tested
//! hosts are unreachable. If only the control members are down, the other hosts
//! still respond, and callers gain nothing by connecting to one of them.
constexpr std::size_t kUnreachableHostsDivisor = 4;

//! Interval between two rounds of disconnecting callers. Some reconnect to this
//! host, because a balancer without a healthy host still sends them here.
constexpr foundation::Duration kDisconnectIntervalMs =
  std::chrono::milliseconds(1000);

struct Isolation
{
  foundation::Instant testedAt_;
  std::vector<foundation::HostId> testedHosts_;
  bool testFinished_ = false; //!< kConnectTestMs have passed since testedAt_
  bool isolated_ = false;
  foundation::Instant isolatedSince_;
  foundation::Instant lastDisconnectAt_; //!< of callers
};

//! Starts a test if the last message from the leader, at aLastLeaderMessageAt,
//! is too old. Returns the hosts to test: the caller opens a connection to
//! each.
std::vector<foundation::HostId>
CheckLeaderContact(Isolation& aState,
                   foundation::Instant aLastLeaderMessageAt,
                   std::span<const foundation::HostId> aHosts,
                   foundation::Instant aNow);

//! Evaluates the test once it has finished. Returns whether isolated_ has
//! changed.
bool
EvaluateIsolation(
  Isolation& aState,
  const std::function<bool(const foundation::HostId&)>& aIsUnreachable,
  foundation::Instant aNow);

//! Whether the host should accept callers. False while it is isolated or a test
//! is running. A test alone is too short for the balancer to take the host out
//! of rotation. Also false for a host that has received no message from a
//! leader since its start: it may have started in an isolated partition.
bool
MayAcceptCallers(const Isolation& aState, bool aLeaderKnown);

//! Whether to disconnect the callers now, so that they connect to other hosts.
//! aOutOfRotation: the balancer has taken this host out of rotation.
bool
ShouldDisconnectCallers(Isolation& aState,
                        bool aOutOfRotation,
                        foundation::Instant aNow);

} // namespace wigeonlb::core::membership
