#include "core/failover/failover.h"

#include <algorithm>
#include <utility>

#include "core/failover/internal/countedtargets.h"
#include "core/failover/internal/groupcontext.h"
#include "core/failover/internal/groupidle.h"
#include "core/failover/internal/heartbeatreply.h"
#include "core/failover/internal/plannedchange.h"
#include "core/failover/internal/promotion.h"
#include "core/failover/internal/suspicion.h"

namespace wigeonlb::core::failover {

using foundation::Instant;

namespace {

template<class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

using Actions = std::vector<FailoverAction>;

//! Marks reads without an answer as failed since they were requested.
void
ExpireReads(GroupProgress& aProgress, Instant aNow)
{
  for (auto& [target, read] : aProgress.reads_) {
    if (read.requestedAt_ && aNow - *read.requestedAt_ >= kAnswerTimeoutMs) {
      read.failingSince_ = read.failingSince_.value_or(*read.requestedAt_);
      read.lastFailedAt_ = aNow;
      read.requestedAt_.reset();
    }
  }
}

//! Starts the record of what is acknowledged in the group's term.
//! aIsWholeTerm: no earlier leader has issued grants of it.
void
BeginWrites(GroupContext& aContext, bool aIsWholeTerm)
{
  const auto& group = aContext.group_;
  auto& writes = aContext.state_.grants_.writes_;
  if (GetAcknowledgement(group) == Acknowledgement::OneReplica) {
    grants::BeginTerm(writes[group.group()], group.term(), aIsWholeTerm);
  } else {
    writes.erase(group.group());
  }
}

//! Discards progress that belongs to an earlier term or a completed fence.
void
ResetTermProgress(GroupContext& aContext)
{
  auto& progress = aContext.progress_;
  const auto& group = aContext.group_;
  const bool isFirstStep = progress.termSince_ == Instant{};
  if (progress.term_ != group.term() || isFirstStep) {
    BeginWrites(aContext, !isFirstStep);
    progress.term_ = group.term();
    progress.termSince_ = aContext.now_;
    progress.fenceProposedAt_.reset();
  }
  if (!group.fenced() && group.promoting().empty()) {
    progress.releasedAt_.reset();
    progress.safeSince_.reset();
    progress.primaryLeadsSince_.reset();
    progress.failedPromotions_.clear();
  }
}

void
StepGroup(GroupContext& aContext)
{
  const auto& group = aContext.group_;
  ExpireReads(aContext.progress_, aContext.now_);
  ResetTermProgress(aContext);
  aContext.progress_.waitingReason_.clear();
  const bool live =
    !group.primary().empty() && !group.fenced() && group.promoting().empty();
  if (live) {
    // A fence is proposed even while another proposal is pending.
    if (const auto reason = SuspectPrimary(aContext)) {
      ProposeFence(aContext, *reason);
      SetWaitingReason(aContext, *reason);
      return;
    }
  }
  if (IsProposalPending(aContext)) {
    return;
  }
  if (live) {
    StepPlannedChange(aContext);
    StepCountedTargets(aContext);
  } else if (!group.promoting().empty()) {
    StepPromotion(aContext);
  } else if (group.primary().empty()) {
    StepFirstPrimary(aContext);
  } else {
    StepFenced(aContext);
  }
}

void
StepGroupByName(FailoverState& aState,
                const wire::ControlState& aControl,
                const foundation::GroupName& aGroup,
                Instant aNow,
                Actions& aActions)
{
  const auto group = aControl.groups().find(aGroup);
  if (!aState.leading_ || group == aControl.groups().end()) {
    return;
  }
  auto& progress = aState.groups_[aGroup];
  GroupContext context{ aState,   aControl, group->second,
                        progress, aNow,     aActions };
  StepGroup(context);
  progress.idleUntil_ = ComputeIdleUntil(context);
}

void
ExpireSoftState(FailoverState& aState,
                const wire::ControlState& aControl,
                Instant aNow)
{
  if (aNow - aState.lastExpiryCheckAt_ < kExpiryCheckIntervalMs) {
    return;
  }
  aState.lastExpiryCheckAt_ = aNow;
  membership::RemoveExpired(aState.membership_, aNow);
  std::erase_if(aState.groups_, [&](const auto& aItem) {
    return !aControl.groups().contains(aItem.first);
  });
  std::erase_if(aState.grants_.writes_, [&](const auto& aItem) {
    return !aControl.groups().contains(aItem.first);
  });
}

void
StepAll(FailoverState& aState,
        const wire::ControlState& aControl,
        Instant aNow,
        Actions& aActions)
{
  ExpireSoftState(aState, aControl, aNow);
  if (aState.groupsRevision_ != aControl.revision()) {
    aState.groupsRevision_ = aControl.revision();
    for (const auto& [name, group] : aControl.groups()) {
      aState.groups_.try_emplace(name);
    }
  }
  // In the order of names: the order of a protobuf map differs between two
  // processes, so the reads would get other numbers when a trace is replayed.
  for (const auto& [name, progress] : aState.groups_) {
    if (aNow < progress.idleUntil_ && !aState.stepsIdleGroups_) {
      continue;
    }
    StepGroupByName(aState, aControl, name, aNow, aActions);
  }
}

//! Makes the next tick step the group.
void
ScheduleStep(FailoverState& aState, const foundation::GroupName& aGroup)
{
  const auto progress = aState.groups_.find(aGroup);
  if (progress != aState.groups_.end()) {
    progress->second.idleUntil_ = Instant::min();
  }
}

void
UpdateSoftState(FailoverState& aState,
                const wire::ControlState& aControl,
                const wire::Heartbeat& aHeartbeat,
                Instant aNow)
{
  const auto& host = aHeartbeat.sender().host();
  aState.revisionsInForce_[host] = aHeartbeat.revision_in_force();
  for (const auto& announcement : aHeartbeat.announcements()) {
    const auto group = aControl.groups().find(announcement.group());
    if (group != aControl.groups().end() &&
        NeedsStep(aState.membership_, group->second, announcement, aNow)) {
      ScheduleStep(aState, announcement.group());
    }
    membership::NoteAnnouncement(aState.membership_, announcement, aNow);
  }
  for (const auto& report : aHeartbeat.reports()) {
    if (NeedsStep(aState.membership_, host, report, aNow)) {
      ScheduleStep(aState, report.group());
    }
    membership::NoteReport(aState.membership_, host, report, aNow);
  }
}

//! True when a report says that its group's primary is unreachable. Such a
//! group is stepped at once, not at the next tick.
bool
IsPrimaryUnreachable(const wire::ControlState& aControl,
                     const wire::TargetReport& aReport)
{
  const auto group = aControl.groups().find(aReport.group());
  return group != aControl.groups().end() && !aReport.reachable() &&
         group->second.primary() == aReport.target();
}

void
HandleHeartbeatReceived(FailoverState& aState,
                        const wire::ControlState& aControl,
                        const HeartbeatReceived& aEvent,
                        Instant aNow,
                        Actions& aActions)
{
  const auto& heartbeat = aEvent.heartbeat_;
  auto reply = MakeReply(aState.self_, heartbeat);
  aState.leaderLeaseUntil_ = aEvent.leaderLeaseUntil_;
  if (!aState.leading_) {
    aActions.push_back(Reply{ heartbeat.sender().host(), std::move(reply) });
    return;
  }
  if (!membership::NoteHost(
        aState.membership_, heartbeat.sender(), heartbeat.sequence(), aNow)) {
    return;
  }
  grants::ProcessHeartbeat(aState.grants_, heartbeat, aNow);
  UpdateSoftState(aState, aControl, heartbeat, aNow);
  reply.set_leader(aNow < aEvent.leaderLeaseUntil_);
  if (reply.leader()) {
    AddDecisions(aState, aControl, aEvent, aNow, reply, aActions);
  }
  aActions.push_back(Reply{ heartbeat.sender().host(), std::move(reply) });
  for (const auto& released : heartbeat.released()) {
    StepGroupByName(aState, aControl, released.group(), aNow, aActions);
  }
  for (const auto& report : heartbeat.reports()) {
    if (IsPrimaryUnreachable(aControl, report)) {
      StepGroupByName(aState, aControl, report.group(), aNow, aActions);
    }
  }
}

void
StartLeading(FailoverState& aState, const BecameLeader& aEvent, Instant aNow)
{
  aState.leading_ = true;
  aState.leaderTerm_ = aEvent.term_;
  aState.leaderIndex_ = aEvent.firstIndex_;
  aState.leaderLeaseUntil_ = {};
  aState.leadingSince_ = aNow;
  aState.membership_ = {};
  // Differs from every version that an earlier leader issued.
  membership::StartHostVersions(aState.membership_, (aEvent.term_ << 32U) + 1);
  aState.revisionsInForce_.clear();
  aState.owners_.clear();
  aState.ownersHostsVersion_ = 0;
  for (auto& [name, progress] : aState.groups_) {
    auto decisions = std::move(progress.decisions_);
    progress = {};
    progress.decisions_ = std::move(decisions);
  }
  grants::StartLeading(aState.grants_, aNow);
}

void
HandleStateApplied(FailoverState& aState,
                   const wire::ControlState& aControl,
                   const StateApplied& aEvent,
                   Instant aNow,
                   Actions& aActions)
{
  for (const auto& group : aEvent.groups_) {
    const auto applied = aControl.groups().find(group);
    if (applied != aControl.groups().end()) {
      grants::ObserveLease(aState.grants_, applied->second, aNow);
    }
    const auto progress = aState.groups_.find(group);
    if (progress != aState.groups_.end()) {
      progress->second.proposedAt_.reset();
    }
    StepGroupByName(aState, aControl, group, aNow, aActions);
  }
}

void
HandleTargetAnswered(FailoverState& aState,
                     const wire::ControlState& aControl,
                     const TargetAnswered& aEvent,
                     Instant aNow,
                     Actions& aActions)
{
  auto& read = aState.groups_[aEvent.group_].reads_[aEvent.target_];
  if (read.number_ != aEvent.read_ || !read.requestedAt_) {
    return; // the read was abandoned
  }
  const auto requestedAt = *read.requestedAt_;
  read.requestedAt_.reset();
  if (aEvent.report_ && aEvent.report_->reachable()) {
    read.failingSince_.reset();
    read.report_ = aEvent.report_;
    read.reportRequestedAt_ = requestedAt;
    read.reportReceivedAt_ = aNow;
    read.rebuilt_ = aEvent.report_->synced_offset() < read.highestKnownOffset_;
  } else {
    read.failingSince_ = read.failingSince_.value_or(requestedAt);
    read.lastFailedAt_ = aNow;
  }
  StepGroupByName(aState, aControl, aEvent.group_, aNow, aActions);
}

void
HandlePromotionAnswer(FailoverState& aState,
                      const wire::ControlState& aControl,
                      const PromotionAnswered& aEvent,
                      Instant aNow,
                      Actions& aActions)
{
  const auto group = aControl.groups().find(aEvent.group_);
  if (!aState.leading_ || group == aControl.groups().end()) {
    return;
  }
  GroupContext context{ aState,        aControl,
                        group->second, aState.groups_[aEvent.group_],
                        aNow,          aActions };
  context.progress_.idleUntil_ = Instant::min();
  ApplyPromotionAnswer(context, aEvent);
}

} // namespace

void
Step(FailoverState& aState,
     const wire::ControlState& aControl,
     const FailoverEvent& aEvent,
     Instant aNow,
     Actions& aActions)
{
  std::visit(
    Overloaded{
      [&](const Tick& aTick) {
        aState.leaderLeaseUntil_ = aTick.leaderLeaseUntil_;
        if (aState.leading_) {
          StepAll(aState, aControl, aNow, aActions);
        }
      },
      [&](const HeartbeatReceived& aReceived) {
        HandleHeartbeatReceived(aState, aControl, aReceived, aNow, aActions);
      },
      [&](const BecameLeader& aBecame) { StartLeading(aState, aBecame, aNow); },
      [&](const LostLeadership&) { aState.leading_ = false; },
      [&](const StateApplied& aApplied) {
        HandleStateApplied(aState, aControl, aApplied, aNow, aActions);
      },
      [&](const TargetAnswered& aAnswered) {
        HandleTargetAnswered(aState, aControl, aAnswered, aNow, aActions);
      },
      [&](const PromotionAnswered& aAnswered) {
        HandlePromotionAnswer(aState, aControl, aAnswered, aNow, aActions);
      },
    },
    aEvent);
}

std::vector<Decision>
GetDecisions(const FailoverState& aState, std::string_view aGroup)
{
  const auto group = aState.groups_.find(std::string(aGroup));
  if (group == aState.groups_.end()) {
    return {};
  }
  const auto& decisions = group->second.decisions_;
  return { decisions.begin(), decisions.end() };
}

std::string
GetWaitingReason(const FailoverState& aState, std::string_view aGroup)
{
  const auto group = aState.groups_.find(std::string(aGroup));
  return group == aState.groups_.end() ? std::string()
                                       : group->second.waitingReason_;
}

} // namespace wigeonlb::core::failover
