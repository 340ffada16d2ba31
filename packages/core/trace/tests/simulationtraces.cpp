#include "core/trace/tests/simulationtraces.h"

#include "core/failover/tests/simulationinternal.h"
#include "core/trace/failoverrecords.h"

namespace wigeonlb::core::trace::tests {

SimulationTraces::SimulationTraces(failover::Simulation& aSimulation)
  : simulation_(aSimulation)
{
  auto& observer = aSimulation.observer_;
  observer.memberStarted_ = [this](std::size_t aMember) {
    OnMemberStarted(aMember);
  };
  observer.applying_ = [this](std::size_t aMember,
                              const wire::ConsensusEntry& aEntry) {
    *Append(members_.at(aMember)).mutable_applied() = aEntry;
  };
  observer.memberStepped_ =
    [this](std::size_t aMember,
           const failover::FailoverEvent& aEvent,
           std::span<const failover::FailoverAction> aActions,
           foundation::Instant aNow) {
      const bool leads = simulation_.members_[aMember].state_.leading_;
      if (leads || !std::holds_alternative<failover::Tick>(aEvent)) {
        *Append(members_.at(aMember)).mutable_failover_step() =
          ToRecord(aEvent, aActions, aNow);
      }
    };
  observer.hostStepped_ =
    [this](std::size_t aHost, std::span<const grants::HolderAction> aActions) {
      OnHostStepped(aHost, aActions);
    };
  observer.groupChanged_ = [this](std::size_t aHost) { OnGroupChanged(aHost); };
  observer.acknowledged_ = [this](std::size_t aHost,
                                  const failover::PendingWrite& aWrite) {
    OnAcknowledged(aHost, aWrite);
  };
}

std::size_t
SimulationTraces::BeginTrace(const std::string& aName)
{
  traces_.push_back({ aName + "-" + std::to_string(traces_.size()), {} });
  auto& header = *Append(traces_.size() - 1).mutable_header();
  header.set_version(kTraceVersion);
  header.set_host(aName);
  header.set_boot(traces_.size());
  header.set_clock("world");
  header.set_program("virtual world");
  return traces_.size() - 1;
}

wire::TraceRecord&
SimulationTraces::Append(std::size_t aTrace)
{
  auto& records = traces_[aTrace].records_;
  auto& record = records.emplace_back();
  record.set_number(records.size());
  record.set_at_us(static_cast<std::uint64_t>(simulation_.now_));
  return record;
}

void
SimulationTraces::OnMemberStarted(std::size_t aMember)
{
  members_[aMember] = BeginTrace(simulation_.members_[aMember].name_);
}

std::size_t
SimulationTraces::GetHostTrace(std::size_t aHost)
{
  const auto known = hosts_.find(aHost);
  if (known != hosts_.end()) {
    return known->second;
  }
  return hosts_[aHost] = BeginTrace(simulation_.hosts_[aHost].name_);
}

foundation::Duration
SimulationTraces::GetRemainingLease(std::size_t aHost, foundation::Instant aEnd)
{
  return aEnd - failover::LocalTime(simulation_,
                                    simulation_.hosts_[aHost].name_,
                                    simulation_.now_);
}

void
SimulationTraces::OnHostStepped(std::size_t aHost,
                                std::span<const grants::HolderAction> aActions)
{
  for (const auto& action : aActions) {
    const auto* changed = std::get_if<grants::GrantChanged>(&action);
    if (changed != nullptr && changed->grant_) {
      auto& held = *Append(GetHostTrace(aHost)).mutable_grant_held();
      *held.mutable_grant() = *changed->grant_;
      const auto left = GetRemainingLease(aHost, changed->expires_);
      held.set_lease_left_us(static_cast<std::uint64_t>(left.count()));
    }
    const auto* sent = std::get_if<grants::SendHeartbeat>(&action);
    if (sent != nullptr) {
      for (const auto& key : sent->heartbeat_.released()) {
        *Append(GetHostTrace(aHost)).mutable_grant_released() = key;
      }
    }
  }
}

void
SimulationTraces::OnGroupChanged(std::size_t aHost)
{
  const auto& group = simulation_.hosts_[aHost].group_;
  auto& state = *Append(GetHostTrace(aHost)).mutable_group_in_force();
  state.set_owner(1);
  *state.mutable_group() = group;
  for (const auto& target : group.targets()) {
    auto& use = *state.add_targets();
    use.set_target(target.target());
    use.set_takes_work(!target.draining());
  }
}

void
SimulationTraces::OnAcknowledged(std::size_t aHost,
                                 const failover::PendingWrite& aWrite)
{
  const auto& host = simulation_.hosts_[aHost];
  auto& event = *Append(GetHostTrace(aHost)).mutable_write_acknowledged();
  event.mutable_key()->set_group("g");
  event.mutable_key()->set_owner(1);
  event.mutable_key()->set_session(aWrite.id_);
  event.mutable_key()->set_request(1);
  event.mutable_position()->set_term(aWrite.term_);
  event.mutable_position()->set_offset(aWrite.offset_);
  const auto grant = host.holder_.grants_.find("g");
  if (grant != host.holder_.grants_.end()) {
    event.set_grant_term(grant->second.grant_.term());
    event.set_lease_left_us(
      GetRemainingLease(aHost, grant->second.expires_).count());
  }
  for (const auto& [name, report] : host.reports_) {
    auto& seen = *event.add_seen();
    seen.set_target(name);
    seen.set_adopted_term(report.adopted_term());
    seen.set_synced_offset(report.synced_offset());
    seen.set_incarnation(report.incarnation());
  }
}

} // namespace wigeonlb::core::trace::tests
