#include <algorithm>

#include "core/failover/tests/simulationinternal.h"
#include "core/grants/owners.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

using foundation::Instant;

namespace {

constexpr Time kProbeInterval = 60 * kMs;
constexpr Time kProbeTimeout = 250 * kMs;
constexpr Time kWriteDeadline = 1500 * kMs;
constexpr std::size_t kWritesInFlight = 2;

Instant
HostTime(const Simulation& aSimulation, std::size_t aHost)
{
  return LocalTime(
    aSimulation, aSimulation.hosts_[aHost].name_, aSimulation.now_);
}

//! Checks that the connections of all holders do not exceed a target's limit.
void
CheckShares(Simulation& aSimulation)
{
  std::uint32_t used = grants::kControlConnections;
  for (std::size_t i = 0; i < aSimulation.hosts_.size(); ++i) {
    const auto& grants = aSimulation.hosts_[i].holder_.grants_;
    const auto held = grants.find("g");
    if (held != grants.end() &&
        held->second.expires_ > HostTime(aSimulation, i)) {
      used += grants::kProbeConnections +
              std::max(held->second.shareInUse_,
                       held->second.grant_.connection_share());
    }
  }
  if (used > kConnectionLimit) {
    ReportViolation(aSimulation,
                    std::to_string(used) + " connections are in use");
  }
}

//! Number of targets that hold a write, or that have lost their data.
std::size_t
CountTargetsHolding(const Simulation& aSimulation, std::uint64_t aId)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aSimulation.targets_, [&](const auto& aTarget) {
      return aTarget.incarnation_ > 1 || Contains(aTarget, aId);
    }));
}

//! Records an acknowledged write. A write may be acknowledged only while no
//! later primary is chosen, and while a majority of the group's size is counted
//! and holds it.
void
RecordAcknowledged(Simulation& aSimulation, const PendingWrite& aWrite)
{
  aSimulation.acknowledged_.push_back(
    { aWrite.id_, aWrite.term_, aSimulation.now_ });
  if (positions::CountedTargetCount(CommittedGroup(aSimulation)) <=
      aSimulation.targets_.size() / 2) {
    ReportViolation(aSimulation,
                    "write " + std::to_string(aWrite.id_) +
                      " acknowledged while too few targets count");
  }
  if (CountTargetsHolding(aSimulation, aWrite.id_) <=
      aSimulation.targets_.size() / 2) {
    ReportViolation(aSimulation,
                    "write " + std::to_string(aWrite.id_) +
                      " acknowledged while too few targets hold it");
  }
  for (const auto& start : CommittedGroup(aSimulation).history()) {
    if (start.term() > aWrite.term_) {
      ReportViolation(aSimulation,
                      "write " + std::to_string(aWrite.id_) + " of term " +
                        std::to_string(aWrite.term_) +
                        " acknowledged after term " +
                        std::to_string(start.term()) + " was chosen");
      return;
    }
  }
}

bool
IsOnMajority(const Simulation& aSimulation,
             const SimulatedHost& aHost,
             const PendingWrite& aWrite)
{
  if (!aSimulation.settings_.requiresMajority_) {
    return true;
  }
  std::vector<wire::TargetReport> reports;
  for (const auto& [name, report] : aHost.reports_) {
    reports.push_back(report);
  }
  const auto reached = positions::FindMajorityPosition(reports, aHost.group_);
  return reached &&
         *reached >= foundation::LogPosition{ aWrite.term_, aWrite.offset_ };
}

//! Removes the pending writes that are acknowledged, or that can no longer be.
void
RemoveFinishedWrites(Simulation& aSimulation, std::size_t aHost)
{
  auto& host = aSimulation.hosts_[aHost];
  const auto now = HostTime(aSimulation, aHost);
  std::erase_if(host.pending_, [&](const auto& aWrite) {
    const bool late = aSimulation.now_ - aWrite.startedAt_ > kWriteDeadline;
    if (late || !grants::MayAcknowledge(host.holder_, "g", aWrite.term_, now)) {
      ++aSimulation.unknown_;
      return true;
    }
    if (aWrite.offset_ == 0 || !IsOnMajority(aSimulation, host, aWrite)) {
      return false;
    }
    RecordAcknowledged(aSimulation, aWrite);
    if (aSimulation.observer_.acknowledged_) {
      aSimulation.observer_.acknowledged_(aHost, aWrite);
    }
    return true;
  });
}

