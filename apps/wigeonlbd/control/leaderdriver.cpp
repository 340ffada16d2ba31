#include "control/leaderdriver.h"

#include <boost/asio/post.hpp>

#include "control/targetrequest.h"
#include "core/consensus/replicatedlog.h"
#include "foundation/logging.h"

namespace wigeonlb::daemon::control {

namespace {

namespace failover = core::failover;
using foundation::Duration;
using foundation::SteadyNow;

constexpr Duration kReadTimeoutMs = std::chrono::milliseconds(350);

//! Logs under which right the promotion is requested, so that requests of two
//! leaders can be told apart.
void
LogPromotion(const failover::PromoteTarget& aAction)
{
  const auto leaseLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
    aAction.leaseUntil_ - SteadyNow());
  foundation::LogChange(
    "control",
    "promotion-ordered",
    { { "group", aAction.group_ },
      { "target", aAction.target_ },
      { "term", std::to_string(aAction.term_) },
      { "fence", std::to_string(aAction.fence_) },
      { "leader_term", std::to_string(aAction.leaderTerm_) },
      { "lease_left_ms", std::to_string(leaseLeft.count()) },
      { "choice", std::to_string(aAction.choiceIndex_) },
      { "chosen_by",
        aAction.chosenByEarlierLeader_ ? "earlier-leader" : "this-leader" } });
}

} // namespace

LeaderDriver::LeaderDriver(boost::asio::io_context& aContext,
                           foundation::HostId aSelf,
                           target::Login aLogin,
                           const target::Protocol& aProtocol,
                           PromotionPort aPromote,
                           ConsensusMember& aMember,
                           PeerPort& aPort)
  : context_(aContext)
  , self_(std::move(aSelf))
  , login_(std::move(aLogin))
  , protocol_(aProtocol)
  , promote_(std::move(aPromote))
  , member_(aMember)
  , port_(aPort)
{
  state_.self_ = self_;
}

void
LeaderDriver::OnTick()
{
  UpdateLeading();
  if (!leading_) {
    return;
  }
  Feed(failover::Tick{ core::consensus::GetLeaseEnd(member_.Consensus()) });
  auto record =
    PlanMemberChange(memberPlanner_, member_.Consensus(), state_, SteadyNow());
  if (record) {
    Execute(failover::Propose{ std::move(*record) });
  }
}

//! The failover logic starts to lead only once all entries that earlier leaders
//! committed are applied here.
void
LeaderDriver::UpdateLeading()
{
  const bool leading = member_.IsReady();
  if (leading == leading_) {
    return;
  }
  leading_ = leading;
  const std::uint64_t term = member_.Consensus().hardState_.term();
  foundation::LogChange(
    "control",
    leading ? "leading" : "leading-ended",
    { { "host", self_ }, { "term", std::to_string(term) } });
  if (leading) {
    Feed(failover::BecameLeader{ term, member_.FirstIndexOfTerm() });
    AnswerWaiters();
  } else {
    behind_.hosts_.clear();
    Feed(failover::LostLeadership{});
  }
}

void
LeaderDriver::OnHeartbeat(wire::Heartbeat aHeartbeat)
{
  UpdateLeading();
  delivery_.inForce_[aHeartbeat.sender().host()] =
    aHeartbeat.revision_in_force();
  knownMembersIndex_[aHeartbeat.sender().host()] = aHeartbeat.members_index();
  const foundation::Instant received = SteadyNow();
  if (!leading_ || !member_.HoldsLease()) {
    if (!aHeartbeat.relay() || !Relay(aHeartbeat)) {
      AnswerAsFollower({ aHeartbeat.sender().host(),
                         aHeartbeat.sender().boot(),
                         aHeartbeat.sequence(),
                         aHeartbeat.sent_at_us(),
                         received });
    }
    if (GetKnownLeader().empty()) {
      core::grants::AddWaiter(waiters_, aHeartbeat, received);
    }
    return;
  }
  relays_[aHeartbeat.sender().host()] = aHeartbeat.relayed_by();
  LogHostBehind(aHeartbeat.sender().host());
  failover::HeartbeatReceived event;
  event.heartbeat_ = std::move(aHeartbeat);
  event.receivedAt_ = received;
  event.leaderLeaseUntil_ = core::consensus::GetLeaseEnd(member_.Consensus());
  Feed(event);
}

bool
LeaderDriver::Relay(const wire::Heartbeat& aHeartbeat)
{
  const bool relayed = !aHeartbeat.relayed_by().empty();
  if (leaderHint_.empty() || leaderHint_ == self_ || relayed) {
    return false;
  }
  wire::PeerMessage message;
  *message.mutable_heartbeat() = aHeartbeat;
  message.mutable_heartbeat()->set_relayed_by(self_);
  port_.SendControl(leaderHint_, std::move(message));
  return true;
}

