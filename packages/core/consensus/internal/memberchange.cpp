#include "core/consensus/internal/memberchange.h"

#include <algorithm>

#include "core/consensus/internal/quorum.h"
#include "core/consensus/internal/replication.h"

namespace wigeonlb::core::consensus {

ChangeRefusal
CheckAddedHost(const ConsensusState& aState,
               const foundation::HostId& aHost,
               foundation::Instant aNow)
{
  if (!HasAnsweredRecently(aState, aHost, aNow)) {
    return ChangeRefusal::AddedHostSilent;
  }
  const Progress& progress = aState.progress_.at(aHost);
  if (progress.leaving_) {
    return ChangeRefusal::AddedHostSilent;
  }
  // A voter that lacks the log can't acknowledge entries until it has them.
  return progress.match_ < aState.commitIndex_ ? ChangeRefusal::AddedHostBehind
                                               : ChangeRefusal::None;
}

bool
ReplacesVoters(const ConsensusState& aState, foundation::Instant aNow)
{
  if (IsJoint(Members(aState)) ||
      aState.log_.members_.back().first > aState.commitIndex_) {
    return true;
  }
  return std::ranges::any_of(
    Members(aState).learners(), [&](const foundation::HostId& aHost) {
      return CheckAddedHost(aState, aHost, aNow) == ChangeRefusal::None;
    });
}

namespace {

// True if a quorum counts and has answered recently.
bool
CanCommit(const ConsensusState& aState,
          const wire::MemberChange& aMembers,
          foundation::Instant aNow)
{
  return HasQuorum(aMembers, [&](const foundation::HostId& aHost) {
    return aHost == aState.settings_.self_ ||
           (CountsForQuorum(aState, aHost) &&
            HasAnsweredRecently(aState, aHost, aNow));
  });
}

// True if all voters that the change keeps or adds count quorums of outgoing
// voters, as they have told this leader. One that it removes need not: its own
// vote is missing from any quorum that it could be elected by wrongly.
bool
SupportsJointQuorums(const ConsensusState& aState,
                     const wire::MemberChange& aChange)
{
  return std::ranges::all_of(
    aChange.voters(), [&](const foundation::HostId& aHost) {
      const auto progress = aState.progress_.find(aHost);
      return aHost == aState.settings_.self_ ||
             (progress != aState.progress_.end() &&
              progress->second.jointQuorums_);
    });
}

// Whether the change has the form of a step, given the voters that it adds and
// removes: one voter at most, or the voters before are the outgoing ones.
bool
IsOneStep(const ConsensusState& aState,
          const wire::MemberChange& aChange,
          std::size_t aDifference)
{
  if (!IsJoint(aChange)) {
    return aDifference <= 1;
  }
  const std::set<std::string> outgoing(aChange.outgoing_voters().begin(),
                                       aChange.outgoing_voters().end());
  const auto& before = Members(aState).voters();
  return outgoing == std::set<std::string>(before.begin(), before.end());
}

} // namespace

ChangeRefusal
CheckChange(const ConsensusState& aState,
            const wire::MemberChange& aChange,
            foundation::Instant aNow)
{
  if (!HasCommittedOwnTerm(aState) || IsJoint(Members(aState)) ||
      aState.log_.members_.back().first > aState.commitIndex_) {
    return ChangeRefusal::EarlierUncommitted;
  }
  const std::set<std::string> before(Members(aState).voters().begin(),
                                     Members(aState).voters().end());
  const std::set<std::string> after(aChange.voters().begin(),
                                    aChange.voters().end());
  std::vector<std::string> difference;
  std::ranges::set_symmetric_difference(
    before, after, std::back_inserter(difference));
  if (after.empty() || !IsOneStep(aState, aChange, difference.size()) ||
      after.size() != static_cast<std::size_t>(aChange.voters_size())) {
    return ChangeRefusal::NotOneStep;
  }
  if (IsJoint(aChange) && !SupportsJointQuorums(aState, aChange)) {
    return ChangeRefusal::EarlierVersion;
  }
  auto refusal = ChangeRefusal::None;
  for (const std::string& host : difference) {
    const bool added = after.contains(host);
    refusal = std::max(refusal,
                       added ? CheckAddedHost(aState, host, aNow)
                             : ChangeRefusal::None);
  }
  if (refusal != ChangeRefusal::None) {
    return refusal;
  }
  return CanCommit(aState, aChange, aNow) ? ChangeRefusal::None
                                          : ChangeRefusal::NoQuorum;
}

bool
IsValidChange(const ConsensusState& aState,
              const wire::MemberChange& aChange,
              foundation::Instant aNow)
{
  return CheckChange(aState, aChange, aNow) == ChangeRefusal::None;
}

} // namespace wigeonlb::core::consensus
