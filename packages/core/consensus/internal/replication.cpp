#include "core/consensus/internal/replication.h"

#include <algorithm>

#include "core/consensus/internal/memberchange.h"
#include "core/consensus/internal/quorum.h"
#include "core/consensus/internal/recovery.h"
#include "core/consensus/internal/snapshottransfer.h"

namespace wigeonlb::core::consensus {

bool
CountsForQuorum(const ConsensusState& aState, const foundation::HostId& aHost)
{
  if (aHost == aState.settings_.self_) {
    return true;
  }
  const auto progress = aState.progress_.find(aHost);
  return progress != aState.progress_.end() && !progress->second.recovering_ &&
         progress->second.incarnation_ ==
           GetAdmittedIncarnation(Members(aState), aHost);
}

namespace {

// The highest value that a quorum has reached. Voters that do not count for
// quorums have the value aNone.
template<typename Value, typename Read>
Value
QuorumValue(const ConsensusState& aState, Value aNone, Read aRead)
{
  return ComputeQuorumValue<Value>(
    Members(aState), [&](const foundation::HostId& aHost) {
      return CountsForQuorum(aState, aHost) ? aRead(aHost) : aNone;
    });
}

// Completes a committed change of members: from now on quorums of the new
// voters suffice.
void
CompleteMemberChange(StepContext& aContext)
{
  const ConsensusState& state = aContext.state_;
  const bool committed =
    state.log_.members_.back().first <= state.commitIndex_ &&
    HasCommittedOwnTerm(state);
  if (state.role_ != Role::Leader || !IsJoint(Members(state)) || !committed) {
    return;
  }
  wire::ControlRecord record;
  *record.mutable_members() = Members(state);
  record.mutable_members()->clear_outgoing_voters();
  ProposeRecord(aContext, record);
}

void
Commit(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  const std::uint64_t index = QuorumValue(
    state, std::uint64_t{ 0 }, [&](const foundation::HostId& aHost) {
      return aHost == state.settings_.self_ ? LastIndex(state.log_)
                                            : state.progress_[aHost].match_;
    });
  // Entries of earlier terms are committed only through an entry of this term.
  if (index > state.commitIndex_ &&
      TermAt(state.log_, index) == state.hardState_.term()) {
    AdvanceCommit(aContext, index);
    CompleteMemberChange(aContext);
  }
}

} // namespace

bool
HasAnsweredRecently(const ConsensusState& aState,
                    const foundation::HostId& aHost,
                    foundation::Instant aNow)
{
  const auto progress = aState.progress_.find(aHost);
  return progress != aState.progress_.end() &&
         progress->second.answeredSentAt_ >=
           aNow - aState.settings_.electionTimeoutMax_;
}

foundation::Duration
ComputeSilence(const ConsensusState& aState,
               const foundation::HostId& aHost,
               foundation::Instant aNow)
{
  const auto progress = aState.progress_.find(aHost);
  foundation::Instant since = aState.leadingSince_;
  if (progress != aState.progress_.end()) {
    since = std::max(since, progress->second.answeredSentAt_.value_or(since));
  }
  return aNow - since;
}

namespace {

void
FillEntries(const ConsensusState& aState,
            std::uint64_t aFrom,
            wire::AppendRequest& aRequest)
{
  std::size_t bytes = 0;
  for (std::uint64_t i = aFrom; i <= LastIndex(aState.log_); ++i) {
    const wire::ConsensusEntry& entry = EntryAt(aState.log_, i);
    bytes += entry.ByteSizeLong();
    const auto count = static_cast<std::size_t>(aRequest.entries_size());
    if (count == aState.settings_.batchEntries_ ||
        (count > 0 && bytes > aState.settings_.batchBytes_)) {
      return;
    }
    *aRequest.add_entries() = entry;
  }
}

wire::ConsensusEntry
NextEntry(const ConsensusState& aState)
{
  wire::ConsensusEntry entry;
  entry.set_index(LastIndex(aState.log_) + 1);
  entry.set_term(aState.hardState_.term());
  return entry;
}

// Appends the new entries of a request and replaces conflicting ones. Returns
// false if the request conflicts with committed entries, which a valid leader
// never sends.
bool
AcceptEntries(StepContext& aContext, const wire::AppendRequest& aRequest)
{
  ConsensusState& state = aContext.state_;
  for (const wire::ConsensusEntry& entry : aRequest.entries()) {
    const std::uint64_t index = entry.index();
    if (index <= state.log_.baseIndex_ ||
        HasEntry(state.log_, index, entry.term())) {
      continue;
    }
    if (index <= state.commitIndex_) {
      return false;
    }
    if (index <= LastIndex(state.log_)) {
      TruncateFrom(state.log_, index);
      aContext.persist_.truncateFrom_ = index;
    }
    AppendEntry(aContext, entry);
  }
  return true;
}

// The highest index at which this log may match the leader's.
std::uint64_t
AgreementHint(const ConsensusState& aState, std::uint64_t aPrevious)
{
  const ReplicatedLog& log = aState.log_;
  if (aPrevious > LastIndex(log)) {
    return LastIndex(log);
  }
  const std::uint64_t term = TermAt(log, aPrevious);
  std::uint64_t index = aPrevious;
  while (index > aState.commitIndex_ && TermAt(log, index) == term) {
    --index;
  }
  return index;
}

} // namespace

void
BecomeLeader(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  state.role_ = Role::Leader;
  state.leader_ = state.settings_.self_;
  state.leadingSince_ = aContext.now_;
  state.lastLeaderTick_ = aContext.now_;
  state.quorumContact_ = aContext.now_;
  state.quorumSilence_ = foundation::Duration(0);
  state.progress_.clear();
  // Most members already have the whole log. One that lacks entries rejects the
  // request, and next_ is lowered then.
  for (const foundation::HostId& host : OtherMembers(state)) {
    state.progress_[host].next_ = LastIndex(state.log_) + 1;
  }
  // A quorum has voted, and none of it has heard of the former leader for the
  // shortest election timeout.
  const auto former = state.progress_.find(state.formerLeader_);
  if (former != state.progress_.end()) {
    former->second.unansweredRounds_ = static_cast<int>(
      state.settings_.electionTimeoutMin_ / state.settings_.heartbeatInterval_);
  }
  state.incoming_.reset();
  state.heartbeatDue_ = aContext.now_ + state.settings_.heartbeatInterval_;
  ProposeRecord(aContext, wire::ControlRecord());
}

std::uint64_t
ProposeRecord(StepContext& aContext, const wire::ControlRecord& aRecord)
{
  wire::ConsensusEntry entry = NextEntry(aContext.state_);
  if (aRecord.record_case() != wire::ControlRecord::RECORD_NOT_SET) {
    *entry.mutable_record() = aRecord;
  }
  AppendEntry(aContext, entry);
  for (const foundation::HostId& host : OtherMembers(aContext.state_)) {
    if (!aContext.state_.progress_[host].inFlightSince_) {
      SendUpdate(aContext, host);
    }
  }
  Commit(aContext);
  return entry.index();
}

namespace {

//! A request without entries, after the last one that the member may have.
wire::ConsensusMessage
MakeHeartbeat(const StepContext& aContext,
              const foundation::HostId& aHost,
              const Progress& aProgress)
{
  const ConsensusState& state = aContext.state_;
  wire::ConsensusMessage message = NewMessage(state, aHost);
  wire::AppendRequest& request = *message.mutable_append_request();
  request.set_previous_index(aProgress.next_ - 1);
  request.set_previous_term(TermAt(state.log_, aProgress.next_ - 1));
  request.set_commit_index(state.commitIndex_);
  request.set_round(aContext.now_.time_since_epoch().count());
  request.set_replaces_voters(ReplacesVoters(state, aContext.now_));
  return message;
}

} // namespace

void
SendUpdate(StepContext& aContext, const foundation::HostId& aHost)
{
  ConsensusState& state = aContext.state_;
  const auto [found, inserted] = state.progress_.try_emplace(aHost);
  Progress& progress = found->second;
  if (inserted) {
    progress.next_ = LastIndex(state.log_) + 1;
  }
  progress.inFlightSince_ = aContext.now_;
  if (progress.next_ <= state.log_.baseIndex_) {
    const std::size_t bytes = state.settings_.snapshotChunkBytes_;
    SendSnapshotPart(aContext, aHost, progress, bytes);
    return;
  }
  progress.snapshot_.reset();
  wire::ConsensusMessage message = MakeHeartbeat(aContext, aHost, progress);
  FillEntries(state, progress.next_, *message.mutable_append_request());
  Send(aContext, std::move(message));
}

namespace {

//! Sends a request without content while another one is in flight, so that a
//! member that is held up is sent each entry once. If the one in flight is
//! lost, it is sent again after the answer to this one.
void
SendHeartbeat(StepContext& aContext,
              const foundation::HostId& aHost,
              Progress& aProgress)
{
  if (aProgress.next_ <= aContext.state_.log_.baseIndex_) {
    SendSnapshotPart(aContext, aHost, aProgress, 0);
    return;
  }
  Send(aContext, MakeHeartbeat(aContext, aHost, aProgress));
}

} // namespace

void
BroadcastUpdates(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  state.heartbeatDue_ = aContext.now_ + state.settings_.heartbeatInterval_;
  for (const foundation::HostId& host : OtherMembers(state)) {
    const auto found = state.progress_.find(host);
    if (found != state.progress_.end() && found->second.inFlightSince_) {
      SendHeartbeat(aContext, host, found->second);
    } else {
      SendUpdate(aContext, host);
    }
    ++state.progress_[host].unansweredRounds_;
  }
}

std::optional<foundation::Instant>
QuorumAnsweredSince(const ConsensusState& aState)
{
  using Answered = std::optional<foundation::Instant>;
  return QuorumValue(aState, Answered(), [&](const foundation::HostId& aHost) {
    return aHost == aState.settings_.self_
             ? Answered(foundation::Instant::max())
             : aState.progress_.at(aHost).answeredSentAt_;
  });
}

bool
HasCommittedOwnTerm(const ConsensusState& aState)
{
  return TermAt(aState.log_, aState.commitIndex_) == aState.hardState_.term();
}

Progress*
RecordAnswer(StepContext& aContext,
             const wire::ConsensusMessage& aMessage,
             std::uint64_t aRound)
{
  ConsensusState& state = aContext.state_;
  if (aMessage.term() > state.hardState_.term()) {
    BecomeFollower(aContext, aMessage.term(), "");
  }
  const auto found = state.progress_.find(aMessage.from());
  if (state.role_ != Role::Leader || found == state.progress_.end() ||
      aMessage.term() != state.hardState_.term()) {
    return nullptr;
  }
  Progress& progress = found->second;
  if (progress.incarnation_ != aMessage.incarnation()) {
    progress = Progress();
    progress.next_ = LastIndex(state.log_) + 1;
    progress.incarnation_ = aMessage.incarnation();
    progress.readmitAt_ = state.commitIndex_;
  }
  progress.recovering_ = aMessage.recovering();
  progress.jointQuorums_ = aMessage.joint_quorums();
  progress.leaving_ = aMessage.leaving();
  progress.unansweredRounds_ = 0;
  const foundation::Instant sentAt{ foundation::Duration(aRound) };
  progress.answeredSentAt_ = std::max(
    progress.answeredSentAt_, std::optional<foundation::Instant>(sentAt));
  // An answer to an earlier request says nothing of the one in flight.
  if (progress.inFlightSince_ && sentAt >= *progress.inFlightSince_) {
    progress.inFlightSince_.reset();
  }
  return &progress;
}

void
RecordMatch(StepContext& aContext,
            const foundation::HostId& aHost,
            std::uint64_t aIndex)
{
  ConsensusState& state = aContext.state_;
  Progress& progress = state.progress_[aHost];
  progress.match_ = std::max(progress.match_, aIndex);
  progress.next_ = std::max(progress.next_, progress.match_ + 1);
  Commit(aContext);
  if (state.role_ != Role::Leader) {
    return; // the committed change removed this host
  }
  ReadmitIfCaughtUp(aContext, aHost);
  if (progress.next_ <= LastIndex(state.log_) && !progress.inFlightSince_) {
    SendUpdate(aContext, aHost);
  }
}

void
HandleAppendRequest(StepContext& aContext,
                    const wire::ConsensusMessage& aMessage)
{
  ConsensusState& state = aContext.state_;
  const wire::AppendRequest& request = aMessage.append_request();
  wire::AppendReply reply;
  reply.set_round(request.round());
  state.leaderReplacesVoters_ = request.replaces_voters();
  const std::uint64_t previous = request.previous_index();
  const bool agrees = previous < state.log_.baseIndex_ ||
                      HasEntry(state.log_, previous, request.previous_term());
  if (agrees && AcceptEntries(aContext, request)) {
    const std::uint64_t match = previous + request.entries_size();
    reply.set_success(true);
    reply.set_match_index(match);
    EndRecovery(aContext);
    AdvanceCommit(aContext, std::min(match, request.commit_index()));
  } else {
    reply.set_match_index(AgreementHint(state, previous));
  }
  // Created last, so that it has the state after the request, such as the end
  // of recovery.
  wire::ConsensusMessage message = NewMessage(state, aMessage.from());
  *message.mutable_append_reply() = reply;
  Send(aContext, std::move(message));
}

void
HandleAppendReply(StepContext& aContext, const wire::ConsensusMessage& aMessage)
{
  const wire::AppendReply& reply = aMessage.append_reply();
  Progress* progress = RecordAnswer(aContext, aMessage, reply.round());
  if (!progress) {
    return;
  }
  if (reply.success()) {
    RecordMatch(aContext, aMessage.from(), reply.match_index());
    return;
  }
  if (progress->inFlightSince_) {
    return; // a late refusal
  }
  const std::uint64_t next =
    std::min(reply.match_index(), LastIndex(aContext.state_.log_)) + 1;
  progress->next_ = std::max(next, progress->match_ + 1);
  SendUpdate(aContext, aMessage.from());
}

} // namespace wigeonlb::core::consensus
