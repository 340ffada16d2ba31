#include <algorithm>

#include "core/configuration/delta.h"
#include "core/failover/tests/simulatedfleetinternal.h"

//! The control members of the simulated fleet. They do what the daemon's leader
//! driver does: it reads the real clock, so it can't run in virtual time.
namespace wigeonlb::core::failover {

using foundation::Duration;
using foundation::HostId;

namespace {

//! As the daemon's kLeaderTickMs and kWholeIntervalMs.
constexpr std::uint64_t kStepsPerTick =
  std::chrono::milliseconds(20) / kFleetStep;
constexpr Duration kWholeIntervalMs = std::chrono::milliseconds(1000);

constexpr std::uint64_t kBudgetBurst = std::uint64_t{ 256 } * 1024; //!< bytes
//! Bytes per second of a host that is reserved for control.
constexpr std::uint64_t kReservedRate = std::uint64_t{ 8 } << 20U;
//! Bytes per second of the budget that all control messages used.
constexpr std::uint64_t kCommonRate = std::uint64_t{ 6 } * 1024;

const consensus::ConsensusState&
Consensus(const Fleet& aFleet, const FleetMember& aMember)
{
  return aFleet.network_.members_.at(aMember.name_).consensus_;
}

const wire::ControlState&
Control(const Fleet& aFleet, const FleetMember& aMember)
{
  return aFleet.network_.members_.at(aMember.name_).control_;
}

//! Adds the work of a member's finished step to the counts.
void
FinishStep(Fleet& aFleet, FleetMember& aMember)
{
  const auto add = [&](std::uint64_t Work::*aFigure) {
    const auto value = aMember.step_.*aFigure;
    auto& longest = aFleet.work_.longest_.*aFigure;
    aFleet.work_.total_.*aFigure += value;
    longest = std::max(longest, value);
  };
  add(&Work::messages_);
  add(&Work::entries_);
  add(&Work::bytes_);
  aMember.step_ = {};
}

void
SendReply(Fleet& aFleet,
          FleetMember& aMember,
          const HostId& aHost,
          wire::HeartbeatReply aReply)
{
  const bool separate =
    aFleet.settings_.replyPath_ == ReplyPath::ConfigurationApart;
  const auto bytes = aReply.ByteSizeLong();
  ++aMember.step_.messages_;
  aMember.step_.bytes_ += bytes;
  if (aReply.whole() && aReply.grants_size() == 0) {
    aMember.waiting_[aHost] = std::move(aReply);
    return;
  }
  if (!separate) {
    foundation::Charge(aMember.budget_, bytes, Now(aFleet));
  }
  DeliverReply(aFleet, aHost, std::move(aReply));
}

void
SendWaiting(Fleet& aFleet, FleetMember& aMember)
{
  while (!aMember.waiting_.empty()) {
    auto& [host, reply] = *aMember.waiting_.begin();
    const auto bytes = reply.ByteSizeLong();
    if (!foundation::TryCharge(aMember.budget_, bytes, Now(aFleet))) {
      return;
    }
    DeliverReply(aFleet, host, std::move(reply));
    aMember.waiting_.erase(aMember.waiting_.begin());
  }
}

//! Sends a reply with the configuration that the host lacks.
void
SendWithConfiguration(Fleet& aFleet,
                      FleetMember& aMember,
                      const HostId& aHost,
                      wire::HeartbeatReply aReply)
{
  auto delta = configuration::DeltaSince(Control(aFleet, aMember),
                                         aMember.inForce_[aHost]);
  const bool separate =
    aFleet.settings_.replyPath_ == ReplyPath::ConfigurationApart &&
    delta.whole() && aReply.grants_size() == 0;
  if (!separate) {
    aReply.MergeFrom(delta);
    SendReply(aFleet, aMember, aHost, std::move(aReply));
    return;
  }
  SendReply(aFleet, aMember, aHost, std::move(aReply));
  const auto [sent, first] =
    aMember.wholeSentAt_.try_emplace(aHost, Now(aFleet));
  if (first || Now(aFleet) - sent->second >= kWholeIntervalMs) {
    sent->second = Now(aFleet);
    delta.set_from(aMember.name_);
    SendReply(aFleet, aMember, aHost, std::move(delta));
  }
}

bool
Decides(const Fleet& aFleet, const FleetMember& aMember)
{
  return aMember.leading_ &&
         consensus::HoldsLease(Consensus(aFleet, aMember), Now(aFleet));
}

HostId
KnownLeader(const Fleet& aFleet, const FleetMember& aMember)
{
  const bool known =
    aMember.leaderHint_ != aMember.name_ || Decides(aFleet, aMember);
  return known ? aMember.leaderHint_ : HostId();
}

void
AnswerAsFollower(Fleet& aFleet,
                 FleetMember& aMember,
                 const grants::LeaderWaiter& aWaiter)
{
  wire::HeartbeatReply reply;
  reply.set_sequence(aWaiter.sequence_);
  reply.set_boot(aWaiter.boot_);
  reply.set_sent_at_us(aWaiter.sentAtUs_);
  reply.set_from(aMember.name_);
  reply.set_leader_hint(KnownLeader(aFleet, aMember));
  SendWithConfiguration(aFleet, aMember, aWaiter.host_, std::move(reply));
}

void
Feed(Fleet& aFleet, FleetMember& aMember, const FailoverEvent& aEvent);

SimulatedTarget&
FindTarget(Fleet& aFleet, const std::string& aGroup, const std::string& aTarget)
{
  return *std::ranges::find(
    aFleet.groups_.at(aGroup), aTarget, &SimulatedTarget::name_);
}

wire::TargetReport
ReadStatus(Fleet& aFleet, const std::string& aGroup, const std::string& aTarget)
{
  auto report = MakeReport(FindTarget(aFleet, aGroup, aTarget), false, true);
  report.set_group(aGroup);
  return report;
}

//! Feeds an answer of a target, made by aMakeAnswer when the request arrives.
template<class MakeAnswer>
void
RequestAnswer(Fleet& aFleet, const HostId& aMember, MakeAnswer aMakeAnswer)
{
  Deliver(aFleet, [&aFleet, aMember, aMakeAnswer] {
    const FailoverEvent answer = aMakeAnswer();
    Deliver(aFleet, [&aFleet, aMember, answer] {
      if (aFleet.network_.members_.at(aMember).up_) {
        auto& member = aFleet.members_.at(aMember);
        FinishStep(aFleet, member);
        Feed(aFleet, member, answer);
        FinishStep(aFleet, member);
      }
    });
  });
}

void
Execute(Fleet&, FleetMember& aMember, Propose& aAction)
{
  aMember.proposals_.push_back(aAction.record_);
}

void
Execute(Fleet& aFleet, FleetMember& aMember, Reply& aAction)
{
  SendWithConfiguration(
    aFleet, aMember, aAction.host_, std::move(aAction.reply_));
}

void
Execute(Fleet& aFleet, FleetMember&, SendRevoke& aAction)
{
  Deliver(aFleet, [&aFleet, aAction] {
    FeedFleetHost(aFleet,
                  aFleet.hostIndexes_.at(aAction.host_),
                  grants::RevokeReceived{ aAction.revoke_ });
  });
}

void
Execute(Fleet& aFleet, FleetMember& aMember, ReadTarget& aAction)
{
  RequestAnswer(aFleet, aMember.name_, [&aFleet, aAction]() -> FailoverEvent {
    return TargetAnswered{ aAction.read_,
                           aAction.group_,
                           aAction.target_,
                           ReadStatus(
                             aFleet, aAction.group_, aAction.target_) };
  });
}

void
Execute(Fleet& aFleet, FleetMember& aMember, PromoteTarget& aAction)
{
  RequestAnswer(aFleet, aMember.name_, [&aFleet, aAction]() -> FailoverEvent {
    Promote(FindTarget(aFleet, aAction.group_, aAction.target_), aAction.term_);
    return PromotionAnswered{ aAction.group_,
                              aAction.target_,
                              aAction.term_,
                              aAction.fence_,
                              ReadStatus(
                                aFleet, aAction.group_, aAction.target_) };
  });
}

//! Handles an event within the member's current step.
void
Feed(Fleet& aFleet, FleetMember& aMember, const FailoverEvent& aEvent)
{
  std::vector<FailoverAction> actions;
  Step(aMember.state_, Control(aFleet, aMember), aEvent, Now(aFleet), actions);
  ++aMember.step_.messages_;
  for (auto& action : actions) {
    // Replies are counted when they are sent.
    aMember.step_.messages_ += std::holds_alternative<Reply>(action) ? 0 : 1;
    std::visit([&](auto& aOne) { Execute(aFleet, aMember, aOne); }, action);
  }
}

void
AnswerWaiters(Fleet& aFleet, FleetMember& aMember)
{
  if (KnownLeader(aFleet, aMember).empty()) {
    return;
  }
  for (const auto& waiter :
       grants::RemoveWaiters(aMember.waiters_, Now(aFleet))) {
    AnswerAsFollower(aFleet, aMember, waiter);
  }
}

void
UpdateLeading(Fleet& aFleet, FleetMember& aMember)
{
  const auto& state = Consensus(aFleet, aMember);
  const auto term = state.hardState_.term();
  const bool leading =
    consensus::IsLeader(state) && aMember.appliedTerm_ == term;
  if (leading == aMember.leading_) {
    return;
  }
  aMember.leading_ = leading;
  if (leading) {
    Feed(aFleet, aMember, BecameLeader{ term, aMember.firstIndexOfTerm_ });
    AnswerWaiters(aFleet, aMember);
  } else {
    Feed(aFleet, aMember, LostLeadership{});
  }
}

void
Relay(Fleet& aFleet, const FleetMember& aMember, wire::Heartbeat aHeartbeat)
{
  aHeartbeat.set_relayed_by(aMember.name_);
  Deliver(aFleet, [&aFleet, to = aMember.leaderHint_, aHeartbeat] {
    ReceiveHeartbeat(aFleet, to, aHeartbeat);
  });
}

void
AnswerHeartbeat(Fleet& aFleet,
                FleetMember& aMember,
                const wire::Heartbeat& aHeartbeat)
{
  UpdateLeading(aFleet, aMember);
  const auto& host = aHeartbeat.sender().host();
  aMember.inForce_[host] = aHeartbeat.revision_in_force();
  if (Decides(aFleet, aMember)) {
    const auto lease = consensus::GetLeaseEnd(Consensus(aFleet, aMember));
    Feed(aFleet, aMember, HeartbeatReceived{ aHeartbeat, Now(aFleet), lease });
    return;
  }
  const bool relays = aHeartbeat.relay() && aHeartbeat.relayed_by().empty() &&
                      !aMember.leaderHint_.empty() &&
                      aMember.leaderHint_ != aMember.name_;
  if (relays) {
    ++aMember.step_.messages_;
    Relay(aFleet, aMember, aHeartbeat);
  } else {
    AnswerAsFollower(aFleet,
                     aMember,
                     { host,
                       aHeartbeat.sender().boot(),
                       aHeartbeat.sequence(),
                       aHeartbeat.sent_at_us(),
                       Now(aFleet) });
  }
  if (KnownLeader(aFleet, aMember).empty()) {
    grants::AddWaiter(aMember.waiters_, aHeartbeat, Now(aFleet));
  }
}

} // namespace

const FleetMember*
FindLeader(const Fleet& aFleet)
{
  for (const auto& [name, member] : aFleet.members_) {
    if (aFleet.network_.members_.at(name).up_ && Decides(aFleet, member)) {
      return &member;
    }
  }
  return nullptr;
}

void
ReceiveHeartbeat(Fleet& aFleet,
                 const HostId& aMember,
                 const wire::Heartbeat& aHeartbeat)
{
  const auto receiver = aFleet.network_.members_.find(aMember);
  if (receiver == aFleet.network_.members_.end() || !receiver->second.up_) {
    return; // a host that is no member knows no other members here
  }
  auto& member = aFleet.members_.at(aMember);
  FinishStep(aFleet, member);
  AnswerHeartbeat(aFleet, member, aHeartbeat);
  FinishStep(aFleet, member);
}

void
StartMember(Fleet& aFleet, const HostId& aMember)
{
  auto& member = aFleet.members_[aMember];
  member = {};
  member.name_ = aMember;
  member.state_.self_ = aMember;
  const bool apart =
    aFleet.settings_.replyPath_ == ReplyPath::ConfigurationApart;
  member.budget_ = foundation::MakeTokenBucket(
    apart ? kReservedRate : kCommonRate, kBudgetBurst, Now(aFleet));
  consensus::Start(aFleet.network_, aMember);
}

void
AdvanceMembers(Fleet& aFleet)
{
  for (auto& [name, member] : aFleet.members_) {
    if (!aFleet.network_.members_.at(name).up_) {
      continue;
    }
    FinishStep(aFleet, member);
    UpdateLeading(aFleet, member);
    if (member.leading_ && aFleet.steps_ % kStepsPerTick == 0) {
      const auto lease = consensus::GetLeaseEnd(Consensus(aFleet, member));
      Feed(aFleet, member, Tick{ lease });
    }
    FinishStep(aFleet, member);
    for (const auto& record : std::exchange(member.proposals_, {})) {
      consensus::Feed(aFleet.network_, name, consensus::Propose{ record, 0 });
    }
    SendWaiting(aFleet, member);
  }
}

consensus::NetworkObserver
MakeFleetObserver(Fleet& aFleet)
{
  consensus::NetworkObserver observer;
  observer.applying_ = [&](const HostId& aHost, const auto& aEntry, auto) {
    auto& member = aFleet.members_[aHost];
    if (member.appliedTerm_ != aEntry.term()) {
      member.appliedTerm_ = aEntry.term();
      member.firstIndexOfTerm_ = aEntry.index();
    }
  };
  observer.applied_ =
    [&](const HostId& aHost, const auto&, const auto& aResult) {
      auto& member = aFleet.members_[aHost];
      UpdateLeading(aFleet, member);
      if (aResult.changed_) {
        Feed(aFleet, member, StateApplied{ aResult.changedGroups_ });
      }
    };
  observer.leadership_ = [&](const HostId& aHost, const auto& aChange, auto) {
    auto& member = aFleet.members_[aHost];
    member.leaderHint_ = aChange.leader_;
    UpdateLeading(aFleet, member);
    AnswerWaiters(aFleet, member);
  };
  observer.stepped_ = [&](const HostId& aHost,
                          std::span<const consensus::Action> aActions) {
    // What follows from an event before the next one belongs to its step.
    FinishStep(aFleet, aFleet.members_[aHost]);
    auto& step = aFleet.members_[aHost].step_;
    step.messages_ += aActions.empty() ? 0 : 1;
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<consensus::SendMessage>(&action)) {
        ++step.messages_;
        step.entries_ += static_cast<std::uint64_t>(
          send->message_.append_request().entries_size());
      }
      const auto* persist = std::get_if<consensus::Persist>(&action);
      step.entries_ += persist != nullptr ? persist->entries_.size() : 0;
      step.entries_ += std::holds_alternative<consensus::Apply>(action) ? 1 : 0;
    }
  };
  return observer;
}

} // namespace wigeonlb::core::failover
