#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

//! A voter that has not answered the leader for this time is replaced if a
//! learner is ready: as long as members wait for a leader. Until then, the loss
//! of another disk stops the group if the voter never returns.
constexpr foundation::Duration kVoterTimeoutMs = std::chrono::milliseconds(550);

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
  PromoteLearners,
  ReplaceVoters,
  DemoteVoter,
  RemoveLearner,
};

//! Result of PlanMembers.
struct MemberPlan
{
  MemberStep step_ = MemberStep::None;
  wire::MemberChange members_; //!< the members after the step
  foundation::HostId host_;    //!< the first one promoted, demoted or removed
  //! The first voter to be replaced: it has not answered for kVoterTimeoutMs,
  //! or is to stop. Empty if there is none.
  foundation::HostId outgoing_;
  //! Without a step: why a voter is neither replaced nor added. Of several
  //! learners, the refusal of the one that is closest to becoming a voter.
  ChangeRefusal refusal_ = ChangeRefusal::None;
};

//! True if these voters have a quorum that is as large as that of the wanted
//! number of voters: what they commit is on as many disks. During a change of
//! members the outgoing voters need one, too.
bool
HasWantedQuorum(const wire::MemberChange& aMembers, std::size_t aWanted);

//! The leader's next membership change towards aVoters responsive voters. A
//! live host that is not a member becomes a learner. Once learners have caught
//! up, they take the places of voters that are silent or to stop, in one change
//! that needs quorums of the voters before and after it, and then the places
//! that are still free. A learner that has been silent for kLearnerTimeoutMs is
//! removed, with its address, once no other step is due.
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
