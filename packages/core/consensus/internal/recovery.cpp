#include "core/consensus/internal/recovery.h"

#include <algorithm>

#include "core/consensus/internal/memberchange.h"
#include "core/consensus/internal/replication.h"

namespace wigeonlb::core::consensus {

namespace {

// True if this member has never taken part in a term.
bool
HasNoHistory(const ConsensusState& aState)
{
  return aState.hardState_.term() == 0 && LastIndex(aState.log_) == 0;
}

// True if all other founders have recently reported an empty history, so that
// founding the cluster loses no data.
bool
AreFoundersWithoutHistory(const ConsensusState& aState,
                          foundation::Instant aNow)
{
  const foundation::Instant oldest =
    aNow - 2 * aState.settings_.electionTimeoutMax_;
  return std::ranges::all_of(
    aState.settings_.founders_, [&](const foundation::HostId& aHost) {
      const auto found = aState.foundersWithoutHistory_.find(aHost);
      return aHost == aState.settings_.self_ ||
             (found != aState.foundersWithoutHistory_.end() &&
              found->second >= oldest);
    });
}

void
CompleteFoundingIfConfirmed(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  if (!IsFoundingPending(state) ||
      !AreFoundersWithoutHistory(state, aContext.now_)) {
    return;
  }
  state.hardState_.set_incarnation(0);
  state.hardState_.set_recovering(false);
  *state.hardState_.mutable_founders() = Members(state);
  state.foundersWithoutHistory_.clear();
  aContext.persistNeeded_ = true;
  ResetElectionTimer(aContext);
}

} // namespace

bool
IsFoundingPending(const ConsensusState& aState)
{
  const auto& founders = aState.settings_.founders_;
  return aState.hardState_.recovering() && HasNoHistory(aState) &&
         std::ranges::find(founders, aState.settings_.self_) != founders.end();
}

void
QueryFounderHistories(StepContext& aContext)
{
  ConsensusState& state = aContext.state_;
  if (!IsFoundingPending(state) || aContext.now_ < state.historyQueryDue_) {
    return;
  }
  state.historyQueryDue_ = aContext.now_ + state.settings_.heartbeatInterval_;
  for (const foundation::HostId& host : state.settings_.founders_) {
    if (host == state.settings_.self_) {
      continue;
    }
    wire::ConsensusMessage message = NewMessage(state, host);
    message.mutable_past_query()->set_nonce(state.hardState_.incarnation());
    Send(aContext, std::move(message));
  }
  CompleteFoundingIfConfirmed(aContext);
}

void
ReadmitIfCaughtUp(StepContext& aContext, const foundation::HostId& aHost)
{
  ConsensusState& state = aContext.state_;
  const Progress& progress = state.progress_[aHost];
  if (!progress.recovering_ || !IsVoter(Members(state), aHost) ||
      progress.incarnation_ == GetAdmittedIncarnation(Members(state), aHost) ||
      progress.match_ < progress.readmitAt_) {
    return;
  }
  wire::ControlRecord record;
  *record.mutable_members() = Members(state);
  if (IsValidChange(state, record.members(), aContext.now_)) {
    (*record.mutable_members()->mutable_incarnations())[aHost] =
      progress.incarnation_;
    ProposeRecord(aContext, record);
  }
}

void
HandlePastQuery(StepContext& aContext, const wire::ConsensusMessage& aMessage)
{
  wire::ConsensusMessage message = NewMessage(aContext.state_, aMessage.from());
  message.mutable_past_reply()->set_nonce(aMessage.past_query().nonce());
  message.mutable_past_reply()->set_no_past(HasNoHistory(aContext.state_));
  Send(aContext, std::move(message));
}

void
HandlePastReply(StepContext& aContext, const wire::ConsensusMessage& aMessage)
{
  ConsensusState& state = aContext.state_;
  const wire::PastReply& reply = aMessage.past_reply();
  if (!IsFoundingPending(state) ||
      reply.nonce() != state.hardState_.incarnation()) {
    return;
  }
  if (!reply.no_past()) {
    state.foundersWithoutHistory_.erase(aMessage.from());
    return;
  }
  state.foundersWithoutHistory_[aMessage.from()] = aContext.now_;
  CompleteFoundingIfConfirmed(aContext);
}

} // namespace wigeonlb::core::consensus
