#include <algorithm>

#include "core/configuration/applyrecord.h"
#include "core/configuration/delta.h"
#include "core/failover/tests/simulationinternal.h"

namespace wigeonlb::core::failover {

namespace {

constexpr Time kLeaderLease = 500 * kMs;

//! Longer than the lease measured by the slowest clock.
constexpr Time kElectionTimeout = 550 * kMs;

bool
IsFrozen(const Simulation& aSimulation, const std::string& aNode)
{
  const auto frozen = aSimulation.frozenUntil_.find(aNode);
  return frozen != aSimulation.frozenUntil_.end() &&
         frozen->second > aSimulation.now_;
}

bool
IsRunning(const Simulation& aSimulation, const SimulatedMember& aMember)
{
  return aMember.up_ && !IsFrozen(aSimulation, aMember.name_);
}

bool
ReachesMajority(const Simulation& aSimulation, const SimulatedMember& aMember)
{
  const auto reached =
    std::ranges::count_if(aSimulation.members_, [&](const auto& aOther) {
      return IsRunning(aSimulation, aOther) &&
             AreConnected(aSimulation, aMember.dataCentre_, aOther.dataCentre_);
    });
  return IsRunning(aSimulation, aMember) &&
         2 * static_cast<std::size_t>(reached) > aSimulation.members_.size();
}

//! Applies the committed records up to index aUpTo at the member.
void
ApplyCommitted(Simulation& aSimulation, std::size_t aMember, std::size_t aUpTo)
{
  auto& member = aSimulation.members_[aMember];
  if (!member.up_) {
    return;
  }
  while (member.control_.applied_index() < aUpTo) {
    const auto index = member.control_.applied_index() + 1;
    if (aSimulation.observer_.applying_) {
      wire::ConsensusEntry entry;
      entry.set_index(index);
      *entry.mutable_record() = aSimulation.log_[index - 1];
      aSimulation.observer_.applying_(aMember, entry);
    }
    const auto result = configuration::ApplyRecord(
      member.control_, aSimulation.log_[index - 1], index);
    FeedMember(aSimulation, aMember, StateApplied{ result.changedGroups_ });
  }
}

void
Elect(Simulation& aSimulation, std::size_t aMember)
{
  aSimulation.leader_ = aMember;
  aSimulation.leaderSeenAt_ = aSimulation.now_;
  // The first entry of the leader's term changes nothing.
  aSimulation.log_.emplace_back();
  const auto firstIndex = aSimulation.log_.size();
  configuration::ApplyRecord(aSimulation.committedState_, {}, firstIndex);
  ApplyCommitted(aSimulation, aMember, firstIndex);
  aSimulation.members_[aMember].leaseUntil_ = aSimulation.now_ + kLeaderLease;
  FeedMember(
    aSimulation, aMember, BecameLeader{ aSimulation.nextEvent_, firstIndex });
}

//! Checks that the log of a confirmed primary contains each write that was
//! acknowledged in an earlier term.
void
CheckConfirmed(Simulation& aSimulation, const wire::ConfirmPrimary& aConfirm)
{
  const auto& target = Target(aSimulation, aConfirm.target());
  for (const auto& write : aSimulation.acknowledged_) {
    if (write.term_ < aConfirm.term() && !Contains(target, write.id_)) {
      ReportViolation(aSimulation,
                      "acknowledged write " + std::to_string(write.id_) +
                        " of term " + std::to_string(write.term_) +
                        " is missing from " + aConfirm.target() +
                        ", primary of term " + std::to_string(aConfirm.term()));
      return;
    }
  }
}

void
Execute(Simulation& aSimulation, std::size_t aMember, const Propose& aPropose)
{
  const auto record = aPropose.record_;
  const auto name = aSimulation.members_[aMember].name_;
  Post(
    aSimulation,
    aSimulation.now_ + PickTime(aSimulation, 2 * kMs, 8 * kMs),
    {},
    [&aSimulation, aMember, record] {
      const auto& member = aSimulation.members_[aMember];
      const bool leads = aSimulation.leader_ == aMember;
      if (leads &&
          (ReachesMajority(aSimulation, member) || Chance(aSimulation, 0.5)) &&
          aSimulation.now_ - aSimulation.leaderSeenAt_ < kElectionTimeout) {
        Commit(aSimulation, record);
      }
    });
}

void
Execute(Simulation& aSimulation, std::size_t aMember, const Reply& aReply)
{
  const auto host =
    std::ranges::find(aSimulation.hosts_, aReply.host_, &SimulatedHost::name_);
  const auto index =
    static_cast<std::size_t>(host - aSimulation.hosts_.begin());
  const auto& member = aSimulation.members_[aMember];
  auto reply = aReply.reply_;
  const auto delta =
    configuration::DeltaSince(member.control_, host->holder_.revision_);
  reply.MergeFrom(delta);
  reply.set_leader_hint(aSimulation.members_[aSimulation.leader_].name_);
  Send(aSimulation,
       member.dataCentre_,
       host->dataCentre_,
       host->name_,
       [&aSimulation, index, reply] {
         FeedHost(aSimulation, index, grants::ReplyReceived{ reply });
       });
}

void
Execute(Simulation& aSimulation, std::size_t aMember, const SendRevoke& aRevoke)
{
  const auto host =
    std::ranges::find(aSimulation.hosts_, aRevoke.host_, &SimulatedHost::name_);
  const auto index =
    static_cast<std::size_t>(host - aSimulation.hosts_.begin());
  const auto revoke = aRevoke.revoke_;
  Send(aSimulation,
       aSimulation.members_[aMember].dataCentre_,
       host->dataCentre_,
       host->name_,
       [&aSimulation, index, revoke] {
         FeedHost(aSimulation, index, grants::RevokeReceived{ revoke });
       });
}

//! Delivers a request to a target, and its answer to the member. A target that
//! is down refuses at once; one that cannot be reached gives no answer.
void
SendTargetRequest(
  Simulation& aSimulation,
  std::size_t aMember,
  const std::string& aTarget,
  const std::function<FailoverEvent(SimulatedTarget&)>& aHandler,
  const FailoverEvent& aRefused)
{
  const auto& member = aSimulation.members_[aMember];
  const auto centre = member.dataCentre_;
  const auto node = member.name_;
  const auto& target = Target(aSimulation, aTarget);
  const auto there = target.dataCentre_;
  Send(aSimulation, centre, there, {}, [=, &aSimulation] {
    auto& receiver = Target(aSimulation, aTarget);
    const auto answer = receiver.up_ ? aHandler(receiver) : aRefused;
    Send(aSimulation, there, centre, node, [&aSimulation, aMember, answer] {
      FeedMember(aSimulation, aMember, answer);
    });
  });
}

void
Execute(Simulation& aSimulation, std::size_t aMember, const ReadTarget& aRead)
{
  const auto read = aRead;
  SendTargetRequest(
    aSimulation,
    aMember,
    read.target_,
    [read, &aSimulation](SimulatedTarget& aTarget) -> FailoverEvent {
      return TargetAnswered{
        read.read_, read.group_, read.target_, ReadStatus(aSimulation, aTarget)
      };
    },
    TargetAnswered{ read.read_, read.group_, read.target_, std::nullopt });
}

//! Checks that no other member leads, or has used the fence of the request.
void
CheckPromotionRequest(Simulation& aSimulation,
                      std::size_t aMember,
                      const PromoteTarget& aRequest)
{
  const auto holder =
    aSimulation.fenceHolders_.try_emplace(aRequest.fence_, aMember).first;
  const auto fence = std::to_string(aRequest.fence_);
  const auto& name = aSimulation.members_[aMember].name_;
  if (holder->second != aMember) {
    ReportViolation(aSimulation,
                    name + " requests a promotion with fence " + fence +
                      " of another leader");
  }
  if (aSimulation.leader_ != aMember) {
    ReportViolation(aSimulation,
                    name + " requests the promotion with fence " + fence +
                      " while another member leads");
  }
}

void
Execute(Simulation& aSimulation,
        std::size_t aMember,
        const PromoteTarget& aRequest)
{
  CheckPromotionRequest(aSimulation, aMember, aRequest);
  const auto promotion = aRequest;
  const bool checks = aSimulation.settings_.checksPromotionTarget_;
  const PromotionAnswered noAnswer{
    promotion.group_, promotion.target_, promotion.term_, promotion.fence_
  };
  SendTargetRequest(
    aSimulation,
    aMember,
    promotion.target_,
    [promotion, noAnswer, checks, &aSimulation](
      SimulatedTarget& aTarget) -> FailoverEvent {
      const bool chosenLog = aTarget.incarnation_ == promotion.incarnation_ &&
                             aTarget.synced_ >= promotion.startOffset_;
      if (chosenLog || !checks) {
        Promote(aTarget, promotion.term_);
      }
      auto answer = noAnswer;
      answer.report_ = ReadStatus(aSimulation, aTarget);
      return answer;
    },
    noAnswer);
}

} // namespace

void
FeedMember(Simulation& aSimulation,
           std::size_t aMember,
           const FailoverEvent& aEvent)
{
  auto& member = aSimulation.members_[aMember];
  if (!member.up_) {
    return;
  }
  std::vector<FailoverAction> actions;
  const auto now = LocalTime(aSimulation, member.name_, aSimulation.now_);
  Step(member.state_, member.control_, aEvent, now, actions);
  if (aSimulation.observer_.memberStepped_) {
    aSimulation.observer_.memberStepped_(aMember, aEvent, actions, now);
  }
  for (const auto& action : actions) {
    std::visit([&](const auto& aOne) { Execute(aSimulation, aMember, aOne); },
               action);
  }
}

void
TickMember(Simulation& aSimulation, std::size_t aMember)
{
  auto& member = aSimulation.members_[aMember];
  if (member.state_.leading_ && aSimulation.leader_ != aMember &&
      ReachesMajority(aSimulation, member)) {
    FeedMember(aSimulation, aMember, LostLeadership{});
  }
  if (ReachesMajority(aSimulation, member)) {
    ApplyCommitted(aSimulation, aMember, aSimulation.log_.size());
  }
  FeedMember(aSimulation,
             aMember,
             Tick{ LocalTime(aSimulation, member.name_, member.leaseUntil_) });
  Post(aSimulation,
       aSimulation.now_ + 25 * kMs,
       member.name_,
       [&aSimulation, aMember] { TickMember(aSimulation, aMember); });
}

void
RenewOrElectLeader(Simulation& aSimulation)
{
  auto& leader = aSimulation.members_[aSimulation.leader_];
  if (leader.state_.leading_ && ReachesMajority(aSimulation, leader)) {
    aSimulation.leaderSeenAt_ = aSimulation.now_;
    leader.leaseUntil_ = aSimulation.now_ + kLeaderLease;
  } else if (aSimulation.now_ - aSimulation.leaderSeenAt_ >= kElectionTimeout ||
             aSimulation.now_ == 0) {
    for (std::size_t i = 0; i < aSimulation.members_.size(); ++i) {
      if (ReachesMajority(aSimulation, aSimulation.members_[i])) {
        Elect(aSimulation, i);
        break;
      }
    }
  }
  Post(aSimulation, aSimulation.now_ + 40 * kMs, {}, [&aSimulation] {
    RenewOrElectLeader(aSimulation);
  });
}

void
Commit(Simulation& aSimulation, const wire::ControlRecord& aRecord)
{
  aSimulation.log_.push_back(aRecord);
  const auto index = aSimulation.log_.size();
  const auto result =
    configuration::ApplyRecord(aSimulation.committedState_, aRecord, index);
  if (aRecord.has_confirm() && result.changed_) {
    CheckConfirmed(aSimulation, aRecord.confirm());
    if (aSimulation.onConfirmed_) {
      aSimulation.onConfirmed_(aRecord.confirm().target());
    }
  }
  for (std::size_t i = 0; i < aSimulation.members_.size(); ++i) {
    const auto& member = aSimulation.members_[i];
    const auto delay =
      i == aSimulation.leader_ ? 0 : PickTime(aSimulation, 0, 5 * kMs);
    Post(aSimulation,
         aSimulation.now_ + delay,
         member.name_,
         [&aSimulation, i, index] {
           const auto& here = aSimulation.members_[i].dataCentre_;
           const auto& there =
             aSimulation.members_[aSimulation.leader_].dataCentre_;
           if (AreConnected(aSimulation, here, there)) {
             ApplyCommitted(aSimulation, i, index);
           }
         });
  }
}

void
RestartMember(Simulation& aSimulation, std::size_t aMember)
{
  auto& member = aSimulation.members_[aMember];
  member.up_ = true;
  member.state_ = {};
  member.state_.self_ = member.name_;
  member.state_.guards_ = aSimulation.settings_.guards_;
  member.state_.stepsIdleGroups_ = aSimulation.settings_.stepsIdleGroups_;
  member.state_.grants_.ignorePredecessorGrants_ =
    !aSimulation.settings_.assumesGrants_;
  member.control_.Clear();
  if (aSimulation.observer_.memberStarted_) {
    aSimulation.observer_.memberStarted_(aMember);
  }
}

} // namespace wigeonlb::core::failover
