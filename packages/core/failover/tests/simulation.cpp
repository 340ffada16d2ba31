#include "core/failover/tests/simulation.h"

#include <algorithm>

#include "core/configuration/applyrecord.h"
#include "core/configuration/delta.h"
#include "core/failover/tests/simulationinternal.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

using foundation::Instant;

Instant
LocalTime(const Simulation& aSimulation, const std::string& aNode, Time aTime)
{
  const auto clock = aSimulation.clocks_.find(aNode);
  const auto [offset, speed] = clock == aSimulation.clocks_.end()
                                 ? std::pair<Time, double>{ 0, 1.0 }
                                 : clock->second;
  const auto elapsed = static_cast<double>(aTime) * speed;
  return Instant(foundation::Duration(offset + static_cast<Time>(elapsed)));
}

Time
PickTime(Simulation& aSimulation, Time aLow, Time aHigh)
{
  return std::uniform_int_distribution<Time>(aLow, aHigh)(aSimulation.random_);
}

bool
Chance(Simulation& aSimulation, double aProbability)
{
  return std::bernoulli_distribution(aProbability)(aSimulation.random_);
}

void
Post(Simulation& aSimulation,
     Time aAt,
     const std::string& aNode,
     std::function<void()> aRun)
{
  aSimulation.queue_.push(
    { aAt, aSimulation.nextEvent_++, aNode, std::move(aRun) });
}

void
ScheduleAt(Simulation& aSimulation, Time aAt, std::function<void()> aRun)
{
  Post(aSimulation, aAt, {}, std::move(aRun));
}

bool
AreConnected(const Simulation& aSimulation,
             const std::string& aLeft,
             const std::string& aRight)
{
  return aLeft == aRight || (!aSimulation.isolated_.contains(aLeft) &&
                             !aSimulation.isolated_.contains(aRight));
}

void
Send(Simulation& aSimulation,
     const std::string& aFromCentre,
     const std::string& aToCentre,
     const std::string& aToNode,
     const std::function<void()>& aRun)
{
  if (!AreConnected(aSimulation, aFromCentre, aToCentre) ||
      Chance(aSimulation, aSimulation.loss_)) {
    return;
  }
  const int copies = Chance(aSimulation, 0.02) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const auto delay = Chance(aSimulation, 0.02)
                         ? PickTime(aSimulation, 5 * kMs, 80 * kMs)
                         : PickTime(aSimulation, 200, 3 * kMs);
    Post(aSimulation,
         aSimulation.now_ + delay,
         aToNode,
         [&aSimulation, aFromCentre, aToCentre, aRun] {
           if (AreConnected(aSimulation, aFromCentre, aToCentre)) {
             aRun();
           }
         });
  }
}

void
ReportViolation(Simulation& aSimulation, const std::string& aText)
{
  aSimulation.violations_.push_back(std::to_string(aSimulation.now_ / kMs) +
                                    " ms: " + aText);
}

wire::TargetReport
ReadStatus(const Simulation& aSimulation, const SimulatedTarget& aTarget)
{
  return MakeReport(aTarget,
                    !aSimulation.settings_.synced_,
                    aSimulation.settings_.reportsDivergence_);
}

void
RunUntil(Simulation& aSimulation, Time aUntil)
{
  while (!aSimulation.queue_.empty() &&
         aSimulation.queue_.top().at_ <= aUntil) {
    auto item = aSimulation.queue_.top();
    aSimulation.queue_.pop();
    aSimulation.now_ = std::max(aSimulation.now_, item.at_);
    const auto frozen = aSimulation.frozenUntil_.find(item.node_);
    if (frozen != aSimulation.frozenUntil_.end() &&
        frozen->second > aSimulation.now_) {
      item.at_ = frozen->second;
      aSimulation.queue_.push(std::move(item));
      continue;
    }
    item.run_();
  }
  aSimulation.now_ = aUntil;
}

SimulatedTarget&
Target(Simulation& aSimulation, std::string_view aName)
{
  return *std::ranges::find(
    aSimulation.targets_, aName, &SimulatedTarget::name_);
}

const wire::GroupState&
CommittedGroup(const Simulation& aSimulation)
{
  return aSimulation.committedState_.groups().at("g");
}

SimulatedTarget&
Primary(Simulation& aSimulation)
{
  return Target(aSimulation, CommittedGroup(aSimulation).primary());
}

void
RequestChange(Simulation& aSimulation, const wire::ControlRecord& aRecord)
{
  Commit(aSimulation, aRecord);
}

void
Freeze(Simulation& aSimulation, const std::string& aNode, Time aFor)
{
  aSimulation.frozenUntil_[aNode] = aSimulation.now_ + aFor;
}

std::optional<Time>
FirstAcknowledged(const Simulation& aSimulation, Time aSince)
{
  for (const auto& write : aSimulation.acknowledged_) {
    if (write.at_ >= aSince) {
      return write.at_;
    }
  }
  return std::nullopt;
}

