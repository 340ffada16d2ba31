#include "core/traffic/trafficstate.h"

#include <algorithm>

#include "core/traffic/internal/acknowledgement.h"
#include "core/traffic/internal/answers.h"
#include "core/traffic/internal/arrivals.h"
#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/context.h"
#include "core/traffic/internal/deadlines.h"
#include "core/traffic/internal/dispatch.h"
#include "core/traffic/internal/grants.h"
#include "core/traffic/internal/group.h"
#include "core/traffic/internal/probes.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic {

namespace {

using internal::Context;

void
Handle(Context& aContext, const GroupChanged& aEvent)
{
  internal::OnGroupChanged(aContext, aEvent);
}

void
Handle(Context& aContext, const GrantChanged& aEvent)
{
  internal::OnGrantChanged(aContext, aEvent);
}

void
Handle(Context& aContext, const StopNewWrites& aEvent)
{
  internal::OnStopNewWrites(aContext, aEvent);
}

void
Handle(Context& aContext, const RequestArrived& aEvent)
{
  internal::OnRequestArrived(aContext, aEvent);
}

void
Handle(Context& aContext, const ConnectionOpened& aEvent)
{
  internal::OnConnectionOpened(aContext, aEvent);
}

void
Handle(Context& aContext, const ConnectionFailed& aEvent)
{
  internal::OnConnectionFailed(aContext, aEvent);
}

void
Handle(Context& aContext, const ConnectionClosed& aEvent)
{
  internal::OnConnectionClosed(aContext, aEvent);
}

void
Handle(Context& aContext, const StatementFinished& aEvent)
{
  internal::OnStatementFinished(aContext, aEvent);
}

void
Handle(Context& aContext, const ReadProbeAnswered& aEvent)
{
  internal::OnReadProbeAnswered(aContext, aEvent);
}

void
Handle(Context& aContext, const CommitPositionRead& aEvent)
{
  internal::OnCommitPositionRead(aContext, aEvent);
}

void
Handle(Context& aContext, const ProbeAnswered& aEvent)
{
  internal::OnProbeAnswered(aContext, aEvent);
}

void
Handle(Context& aContext, const CancelRequested& aEvent)
{
  internal::OnCancelRequested(aContext, aEvent);
}

void
Handle(Context& aContext, const SessionClosed& aEvent)
{
  internal::OnSessionClosed(aContext, aEvent);
}

void
Handle(Context&, const Tick&)
{
}

wire::TargetReport
MakeReport(const internal::Group& aGroup,
           const internal::Target& aTarget,
           Instant aNow)
{
  wire::TargetReport report;
  if (aTarget.report_) {
    report = *aTarget.report_;
    report.set_age_us(
      static_cast<std::uint64_t>((aNow - aTarget.reportAt_).count()));
  }
  report.set_group(aGroup.state_.group());
  report.set_target(aTarget.state_.target());
  report.set_address(aTarget.state_.address());
  report.set_reachable(aTarget.report_ && !aTarget.probe_.failed_);
  return report;
}

} // namespace

TrafficState::TrafficState(const Settings& aSettings)
  : group_(std::make_unique<internal::Group>())
{
  group_->settings_ = aSettings;
  group_->samples_.limit_ = aSettings.sampleLimit_;
  group_->retries_.retriesPerSuccess_ = aSettings.retryShare_;
  group_->generator_.seed(
    static_cast<routing::Generator::result_type>(aSettings.seed_));
}

TrafficState::TrafficState(TrafficState&&) noexcept = default;
TrafficState&
TrafficState::operator=(TrafficState&&) noexcept = default;
TrafficState::~TrafficState() = default;

void
Step(TrafficState& aState,
     const TrafficEvent& aEvent,
     Instant aNow,
     std::vector<TrafficAction>& aActions)
{
  Context context{ *aState.group_, aState.counters_, aNow, aActions };
  // An expired grant must end before the event is handled.
  internal::EndGrantIfDue(context);
  std::visit([&](const auto& aAlternative) { Handle(context, aAlternative); },
             aEvent);
  internal::AcknowledgeCommits(context);
  internal::ExpireRequests(context);
  internal::ExpireTransactions(context);
  internal::CloseUnresponsiveConnections(context);
  internal::Dispatch(context);
  internal::EndGrantIfDue(context);
  internal::MaintainConnections(context);
  internal::MaintainProbes(context);
}

