#include "core/consensus/consensus.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "core/consensus/internal/election.h"
#include "core/consensus/internal/memberchange.h"
#include "core/consensus/internal/messagecheck.h"
#include "core/consensus/internal/recovery.h"
#include "core/consensus/internal/replication.h"
#include "core/consensus/internal/snapshottransfer.h"
#include "core/consensus/internal/stepcontext.h"
#include "wire/textfields.h"

namespace wigeonlb::core::consensus {

namespace {

using Body = wire::ConsensusMessage;

// Counts how long no quorum has answered this leader. Of a long pause between
// two ticks only a part counts: this host itself was held up, for example by
// its disk, and has not handled the answers that arrived meanwhile.
void
UpdateQuorumSilence(ConsensusState& aState, foundation::Instant aNow)
{
  const foundation::Instant contact =
    std::max(QuorumAnsweredSince(aState).value_or(aState.leadingSince_),
             aState.leadingSince_);
  const foundation::Duration longestPause =
    2 * aState.settings_.heartbeatInterval_;
  const foundation::Duration pause =
    std::min(aNow - aState.lastLeaderTick_, longestPause);
  const bool answered = contact > aState.quorumContact_;
  aState.quorumSilence_ =
    answered ? foundation::Duration(0) : aState.quorumSilence_ + pause;
  aState.quorumContact_ = contact;
  aState.lastLeaderTick_ = aNow;
}

void
HandleLeaderTick(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  UpdateQuorumSilence(state, aContext.now_);
  if (state.quorumSilence_ > state.settings_.electionTimeoutMax_) {
    BecomeFollower(aContext, state.hardState_.term(), "");
    return;
  }
  if (aContext.now_ >= state.heartbeatDue_) {
    BroadcastUpdates(aContext);
  }
}

void
Handle(StepContext& aContext, const Tick&)
{
  ConsensusState& state = aContext.state_;
  QueryFounderHistories(aContext);
  if (state.role_ == Role::Leader) {
    HandleLeaderTick(aContext);
    return;
  }
  if (aContext.now_ < state.electionDue_) {
    return;
  }
  if (MayStartElection(state)) {
    StartPreVote(aContext);
    return;
  }
  state.leader_.clear();
}

// Follows the leader that sent the message. Returns false if its term is lower
// than this member's.
bool
AcceptLeader(StepContext& aContext, const wire::ConsensusMessage& aMessage)
{
  ConsensusState& state = aContext.state_;
  if (aMessage.term() < state.hardState_.term()) {
    // The reply informs the sender of the higher term.
    wire::ConsensusMessage message = NewMessage(state, aMessage.from());
    message.mutable_append_reply();
    Send(aContext, std::move(message));
    return false;
  }
  BecomeFollower(aContext, aMessage.term(), aMessage.from());
  state.lastLeaderContact_ = aContext.now_;
  ResetElectionTimer(aContext);
  return true;
}

void
Handle(StepContext& aContext, const MessageReceived& aEvent)
{
  const wire::ConsensusMessage& message = aEvent.message_;
  if (message.to() != aContext.state_.settings_.self_ ||
      !IsWellFormed(aContext.state_, message, aContext.now_)) {
    return;
  }
  switch (message.body_case()) {
    case Body::kVoteRequest:
      return HandleVoteRequest(aContext, message);
    case Body::kVoteReply:
      return HandleVoteReply(aContext, message);
    case Body::kAppendRequest:
      if (AcceptLeader(aContext, message)) {
        HandleAppendRequest(aContext, message);
      }
      return;
    case Body::kAppendReply:
      return HandleAppendReply(aContext, message);
    case Body::kSnapshotRequest:
      if (AcceptLeader(aContext, message)) {
        HandleSnapshotRequest(aContext, message);
      }
      return;
    case Body::kSnapshotReply:
      return HandleSnapshotReply(aContext, message);
    case Body::kPastQuery:
      return HandlePastQuery(aContext, message);
    case Body::kPastReply:
      return HandlePastReply(aContext, message);
    case Body::BODY_NOT_SET:
      return;
  }
}

bool
IsMember(const wire::MemberChange& aMembers, const foundation::HostId& aHost)
{
  return IsVoter(aMembers, aHost) ||
         std::ranges::find(aMembers.learners(), aHost) !=
           aMembers.learners().end();
}

// Keeps the incarnations of members that stay and adds those of new voters.
void
FillIncarnations(const ConsensusState& aState, wire::MemberChange& aMembers)
{
  auto& incarnations = *aMembers.mutable_incarnations();
  incarnations.clear();
  for (const auto& [host, incarnation] : Members(aState).incarnations()) {
    if (IsMember(aMembers, host)) {
      incarnations[host] = incarnation;
    }
  }
  for (const foundation::HostId& host : aMembers.voters()) {
    const auto progress = aState.progress_.find(host);
    if (!IsVoter(Members(aState), host) && progress != aState.progress_.end()) {
      incarnations[host] = progress->second.incarnation_;
    }
  }
}

void
Handle(StepContext& aContext, const Propose& aEvent)
{
  ConsensusState& state = aContext.state_;
  const auto refuse = [&](ProposalOutcome aOutcome) {
    aContext.actions_.emplace_back(
      ProposalDecided{ aEvent.token_, aOutcome, 0, state.leader_ });
  };
  if (state.role_ != Role::Leader) {
    return refuse(ProposalOutcome::NotLeader);
  }
  // The followers could not read it, nor this member after a restart.
  if (!wire::HasValidText(aEvent.record_)) {
    return refuse(ProposalOutcome::Refused);
  }
  wire::ControlRecord record = aEvent.record_;
  if (record.has_members()) {
    if (!IsValidChange(state, record.members(), aContext.now_)) {
      return refuse(ProposalOutcome::Refused);
    }
    FillIncarnations(state, *record.mutable_members());
  }
  // The token is stored before the entry is appended, because a single voter
  // commits the entry at once.
  state.proposalTokens_[LastIndex(state.log_) + 1] = aEvent.token_;
  ProposeRecord(aContext, record);
}

void
Handle(StepContext& aContext, const SnapshotSaved& aEvent)
{
  ConsensusState& state = aContext.state_;
  state.snapshotRequested_ = false;
  Compact(state.log_,
          aEvent.snapshot_,
          state.settings_.retainedEntries_,
          state.settings_.retainedBytes_);
}

void
Handle(StepContext& aContext, const Leave&)
{
  aContext.state_.leaving_ = true;
}

void
Handle(StepContext& aContext, const StorageFailed&)
{
  ConsensusState& state = aContext.state_;
  AbandonProposals(aContext);
  state.role_ = Role::Failed;
  state.leader_.clear();
}

auto
GetLeadershipState(const ConsensusState& aState)
{
  return std::tuple(aState.role_,
                    aState.hardState_.term(),
                    aState.leader_,
                    aState.hardState_.recovering());
}

// Adds the hard state to an InstallSnapshot action. The hard state must not be
// written before the snapshot, because it may state that recovery has ended.
bool
CompleteInstall(StepContext& aContext)
{
  for (Action& action : aContext.actions_) {
    if (auto* install = std::get_if<InstallSnapshot>(&action)) {
      install->hardState_ = aContext.state_.hardState_;
      return true;
    }
  }
  return false;
}

// Emits Persist first, because the other actions may depend on it.
void
EmitActions(StepContext& aContext, std::vector<Action>& aActions)
{
  const bool first = aContext.state_.settings_.guards_.persistBeforeAnswer_;
  const bool persists = !CompleteInstall(aContext) && aContext.persistNeeded_;
  aContext.persist_.hardState_ = aContext.state_.hardState_;
  if (persists && first) {
    aActions.emplace_back(aContext.persist_);
  }
  std::ranges::move(aContext.actions_, std::back_inserter(aActions));
  if (persists && !first) {
    aActions.emplace_back(aContext.persist_);
  }
}

wire::MemberChange
FoundingMembers(const ConsensusSettings& aSettings)
{
  wire::MemberChange members;
  for (const foundation::HostId& host : aSettings.founders_) {
    members.add_voters(host);
  }
  for (const auto& [host, address] : aSettings.founderAddresses_) {
    (*members.mutable_addresses())[host] = address;
  }
  return members;
}

void
InitializeBlankDisk(ConsensusState& aState)
{
  if (!aState.settings_.guards_.recoveringAbstains_) {
    return;
  }
  // Zero is the incarnation of the founders.
  aState.hardState_.set_incarnation(aState.random_() | 1);
  aState.hardState_.set_recovering(true);
}

} // namespace

ConsensusState
MakeConsensusState(const ConsensusSettings& aSettings,
                   const std::optional<wire::HardState>& aHardState,
                   const wire::MemberSnapshot& aSnapshot,
                   std::span<const wire::ConsensusEntry> aEntries,
                   foundation::Instant aNow)
{
  ConsensusState state;
  state.settings_ = aSettings;
  state.random_.seed(aSettings.seed_);
  if (aHardState) {
    state.hardState_ = *aHardState;
  } else {
    InitializeBlankDisk(state);
  }
  if (aSnapshot.last_index() > 0) {
    ResetToSnapshot(state.log_, aSnapshot);
  } else {
    // The founders recorded at the founding take precedence, because the
    // settings may list other hosts by now.
    const auto& founders = state.hardState_.founders();
    state.log_.members_ = {
      { 0, founders.voters().empty() ? FoundingMembers(aSettings) : founders }
    };
  }
  for (const wire::ConsensusEntry& entry : aEntries) {
    if (entry.index() == LastIndex(state.log_) + 1) {
      Append(state.log_, entry);
    }
  }
  state.commitIndex_ = aSnapshot.last_index();
  // Granting a vote right after a restart could violate the lease of a leader
  // that this host followed before.
  state.lastLeaderContact_ = aNow;
  StepContext context{ state, aNow };
  SchedulePreVote(context, aSettings.electionTimeoutMin_);
  return state;
}

void
Step(ConsensusState& aState,
     const Event& aEvent,
     foundation::Instant aNow,
     std::vector<Action>& aActions)
{
  if (aState.role_ == Role::Failed) {
    return;
  }
  const auto before = GetLeadershipState(aState);
  StepContext context{ aState, aNow };
  std::visit([&](const auto& aKind) { Handle(context, aKind); }, aEvent);
  if (GetLeadershipState(aState) != before) {
    context.actions_.emplace(
      context.actions_.begin(),
      LeadershipChanged{ aState.role_,
                         aState.hardState_.term(),
                         aState.leader_,
                         aState.hardState_.recovering() });
  }
  EmitActions(context, aActions);
}

foundation::Instant
NextDue(const ConsensusState& aState)
{
  auto due = foundation::Instant::max();
  if (aState.role_ == Role::Failed) {
    return due;
  }
  if (IsFoundingPending(aState)) {
    due = aState.historyQueryDue_;
  }
  if (aState.role_ == Role::Leader) {
    return std::min(due, aState.heartbeatDue_);
  }
  // A member that may not start elections only has to detect the timeout of
  // its leader.
  const bool hasDeadline = MayStartElection(aState) || !aState.leader_.empty();
  return hasDeadline ? std::min(due, aState.electionDue_) : due;
}

bool
HoldsLease(const ConsensusState& aState, foundation::Instant aNow)
{
  return aNow < GetLeaseEnd(aState);
}

foundation::Instant
GetLeaseEnd(const ConsensusState& aState)
{
  if (aState.role_ != Role::Leader || !HasCommittedOwnTerm(aState)) {
    return foundation::Instant{};
  }
  const foundation::Instant since =
    QuorumAnsweredSince(aState).value_or(foundation::Instant{});
  const auto length = aState.settings_.leaseLength_;
  if (since > foundation::Instant::max() - length) {
    return foundation::Instant::max();
  }
  return since == foundation::Instant{} ? since : since + length;
}

bool
IsLeader(const ConsensusState& aState)
{
  return aState.role_ == Role::Leader;
}

bool
IsRecovering(const ConsensusState& aState)
{
  return aState.hardState_.recovering();
}

bool
MayLeave(const ConsensusState& aState, foundation::Instant aNow)
{
  const wire::MemberChange& committed =
    MembersAt(aState.log_, aState.commitIndex_);
  if (aState.role_ == Role::Failed ||
      !IsVoter(committed, aState.settings_.self_)) {
    return true;
  }
  if (aState.role_ == Role::Leader) {
    return !ReplacesVoters(aState, aNow);
  }
  return aState.leader_.empty() || !aState.leaderReplacesVoters_;
}

const wire::MemberChange&
Members(const ConsensusState& aState)
{
  return CurrentMembers(aState.log_);
}

} // namespace wigeonlb::core::consensus
