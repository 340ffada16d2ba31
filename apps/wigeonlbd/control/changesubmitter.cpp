#include "control/changesubmitter.h"

#include <algorithm>

#include "core/configuration/changeticket.h"

namespace wigeonlb::daemon::control {

namespace {

using foundation::Duration;
using foundation::SteadyNow;

constexpr Duration kGiveUpMs = std::chrono::milliseconds(5000);
constexpr Duration kResendMs = std::chrono::milliseconds(400);

} // namespace

ChangeSubmitter::ChangeSubmitter(foundation::HostId aSelf,
                                 std::vector<foundation::HostId> aMembers,
                                 ConsensusMember* aMember,
                                 PeerPort& aPort)
  : self_(std::move(aSelf))
  , members_(std::move(aMembers))
  , member_(aMember)
  , port_(aPort)
{
}

void
ChangeSubmitter::Submit(wire::ConfigurationChange aChange, ChangeDone aDone)
{
  const std::uint64_t request = nextRequest_++;
  Pending& pending = pending_[request];
  pending.change_ = std::move(aChange);
  pending.done_ = std::move(aDone);
  pending.giveUpAt_ = SteadyNow() + kGiveUpMs;
  Try(request, pending);
}

void
ChangeSubmitter::SetMembers(std::vector<foundation::HostId> aMembers)
{
  members_ = std::move(aMembers);
}

void
ChangeSubmitter::SetLeaderHint(const foundation::HostId& aLeader)
{
  leaderHint_ = aLeader;
}

foundation::HostId
ChangeSubmitter::NextMember(const Pending& aPending) const
{
  if (!leaderHint_.empty() && aPending.tries_ % 2 == 0) {
    return leaderHint_;
  }
  return members_[aPending.tries_ % members_.size()];
}

void
ChangeSubmitter::Try(std::uint64_t aRequest, Pending& aPending)
{
  if (members_.empty()) {
    aPending.nextTry_ = SteadyNow() + kResendMs;
    return; // no control member is known yet
  }
  const foundation::HostId member = NextMember(aPending);
  ++aPending.tries_;
  Send(member, aRequest, aPending);
}

void
ChangeSubmitter::Send(const foundation::HostId& aMember,
                      std::uint64_t aRequest,
                      Pending& aPending)
{
  aPending.nextTry_ = SteadyNow() + kResendMs;
  wire::PeerMessage message;
  auto& request = *message.mutable_change_request();
  request.set_request(aRequest);
  *request.mutable_change() = aPending.change_;
  if (aPending.ticket_) {
    ++aPending.unanswered_;
    *request.mutable_ticket() = *aPending.ticket_;
  }
  port_.SendControl(aMember, std::move(message));
}

void
ChangeSubmitter::OnTick()
{
  const foundation::Instant now = SteadyNow();
  for (auto item = pending_.begin(); item != pending_.end();) {
    Pending& pending = item->second;
    if (now >= pending.giveUpAt_) {
      const ChangeDone done = std::move(pending.done_);
      const ChangeOutcome end = pending.unanswered_ > 0
                                  ? ChangeOutcome::Unknown
                                  : ChangeOutcome::Undecided;
      item = pending_.erase(item);
      done(ChangeAnswer{ end, {} });
      continue;
    }
    if (now >= pending.nextTry_) {
      Try(item->first, pending);
    }
    ++item;
  }
}

foundation::Instant
ChangeSubmitter::NextDue() const
{
  auto due = foundation::Instant::max();
  for (const auto& [request, pending] : pending_) {
    due = std::min({ due, pending.giveUpAt_, pending.nextTry_ });
  }
  return due;
}

void
ChangeSubmitter::OnRequest(const foundation::HostId& aFrom,
                           const wire::ChangeRequest& aRequest)
{
  const Asker asker{ aFrom, aRequest.request(), aRequest.has_ticket() };
  // One that was cut off believes that it leads for a while longer than its
  // lease; what it logged then would end as unknown.
  const bool leads =
    member_ != nullptr && member_->IsReady() && member_->HoldsLease();
  const bool enough =
    leads && static_cast<std::size_t>(
               core::consensus::Members(member_->Consensus()).voters_size()) >=
               minVoters_;
  if (!enough) {
    wire::ChangeReply reply;
    reply.set_leader_hint(member_ == nullptr ? ""
                                             : member_->Consensus().leader_);
    Answer(asker, reply);
    return;
  }
  if (!MayPropose(aRequest)) {
    wire::ChangeReply reply;
    reply.set_leader_hint(self_);
    *reply.mutable_ticket() = core::configuration::IssueTicket(
      member_->Consensus().hardState_.term(), SteadyNow());
    Answer(asker, reply);
    return;
  }
  const std::uint64_t token = nextToken_++;
  askers_.emplace(token, asker);
  core::consensus::Propose proposal;
  *proposal.record_.mutable_change() = aRequest.change();
  proposal.token_ = token;
  member_->Feed(proposal);
}

bool
ChangeSubmitter::MayPropose(const wire::ChangeRequest& aRequest) const
{
  return aRequest.has_ticket() &&
         core::configuration::IsValid(aRequest.ticket(),
                                      member_->Consensus().hardState_.term(),
                                      SteadyNow());
}

void
ChangeSubmitter::OnApplied(std::uint64_t aIndex,
                           const core::configuration::ApplyResult& aResult)
{
  if (aResult.change_) {
    lastIndex_ = aIndex;
    lastResult_ = *aResult.change_;
  }
}

void
ChangeSubmitter::OnDecided(const core::consensus::ProposalDecided& aDecision)
{
  const auto found = askers_.find(aDecision.token_);
  if (found == askers_.end()) {
    return;
  }
  const Asker asker = found->second;
  askers_.erase(found);
  wire::ChangeReply reply;
  reply.set_leader_hint(aDecision.leaderHint_);
  if (aDecision.outcome_ == core::consensus::ProposalOutcome::Unknown) {
    return; // the asker resends with the same change id
  }
  if (aDecision.outcome_ == core::consensus::ProposalOutcome::Committed &&
      aDecision.index_ == lastIndex_) {
    reply.set_decided(true);
    *reply.mutable_result() = lastResult_;
  }
  Answer(asker, reply);
}

void
ChangeSubmitter::Answer(const Asker& aAsker, const wire::ChangeReply& aReply)
{
  wire::PeerMessage message;
  *message.mutable_change_reply() = aReply;
  message.mutable_change_reply()->set_request(aAsker.request_);
  message.mutable_change_reply()->set_had_ticket(aAsker.hadTicket_);
  port_.SendControl(aAsker.host_, std::move(message));
}

//! Notes an answer that decided nothing, and goes on with a ticket that it
//! brings.
void
ChangeSubmitter::TakeTicket(const wire::ChangeReply& aReply, Pending& aPending)
{
  if (aReply.had_ticket()) {
    --aPending.unanswered_;
  }
  if (aReply.has_ticket()) {
    aPending.ticket_ = aReply.ticket();
    Send(aReply.leader_hint(), aReply.request(), aPending);
  }
}

void
ChangeSubmitter::OnReply(const wire::ChangeReply& aReply)
{
  const auto found = pending_.find(aReply.request());
  if (found == pending_.end()) {
    return;
  }
  if (!aReply.decided()) {
    if (!aReply.leader_hint().empty()) {
      leaderHint_ = aReply.leader_hint();
    }
    TakeTicket(aReply, found->second);
    return; // else tried again by the tick
  }
  const ChangeDone done = std::move(found->second.done_);
  pending_.erase(found);
  done(ChangeAnswer{ ChangeOutcome::Decided, aReply.result() });
}

} // namespace wigeonlb::daemon::control
