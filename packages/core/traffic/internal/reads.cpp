#include "core/traffic/internal/reads.h"

#include <algorithm>

#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/grants.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

using Kind = ReadDecision::Kind;

constexpr Duration kRejectedRetryAfter = 200ms;
// A waiting read is routed again this long after the predicted time.
constexpr Duration kPredictionSlack = 2ms;

// A read is assumed to take up to this many times the mean service time. If it
// is sent with less time left, it occupies a slot but likely misses its
// deadline.
constexpr int kMaxServiceFactor = 2;

// A read is sent to an idle primary once it has waited for busy replicas for
// its latency objective divided by kObjectiveDivisor, so that the rest suffices
// for queueing and running it. Without a latency objective, the wait is the
// time until the deadline divided by kDeadlineDivisor.
constexpr int kObjectiveDivisor = 8;
constexpr int kDeadlineDivisor = 2;

struct Eligible
{
  std::vector<Target*> free_;
  std::size_t busy_ = 0;
};

Eligible
FindEligible(Context& aContext, const Request& aRequest, bool aAvoid)
{
  Eligible eligible;
  const Target* primary = FindPrimary(aContext.group_);
  for (auto& [name, target] : aContext.group_.targets_) {
    const bool skipped = aAvoid && name == aRequest.avoid_;
    if (target.get() == primary || skipped ||
        !FindIneligibleReason(aContext.group_,
                              *target,
                              aRequest.floor_,
                              aRequest.maxAge_,
                              aContext.now_)
           .empty()) {
      continue;
    }
    const bool slot = HasSlotFor(aContext.group_, *target) ||
                      !aContext.group_.settings_.guards_.slotLimit_;
    const bool mayPin =
      aRequest.class_ != wire::STATEMENT_BEGIN_READ || MayPin(*target);
    if (slot && mayPin && HasIdleFor(aContext.group_, *target, aRequest)) {
      eligible.free_.push_back(target.get());
    } else {
      ++eligible.busy_;
    }
  }
  return eligible;
}

ReadDecision
MakeDecision(Kind aKind)
{
  ReadDecision decision;
  decision.kind_ = aKind;
  return decision;
}

ReadDecision
SendToBest(Context& aContext,
           const Request& aRequest,
           const std::vector<Target*>& aTargets)
{
  std::vector<routing::Candidate> candidates;
  candidates.reserve(aTargets.size());
  for (const Target* target : aTargets) {
    candidates.push_back(
      { target->state_.data_centre() == aRequest.dataCentre_,
        target->pool_.busy_,
        routing::GetWeightedLatency(target->health_, aContext.now_) });
  }
  ReadDecision decision = MakeDecision(Kind::Send);
  decision.target_ =
    aTargets[routing::ChooseTarget(candidates, aContext.group_.generator_)];
  return decision;
}

Instant
GetPrimaryFallbackTime(const Request& aRequest)
{
  const Instant arrived = aRequest.arrivedAt_;
  return aRequest.latencyObjectiveAt_
           ? arrived +
               (*aRequest.latencyObjectiveAt_ - arrived) / kObjectiveDivisor
           : arrived + (aRequest.deadline_ - arrived) / kDeadlineDivisor;
}

// Replicas are eligible but busy. The primary takes the read only if the
// latency objective or the deadline is at risk and the primary is idle.
ReadDecision
QueueOrUsePrimary(const Context& aContext, const Request& aRequest)
{
  Group& group = aContext.group_;
  Target* primary = FindPrimary(group);
  const bool atRisk = aContext.now_ > GetPrimaryFallbackTime(aRequest) &&
                      !IsReadLate(aContext, aRequest, Duration::zero());
  const bool idle =
    primary != nullptr && AcceptsWork(*primary) &&
    MayUsePrimary(group, aContext.now_) && group.primaryQueue_.size_ == 0 &&
    pool::HasFreeSlot(primary->pool_) && HasIdleFor(group, *primary, aRequest);
  return MakeDecision(atRisk && idle ? Kind::Primary : Kind::Queue);
}

// The earliest time at which a replica is predicted to reach the floor.
std::optional<Instant>
PredictReplica(Context& aContext, const Request& aRequest)
{
  Group& group = aContext.group_;
  const Target* primary = FindPrimary(group);
  std::optional<Instant> best;
  for (const auto& [name, target] : group.targets_) {
    const bool candidate = target.get() != primary && AcceptsWork(*target) &&
                           target->state_.counted() && target->report_ &&
                           !target->probe_.failed_;
    if (!candidate) {
      continue;
    }
    const auto arrival = routing::EstimateArrival(
      target->applied_, group.samples_, aRequest.floor_, aContext.now_);
    if (arrival && (!best || *arrival < *best)) {
      best = arrival;
    }
  }
  return best;
}

Duration
PredictPrimaryWait(const Group& aGroup, const Target& aPrimary)
{
  return admission::PredictWait(
    aGroup.primaryService_, aGroup.primaryQueue_.size_, aPrimary.pool_.slots_);
}