Instant
NextWake(const TrafficState& aState)
{
  const auto& group = *aState.group_;
  return std::min({ internal::NextDeadline(group),
                    internal::NextConnectionWork(group),
                    internal::NextGrantWork(group),
                    internal::NextProbeWork(group) });
}

std::vector<wire::TargetReport>
CollectReports(const TrafficState& aState, Instant aNow)
{
  std::vector<wire::TargetReport> reports;
  for (const auto& [name, target] : aState.group_->targets_) {
    // Without a probe result it is neither reachable nor unreachable.
    if (!target->report_ && !target->probe_.failed_) {
      continue;
    }
    reports.push_back(MakeReport(*aState.group_, *target, aNow));
  }
  return reports;
}

std::vector<ReadChoice>
ExplainRead(const TrafficState& aState,
            const LogPosition& aFloor,
            std::optional<Duration> aMaxAge,
            Instant aNow)
{
  const auto& group = *aState.group_;
  std::vector<ReadChoice> rows;
  for (const auto& [name, target] : group.targets_) {
    ReadChoice row;
    row.target_ = name;
    const auto ineligibleReason =
      internal::FindIneligibleReason(group, *target, aFloor, aMaxAge, aNow);
    const bool primary = group.grant_ && group.grant_->primary_ == name;
    row.eligible_ = ineligibleReason.empty();
    row.reason_ =
      ineligibleReason.empty() ? "eligible" : std::string(ineligibleReason);
    if (primary) {
      row.reason_ += "; the primary, as the last resort";
    }
    if (target->report_) {
      row.applied_ = internal::GetAppliedPosition(group, *target->report_);
      row.age_ = routing::GetStalenessBound(group.samples_, row.applied_, aNow);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

TrafficGauges
CollectGauges(const TrafficState& aState)
{
  const auto& group = *aState.group_;
  TrafficGauges gauges;
  gauges.queued_ = group.primaryQueue_.size_ + group.readQueue_.size_ +
                   group.transactionWaiters_.size();
  gauges.waitingForFloor_ =
    group.freshWaiters_.size() + group.replicaWaiters_.size();
  gauges.waitingForMajority_ = group.majorityWaiters_.size();
  for (const auto& [name, target] : group.targets_) {
    gauges.openTransactions_ += target->pool_.pinned_;
    gauges.connections_ += pool::CountConnections(target->pool_);
    gauges.busyConnections_ += target->pool_.busy_;
    gauges.maxConnectionsPerTarget_ = std::max(
      { gauges.maxConnectionsPerTarget_,
        target->pool_.share_,
        static_cast<std::uint32_t>(pool::CountConnections(target->pool_)) });
  }
  return gauges;
}

GroupStatus
GetGroupStatus(const TrafficState& aState, Instant aNow)
{
  const auto& group = *aState.group_;
  GroupStatus status;
  if (group.grant_) {
    status.grantTerm_ = group.grant_->term_;
    status.leaseRemaining_ = group.grant_->expires_ - aNow;
  }
  const auto gauges = CollectGauges(aState);
  status.queued_ = gauges.queued_;
  status.queuedForPrimary_ = group.primaryQueue_.size_;
  status.openTransactions_ = gauges.openTransactions_;
  status.newest_ = routing::GetNewestPosition(group.samples_);
  status.newestAge_ =
    routing::GetStalenessBound(group.samples_, status.newest_, aNow);
  return status;
}

std::optional<SessionTransaction>
FindTransaction(const TrafficState& aState, SessionId aSession, Instant aNow)
{
  const auto& group = *aState.group_;
  const auto found = group.sessions_.find(aSession);
  if (found == group.sessions_.end()) {
    return std::nullopt;
  }
  const internal::Session& session = found->second;
  SessionTransaction transaction{ .transaction_ = session.transaction_ };
  const auto pinned = group.connections_.find(session.pinned_);
  if (pinned == group.connections_.end()) {
    return session.aborted_ ? std::optional(transaction) : std::nullopt;
  }
  const internal::Connection& connection = *pinned->second;
  transaction.connection_ = connection.id_;
  transaction.target_ = connection.target_->state_.target();
  transaction.age_ = aNow - session.transactionBeganAt_;
  if (connection.state_ == pool::ConnectionState::Pinned) {
    transaction.idle_ = aNow - connection.since_;
  }
  return transaction;
}

} // namespace wigeonlb::core::traffic
