#pragma once

#include <set>
#include <shared_mutex>

#include "foundation/identifiers.h"

namespace wigeonlb::daemon::control {

//! Peers that the links found lost. Written by the link thread, read by every
//! other.
class LostPeers
{
public:
  //! Takes a change that a link tells, and logs it.
  void SetReachable(const foundation::HostId& aHost, bool aReachable);
  bool Contains(const foundation::HostId& aHost) const;

private:
  mutable std::shared_mutex mutex_;
  std::set<foundation::HostId> hosts_;
};

} // namespace wigeonlb::daemon::control
