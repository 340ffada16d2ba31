#pragma once

#include "control/consensusmember.h"
#include "control/leaderdriver.h"
#include "control/peerport.h"
#include "core/quota/allocator.h"

namespace wigeonlb::daemon::control {

//! Answers owners' requests for tokens on a control member: while it leads and
//! holds its lease by the limits in force, otherwise with the leader that it
//! knows. Used on the control thread.
class QuotaService
{
public:
  QuotaService(core::quota::Tolerance aTolerance,
               const ConsensusMember& aMember,
               const LeaderDriver& aLeader,
               PeerPort& aPort);

  void OnRequest(const foundation::HostId& aFrom,
                 const wire::QuotaRequest& aRequest);

private:
  //! Starts a leadership, and takes over limits that have changed.
  void Update(foundation::Instant aNow);

  const ConsensusMember& member_;
  const LeaderDriver& leader_;
  PeerPort& port_;
  core::quota::Allocator allocator_;
  std::uint64_t term_ = 0; //!< in which the allocator began
  foundation::Revision revision_ = 0;
};

} // namespace wigeonlb::daemon::control
