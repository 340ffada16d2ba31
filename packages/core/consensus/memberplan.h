#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>

#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

//! A voter that has not answered the leader for this time is replaced if
//! another host is available. Longer than a host needs to restart.
constexpr foundation::Duration kVoterTimeoutMs =
  std::chrono::milliseconds(2500);

//! Limits of the number of voters.
constexpr std::size_t kMinVoters = 3;
constexpr std::size_t kMaxVoters = 7;

//! A live host that has persistent storage.
struct MemberCandidate
{
  foundation::HostId host_;
  std::string address_; //!< for connections from peers
};

//! Number of voters needed to tolerate the simultaneous loss of aLosses disks,
//! within the limits above.
constexpr std::size_t
ComputeVoterCount(std::size_t aLosses)
{
  const std::size_t voters = 2 * aLosses + 1;
  return voters < kMinVoters ? kMinVoters
                             : (voters > kMaxVoters ? kMaxVoters : voters);
}

//! The leader's next membership change towards aVoters responsive voters, or
//! nothing. A live host that is not a member becomes a learner. A learner that
//! has caught up replaces an unresponsive voter: the learner becomes a voter
//! first, and only then the unresponsive voter becomes a learner.
std::optional<wire::MemberChange>
PlanMembers(const ConsensusState& aState,
            std::span<const MemberCandidate> aLive,
            std::size_t aVoters,
            foundation::Instant aNow);

} // namespace wigeonlb::core::consensus
