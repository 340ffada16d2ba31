#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

//! What is known about one member.
enum class MemberStanding
{
  Leader,
  CountingVoter,   //!< answers, and its answers count for quorums
  RecoveringVoter, //!< answers, but has lost its disk and is not readmitted yet
  SilentVoter,     //!< has not answered within the election timeout
  Voter,           //!< a voter of which nothing more is known
  CaughtUpLearner, //!< answers, and holds the committed log
  LaggingLearner,  //!< answers, but lacks entries of the committed log
  SilentLearner,   //!< has not answered within the election timeout
  Learner,         //!< a learner of which nothing more is known
};

struct MemberStatus
{
  foundation::HostId host_;
  MemberStanding standing_ = MemberStanding::Voter;
  //! Time since the leader sent the latest request that this member has
  //! answered, or since the election if it has answered none. Absent for the
  //! leader itself and on members that don't lead.
  std::optional<foundation::Duration> silence_;
};

//! The totals of a leader. Other members don't know them.
struct QuorumStanding
{
  int voters_ = 0;
  int countingVoters_ = 0; //!< voters that count and answer, and the leader
  int quorumSize_ = 0;
  int caughtUpLearners_ = 0;
  //! Number of counting voters that can be lost without losing the quorum.
  //! Negative: the quorum is lost, and this many voters are missing.
  int mayLose_ = 0;
  //! False for a short time after an election, until each voter has answered or
  //! counts as silent.
  bool settled_ = false;
};

//! The members as this member knows them.
struct MembersOverview
{
  foundation::HostId leader_; //!< empty if this member knows none
  bool recovering_ = false;   //!< this member does not vote yet
  std::vector<MemberStatus> members_;
  //! Present if this member leads. Otherwise members_ has only what this
  //! member's own log says.
  std::optional<QuorumStanding> quorum_;
};

MembersOverview
DescribeMembers(const ConsensusState& aState, foundation::Instant aNow);

//! A short name, as `voter-silent`.
std::string_view
StandingName(MemberStanding aStanding);

bool
IsVoterStanding(MemberStanding aStanding);

} // namespace wigeonlb::core::consensus
