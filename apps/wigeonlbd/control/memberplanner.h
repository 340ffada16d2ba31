#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "core/consensus/memberplan.h"
#include "core/failover/failover.h"

namespace wigeonlb::daemon::control {

//! Plans the leader's membership changes at intervals and logs the steps, and
//! the reason when a voter can't be replaced.
struct MemberPlanner
{
  std::size_t wantedVoters_ = 0; //!< zero: the members are never changed
  foundation::Instant nextPlan_;
  //! The refusal that was logged last, with its host and time.
  foundation::HostId loggedHost_;
  core::consensus::ChangeRefusal loggedRefusal_ =
    core::consensus::ChangeRefusal::None;
  foundation::Instant loggedAt_;
};

//! The record of the leader's next membership change, or nothing.
std::optional<wire::ControlRecord>
PlanMemberChange(MemberPlanner& aPlanner,
                 const core::consensus::ConsensusState& aConsensus,
                 const core::failover::FailoverState& aLeader,
                 foundation::Instant aNow);

} // namespace wigeonlb::daemon::control
