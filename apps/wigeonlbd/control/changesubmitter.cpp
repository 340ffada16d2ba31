#include "control/changesubmitter.h"

#include <algorithm>

#include "core/configuration/changeticket.h"
#include "core/consensus/memberplan.h"
#include "foundation/logging.h"
#include "wire/textfields.h"

namespace wigeonlb::daemon::control {

namespace {

using foundation::Duration;
using foundation::SteadyNow;

constexpr Duration kChangeTimeoutMs = std::chrono::milliseconds(5000);
constexpr Duration kResendIntervalMs = std::chrono::milliseconds(400);

} // namespace

ChangeSubmitter::ChangeSubmitter(foundation::HostId aSelf,
                                 std::uint64_t aBoot,
                                 std::vector<foundation::HostId> aMembers,
                                 ConsensusMember* aMember,
                                 PeerPort& aPort)
  : self_(std::move(aSelf))
  , boot_(aBoot)
  , members_(std::move(aMembers))
  , member_(aMember)
  , port_(aPort)
{
}

void
ChangeSubmitter::Submit(wire::ConfigurationChange aChange, ChangeDone aDone)
{
  if (!wire::HasValidText(aChange)) {
    ChangeAnswer answer{ ChangeOutcome::Decided, {} };
    answer.result_.set_message("the change contains text that is not UTF-8");
    aDone(answer);
    return;
  }
  const std::uint64_t request = nextRequest_++;
  Pending& pending = pending_[request];
  pending.change_ = std::move(aChange);
  pending.done_ = std::move(aDone);
  pending.deadline_ = SteadyNow() + kChangeTimeoutMs;
  Attempt(request, pending);
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

//! Alternates between the leader and the members that may relay to it.
foundation::HostId
ChangeSubmitter::ChooseMember(const Pending& aPending) const
{
  if (!leaderHint_.empty() && aPending.attempts_ % 2 == 0) {
    return leaderHint_;
  }
  std::vector<foundation::HostId> others;
  for (const foundation::HostId& member : members_) {
    if (member != self_ && member != leaderHint_) {
      others.push_back(member);
    }
  }
  const auto& choice = others.empty() ? members_ : others;
  const std::size_t turn =
    leaderHint_.empty() ? aPending.attempts_ : aPending.attempts_ / 2;
  return choice[turn % choice.size()];
}

void
ChangeSubmitter::Attempt(std::uint64_t aRequest, Pending& aPending)
{
  if (members_.empty()) {
    aPending.nextAttempt_ = SteadyNow() + kResendIntervalMs;
    return; // no control member is known yet
  }
  const foundation::HostId member = ChooseMember(aPending);
  ++aPending.attempts_;
  Send(member, aRequest, aPending);
}

void
ChangeSubmitter::Send(const foundation::HostId& aMember,
                      std::uint64_t aRequest,
                      Pending& aPending)
{
  aPending.nextAttempt_ = SteadyNow() + kResendIntervalMs;
  wire::PeerMessage message;
  auto& request = *message.mutable_change_request();
  request.set_request(aRequest);
  request.set_boot(boot_);
  *request.mutable_change() = aPending.change_;
  if (aPending.ticket_) {
    ++aPending.unresolved_;
    *request.mutable_ticket() = *aPending.ticket_;
  }
  request.set_relay(aMember != leaderHint_);
  port_.SendControl(aMember, std::move(message));
}

void
ChangeSubmitter::OnTick()
{
  const foundation::Instant now = SteadyNow();
  for (auto item = pending_.begin(); item != pending_.end();) {
    Pending& pending = item->second;
    if (now >= pending.deadline_) {
      const ChangeDone done = std::move(pending.done_);
      const ChangeOutcome end = pending.unresolved_ > 0
                                  ? ChangeOutcome::Unknown
                                  : ChangeOutcome::Undecided;
      item = pending_.erase(item);
      done(ChangeAnswer{ end, {} });
      continue;
    }
    if (now >= pending.nextAttempt_) {
      Attempt(item->first, pending);
    }
    ++item;
  }
  std::erase_if(relayed_, [now](const auto& aItem) {
    return now >= aItem.second.forgetAt_;
  });
}

foundation::Instant
ChangeSubmitter::NextDue() const
{
  auto due = foundation::Instant::max();
  for (const auto& [request, pending] : pending_) {
    due = std::min({ due, pending.deadline_, pending.nextAttempt_ });
  }
  return due;
}

void
ChangeSubmitter::OnRequest(const foundation::HostId& aFrom,
                           const wire::ChangeRequest& aRequest)
{
  const Requester requester{
    aFrom, aRequest.boot(), aRequest.request(), aRequest.has_ticket()
  };
  // An isolated leader considers itself the leader for some time after its
  // lease has expired. A change proposed then would end with outcome unknown.
  const bool leads =
    member_ != nullptr && member_->IsReady() && member_->HoldsLease();
  const bool enough =
    leads && core::consensus::HasWantedQuorum(
               core::consensus::Members(member_->Consensus()), minVoters_);
  if (!leads && Relay(requester, aRequest)) {
    return;
  }
  if (!enough) {
    wire::ChangeReply reply;
    reply.set_leader_hint(member_ == nullptr ? ""
                                             : member_->Consensus().leader_);
    Answer(requester, reply);
    return;
  }
  if (!MayPropose(aRequest)) {
    wire::ChangeReply reply;
    reply.set_leader_hint(self_);
    *reply.mutable_ticket() = core::configuration::IssueTicket(
      member_->Consensus().hardState_.term(), SteadyNow());
    Answer(requester, reply);
    return;
  }
  const std::uint64_t token = nextToken_++;
  requesters_.emplace(token, requester);
  core::consensus::Propose proposal;
  *proposal.record_.mutable_change() = aRequest.change();
  proposal.token_ = token;
  member_->Feed(proposal);
}

bool
ChangeSubmitter::Relay(const Requester& aRequester,
                       const wire::ChangeRequest& aRequest)
{
  if (!aRequest.relay() || member_ == nullptr) {
    return false;
  }
  const foundation::HostId& leader = member_->Consensus().leader_;
  if (leader.empty() || leader == self_ || leader == aRequester.host_) {
    return false;
  }
  const std::uint64_t number = nextRequest_++;
  relayed_[number] = { aRequester, SteadyNow() + kChangeTimeoutMs };
  wire::PeerMessage message;
  auto& request = *message.mutable_change_request();
  request = aRequest;
  request.set_request(number);
  request.set_boot(boot_);
  // Members that disagree about the leader must not send it in circles.
  request.set_relay(false);
  port_.SendControl(leader, std::move(message));
  return true;
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
  const auto found = requesters_.find(aDecision.token_);
  if (found == requesters_.end()) {
    return;
  }
  const Requester requester = found->second;
  requesters_.erase(found);
  wire::ChangeReply reply;
  reply.set_leader_hint(aDecision.leaderHint_);
  if (aDecision.outcome_ == core::consensus::ProposalOutcome::Unknown) {
    return; // the requester resends it with the same change id
  }
  if (aDecision.outcome_ == core::consensus::ProposalOutcome::Committed &&
      aDecision.index_ == lastIndex_) {
    reply.set_decided(true);
    *reply.mutable_result() = lastResult_;
    LogDecided(requester, aDecision.index_);
  }
  Answer(requester, reply);
}

//! Names the log entry that decided, so that an acknowledgement elsewhere can
//! be told from one that nobody decided on.
void
ChangeSubmitter::LogDecided(const Requester& aRequester,
                            std::uint64_t aIndex) const
{
  foundation::LogChange(
    "control",
    "change-decided",
    { { "change", lastResult_.change_id() },
      { "accepted", lastResult_.accepted() ? "true" : "false" },
      { "revision", std::to_string(lastResult_.revision()) },
      { "index", std::to_string(aIndex) },
      { "term", std::to_string(member_->Consensus().hardState_.term()) },
      { "asked_by", aRequester.host_ } });
}

void
ChangeSubmitter::Answer(const Requester& aRequester,
                        const wire::ChangeReply& aReply)
{
  wire::PeerMessage message;
  *message.mutable_change_reply() = aReply;
  message.mutable_change_reply()->set_request(aRequester.request_);
  message.mutable_change_reply()->set_boot(aRequester.boot_);
  message.mutable_change_reply()->set_had_ticket(aRequester.hadTicket_);
  port_.SendControl(aRequester.host_, std::move(message));
}

//! Processes a reply without a decision. If it has a ticket, sends the change
//! again with it, on the route on which the ticket arrived.
void
ChangeSubmitter::ProcessTicket(const foundation::HostId& aFrom,
                               const wire::ChangeReply& aReply,
                               Pending& aPending)
{
  if (aReply.had_ticket() && aPending.unresolved_ > 0) {
    --aPending.unresolved_;
  }
  if (aReply.has_ticket()) {
    aPending.ticket_ = aReply.ticket();
    Send(aFrom, aReply.request(), aPending);
  }
}

void
ChangeSubmitter::OnReply(const foundation::HostId& aFrom,
                         const wire::ChangeReply& aReply)
{
  // The answer to a former start would be taken for that of another request.
  if (aReply.boot() != 0 && aReply.boot() != boot_) {
    return;
  }
  const auto relayed = relayed_.find(aReply.request());
  if (relayed != relayed_.end()) {
    const Requester requester = relayed->second.requester_;
    relayed_.erase(relayed);
    Answer(requester, aReply);
    return;
  }
  const auto found = pending_.find(aReply.request());
  if (found == pending_.end()) {
    return;
  }
  if (!aReply.decided()) {
    if (!aReply.leader_hint().empty()) {
      leaderHint_ = aReply.leader_hint();
    }
    ProcessTicket(aFrom, aReply, found->second);
    return; // without a ticket, OnTick resends the change
  }
  const ChangeDone done = std::move(found->second.done_);
  pending_.erase(found);
  foundation::LogChange(
    "control",
    "change-answered",
    { { "change", aReply.result().change_id() },
      { "accepted", aReply.result().accepted() ? "true" : "false" },
      { "revision", std::to_string(aReply.result().revision()) },
      { "from", aFrom } });
  done(ChangeAnswer{ ChangeOutcome::Decided, aReply.result() });
}

} // namespace wigeonlb::daemon::control