//! Sends the reply along the route on which the heartbeat arrived.
void
LeaderDriver::SendReply(const foundation::HostId& aHost,
                        wire::PeerMessage aMessage)
{
  const auto relay = relays_.find(aHost);
  if (relay == relays_.end() || relay->second.empty()) {
    port_.SendControl(aHost, std::move(aMessage));
    return;
  }
  aMessage.mutable_heartbeat_reply()->set_relayed_to(aHost);
  port_.SendControl(relay->second, std::move(aMessage));
}

//! Returns the leader hint, or nothing while this host leads but can't decide
//! yet.
foundation::HostId
LeaderDriver::GetKnownLeader() const
{
  const bool decides = leading_ && member_.HoldsLease();
  return leaderHint_ != self_ || decides ? leaderHint_ : foundation::HostId();
}

void
LeaderDriver::AnswerAsFollower(const core::grants::LeaderWaiter& aWaiter)
{
  wire::PeerMessage message;
  wire::HeartbeatReply& reply = *message.mutable_heartbeat_reply();
  reply.set_boot(aWaiter.boot_);
  reply.set_sequence(aWaiter.sequence_);
  reply.set_sent_at_us(aWaiter.sentAtUs_);
  reply.set_from(self_);
  auto whole = AddConfiguration(aWaiter.host_, reply);
  AddMembers(aWaiter.host_, reply);
  reply.set_leader(false);
  reply.set_leader_hint(GetKnownLeader());
  port_.SendControl(aWaiter.host_, std::move(message));
  if (whole) {
    port_.SendControl(aWaiter.host_, std::move(*whole));
  }
}

void
LeaderDriver::AnswerWaiters()
{
  if (GetKnownLeader().empty()) {
    return;
  }
  for (const auto& waiter :
       core::grants::RemoveWaiters(waiters_, SteadyNow())) {
    AnswerAsFollower(waiter);
  }
}

std::optional<wire::PeerMessage>
LeaderDriver::AddConfiguration(const foundation::HostId& aHost,
                               wire::HeartbeatReply& aReply)
{
  auto whole = core::configuration::AddConfiguration(
    delivery_, member_.Control(), aHost, SteadyNow(), aReply);
  LogSent(aHost, whole ? *whole : aReply);
  if (!whole) {
    return std::nullopt;
  }
  wire::PeerMessage message;
  *message.mutable_heartbeat_reply() = std::move(*whole);
  return message;
}

void
LeaderDriver::LogSent(const foundation::HostId& aHost,
                      const wire::HeartbeatReply& aConfiguration)
{
  if (aConfiguration.base_revision() >= aConfiguration.revision()) {
    return; // the host has it
  }
  const core::consensus::ConsensusState& consensus = member_.Consensus();
  const SenderState sender{ consensus.commitIndex_,
                            core::consensus::TermAt(consensus.log_,
                                                    consensus.commitIndex_),
                            aConfiguration.confirmed() };
  sentLog_.Write(aHost, aConfiguration, sender, SteadyNow());
}

void
LeaderDriver::LogHostBehind(const foundation::HostId& aHost)
{
  const foundation::Revision inForce = delivery_.inForce_[aHost];
  const foundation::Revision newest = member_.Control().revision();
  const auto change =
    NoteRevision(behind_, aHost, inForce, newest, SteadyNow());
  if (change) {
    foundation::LogChange("control",
                          *change == BehindChange::Behind ? "host-behind"
                                                          : "host-caught-up",
                          { { "host", aHost },
                            { "revision", std::to_string(inForce) },
                            { "newest", std::to_string(newest) },
                            { "relayed_by", relays_[aHost] } });
  }
}

std::uint64_t
LeaderDriver::GetMembersIndex() const
{
  std::uint64_t index = 0;
  for (const auto& [at, members] : member_.Consensus().log_.members_) {
    index = at <= member_.Consensus().commitIndex_ ? at + 1 : index;
  }
  return index;
}

void
LeaderDriver::AddMembers(const foundation::HostId& aHost,
                         wire::HeartbeatReply& aReply) const
{
  const std::uint64_t index = GetMembersIndex();
  const auto known = knownMembersIndex_.find(aHost);
  const auto& members = core::consensus::MembersAt(
    member_.Consensus().log_, member_.Consensus().commitIndex_);
  const bool isOutdated =
    !members.voters().empty() &&
    (known == knownMembersIndex_.end() || known->second < index);
  if (isOutdated) {
    *aReply.mutable_members() = members;
    aReply.set_members_index(index);
  }
}

