#include "core/consensus/internal/stepcontext.h"

#include <algorithm>

namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;

// True if the current incarnation of this host is a voter in aMembers.
bool
Admits(const wire::MemberChange& aMembers, const ConsensusState& aState)
{
  const HostId& self = aState.settings_.self_;
  const auto named = aMembers.incarnations().find(self);
  return IsVoter(aMembers, self) && named != aMembers.incarnations().end() &&
         named->second == aState.hardState_.incarnation();
}

void
RequestSnapshot(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  const ReplicatedLog& log = state.log_;
  const std::uint64_t snapshot = SnapshotIndex(log);
  const std::size_t stateBytes =
    log.snapshot_ ? log.snapshot_->bytes_.size() : 0;
  const std::size_t enoughBytes =
    std::max(state.settings_.snapshotIntervalBytes_, stateBytes);
  const bool due =
    state.commitIndex_ - snapshot >= state.settings_.snapshotIntervalEntries_ ||
    CountEntryBytes(log, snapshot, state.commitIndex_) >= enoughBytes;
  if (state.snapshotRequested_ || !due) {
    return;
  }
  state.snapshotRequested_ = true;
  aContext.actions_.emplace_back(
    TakeSnapshot{ state.commitIndex_,
                  TermAt(state.log_, state.commitIndex_),
                  MembersAt(state.log_, state.commitIndex_) });
}

void
DecideProposal(StepContext& aContext, std::uint64_t aIndex)
{
  ConsensusState& state = aContext.state_;
  const auto token = state.proposalTokens_.find(aIndex);
  if (token == state.proposalTokens_.end()) {
    return;
  }
  aContext.actions_.emplace_back(ProposalDecided{
    token->second, ProposalOutcome::Committed, aIndex, state.leader_ });
  state.proposalTokens_.erase(token);
}

// Schedules the next election at a random time in the range of length aSpread
// that begins aEarliest from now.
void
ScheduleElection(StepContext& aContext,
                 foundation::Duration aEarliest,
                 foundation::Duration aSpread)
{
  ConsensusState& state = aContext.state_;
  const auto spread = std::max<foundation::Duration::rep>(aSpread.count(), 1);
  const foundation::Duration extra(state.random_() % spread);
  state.electionDue_ = aContext.now_ + aEarliest + extra;
}

} // namespace

wire::ConsensusMessage
NewMessage(const ConsensusState& aState, const foundation::HostId& aTo)
{
  wire::ConsensusMessage message;
  message.set_from(aState.settings_.self_);
  message.set_to(aTo);
  message.set_term(aState.hardState_.term());
  message.set_incarnation(aState.hardState_.incarnation());
  message.set_recovering(aState.hardState_.recovering());
  message.set_joint_quorums(true);
  message.set_leaving(aState.leaving_);
  return message;
}

void
Send(StepContext& aContext, wire::ConsensusMessage aMessage)
{
  aContext.actions_.emplace_back(SendMessage{ std::move(aMessage) });
}

std::vector<foundation::HostId>
OtherMembers(const ConsensusState& aState)
{
  std::vector<foundation::HostId> others;
  const wire::MemberChange& members = Members(aState);
  for (const auto* hosts : { &members.voters(), &members.learners() }) {
    for (const foundation::HostId& host : *hosts) {
      if (host != aState.settings_.self_) {
        others.push_back(host);
      }
    }
  }
  return others;
}

void
ResetElectionTimer(StepContext& aContext)
{
  const ConsensusSettings& settings = aContext.state_.settings_;
  ScheduleElection(aContext,
                   settings.electionTimeoutMin_,
                   settings.electionTimeoutMax_ - settings.electionTimeoutMin_);
}

void
SchedulePreVote(StepContext& aContext, foundation::Duration aEarliest)
{
  ScheduleElection(
    aContext, aEarliest, aContext.state_.settings_.preVoteInterval_);
}

void
RaiseTerm(StepContext& aContext, std::uint64_t aTerm)
{
  wire::HardState& hardState = aContext.state_.hardState_;
  if (aTerm <= hardState.term()) {
    return;
  }
  hardState.set_term(aTerm);
  hardState.clear_vote();
  aContext.persistNeeded_ = true;
}

void
BecomeFollower(StepContext& aContext,
               std::uint64_t aTerm,
               const foundation::HostId& aLeader)
{
  ConsensusState& state = aContext.state_;
  RaiseTerm(aContext, aTerm);
  if (state.role_ == Role::Leader) {
    // Work that was begun under this host's lease goes on until its end. The
    // host does not help another member to lead before.
    state.lastLeaderContact_ = aContext.now_;
    ResetElectionTimer(aContext);
    AbandonProposals(aContext);
  }
  state.role_ = Role::Follower;
  state.leader_ = aLeader;
  if (!aLeader.empty()) {
    state.formerLeader_ = aLeader;
  }
}

void
AbandonProposals(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  for (const auto& [index, token] : state.proposalTokens_) {
    aContext.actions_.emplace_back(
      ProposalDecided{ token, ProposalOutcome::Unknown, 0, "" });
  }
  state.proposalTokens_.clear();
}

void
AppendEntry(StepContext& aContext, const wire::ConsensusEntry& aEntry)
{
  Append(aContext.state_.log_, aEntry);
  aContext.persist_.entries_.push_back(aEntry);
  aContext.persistNeeded_ = true;
}

void
AdvanceCommit(StepContext& aContext, std::uint64_t aIndex)
{
  ConsensusState& state = aContext.state_;
  if (aIndex <= state.commitIndex_) {
    return;
  }
  while (state.commitIndex_ < aIndex) {
    ++state.commitIndex_;
    aContext.actions_.emplace_back(
      Apply{ EntryAt(state.log_, state.commitIndex_) });
    DecideProposal(aContext, state.commitIndex_);
  }
  AfterCommit(aContext);
}

// consensus.md explains why an uncommitted change that adds this host is enough
// to end recovery.
void
EndRecovery(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  if (!state.hardState_.recovering() ||
      (!Admits(MembersAt(state.log_, state.commitIndex_), state) &&
       GetVotingIncarnation(state.log_, state.settings_.self_) !=
         state.hardState_.incarnation())) {
    return;
  }
  state.hardState_.set_recovering(false);
  aContext.persistNeeded_ = true;
  ResetElectionTimer(aContext);
}

void
AfterCommit(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  EndRecovery(aContext);
  RequestSnapshot(aContext);
  const bool removed =
    !IsVoter(MembersAt(state.log_, state.commitIndex_), state.settings_.self_);
  if (state.role_ == Role::Leader && removed) {
    BecomeFollower(aContext, state.hardState_.term(), "");
  }
}

} // namespace wigeonlb::core::consensus
