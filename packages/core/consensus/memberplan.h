#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

//! A voter that has not answered the leader for this time is replaced if
//! another host is available. Longer than a host needs to restart.
constexpr foundation::Duration kVoterTimeoutMs =
  std::chrono::milliseconds(2500);

//! A learner that has not answered the leader for this time, and is no live
//! host, is removed. Should it return, it becomes a learner again, if it finds
//! the members. Far longer than an outage that operators end by a restart.
constexpr foundation::Duration kLearnerTimeoutMs = std::chrono::hours(24);

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

enum class MemberStep
{
  None,
  AddLearners,
  PromoteLearner,
  DemoteVoter,
  RemoveLearner,
};

//! Result of PlanMembers.
struct MemberPlan
{
  MemberStep step_ = MemberStep::None;
  wire::MemberChange members_; //!< the members after the step
  foundation::HostId host_;    //!< promoted, demoted or removed
  //! A voter that has been unresponsive for kVoterTimeoutMs, or empty.
  foundation::HostId unresponsive_;
  //! Without a step: why a voter is neither replaced nor added. Of several
  //! learners, the refusal of the one that is closest to becoming a voter.
  ChangeRefusal refusal_ = ChangeRefusal::None;
};

//! True if these voters have a quorum that is as large as that of the wanted
//! number of voters: what they commit is on as many disks.
constexpr bool
HasWantedQuorum(std::size_t aVoters, std::size_t aWanted)
{
  return aVoters / 2 >= aWanted / 2;
}

//! The leader's next membership change towards aVoters responsive voters. A
//! live host that is not a member becomes a learner. Once a learner has caught
//! up, an unresponsive voter becomes a learner, and then the learner a voter. A
//! learner that has been silent for kLearnerTimeoutMs is removed, with its
//! address, once no other step is due.
MemberPlan
PlanMembers(const ConsensusState& aState,
            std::span<const MemberCandidate> aLive,
            std::size_t aVoters,
            foundation::Instant aNow);

//! For logs.
std::string_view
ToText(MemberStep aStep);
std::string_view
ToText(ChangeRefusal aRefusal);

} // namespace wigeonlb::core::consensus
