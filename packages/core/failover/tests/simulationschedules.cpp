#include "core/failover/tests/simulationschedules.h"

namespace wigeonlb::core::failover {

namespace {

constexpr Time kFaultsFrom = 2000 * kMs;
constexpr Time kFaultsUntil = 6500 * kMs;

Time
PickRandom(Simulation& aSimulation, Time aLow, Time aHigh)
{
  return std::uniform_int_distribution<Time>(aLow, aHigh)(aSimulation.random_);
}

//! Kills a target and restarts it with or without its data.
void
KillFor(Simulation& aSimulation, const std::string& aTarget, Time aFor)
{
  auto& target = Target(aSimulation, aTarget);
  if (!target.up_) {
    return;
  }
  Kill(target);
  const bool empty = PickRandom(aSimulation, 0, 4) == 0;
  ScheduleAt(
    aSimulation, aSimulation.now_ + aFor, [&aSimulation, aTarget, empty] {
      auto& restarted = Target(aSimulation, aTarget);
      if (empty) {
        RestartEmpty(restarted);
      } else {
        restarted.up_ = true;
      }
    });
}

void
KillNextPrimary(Simulation& aSimulation)
{
  aSimulation.onConfirmed_ = [&aSimulation](const std::string& aTarget) {
    aSimulation.onConfirmed_ = {};
    ScheduleAt(
      aSimulation,
      aSimulation.now_ + PickRandom(aSimulation, 0, 300 * kMs),
      [&aSimulation, aTarget] { KillFor(aSimulation, aTarget, 1500 * kMs); });
  };
}

void
IsolateFor(Simulation& aSimulation, const std::string& aCentre, Time aFor)
{
  aSimulation.isolated_.insert(aCentre);
  ScheduleAt(aSimulation, aSimulation.now_ + aFor, [&aSimulation, aCentre] {
    aSimulation.isolated_.erase(aCentre);
  });
}

void
StopLeader(Simulation& aSimulation, Time aFor)
{
  const auto index = aSimulation.leader_;
  aSimulation.members_[index].up_ = false;
  ScheduleAt(aSimulation, aSimulation.now_ + aFor, [&aSimulation, index] {
    RestartMember(aSimulation, index);
  });
}

void
LoseMessages(Simulation& aSimulation, Time aFor)
{
  aSimulation.loss_ = 0.2;
  ScheduleAt(aSimulation, aSimulation.now_ + aFor, [&aSimulation] {
    aSimulation.loss_ = 0;
  });
}

void
InjectFault(Simulation& aSimulation)
{
  const auto length = PickRandom(aSimulation, 200 * kMs, 3000 * kMs);
  const auto node = std::to_string(PickRandom(aSimulation, 0, 2));
  const auto target =
    std::string(1, static_cast<char>('a' + PickRandom(aSimulation, 0, 2)));
  switch (PickRandom(aSimulation, 0, 9)) {
    case 0:
    case 1:
      return KillFor(aSimulation, Primary(aSimulation).name_, length);
    case 2:
      return KillFor(aSimulation, target, length);
    case 3:
      KillNextPrimary(aSimulation);
      return KillFor(aSimulation, Primary(aSimulation).name_, length);
    case 4:
      return IsolateFor(aSimulation, Primary(aSimulation).dataCentre_, length);
    case 5:
      return IsolateFor(aSimulation, "dc" + node, length);
    case 6:
      return Freeze(aSimulation, "h" + node, length);
    case 7:
      return Freeze(
        aSimulation, aSimulation.members_[aSimulation.leader_].name_, length);
    case 8:
      return StopLeader(aSimulation, length);
    default:
      return LoseMessages(aSimulation, length);
  }
}

} // namespace

void
RunSchedule(Simulation& aSimulation, const SimulationSettings& aSettings)
{
  Start(aSimulation, aSettings);
  const auto faults = PickRandom(aSimulation, 2, 5);
  for (Time i = 0; i < faults; ++i) {
    ScheduleAt(aSimulation,
               PickRandom(aSimulation, kFaultsFrom, kFaultsUntil),
               [&aSimulation] { InjectFault(aSimulation); });
  }
  RunUntil(aSimulation, kScheduleEnd);
  CheckEnd(aSimulation);
}

} // namespace wigeonlb::core::failover
