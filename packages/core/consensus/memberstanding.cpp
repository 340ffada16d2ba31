#include "core/consensus/memberstanding.h"

#include <algorithm>

#include "core/consensus/internal/quorum.h"
#include "core/consensus/internal/replication.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;
using foundation::Instant;

const Progress*
FindProgress(const ConsensusState& aState, const HostId& aHost)
{
  const auto found = aState.progress_.find(aHost);
  return found == aState.progress_.end() ? nullptr : &found->second;
}

//! True until a host has answered this leader or its time to do so is over.
bool
IsAnswerPending(const ConsensusState& aState, const HostId& aHost, Instant aNow)
{
  const Progress* const progress = FindProgress(aState, aHost);
  return (progress == nullptr || !progress->answeredSentAt_) &&
         aNow - aState.leadingSince_ <= aState.settings_.electionTimeoutMax_;
}

MemberStanding
JudgeVoter(const ConsensusState& aState, const HostId& aHost, Instant aNow)
{
  if (IsAnswerPending(aState, aHost, aNow)) {
    return MemberStanding::Voter;
  }
  if (!HasAnsweredRecently(aState, aHost, aNow)) {
    return MemberStanding::SilentVoter;
  }
  return CountsForQuorum(aState, aHost) ? MemberStanding::CountingVoter
                                        : MemberStanding::RecoveringVoter;
}

MemberStanding
JudgeLearner(const ConsensusState& aState, const HostId& aHost, Instant aNow)
{
  if (IsAnswerPending(aState, aHost, aNow)) {
    return MemberStanding::Learner;
  }
  if (!HasAnsweredRecently(aState, aHost, aNow)) {
    return MemberStanding::SilentLearner;
  }
  const bool caughtUp =
    aState.progress_.at(aHost).match_ >= aState.commitIndex_;
  return caughtUp ? MemberStanding::CaughtUpLearner
                  : MemberStanding::LaggingLearner;
}

//! What a member that doesn't lead knows.
MemberStanding
JudgeByOwnLog(const ConsensusState& aState, const HostId& aHost, bool aVoter)
{
  if (!aVoter) {
    return MemberStanding::Learner;
  }
  const bool recovering =
    aHost == aState.settings_.self_ && IsRecovering(aState);
  return recovering ? MemberStanding::RecoveringVoter : MemberStanding::Voter;
}

MemberStatus
DescribeMember(const ConsensusState& aState,
               const HostId& aHost,
               bool aVoter,
               Instant aNow)
{
  MemberStatus status{ aHost, MemberStanding::Leader, std::nullopt };
  if (aHost == aState.leader_) {
    return status;
  }
  if (!IsLeader(aState)) {
    status.standing_ = JudgeByOwnLog(aState, aHost, aVoter);
    return status;
  }
  status.standing_ = aVoter ? JudgeVoter(aState, aHost, aNow)
                            : JudgeLearner(aState, aHost, aNow);
  status.silence_ = ComputeSilence(aState, aHost, aNow);
  return status;
}

int
Count(const std::vector<MemberStatus>& aMembers, MemberStanding aStanding)
{
  return static_cast<int>(
    std::ranges::count(aMembers, aStanding, &MemberStatus::standing_));
}

//! The standing of one set of voters.
QuorumStanding
JudgeVoterSet(const std::vector<MemberStatus>& aMembers,
              const HostList& aVoters)
{
  QuorumStanding quorum;
  quorum.voters_ = aVoters.size();
  quorum.quorumSize_ = static_cast<int>(QuorumSize(aVoters.size()));
  // A leader that a change removes leads until the change is committed.
  quorum.countingVoters_ = static_cast<int>(
    std::ranges::count_if(aMembers, [&](const MemberStatus& aStatus) {
      const bool counts = aStatus.standing_ == MemberStanding::CountingVoter ||
                          aStatus.standing_ == MemberStanding::Leader;
      return counts &&
             std::ranges::find(aVoters, aStatus.host_) != aVoters.end();
    }));
  quorum.mayLose_ = quorum.countingVoters_ - quorum.quorumSize_;
  return quorum;
}

//! During a change of members, the totals are those of the set of voters of
//! which the fewest may be lost.
QuorumStanding
SumUp(const ConsensusState& aState, const std::vector<MemberStatus>& aMembers)
{
  std::vector<QuorumStanding> sets;
  ForEachVoterSet(Members(aState), [&](const HostList& aVoters) {
    sets.push_back(JudgeVoterSet(aMembers, aVoters));
  });
  QuorumStanding quorum =
    *std::ranges::min_element(sets, {}, &QuorumStanding::mayLose_);
  quorum.caughtUpLearners_ = Count(aMembers, MemberStanding::CaughtUpLearner);
  quorum.settled_ = Count(aMembers, MemberStanding::Voter) == 0;
  return quorum;
}

} // namespace

MembersOverview
DescribeMembers(const ConsensusState& aState, foundation::Instant aNow)
{
  MembersOverview overview;
  overview.leader_ = aState.leader_;
  overview.recovering_ = IsRecovering(aState);
  const wire::MemberChange& members = Members(aState);
  for (const HostId& host : members.voters()) {
    overview.members_.push_back(DescribeMember(aState, host, true, aNow));
  }
  for (const HostId& host : members.learners()) {
    overview.members_.push_back(
      DescribeMember(aState, host, IsVoter(members, host), aNow));
  }
  if (IsLeader(aState)) {
    overview.quorum_ = SumUp(aState, overview.members_);
  }
  return overview;
}

std::string_view
StandingName(MemberStanding aStanding)
{
  switch (aStanding) {
    case MemberStanding::Leader:
      return "leader";
    case MemberStanding::CountingVoter:
      return "voter-counts";
    case MemberStanding::RecoveringVoter:
      return "voter-recovering";
    case MemberStanding::SilentVoter:
      return "voter-silent";
    case MemberStanding::Voter:
      return "voter";
    case MemberStanding::CaughtUpLearner:
      return "learner-caught-up";
    case MemberStanding::LaggingLearner:
      return "learner-lagging";
    case MemberStanding::SilentLearner:
      return "learner-silent";
    case MemberStanding::Learner:
      return "learner";
  }
  return "unknown";
}

bool
IsVoterStanding(MemberStanding aStanding)
{
  switch (aStanding) {
    case MemberStanding::Leader:
    case MemberStanding::CountingVoter:
    case MemberStanding::RecoveringVoter:
    case MemberStanding::SilentVoter:
    case MemberStanding::Voter:
      return true;
    case MemberStanding::CaughtUpLearner:
    case MemberStanding::LaggingLearner:
    case MemberStanding::SilentLearner:
    case MemberStanding::Learner:
      return false;
  }
  return false;
}

} // namespace wigeonlb::core::consensus
