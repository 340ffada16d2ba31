#include "core/consensus/internal/election.h"

#include <algorithm>

#include "core/consensus/internal/quorum.h"
#include "core/consensus/internal/replication.h"

namespace wigeonlb::core::consensus {

namespace {

void
RequestVotes(StepContext& aContext, bool aPreVote)
{
  ConsensusState& state = aContext.state_;
  state.votes_ = { state.settings_.self_ };
  for (const foundation::HostId& host : OtherMembers(state)) {
    if (!IsVoter(Members(state), host)) {
      continue;
    }
    wire::ConsensusMessage message = NewMessage(state, host);
    message.set_term(state.hardState_.term() + (aPreVote ? 1 : 0));
    wire::VoteRequest& request = *message.mutable_vote_request();
    request.set_pre_vote(aPreVote);
    request.set_last_index(LastIndex(state.log_));
    request.set_last_term(LastTerm(state.log_));
    request.set_added_incarnation(GetVotingIncarnation(state.log_, host));
    if (const auto change = FindAddingChange(state.log_, host)) {
      request.set_added_index(change->index_);
      request.set_before_index(change->beforeIndex_);
    }
    Send(aContext, std::move(message));
  }
}

void
StartElection(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  RaiseTerm(aContext, state.hardState_.term() + 1);
  state.hardState_.set_vote(state.settings_.self_);
  state.role_ = Role::Candidate;
  RequestVotes(aContext, false);
}

bool
HasVoteQuorum(const ConsensusState& aState)
{
  return HasQuorum(Members(aState), [&](const foundation::HostId& aHost) {
    return aState.votes_.contains(aHost);
  });
}

void
CountVotes(StepContext& aContext)
{
  if (aContext.state_.role_ == Role::PreCandidate &&
      HasVoteQuorum(aContext.state_)) {
    StartElection(aContext);
  }
  if (aContext.state_.role_ == Role::Candidate &&
      HasVoteQuorum(aContext.state_)) {
    BecomeLeader(aContext);
  }
}

bool
IsUpToDate(const ReplicatedLog& aLog, const wire::VoteRequest& aRequest)
{
  if (aRequest.last_term() != LastTerm(aLog)) {
    return aRequest.last_term() > LastTerm(aLog);
  }
  return aRequest.last_index() >= LastIndex(aLog);
}

// Whether answers of this host may have counted for entries that the candidate
// lacks although its latest change adds the host: if the host was a voter after
// the committed change before that one, or no longer has the log since then.
bool
MayHaveCounted(const ConsensusState& aState, const wire::VoteRequest& aRequest)
{
  const ReplicatedLog& log = aState.log_;
  if (aRequest.added_index() <= log.baseIndex_) {
    return true;
  }
  return std::ranges::any_of(log.members_, [&](const auto& aItem) {
    const auto& [index, members] = aItem;
    return index > aRequest.before_index() &&
           IsVoter(members, aState.settings_.self_);
  });
}

// Whether each committed entry of this log is in the candidate's, too, as far
// as this host's answers have committed it: consensus.md.
bool
MayLead(const ConsensusState& aState, const wire::VoteRequest& aRequest)
{
  const bool added =
    aRequest.added_index() > 0 && aState.settings_.guards_.addedVotes_;
  return IsUpToDate(aState.log_, aRequest) ||
         (added && !MayHaveCounted(aState, aRequest));
}

// Leader leases depend on this check: no vote is granted while a leader may
// hold a lease.
bool
HasRecentLeaderContact(const StepContext& aContext)
{
  const ConsensusState& state = aContext.state_;
  return state.role_ == Role::Leader ||
         aContext.now_ <
           state.lastLeaderContact_ + state.settings_.electionTimeoutMin_;
}

void
ReplyToVote(StepContext& aContext,
            const wire::ConsensusMessage& aRequest,
            bool aGranted)
{
  wire::ConsensusMessage message = NewMessage(aContext.state_, aRequest.from());
  const bool preVote = aRequest.vote_request().pre_vote();
  if (preVote && aGranted) {
    message.set_term(aRequest.term());
  }
  message.mutable_vote_reply()->set_pre_vote(preVote);
  message.mutable_vote_reply()->set_granted(aGranted);
  Send(aContext, std::move(message));
}

bool
GrantVote(StepContext& aContext, const wire::ConsensusMessage& aMessage)
{
  ConsensusState& state = aContext.state_;
  const wire::VoteRequest& request = aMessage.vote_request();
  if (request.pre_vote()) {
    return aMessage.term() > state.hardState_.term() && MayLead(state, request);
  }
  if (aMessage.term() > state.hardState_.term()) {
    BecomeFollower(aContext, aMessage.term(), "");
  }
  const std::string& vote = state.hardState_.vote();
  if (aMessage.term() < state.hardState_.term() ||
      (!vote.empty() && vote != aMessage.from()) || !MayLead(state, request)) {
    return false;
  }
  state.hardState_.set_vote(aMessage.from());
  aContext.persistNeeded_ = true;
  ResetElectionTimer(aContext);
  return true;
}

} // namespace

bool
MayStartElection(const ConsensusState& aState)
{
  // A member that an uncommitted change removes may be the only one that the
  // other voters can elect.
  const foundation::HostId& self = aState.settings_.self_;
  return aState.role_ != Role::Failed && !aState.hardState_.recovering() &&
         (IsVoter(Members(aState), self) ||
          IsVoter(MembersAt(aState.log_, aState.commitIndex_), self));
}

void
StartPreVote(StepContext& aContext)
{
  aContext.state_.role_ = Role::PreCandidate;
  aContext.state_.leader_.clear();
  // Retry soon: another voter may refuse only because its last contact with the
  // leader was slightly later than this host's.
  SchedulePreVote(aContext, aContext.state_.settings_.preVoteInterval_);
  RequestVotes(aContext, true);
  CountVotes(aContext);
}

void
HandleVoteRequest(StepContext& aContext, const wire::ConsensusMessage& aMessage)
{
  // This host may be a voter in the candidate's log but not yet in its own.
  const wire::HardState& own = aContext.state_.hardState_;
  const bool added =
    aMessage.vote_request().added_incarnation() == own.incarnation();
  const bool refuses =
    (own.recovering() && !added) || HasRecentLeaderContact(aContext);
  ReplyToVote(aContext, aMessage, !refuses && GrantVote(aContext, aMessage));
}

void
HandleVoteReply(StepContext& aContext, const wire::ConsensusMessage& aMessage)
{
  ConsensusState& state = aContext.state_;
  const wire::VoteReply& reply = aMessage.vote_reply();
  const std::uint64_t term = state.hardState_.term();
  if (!reply.granted()) {
    if (aMessage.term() > term) {
      BecomeFollower(aContext, aMessage.term(), "");
    }
    return;
  }
  const Role role = reply.pre_vote() ? Role::PreCandidate : Role::Candidate;
  const std::uint64_t expected = term + (reply.pre_vote() ? 1 : 0);
  // A vote of an earlier incarnation of the voter is ignored.
  if (state.role_ != role || aMessage.term() != expected ||
      (aMessage.recovering() &&
       GetVotingIncarnation(state.log_, aMessage.from()) == 0) ||
      aMessage.incarnation() !=
        GetAdmittedIncarnation(Members(state), aMessage.from())) {
    return;
  }
  state.votes_.insert(aMessage.from());
  CountVotes(aContext);
}

} // namespace wigeonlb::core::consensus
