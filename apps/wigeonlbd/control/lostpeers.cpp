#include "control/lostpeers.h"

#include <mutex>

#include "foundation/logging.h"

namespace wigeonlb::daemon::control {

void
LostPeers::SetReachable(const foundation::HostId& aHost, bool aReachable)
{
  foundation::LogChange(
    "peer", aReachable ? "peer-reachable" : "peer-lost", { { "host", aHost } });
  const std::unique_lock lock(mutex_);
  if (aReachable) {
    hosts_.erase(aHost);
  } else {
    hosts_.insert(aHost);
  }
}

bool
LostPeers::Contains(const foundation::HostId& aHost) const
{
  const std::shared_lock lock(mutex_);
  return hosts_.contains(aHost);
}

} // namespace wigeonlb::daemon::control
