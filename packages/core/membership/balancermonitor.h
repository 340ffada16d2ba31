#pragma once

#include <cstdint>

#include "foundation/clock.h"

//! Whether the balancer has noticed that this host takes no callers, so that
//! those that are sent away don't come back to it.
namespace wigeonlb::core::membership {

//! Time for the answer to a probe to reach the balancer: some round trips.
constexpr foundation::Duration kAnswerTravelMs = std::chrono::milliseconds(50);

struct BalancerPolicy
{
  //! Probes refused in a row after which no new callers are sent; 0: unknown.
  std::uint32_t refusals_ = 0;
  //! Time after which none are sent in any case.
  foundation::Duration notice_{ 0 };
};

struct BalancerMonitor
{
  std::uint32_t refused_ = 0; //!< probes in a row
  foundation::Instant lastRefused_;
};

//! Takes the answer to a probe of the balancer.
void
NoteProbe(BalancerMonitor& aWatch, bool aServing, foundation::Instant aNow);

//! True when no new callers come to a host that refuses probes since aSince.
bool
IsOutOfRotation(const BalancerMonitor& aWatch,
                const BalancerPolicy& aPolicy,
                foundation::Instant aSince,
                foundation::Instant aNow);

} // namespace wigeonlb::core::membership
