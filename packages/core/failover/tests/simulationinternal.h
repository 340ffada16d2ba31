#pragma once

#include <functional>
#include <string>

#include "core/failover/tests/simulation.h"

//! Functions that the source files of the simulation share.
namespace wigeonlb::core::failover {

foundation::Instant
LocalTime(const Simulation& aSimulation, const std::string& aNode, Time aTime);

Time
PickTime(Simulation& aSimulation, Time aLow, Time aHigh);

bool
Chance(Simulation& aSimulation, double aProbability);

//! Schedules an action on a node. On a frozen node it runs after the freeze.
void
Post(Simulation& aSimulation,
     Time aAt,
     const std::string& aNode,
     std::function<void()> aRun);

bool
AreConnected(const Simulation& aSimulation,
             const std::string& aLeft,
             const std::string& aRight);

//! Sends a message between data centres. It is delayed, and may be lost,
//! duplicated or reordered.
void
Send(Simulation& aSimulation,
     const std::string& aFromCentre,
     const std::string& aToCentre,
     const std::string& aToNode,
     const std::function<void()>& aRun);

void
ReportViolation(Simulation& aSimulation, const std::string& aText);

//! A target's status, with the faults of the settings.
wire::TargetReport
ReadStatus(const Simulation& aSimulation, const SimulatedTarget& aTarget);

void
FeedHost(Simulation& aSimulation,
         std::size_t aHost,
         const grants::HolderEvent& aEvent);

void
TickHost(Simulation& aSimulation, std::size_t aHost);

void
ProbeTargets(Simulation& aSimulation, std::size_t aHost);

void
FeedMember(Simulation& aSimulation,
           std::size_t aMember,
           const FailoverEvent& aEvent);

void
TickMember(Simulation& aSimulation, std::size_t aMember);

//! Renews the leader's lease, or elects another leader.
void
RenewOrElectLeader(Simulation& aSimulation);

//! Appends a record to the committed log and applies it at the members.
void
Commit(Simulation& aSimulation, const wire::ControlRecord& aRecord);

} // namespace wigeonlb::core::failover