void
LeaderDriver::OnApplied(const core::configuration::ApplyResult& aResult)
{
  UpdateLeading();
  if (!aResult.ignored_.empty()) {
    foundation::LogWarning(
      "control", "decision-ignored", { { "reason", aResult.ignored_ } });
  }
  if (aResult.changed_) {
    Feed(failover::StateApplied{ aResult.changedGroups_ });
  }
}

void
LeaderDriver::OnReplaced()
{
  std::vector<foundation::GroupName> groups;
  for (const auto& [name, group] : member_.Control().groups()) {
    groups.push_back(name);
  }
  Feed(failover::StateApplied{ std::move(groups) });
}

void
LeaderDriver::OnLeadership(const core::consensus::LeadershipChanged& aChange)
{
  if (leaderHint_ != aChange.leader_ && !aChange.leader_.empty()) {
    foundation::LogChange("control",
                          "leader-changed",
                          { { "leader", aChange.leader_ },
                            { "term", std::to_string(aChange.term_) } });
  }
  leaderHint_ = aChange.leader_;
  UpdateLeading();
  AnswerWaiters();
}

void
LeaderDriver::Feed(const failover::FailoverEvent& aEvent)
{
  std::vector<failover::FailoverAction> actions;
  const foundation::Instant now = SteadyNow();
  failover::Step(state_, member_.Control(), aEvent, now, actions);
  if (onStep_) {
    onStep_(aEvent, actions, now);
  }
  for (failover::FailoverAction& action : actions) {
    std::visit([this](auto& aAction) { Execute(aAction); }, action);
  }
}

void
LeaderDriver::Execute(const failover::Propose& aAction)
{
  // Posted because a proposal may be applied immediately, which feeds the next
  // event from within this one.
  boost::asio::post(context_, [this, alive = alive_, record = aAction.record_] {
    member_.Feed(core::consensus::Propose{ record, 0 });
  });
}

void
LeaderDriver::Execute(failover::Reply& aAction)
{
  wire::PeerMessage message;
  wire::HeartbeatReply& reply = *message.mutable_heartbeat_reply();
  reply = std::move(aAction.reply_);
  reply.set_confirmed(true);
  auto whole = AddConfiguration(aAction.host_, reply);
  AddMembers(aAction.host_, reply);
  SendReply(aAction.host_, std::move(message));
  if (whole) {
    SendReply(aAction.host_, std::move(*whole));
  }
}

void
LeaderDriver::Execute(const failover::SendRevoke& aAction)
{
  wire::PeerMessage message;
  *message.mutable_revoke() = aAction.revoke_;
  port_.SendControl(aAction.host_, std::move(message));
}

void
LeaderDriver::Execute(const failover::ReadTarget& aAction)
{
  RunTargetRequest(
    context_,
    protocol_,
    { aAction.address_,
      aAction.group_,
      login_,
      aAction.target_,
      aAction.incarnation_ },
    FindDialect(aAction.group_, aAction.target_),
    std::nullopt,
    kReadTimeoutMs,
    [this, alive = std::weak_ptr<bool>(alive_), request = aAction](
      std::optional<wire::TargetReport> aReport) {
      if (alive.expired()) {
        return;
      }
      if (aReport) {
        aReport->set_group(request.group_);
        aReport->set_target(request.target_);
        aReport->set_address(request.address_);
      }
      Feed(failover::TargetAnswered{
        request.read_, request.group_, request.target_, std::move(aReport) });
    });
}

void
LeaderDriver::Execute(const failover::PromoteTarget& aAction)
{
  const auto key = std::pair(aAction.group_, aAction.fence_);
  if (!promotionsInProgress_.insert(key).second) {
    return; // the pending request is answered or times out soon
  }
  LogPromotion(aAction);
  promote_(context_,
           aAction,
           [this, alive = std::weak_ptr<bool>(alive_), request = aAction](
             PromotionResult aResult) {
             if (alive.expired()) {
               return;
             }
             promotionsInProgress_.erase({ request.group_, request.fence_ });
             if (aResult.report_) {
               aResult.report_->set_group(request.group_);
               aResult.report_->set_target(request.target_);
               aResult.report_->set_address(request.address_);
             }
             Feed(failover::PromotionAnswered{ request.group_,
                                               request.target_,
                                               request.term_,
                                               request.fence_,
                                               std::move(aResult.report_),
                                               aResult.accepted_ });
           });
}

const target::Dialect&
LeaderDriver::FindDialect(std::string_view aGroup,
                          std::string_view aTarget) const
{
  const auto group = member_.Control().groups().find(std::string(aGroup));
  const wire::TargetState* const target =
    group == member_.Control().groups().end()
      ? nullptr
      : core::configuration::FindTarget(group->second, aTarget);
  return protocol_.dialect_(target == nullptr ? "" : target->dialect());
}

} // namespace wigeonlb::daemon::control