void
HandleWriteAnswer(Simulation& aSimulation,
                  std::size_t aHost,
                  std::uint64_t aId,
                  std::uint64_t aTerm,
                  std::uint64_t aOffset)
{
  for (auto& write : aSimulation.hosts_[aHost].pending_) {
    if (write.id_ == aId && write.term_ == aTerm) {
      write.offset_ = aOffset;
    }
  }
  RemoveFinishedWrites(aSimulation, aHost);
}

void
StartWrite(Simulation& aSimulation, std::size_t aHost)
{
  auto& host = aSimulation.hosts_[aHost];
  const auto held = host.holder_.grants_.find("g");
  if (held == host.holder_.grants_.end() ||
      host.pending_.size() >= kWritesInFlight) {
    return;
  }
  const auto& grant = held->second.grant_;
  if (!grants::Holds(
        host.holder_, "g", grant.term(), HostTime(aSimulation, aHost))) {
    return;
  }
  const auto id = aSimulation.nextId_++;
  ++aSimulation.writesStarted_;
  host.pending_.push_back({ id, grant.term(), 0, aSimulation.now_ });
  const auto name = grant.primary();
  const auto here = host.dataCentre_;
  const auto node = host.name_;
  const auto there = Target(aSimulation, name).dataCentre_;
  // A connection delivers the write at most once.
  auto once = std::make_shared<bool>(false);
  Send(aSimulation, here, there, {}, [=, &aSimulation] {
    auto& target = Target(aSimulation, name);
    if (!target.up_ || !target.primary_ || *once) {
      return;
    }
    *once = true;
    const auto offset = Append(target, id);
    const auto term = target.adopted_;
    Send(aSimulation, there, here, node, [=, &aSimulation] {
      HandleWriteAnswer(aSimulation, aHost, id, term, offset);
    });
  });
}

void
HandleProbeResult(Simulation& aSimulation,
                  std::size_t aHost,
                  const std::string& aTarget,
                  Time aProbedAt,
                  wire::TargetReport aReport)
{
  auto& host = aSimulation.hosts_[aHost];
  const auto probe = host.probedAt_.find(aTarget);
  if (probe == host.probedAt_.end() || probe->second != aProbedAt) {
    return;
  }
  host.probedAt_.erase(probe);
  aReport.set_group("g");
  aReport.set_target(aTarget);
  if (aReport.reachable()) {
    host.reports_[aTarget] = aReport;
  }
  RemoveFinishedWrites(aSimulation, aHost);
  FeedHost(aSimulation, aHost, grants::ReportsChanged{ { aReport } });
}

void
Probe(Simulation& aSimulation,
      std::size_t aHost,
      const SimulatedTarget& aTarget)
{
  auto& host = aSimulation.hosts_[aHost];
  const auto name = aTarget.name_;
  const auto here = host.dataCentre_;
  const auto node = host.name_;
  const auto there = aTarget.dataCentre_;
  const auto probedAt = aSimulation.now_;
  host.probedAt_[name] = probedAt;
  if (probedAt < aSimulation.probesDroppedUntil_) {
    return;
  }
  Send(aSimulation, here, there, {}, [=, &aSimulation] {
    const auto& target = Target(aSimulation, name);
    const auto report =
      target.up_ ? ReadStatus(aSimulation, target) : wire::TargetReport();
    Send(aSimulation, there, here, node, [=, &aSimulation] {
      HandleProbeResult(aSimulation, aHost, name, probedAt, report);
    });
  });
}

void
Execute(Simulation& aSimulation,
        std::size_t aHost,
        const grants::SendHeartbeat& aSend)
{
  const auto member = std::ranges::find(
    aSimulation.members_, aSend.member_, &SimulatedMember::name_);
  if (member == aSimulation.members_.end()) {
    return; // a host that is no member knows no other members here
  }
  const auto index =
    static_cast<std::size_t>(member - aSimulation.members_.begin());
  const auto heartbeat = aSend.heartbeat_;
  Send(aSimulation,
       aSimulation.hosts_[aHost].dataCentre_,
       member->dataCentre_,
       member->name_,
       [&aSimulation, index, heartbeat] {
         const auto& receiver = aSimulation.members_[index];
         const auto now =
           LocalTime(aSimulation, receiver.name_, aSimulation.now_);
         const auto lease =
           LocalTime(aSimulation, receiver.name_, receiver.leaseUntil_);
         FeedMember(
           aSimulation, index, HeartbeatReceived{ heartbeat, now, lease });
       });
}

