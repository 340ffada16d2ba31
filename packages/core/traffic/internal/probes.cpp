#include "core/traffic/internal/probes.h"

#include <algorithm>
#include <utility>

#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/dispatch.h"
#include "core/traffic/internal/grants.h"
#include "core/traffic/internal/sessionterminations.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

constexpr Duration kFailedInterval = 100ms;
constexpr Duration kMaxActiveInterval = 50ms;
// Maximum time between probes, in idle intervals, while responses to statements
// report positions.
constexpr int kMaxSkippedIntervals = 6;
// A lagging target is probed this often within its replication delay.
constexpr int kProbesPerDelay = 16;

// Interval between probes of a target for whose position requests wait.
Duration
GetActiveInterval(const Group& aGroup, const Target& aTarget)
{
  const auto& followed =
    aGroup.majorityWaiters_.empty() ? aTarget.applied_ : aTarget.synced_;
  const Duration delay = followed.delay_.value_or(Duration::zero());
  return std::clamp(delay / kProbesPerDelay,
                    aGroup.settings_.activeProbeInterval_,
                    kMaxActiveInterval);
}

bool
IsPositionAwaited(const Group& aGroup, const Target& aTarget, bool aPrimary)
{
  if (!aPrimary) {
    return aTarget.state_.counted() && (!aGroup.majorityWaiters_.empty() ||
                                        !aGroup.replicaWaiters_.empty());
  }
  const LogPosition newest = routing::GetNewestPosition(aGroup.samples_);
  return !aGroup.freshWaiters_.empty() ||
         std::any_of(
           aGroup.replicaWaiters_.begin(),
           aGroup.replicaWaiters_.end(),
           [&](const Request& aRequest) { return aRequest.floor_ > newest; });
}

bool
IsPrimary(const Group& aGroup, const Target& aTarget)
{
  return aGroup.grant_ && aGroup.grant_->primary_ == aTarget.state_.target();
}

Instant
GetDueTime(const Group& aGroup, const Target& aTarget)
{
  const auto& probe = aTarget.probe_;
  if (probe.inFlight_) {
    return probe.sentAt_ + aGroup.settings_.probeTimeout_;
  }
  if (probe.sequence_ == 0) {
    return Instant::min();
  }
  if (probe.failed_) {
    return probe.sentAt_ + kFailedInterval;
  }
  const bool awaited =
    IsPositionAwaited(aGroup, aTarget, IsPrimary(aGroup, aTarget));
  if (awaited) {
    return probe.sentAt_ + GetActiveInterval(aGroup, aTarget);
  }
  const Duration idle = aGroup.settings_.idleProbeInterval_;
  if (!aTarget.state_.checks_positions()) {
    return probe.sentAt_ + idle;
  }
  // Responses to statements report positions, so that a probe is needed only
  // without recent responses and, at a longer interval, to check the target's
  // role.
  return std::min(std::max(probe.sentAt_, aTarget.reportAt_) + idle,
                  probe.sentAt_ + kMaxSkippedIntervals * idle);
}

void
SendNow(Context& aContext, Target& aTarget)
{
  auto& probe = aTarget.probe_;
  ++probe.sequence_;
  probe.inFlight_ = true;
  probe.sentAt_ = aContext.now_;
  ++aContext.counters_.probesSent_;
  Emit(aContext,
       SendProbe{ aTarget.state_.target(),
                  aTarget.state_.address(),
                  probe.sequence_,
                  CollectTerminations(aContext, aTarget) });
}

void
FailProbe(Context& aContext, Target& aTarget)
{
  aTarget.probe_.inFlight_ = false;
  OnTerminationsSettled(aTarget, false);
  if (!aTarget.probe_.failed_) {
    ++aContext.group_.version_;
  }
  aTarget.probe_.failed_ = true;
}

void
RouteFreshFloorWaiters(Context& aContext,
                       const LogPosition& aPosition,
                       Instant aSentAt)
{
  std::vector<Request*> served;
  for (Request& request : aContext.group_.freshWaiters_) {
    if (request.arrivedAt_ <= aSentAt) {
      served.push_back(&request);
    }
  }
  for (Request* request : served) {
    request->floor_ = std::max(request->floor_, aPosition);
    Route(aContext, *request);
  }
}

} // namespace

void
ProbeNow(Context& aContext, Target& aTarget)
{
  if (!aTarget.probe_.inFlight_ && aContext.group_.share_ > 0) {
    SendNow(aContext, aTarget);
  }
}

void
MaintainProbes(Context& aContext)
{
  if (aContext.group_.share_ == 0) {
    return; // this owner may not open connections yet
  }
  for (auto& [name, target] : aContext.group_.targets_) {
    if (GetDueTime(aContext.group_, *target) > aContext.now_) {
      continue;
    }
    if (target->probe_.inFlight_) {
      auto& since = target->probe_.unansweredSince_;
      since = since.value_or(target->probe_.sentAt_);
      FailProbe(aContext, *target);
      ScheduleTermination(*target, std::exchange(target->probe_.backend_, 0));
      Emit(aContext, ResetProbe{ name });
    }
    SendNow(aContext, *target);
  }
}

Instant
NextProbeWork(const Group& aGroup)
{
  Instant next = Instant::max();
  if (aGroup.share_ == 0) {
    return next;
  }
  for (const auto& [name, target] : aGroup.targets_) {
    next = std::min(next, GetDueTime(aGroup, *target));
  }
  return next;
}

void
OnProbeAnswered(Context& aContext, const ProbeAnswered& aEvent)
{
  Group& group = aContext.group_;
  Target* target = FindTarget(group, aEvent.target_);
  if (target == nullptr || !target->probe_.inFlight_ ||
      target->probe_.sequence_ != aEvent.sequence_) {
    return;
  }
  auto& probe = target->probe_;
  const auto unansweredSince =
    std::exchange(probe.unansweredSince_, std::nullopt);
  if (!aEvent.report_) {
    FailProbe(aContext, *target);
    return;
  }
  probe.inFlight_ = false;
  probe.failed_ = false;
  probe.backend_ = aEvent.backend_;
  OnTerminationsSettled(*target, true);
  if (unansweredSince) {
    MarkSuspectConnections(aContext, *target, *unansweredSince);
  }
  ApplyReport(aContext, *target, *aEvent.report_, probe.sentAt_);
  const auto& report = *aEvent.report_;
  const bool isPrimary =
    target == FindPrimary(group) && report.primary() &&
    GrantHolds(group, report.adopted_term(), aContext.now_);
  if (isPrimary) {
    RouteFreshFloorWaiters(
      aContext, GetAppliedPosition(group, report), probe.sentAt_);
  }
}

} // namespace wigeonlb::core::traffic::internal
