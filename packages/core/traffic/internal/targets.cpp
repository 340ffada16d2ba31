#include "core/traffic/internal/targets.h"

#include <algorithm>
#include <limits>

#include "core/configuration/groupoptions.h"
#include "core/positions/positions.h"
#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/floors.h"
#include "core/traffic/internal/grants.h"

namespace wigeonlb::core::traffic::internal {

namespace {

// Slots that each owner may use beyond its own part of a target's slots,
// because the parts of the other owners are rarely all in use. Only for targets
// that count slots by statement and queue statements beyond them.
constexpr std::uint32_t kExtraSlots = 1;

bool
IsWithinStalenessBound(const Group& aGroup,
                       const LogPosition& aPosition,
                       std::optional<Duration> aMaxAge,
                       Instant aNow)
{
  if (!aMaxAge) {
    return true;
  }
  const auto age = routing::GetStalenessBound(aGroup.samples_, aPosition, aNow);
  return age && *age <= *aMaxAge;
}

// FindIneligibleReason for a replica that checks positions itself.
std::string_view
FindCheckedIneligibleReason(const Group& aGroup,
                            const Target& aTarget,
                            const LogPosition& aFloor,
                            std::optional<Duration> aMaxAge,
                            Instant aNow)
{
  LogPosition floor = aFloor;
  if (aMaxAge) {
    const auto ageFloor = ComputeAgeFloor(aGroup, *aMaxAge, aNow);
    if (!ageFloor) {
      return "no sample of the primary's position is recent enough";
    }
    floor = std::max(floor, *ageFloor);
  }
  if (aTarget.applied_.position_ >= floor) {
    return "";
  }
  if (aNow < aTarget.refusedUntil_ && floor >= aTarget.refusedFloor_) {
    return "behind the floor";
  }
  const auto arrival =
    routing::EstimateArrival(aTarget.applied_, aGroup.samples_, floor, aNow);
  return arrival && *arrival > aNow ? "behind the floor" : "";
}

bool
HasDivergedTail(const Group& aGroup, const wire::TargetReport& aReport)
{
  return aGroup.settings_.guards_.writtenTerm_ &&
         positions::IsDiverged(aReport, aGroup.state_);
}

bool
IsSameServer(const wire::TargetState& aOld, const wire::TargetState& aNew)
{
  return aOld.address() == aNew.address() &&
         aOld.incarnation() == aNew.incarnation();
}

void
RemoveTarget(Context& aContext, const TargetName& aName)
{
  const auto found = aContext.group_.targets_.find(aName);
  CloseAll(aContext, *found->second);
  aContext.group_.targets_.erase(found);
}

void
UpdateTarget(Context& aContext, const wire::TargetState& aState, bool aUsable)
{
  auto& entry = aContext.group_.targets_[aState.target()];
  if (entry && !IsSameServer(entry->state_, aState)) {
    CloseAll(aContext, *entry);
    entry.reset();
  }
  if (!entry) {
    entry = std::make_unique<Target>();
  }
  entry->state_ = aState;
  entry->usable_ = aUsable;
}

// Connections that were opened under the other rule must not be used: close the
// idle ones. Those in use are closed when they become idle, see ReturnToPool.
void
SeparateOrganisations(Context& aContext, bool aSeparate)
{
  Group& group = aContext.group_;
  if (group.byOrganisation_ == aSeparate) {
    return;
  }
  group.byOrganisation_ = aSeparate;
  for (auto& [name, target] : group.targets_) {
    while (!target->pool_.idle_.empty()) {
      Close(aContext, static_cast<Connection&>(target->pool_.idle_.front()));
    }
  }
}

void
ApplyOptions(Settings& aSettings, const wire::GroupState& aGroup)
{
  aSettings.probeTimeout_ =
    configuration::OptionDuration(aGroup, "suspect_after");
  aSettings.idleTransaction_ =
    configuration::OptionDuration(aGroup, "idle_transaction");
  aSettings.idleTransactionContended_ =
    configuration::OptionDuration(aGroup, "idle_transaction_contended");
  aSettings.queueLimit_ =
    static_cast<std::size_t>(configuration::OptionNumber(aGroup, "queue"));
  const auto concurrency = configuration::OptionNumber(aGroup, "concurrency");
  aSettings.concurrency_ = concurrency == 0
                             ? std::numeric_limits<std::uint32_t>::max()
                             : static_cast<std::uint32_t>(concurrency);
  const auto acknowledge = configuration::OptionText(aGroup, "acknowledge");
  aSettings.majorityAcknowledges_ = acknowledge == "majority";
  aSettings.oneReplicaAcknowledges_ = acknowledge == "one_replica";
  aSettings.requestKeys_ = !configuration::RequestKeyTable(aGroup).empty();
}

} // namespace

Target*
FindTarget(Group& aGroup, const TargetName& aName)
{
  const auto found = aGroup.targets_.find(aName);
  return found == aGroup.targets_.end() ? nullptr : found->second.get();
}

Target*
FindPrimary(Group& aGroup)
{
  return aGroup.grant_ ? FindTarget(aGroup, aGroup.grant_->primary_) : nullptr;
}

bool
AcceptsWork(const Target& aTarget)
{
  return aTarget.usable_ && !aTarget.state_.draining();
}

bool
MayPin(const Target& aTarget)
{
  const auto& pool = aTarget.pool_;
  return pool.share_ <= 1 || pool.pinned_ + 1 < pool.share_;
}

LogPosition
GetAppliedPosition(const Group& aGroup, const wire::TargetReport& aReport)
{
  if (!aGroup.settings_.guards_.writtenTerm_) {
    return { aReport.adopted_term(), aReport.applied_offset() };
  }
  return positions::GetAppliedPosition(aReport, aGroup.state_);
}

bool
IsSameIncarnation(const Group& aGroup,
                  const Target& aTarget,
                  const wire::TargetReport& aReport)
{
  return !aGroup.settings_.guards_.incarnation_ ||
         aReport.incarnation() == aTarget.state_.incarnation();
}

std::string_view
FindIneligibleReason(const Group& aGroup,
                     const Target& aTarget,
                     const LogPosition& aFloor,
                     std::optional<Duration> aMaxAge,
                     Instant aNow)
{
  if (!aTarget.usable_) {
    return "not announced, or leaving";
  }
  if (aTarget.state_.draining()) {
    return "draining";
  }
  if (!aTarget.state_.counted()) {
    return "not admitted";
  }
  if (aTarget.probe_.failed_) {
    return "unreachable";
  }
  if (aTarget.state_.checks_positions()) {
    return routing::IsEjected(aTarget.health_, aNow)
             ? "ejected for failures or slowness"
             : FindCheckedIneligibleReason(
                 aGroup, aTarget, aFloor, aMaxAge, aNow);
  }
  if (!aTarget.report_) {
    return "no status yet";
  }
  if (!IsSameIncarnation(aGroup, aTarget, *aTarget.report_)) {
    return "its data was rebuilt";
  }
  if (routing::IsEjected(aTarget.health_, aNow)) {
    return "ejected for failures or slowness";
  }
  if (HasDivergedTail(aGroup, *aTarget.report_)) {
    return "its log has a diverged tail";
  }
  const LogPosition applied = GetAppliedPosition(aGroup, *aTarget.report_);
  if (applied < aFloor) {
    return "behind the floor";
  }
  return IsWithinStalenessBound(aGroup, applied, aMaxAge, aNow)
           ? ""
           : "its data is older than the staleness bound";
}

bool
SatisfiesRead(const Group& aGroup,
              const Target& aTarget,
              const wire::TargetReport& aReport,
              const LogPosition& aFloor,
              std::optional<Duration> aMaxAge,
              Instant aNow)
{
  if (!aGroup.settings_.guards_.probeWithRead_) {
    return true;
  }
  if (!IsSameIncarnation(aGroup, aTarget, aReport) ||
      HasDivergedTail(aGroup, aReport)) {
    return false;
  }
  const LogPosition applied = GetAppliedPosition(aGroup, aReport);
  return applied >= aFloor &&
         IsWithinStalenessBound(aGroup, applied, aMaxAge, aNow);
}

void
ApplyReport(Context& aContext,
            Target& aTarget,
            const wire::TargetReport& aReport,
            Instant aSentAt)
{
  Group& group = aContext.group_;
  aTarget.report_ = aReport;
  aTarget.report_->set_group(group.state_.group());
  aTarget.report_->set_target(aTarget.state_.target());
  aTarget.report_->set_reachable(true);
  aTarget.reportAt_ = aContext.now_;
  aTarget.lastReceivedAt_ = aContext.now_;
  ++group.version_;
  if (!IsSameIncarnation(group, aTarget, aReport)) {
    return;
  }
  const auto synced = positions::GetWrittenPosition(aReport, group.state_);
  const LogPosition applied = GetAppliedPosition(group, aReport);
  const bool isPrimary = &aTarget == FindPrimary(group) && aReport.primary();
  if (isPrimary && GrantHolds(group, aReport.adopted_term(), aContext.now_)) {
    routing::AddSample(group.samples_, applied, aSentAt);
  }
  routing::RecordPosition(
    aTarget.synced_, group.samples_, synced, aContext.now_);
  routing::RecordPosition(
    aTarget.applied_, group.samples_, applied, aContext.now_);
}

void
SetLimits(Context& aContext)
{
  Group& group = aContext.group_;
  if (group.grant_) {
    group.share_ = group.grant_->share_;
  } else {
    group.share_ = std::min(group.share_, group.settings_.shareWithoutGrant_);
  }
  for (auto& [name, target] : group.targets_) {
    target->pool_.share_ = group.share_;
    target->pool_.slots_ = pool::ComputeSlotShare(
      std::min(target->state_.slots(), group.settings_.concurrency_),
      group.owners_);
    if (target->state_.slots_by_statement() && group.owners_ > 1) {
      target->pool_.slots_ += kExtraSlots;
    }
    target->pool_.pinnedHoldSlots_ = !target->state_.slots_by_statement();
  }
}

void
OnGroupChanged(Context& aContext, const GroupChanged& aEvent)
{
  Group& group = aContext.group_;
  group.state_ = aEvent.group_;
  group.owners_ = aEvent.owners_;
  SeparateOrganisations(aContext, aEvent.byOrganisation_);
  ApplyOptions(group.settings_, aEvent.group_);
  ++group.version_;
  std::vector<TargetName> removed;
  for (const auto& [name, target] : group.targets_) {
    removed.push_back(name);
  }
  for (const auto& state : aEvent.group_.targets()) {
    std::erase(removed, state.target());
    const bool usable =
      std::find(aEvent.usable_.begin(), aEvent.usable_.end(), state.target()) !=
      aEvent.usable_.end();
    UpdateTarget(aContext, state, usable);
  }
  for (const auto& name : removed) {
    RemoveTarget(aContext, name);
  }
  if (aEvent.noLeaderSinceStart_ && group.share_ == 0) {
    group.share_ = group.settings_.shareWithoutGrant_;
  }
  SetLimits(aContext);
}

void
EjectOutlierReplicas(Context& aContext)
{
  Group& group = aContext.group_;
  const Target* primary = FindPrimary(group);
  std::vector<routing::TargetHealth*> replicas;
  for (auto& [name, target] : group.targets_) {
    if (target.get() != primary && AcceptsWork(*target)) {
      replicas.push_back(&target->health_);
    }
  }
  aContext.counters_.ejections_ +=
    routing::EjectOutliers(replicas, aContext.now_);
}

} // namespace wigeonlb::core::traffic::internal
