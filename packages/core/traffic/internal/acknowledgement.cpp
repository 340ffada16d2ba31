#include "core/traffic/internal/acknowledgement.h"

#include <algorithm>
#include <cmath>

#include "core/positions/positions.h"
#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/floors.h"
#include "core/traffic/internal/grants.h"
#include "core/traffic/internal/outcomes.h"
#include "core/traffic/internal/probes.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

constexpr Duration kUnreachableDelay = 24h;

// A measured delay is expected to halve each time this long passes.
constexpr Duration kMeasurementHalfLife = 5s;

MajorityDelay
EstimateSyncDelay(const Context& aContext, const Target& aTarget)
{
  const Group& group = aContext.group_;
  const bool known = aTarget.report_ && !aTarget.probe_.failed_ &&
                     IsSameIncarnation(group, aTarget, *aTarget.report_);
  if (!known) {
    return { kUnreachableDelay, kUnreachableDelay };
  }
  const Duration measured =
    routing::EstimateDelay(aTarget.synced_, group.samples_, aContext.now_)
      .value_or(Duration::zero());
  const bool behind = routing::FindFirstSampleAfter(
                        group.samples_, aTarget.synced_.position_) != nullptr;
  if (behind) {
    return { measured, measured };
  }
  const double age =
    std::chrono::duration<double>(aContext.now_ - aTarget.synced_.measuredAt_) /
    kMeasurementHalfLife;
  const auto decayed = static_cast<double>(measured.count()) * std::exp2(-age);
  return { measured, Duration(static_cast<Duration::rep>(decayed)) };
}

// The position that a majority has synced in the group's term.
std::optional<LogPosition>
FindGroupMajorityPosition(const Group& aGroup)
{
  std::vector<wire::TargetReport> reports;
  for (const auto& [name, target] : aGroup.targets_) {
    if (!target->report_) {
      continue;
    }
    reports.push_back(*target->report_);
    if (!aGroup.settings_.guards_.incarnation_) {
      reports.back().set_incarnation(target->state_.incarnation());
    }
  }
  return positions::FindMajorityPosition(reports, aGroup.state_);
}

void
Acknowledge(Context& aContext, Request& aRequest)
{
  Finish finish;
  finish.outcome_ = wire::OUTCOME_DONE;
  if (aRequest.alreadyDone_ && aRequest.class_ == wire::STATEMENT_BEGIN) {
    // The transaction has run before. Fail the BEGIN, so that the caller's
    // next statements do not run outside a transaction.
    finish.outcome_ = wire::OUTCOME_FAILED;
    finish.sqlstate_ = kAlreadyDone;
  }
  finish.position_ = aRequest.commit_;
  finish.servedBy_ = aRequest.servedBy_;
  finish.passTargetAnswer_ = true;
  OnWriteAcknowledged(aContext, aRequest);
  FinishRequest(aContext, aRequest, std::move(finish));
}

// Under a grant, the primary's log stays in the grant's term and only grows.
// Anything else means that its data was rebuilt or that it is the primary of
// another term.
bool
IsLogContinuous(const Group& aGroup,
                const Connection& aConnection,
                const CommitPositionRead& aEvent)
{
  const Target& target = *aConnection.target_;
  const auto& guards = aGroup.settings_.guards_;
  const bool rebuilt =
    aEvent.incarnation_.value_or(target.state_.incarnation()) !=
    target.state_.incarnation();
  if (guards.incarnation_ && rebuilt) {
    return false;
  }
  if (!guards.grantAtAcknowledgement_) {
    return true;
  }
  return aGroup.grant_ && aEvent.position_.term_ == aGroup.grant_->term_ &&
         aEvent.position_ >= aConnection.newestKnown_;
}

} // namespace

// The primary has synced aPosition to its own disk, so its report is updated
// too.
void
AdvancePrimaryPosition(Context& aContext,
                       Target& aTarget,
                       const LogPosition& aPosition,
                       Instant aSentAt)
{
  Group& group = aContext.group_;
  if (!GrantHolds(group, aPosition.term_, aContext.now_) ||
      &aTarget != FindPrimary(group)) {
    return;
  }
  routing::AddSample(group.samples_, aPosition, aSentAt);
  if (aTarget.report_ && aTarget.report_->adopted_term() == aPosition.term_) {
    auto& report = *aTarget.report_;
    report.set_synced_offset(
      std::max<std::uint64_t>(report.synced_offset(), aPosition.offset_));
  }
}

MajorityDelay
PredictMajorityDelay(const Context& aContext)
{
  const Group& group = aContext.group_;
  const std::size_t needed =
    positions::MajoritySize(positions::CountedTargetCount(group.state_)) - 1;
  if (needed == 0) {
    return {};
  }
  std::vector<Duration> measured;
  std::vector<Duration> expected;
  const Target* primary = FindPrimary(aContext.group_);
  for (const auto& [name, target] : group.targets_) {
    if (target.get() != primary && target->state_.counted()) {
      const MajorityDelay delay = EstimateSyncDelay(aContext, *target);
      measured.push_back(delay.measured_);
      expected.push_back(delay.expected_);
    }
  }
  if (measured.size() < needed) {
    return { kUnreachableDelay, kUnreachableDelay };
  }
  std::sort(measured.begin(), measured.end());
  std::sort(expected.begin(), expected.end());
  return { measured[needed - 1], expected[needed - 1] };
}