namespace {

//! Runs one replication step of each target from the reachable primary of the
//! highest term.
void
Replicate(Simulation& aSimulation)
{
  for (auto& replica : aSimulation.targets_) {
    const SimulatedTarget* source = nullptr;
    for (const auto& other : aSimulation.targets_) {
      const bool leads =
        other.up_ && other.primary_ && &other != &replica &&
        AreConnected(aSimulation, other.dataCentre_, replica.dataCentre_);
      if (leads && (source == nullptr || other.adopted_ > source->adopted_)) {
        source = &other;
      }
    }
    if (replica.up_ && source != nullptr && Chance(aSimulation, 0.7)) {
      Follow(replica,
             *source,
             static_cast<std::size_t>(PickTime(aSimulation, 0, 4)));
    }
  }
  Post(aSimulation,
       aSimulation.now_ + PickTime(aSimulation, 4 * kMs, 16 * kMs),
       {},
       [&aSimulation] { Replicate(aSimulation); });
}

//! Sends a target's announcement to all hosts, at intervals.
void
Announce(Simulation& aSimulation, std::size_t aTarget)
{
  const auto& target = aSimulation.targets_[aTarget];
  if (target.up_) {
    wire::Announcement announcement;
    announcement.set_group("g");
    announcement.set_target(target.name_);
    announcement.set_address(target.name_ + ":1");
    announcement.set_data_centre(target.dataCentre_);
    announcement.set_slots(3);
    announcement.set_connection_limit(kConnectionLimit);
    announcement.set_incarnation(target.incarnation_);
    for (std::size_t i = 0; i < aSimulation.hosts_.size(); ++i) {
      Send(aSimulation,
           target.dataCentre_,
           aSimulation.hosts_[i].dataCentre_,
           aSimulation.hosts_[i].name_,
           [&aSimulation, i, announcement] {
             FeedHost(
               aSimulation, i, grants::AnnouncementReceived{ announcement });
           });
    }
  }
  Post(aSimulation, aSimulation.now_ + 500 * kMs, {}, [&aSimulation, aTarget] {
    Announce(aSimulation, aTarget);
  });
}

void
AddNodes(Simulation& aSimulation)
{
  const std::vector<std::string> centres{ "dc0", "dc1", "dc2" };
  const std::vector<std::string> members{ "m0", "m1", "m2" };
  for (std::size_t i = 0; i < centres.size(); ++i) {
    SimulatedTarget target;
    target.name_ = std::string(1, static_cast<char>('a' + i));
    target.dataCentre_ = centres[i];
    target.primary_ = i == 0;
    target.stepsDown_ = Chance(aSimulation, 0.5);
    target.onDivergence_ =
      Chance(aSimulation, 0.5) ? OnDivergence::Rewind : OnDivergence::Refuse;
    if (target.onDivergence_ == OnDivergence::Refuse &&
        aSimulation.settings_.seed_ % 2 == 0) {
      target.onDivergence_ = OnDivergence::Keep;
    }
    aSimulation.targets_.push_back(target);

    SimulatedHost host;
    host.name_ = "h" + std::to_string(i);
    host.dataCentre_ = centres[i];
    wire::HostInfo info;
    info.set_host(host.name_);
    info.set_data_centre(host.dataCentre_);
    info.set_boot(1);
    host.holder_ = grants::MakeHolder(info, members, aSimulation.random_());
    host.holder_.ignoreLeaseEnd_ = !aSimulation.settings_.enforcesLeaseExpiry_;
    aSimulation.hosts_.push_back(std::move(host));

    SimulatedMember member;
    member.name_ = members[i];
    member.dataCentre_ = centres[i];
    aSimulation.members_.push_back(std::move(member));
    for (const auto& name : { "h" + std::to_string(i), members[i] }) {
      const auto drift =
        aSimulation.settings_.drift_ ? PickTime(aSimulation, -4, 4) : 0;
      aSimulation.clocks_[name] = { PickTime(aSimulation, 1000, 100000) * 1000 *
                                      kMs,
                                    1.0 + static_cast<double>(drift) / 1000.0 };
    }
  }
}

} // namespace

void
Start(Simulation& aSimulation, const SimulationSettings& aSettings)
{
  aSimulation.settings_ = aSettings;
  aSimulation.random_.seed(aSettings.seed_);
  AddNodes(aSimulation);
  for (std::size_t i = 0; i < aSimulation.members_.size(); ++i) {
    RestartMember(aSimulation, i);
    TickMember(aSimulation, i);
  }
  wire::ControlRecord create;
  create.mutable_change()->set_change_id("create");
  create.mutable_change()->add_operations()->mutable_create_group()->set_group(
    "g");
  Commit(aSimulation, create);
  RenewOrElectLeader(aSimulation);
  for (std::size_t i = 0; i < aSimulation.hosts_.size(); ++i) {
    TickHost(aSimulation, i);
    ProbeTargets(aSimulation, i);
  }
  for (std::size_t i = 0; i < aSimulation.targets_.size(); ++i) {
    Announce(aSimulation, i);
  }
  Replicate(aSimulation);
}

std::string
FirstViolation(const Simulation& aSimulation)
{
  return aSimulation.violations_.empty() ? std::string()
                                         : aSimulation.violations_.front();
}

void
CheckEnd(Simulation& aSimulation)
{
  const auto& primary = Primary(aSimulation);
  const auto& group = CommittedGroup(aSimulation);
  const auto* target = positions::FindTarget(group, primary.name_);
  // A primary that has lost its data does not count, although no other target
  // was promoted yet.
  const bool live =
    !group.fenced() && target->incarnation() == primary.incarnation_;
  for (const auto& write : aSimulation.acknowledged_) {
    if (live && !Contains(primary, write.id_)) {
      ReportViolation(aSimulation,
                      "write " + std::to_string(write.id_) +
                        " is missing at the end in " + primary.name_);
    }
  }
  for (const auto& host : aSimulation.hosts_) {
    for (const auto& write : host.pending_) {
      if (aSimulation.now_ - write.startedAt_ > 3000 * kMs) {
        ReportViolation(aSimulation, "a write never ended at " + host.name_);
      }
    }
  }
}

} // namespace wigeonlb::core::failover
