#pragma once

#include <cstdint>

#include "foundation/clock.h"

//! Whether the load balancer has taken this host out of rotation. Callers that
//! are disconnected earlier would reconnect to this host.
namespace wigeonlb::core::membership {

//! Time for the reply to a probe to reach the balancer: several round trips.
constexpr foundation::Duration kProbeReplyDelayMs =
  std::chrono::milliseconds(50);

struct BalancerPolicy
{
  //! Number of consecutive refused probes after which the balancer sends no new
  //! callers; 0: unknown.
  std::uint32_t refusalsToRemove_ = 0;
  //! Time of continuous refusal after which the balancer is assumed to send no
  //! new callers, however many probes were refused.
  foundation::Duration removalTimeout_{ 0 };
};

struct BalancerMonitor
{
  std::uint32_t consecutiveRefusals_ = 0;
  foundation::Instant lastRefused_;
};

//! Records the reply to a health probe of the balancer.
void
NoteProbe(BalancerMonitor& aMonitor, bool aServing, foundation::Instant aNow);

//! Whether the balancer sends no new callers to a host that has refused its
//! probes since aSince.
bool
IsOutOfRotation(const BalancerMonitor& aMonitor,
                const BalancerPolicy& aPolicy,
                foundation::Instant aSince,
                foundation::Instant aNow);

} // namespace wigeonlb::core::membership
