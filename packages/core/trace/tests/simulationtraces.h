#pragma once

#include <map>
#include <vector>

#include "core/failover/tests/simulation.h"
#include "core/trace/tracefile.h"

namespace wigeonlb::core::trace::tests {

//! Records the events of the members and hosts in a simulation in the way
//! daemons would. Times are from the simulation's clock.
class SimulationTraces
{
public:
  //! Observes the simulation from its start. Both must stay alive until the run
  //! ends.
  explicit SimulationTraces(failover::Simulation& aSimulation);
  SimulationTraces(const SimulationTraces&) = delete;
  SimulationTraces& operator=(const SimulationTraces&) = delete;

  const std::vector<Trace>& Traces() const { return traces_; }

private:
  void OnMemberStarted(std::size_t aMember);
  void OnHostStepped(std::size_t aHost,
                     std::span<const grants::HolderAction> aActions);
  void OnGroupChanged(std::size_t aHost);
  void OnAcknowledged(std::size_t aHost, const failover::PendingWrite& aWrite);
  std::size_t BeginTrace(const std::string& aName);
  std::size_t GetHostTrace(std::size_t aHost);
  wire::TraceRecord& Append(std::size_t aTrace);
  foundation::Duration GetRemainingLease(std::size_t aHost,
                                         foundation::Instant aEnd);

  failover::Simulation& simulation_;
  std::vector<Trace> traces_;
  std::map<std::size_t, std::size_t> members_; //!< trace index by member
  std::map<std::size_t, std::size_t> hosts_;   //!< trace index by host
};

} // namespace wigeonlb::core::trace::tests
