#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>

#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

//! A voter that has not answered the leader for this long is replaced, if
//! another host can take its place. Longer than a restart takes.
constexpr foundation::Duration kVoterTimeoutMs =
  std::chrono::milliseconds(2500);

//! Bounds on the number of voters.
constexpr std::size_t kMinVoters = 3;
constexpr std::size_t kMaxVoters = 7;

//! A live host that has a disk.
struct MemberCandidate
{
  foundation::HostId host_;
  std::string address_; //!< of its peer links
};

//! Voters that outlive the loss of so many disks at once.
constexpr std::size_t
ComputeVoterCount(std::size_t aLosses)
{
  const std::size_t voters = 2 * aLosses + 1;
  return voters < kMinVoters ? kMinVoters
                             : (voters > kMaxVoters ? kMaxVoters : voters);
}

//! The leader's next step towards that many voters that answer, or nothing. A
//! live host that is no member becomes a learner; a learner that has caught up
//! takes the place of a silent voter, which is removed only after it was
//! added.
std::optional<wire::MemberChange>
PlanMembers(const ConsensusState& aState,
            std::span<const MemberCandidate> aLive,
            std::size_t aVoters,
            foundation::Instant aNow);

} // namespace wigeonlb::core::consensus