bool
IsMajorityTooLate(const Context& aContext, Duration aLeft)
{
  Group& group = aContext.group_;
  if (!group.settings_.guards_.refuseWhenLagging_ ||
      !group.settings_.majorityAcknowledges_) {
    return false;
  }
  const MajorityDelay delay = PredictMajorityDelay(aContext);
  if (delay.expected_ > aLeft) {
    return true;
  }
  const Target* primary = FindPrimary(group);
  const bool trialInFlight = !group.majorityWaiters_.empty() ||
                             (primary != nullptr && primary->pool_.busy_ > 0);
  return delay.measured_ > aLeft && trialInFlight;
}

void
RequestCommitPosition(Context& aContext,
                      Connection& aConnection,
                      Request& aRequest)
{
  aRequest.phase_ = Phase::ReadingPosition;
  aConnection.use_ = Use::CommitPosition;
  aConnection.newestKnown_ =
    routing::GetNewestPosition(aContext.group_.samples_);
  aConnection.withProbe_ = false;
  aConnection.since_ = aContext.now_;
  Emit(aContext, ReadCommitPosition{ aConnection.id_ });
}

void
OnCommitPositionRead(Context& aContext, const CommitPositionRead& aEvent)
{
  Group& group = aContext.group_;
  Connection* connection = FindConnection(group, aEvent.connection_);
  if (connection == nullptr) {
    return;
  }
  connection->lastReceivedAt_ = aContext.now_;
  Target& target = *connection->target_;
  target.lastReceivedAt_ = aContext.now_;
  const bool continues = IsLogContinuous(group, *connection, aEvent);
  if (continues) {
    AdvancePrimaryPosition(
      aContext, target, aEvent.position_, connection->since_);
  }
  const SessionId session = connection->session_;
  const Use use = connection->use_;
  if (use != Use::CommitPosition && use != Use::Check) {
    return;
  }
  ReturnToPool(aContext, *connection);
  if (use == Use::Check) {
    return;
  }
  Request& request = *group.sessions_.at(session).current_;
  request.connection_ = 0;
  if (!continues) {
    FinishUnknown(
      aContext,
      request,
      "the primary's log did not continue from its last known position");
    return;
  }
  AwaitAcknowledgement(aContext, request, aEvent.position_);
}

void
AwaitAcknowledgement(Context& aContext,
                     Request& aRequest,
                     const LogPosition& aCommit)
{
  Group& group = aContext.group_;
  aRequest.commit_ = aCommit;
  if (group.settings_.majorityAcknowledges_) {
    aRequest.phase_ = Phase::Majority;
    group.majorityWaiters_.push_back(aRequest);
    return;
  }
  if (GrantHolds(group, aRequest.term_, aContext.now_) ||
      !group.settings_.guards_.grantAtAcknowledgement_) {
    Acknowledge(aContext, aRequest);
    return;
  }
  FinishUnknown(
    aContext, aRequest, "the grant ended before the commit was acknowledged");
}

void
AcceptCommitPosition(Context& aContext,
                     Connection& aConnection,
                     Request& aRequest,
                     const LogPosition& aPosition)
{
  const CommitPositionRead read{ aConnection.id_,
                                 ToGrantTerm(aContext.group_, aPosition),
                                 std::nullopt };
  const bool continues = IsLogContinuous(aContext.group_, aConnection, read);
  aRequest.connection_ = 0;
  ReturnToPool(aContext, aConnection);
  if (!continues) {
    FinishUnknown(
      aContext,
      aRequest,
      "the primary's log did not continue from its last known position");
    return;
  }
  AwaitAcknowledgement(aContext, aRequest, read.position_);
}

void
AcknowledgeCommits(Context& aContext)
{
  Group& group = aContext.group_;
  if (group.majorityWaiters_.empty()) {
    return;
  }
  const auto& guards = group.settings_.guards_;
  const auto majorityPosition = FindGroupMajorityPosition(group);
  std::vector<Request*> reached;
  for (Request& request : group.majorityWaiters_) {
    const bool majority =
      (majorityPosition && majorityPosition->term_ == request.term_ &&
       *majorityPosition >= request.commit_) ||
      !guards.majorityBeforeAcknowledgement_;
    const bool granted = GrantHolds(group, request.term_, aContext.now_) ||
                         !guards.grantAtAcknowledgement_;
    if (majority && granted) {
      reached.push_back(&request);
    }
  }
  for (Request* request : reached) {
    Acknowledge(aContext, *request);
  }
}

} // namespace wigeonlb::core::traffic::internal
