#pragma once

#include <set>
#include <shared_mutex>

#include "foundation/identifiers.h"

namespace wigeonlb::daemon::control {

//! The set of peers whose link is lost. Updated by the link thread and read by
//! all others.
class LostPeers
{
public:
  //! Updates the state of a peer's link and logs the change.
  void SetReachable(const foundation::HostId& aHost, bool aReachable);
  bool Contains(const foundation::HostId& aHost) const;

private:
  mutable std::shared_mutex mutex_;
  std::set<foundation::HostId> hosts_;
};

} // namespace wigeonlb::daemon::control