ReadDecision
WaitUntil(Instant aUntil)
{
  ReadDecision decision = MakeDecision(Kind::Wait);
  decision.until_ = aUntil;
  return decision;
}

ReadDecision
Refuse(std::string aReason, Duration aRetryAfter)
{
  ReadDecision decision = MakeDecision(Kind::Refuse);
  decision.reason_ = std::move(aReason);
  decision.retryAfter_ = aRetryAfter;
  return decision;
}

// No target is known to have reached the floor, not even the primary: this
// host's reports may be outdated, or the floor is ahead of the group's log.
ReadDecision
WaitForKnownFloor(const Context& aContext, const Request& aRequest)
{
  const Instant end =
    aRequest.arrivedAt_ + aContext.group_.settings_.maxFloorWait_;
  if (aContext.now_ < end) {
    return WaitUntil(std::min(end, aRequest.deadline_));
  }
  return Refuse("the session's minimum position " +
                  foundation::ToString(aRequest.floor_) +
                  " is ahead of the group's log",
                kRejectedRetryAfter);
}

ReadDecision
DecideWithPrimary(Context& aContext, const Request& aRequest)
{
  Group& group = aContext.group_;
  if (aRequest.floor_ > routing::GetNewestPosition(group.samples_)) {
    return WaitForKnownFloor(aContext, aRequest);
  }
  const Target& primary = *FindPrimary(group);
  const auto arrival = PredictReplica(aContext, aRequest);
  const Duration cost =
    group.settings_.primaryReadPenalty_ + PredictPrimaryWait(group, primary);
  const Instant latest =
    std::min({ aContext.now_ + cost,
               aRequest.arrivedAt_ + group.settings_.maxFloorWait_,
               aRequest.deadline_ - group.readService_.mean_ });
  if (arrival && *arrival > aContext.now_ && *arrival < latest) {
    return WaitUntil(*arrival + kPredictionSlack);
  }
  return MakeDecision(Kind::Primary);
}

ReadDecision
DecideWithoutPrimary(Context& aContext, const Request& aRequest)
{
  const Instant now = aContext.now_;
  if (aRequest.maxAge_) {
    return Refuse("no target's data is known to be within the staleness bound",
                  kRejectedRetryAfter);
  }
  if (aRequest.floor_ > routing::GetNewestPosition(aContext.group_.samples_)) {
    return WaitForKnownFloor(aContext, aRequest);
  }
  const auto arrival = PredictReplica(aContext, aRequest);
  const Instant latest =
    aRequest.deadline_ - aContext.group_.readService_.mean_;
  if (arrival && *arrival > now && *arrival < latest) {
    return WaitUntil(*arrival + kPredictionSlack);
  }
  const Instant end = std::min(
    aRequest.arrivedAt_ + aContext.group_.settings_.maxFloorWait_, latest);
  if (now < end) {
    return WaitUntil(end);
  }
  const Duration untilArrival = arrival ? *arrival - now : kRejectedRetryAfter;
  return Refuse(
    "no reachable target has reached the session's minimum position " +
      foundation::ToString(aRequest.floor_),
    std::clamp(untilArrival, kRejectedRetryAfter, Duration(5s)));
}

} // namespace

ReadDecision
DecideRead(Context& aContext, const Request& aRequest)
{
  Eligible eligible = FindEligible(aContext, aRequest, true);
  if (eligible.free_.empty() && eligible.busy_ == 0) {
    eligible = FindEligible(aContext, aRequest, false);
  }
  if (!eligible.free_.empty()) {
    return SendToBest(aContext, aRequest, eligible.free_);
  }
  if (eligible.busy_ > 0) {
    return QueueOrUsePrimary(aContext, aRequest);
  }
  const Target* primary = FindPrimary(aContext.group_);
  const bool usable = primary != nullptr && AcceptsWork(*primary) &&
                      MayUsePrimary(aContext.group_, aContext.now_);
  return usable ? DecideWithPrimary(aContext, aRequest)
                : DecideWithoutPrimary(aContext, aRequest);
}

bool
WouldQueuedReadBeLate(const Context& aContext, const Request& aRequest)
{
  Group& group = aContext.group_;
  if (!group.settings_.guards_.shedding_) {
    return false;
  }
  std::size_t slots = 0;
  const Target* primary = FindPrimary(group);
  for (const auto& [name, target] : group.targets_) {
    const bool serves =
      target.get() != primary &&
      FindIneligibleReason(
        group, *target, aRequest.floor_, aRequest.maxAge_, aContext.now_)
        .empty();
    slots += serves ? target->pool_.slots_ : 0;
  }
  const Duration wait = admission::PredictWaitWithMargin(
    group.readService_,
    admission::CountAhead(group.readQueue_, aRequest),
    slots);
  return IsReadLate(aContext, aRequest, wait);
}

bool
IsReadLate(const Context& aContext, const Request& aRequest, Duration aWait)
{
  const Group& group = aContext.group_;
  const Duration left = aRequest.deadline_ - aContext.now_;
  return group.settings_.guards_.shedding_ &&
         aWait + group.readService_.mean_ * kMaxServiceFactor > left;
}

} // namespace wigeonlb::core::traffic::internal