void
Execute(Simulation& aSimulation,
        std::size_t aHost,
        const grants::GrantChanged& aChange)
{
  CheckShares(aSimulation);
  if (!aChange.grant_) {
    return;
  }
  // A smaller share is in force once surplus connections are closed.
  const auto share = aChange.grant_->connection_share();
  Post(aSimulation,
       aSimulation.now_ + PickTime(aSimulation, 0, 50 * kMs),
       aSimulation.hosts_[aHost].name_,
       [&aSimulation, aHost, share] {
         const auto& grants = aSimulation.hosts_[aHost].holder_.grants_;
         const auto held = grants.find("g");
         if (held != grants.end() &&
             held->second.grant_.connection_share() == share) {
           FeedHost(aSimulation, aHost, grants::ShareInUse{ "g", share });
         }
       });
}

void
Execute(Simulation& aSimulation,
        std::size_t aHost,
        const grants::StopNewWrites& aStop)
{
  const foundation::TermEpoch term{ aStop.term_, aStop.epoch_ };
  Post(aSimulation,
       aSimulation.now_ + PickTime(aSimulation, 0, 100 * kMs),
       aSimulation.hosts_[aHost].name_,
       [&aSimulation, aHost, term] {
         if (aSimulation.hosts_[aHost].pending_.empty()) {
           FeedHost(aSimulation, aHost, grants::DrainedForRelease{ "g", term });
         }
       });
}

void
Execute(Simulation& aSimulation,
        std::size_t aHost,
        const grants::ConfigurationReceived& aReceived)
{
  auto& host = aSimulation.hosts_[aHost];
  const auto& reply = aReceived.reply_;
  if (reply.revision() <= host.holder_.revision_) {
    return;
  }
  if (!reply.whole() && reply.base_revision() > host.holder_.revision_) {
    return;
  }
  for (const auto& group : reply.groups()) {
    host.group_ = group;
    if (aSimulation.observer_.groupChanged_) {
      aSimulation.observer_.groupChanged_(aHost);
    }
  }
  FeedHost(aSimulation, aHost, grants::RevisionInForce{ reply.revision() });
}

void
Execute(Simulation&, std::size_t, const grants::HostsChanged&)
{
}

} // namespace

void
FeedHost(Simulation& aSimulation,
         std::size_t aHost,
         const grants::HolderEvent& aEvent)
{
  std::vector<grants::HolderAction> actions;
  auto& holder = aSimulation.hosts_[aHost].holder_;
  const auto now = HostTime(aSimulation, aHost);
  const bool idle = std::holds_alternative<grants::Tick>(aEvent) &&
                    grants::NextDue(holder) > now;
  grants::Step(holder, aEvent, now, actions);
  if (idle && !actions.empty()) {
    ReportViolation(aSimulation, "a holder's tick acts before it is due");
  }
  if (aSimulation.observer_.hostStepped_) {
    aSimulation.observer_.hostStepped_(aHost, actions);
  }
  for (const auto& action : actions) {
    std::visit([&](const auto& aOne) { Execute(aSimulation, aHost, aOne); },
               action);
  }
}

void
TickHost(Simulation& aSimulation, std::size_t aHost)
{
  FeedHost(aSimulation, aHost, grants::Tick{});
  RemoveFinishedWrites(aSimulation, aHost);
  StartWrite(aSimulation, aHost);
  const auto& name = aSimulation.hosts_[aHost].name_;
  Post(aSimulation, aSimulation.now_ + 30 * kMs, name, [&aSimulation, aHost] {
    TickHost(aSimulation, aHost);
  });
}

void
ProbeTargets(Simulation& aSimulation, std::size_t aHost)
{
  const auto& host = aSimulation.hosts_[aHost];
  for (const auto& target : aSimulation.targets_) {
    const auto probe = host.probedAt_.find(target.name_);
    if (probe == host.probedAt_.end()) {
      Probe(aSimulation, aHost, target);
    } else if (aSimulation.now_ - probe->second > kProbeTimeout) {
      HandleProbeResult(aSimulation, aHost, target.name_, probe->second, {});
    }
  }
  Post(aSimulation,
       aSimulation.now_ + kProbeInterval,
       host.name_,
       [&aSimulation, aHost] { ProbeTargets(aSimulation, aHost); });
}

} // namespace wigeonlb::core::failover
