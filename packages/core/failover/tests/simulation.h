#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "control.pb.h"
#include "core/failover/failover.h"
#include "core/failover/tests/simulatedtarget.h"
#include "core/grants/holder.h"

//! Simulated cluster around the failover and grant cores: a network, targets,
//! hosts with a simple writer, and control members over one committed log.
//! Everything runs on one virtual clock and one seeded random generator.
namespace wigeonlb::core::failover {

//! Virtual time, in microseconds since the start of the run.
using Time = std::int64_t;

constexpr Time kMs = 1000;

//! Connection limit of each target.
constexpr std::uint32_t kConnectionLimit = 20;

//! Seed of a run, and the guards that are active in it.
struct SimulationSettings
{
  std::uint64_t seed_ = 1;
  Guards guards_;
  bool synced_ = true;              //!< off: targets report received as synced
  bool enforcesLeaseExpiry_ = true; //!< off: holders ignore the end of a lease
  bool assumesGrants_ = true; //!< off: a new leader assumes no earlier grants
  bool requiresMajority_ = true;  //!< off: the primary alone acknowledges
  bool reportsDivergence_ = true; //!< off: a diverged target looks like one
                                  //!< that follows
  //! Off: a chosen target that has lost its data can be promoted.
  bool checksPromotionTarget_ = true;
  bool drift_ = true;            //!< clocks run at different speeds
  bool stepsIdleGroups_ = false; //!< on: idle groups are stepped on each tick
};

struct SimulatedMember
{
  std::string name_;
  std::string dataCentre_;
  FailoverState state_;
  wire::ControlState control_;
  bool up_ = true;
  Time leaseUntil_ = 0; //!< of the leader lease, in virtual time
};

struct PendingWrite
{
  std::uint64_t id_ = 0;
  std::uint64_t term_ = 0;
  std::uint64_t offset_ = 0; //!< 0 until the primary has answered
  Time startedAt_ = 0;
};

struct SimulatedHost
{
  std::string name_;
  std::string dataCentre_;
  grants::HolderState holder_;
  wire::GroupState group_;
  std::map<std::string, wire::TargetReport> reports_;
  std::map<std::string, Time> probedAt_; //!< of outstanding probes, by target
  std::vector<PendingWrite> pending_;
};

struct AcknowledgedWrite
{
  std::uint64_t id_ = 0;
  std::uint64_t term_ = 0;
  Time at_ = 0;
};

//! Callbacks for events of the simulation; each may be empty. Members and hosts
//! are given by index.
struct SimulationObserver
{
  std::function<void(std::size_t)> memberStarted_;
  std::function<void(std::size_t, const wire::ConsensusEntry&)> applying_;
  std::function<void(std::size_t,
                     const FailoverEvent&,
                     std::span<const FailoverAction>,
                     foundation::Instant)>
    memberStepped_;
  std::function<void(std::size_t, std::span<const grants::HolderAction>)>
    hostStepped_;
  std::function<void(std::size_t)> groupChanged_;
  std::function<void(std::size_t, const PendingWrite&)> acknowledged_;
};

struct Simulation
{
  SimulationSettings settings_;
  std::mt19937_64 random_;
  Time now_ = 0;
  std::uint64_t nextId_ = 1;
  std::uint64_t nextEvent_ = 1;

  struct Item
  {
    Time at_ = 0;
    std::uint64_t number_ = 0;
    std::string node_; //!< if frozen, the item runs when the freeze ends
    std::function<void()> run_;
  };
  struct Later
  {
    bool operator()(const Item& aLeft, const Item& aRight) const
    {
      return std::pair(aLeft.at_, aLeft.number_) >
             std::pair(aRight.at_, aRight.number_);
    }
  };
  std::priority_queue<Item, std::vector<Item>, Later> queue_;

  std::vector<SimulatedTarget> targets_;
  std::vector<SimulatedHost> hosts_;
  std::vector<SimulatedMember> members_;
  std::vector<wire::ControlRecord> log_; //!< committed records
  wire::ControlState committedState_;    //!< state after the whole log
  std::size_t leader_ = 0;
  Time leaderSeenAt_ = 0;

  std::set<std::string> isolated_; //!< data centres without links to others
  std::map<std::string, Time> frozenUntil_;
  std::map<std::string, std::pair<Time, double>> clocks_; //!< offset, speed
  double loss_ = 0;
  //! Until then the hosts' probe connections do not respond. Reads by members
  //! are not affected, as each one opens a new connection.
  Time probesDroppedUntil_ = 0;

  std::vector<AcknowledgedWrite> acknowledged_;
  //! The member that has requested promotions with each fence.
  std::map<std::uint64_t, std::size_t> fenceHolders_;
  std::size_t unknown_ = 0; //!< writes that ended without a known outcome
  std::size_t writesStarted_ = 0;
  std::vector<std::string> violations_;
  //! Called with the target's name when a confirmation is committed.
  std::function<void(const std::string&)> onConfirmed_;
  SimulationObserver observer_;
};

//! Starts three data centres, each with a target, a host and a control member.
//! Target "a" leads term 1.
void
Start(Simulation& aSimulation, const SimulationSettings& aSettings);

//! Runs until the virtual time.
void
RunUntil(Simulation& aSimulation, Time aUntil);

//! Runs an action at a virtual time.
void
ScheduleAt(Simulation& aSimulation, Time aAt, std::function<void()> aRun);

SimulatedTarget&
Target(Simulation& aSimulation, std::string_view aName);

//! The committed state of the group.
const wire::GroupState&
CommittedGroup(const Simulation& aSimulation);

//! The committed primary of the group.
SimulatedTarget&
Primary(Simulation& aSimulation);

//! Commits an operator's change.
void
RequestChange(Simulation& aSimulation, const wire::ControlRecord& aRecord);

void
Freeze(Simulation& aSimulation, const std::string& aNode, Time aFor);

//! Restarts a member without its volatile state.
void
RestartMember(Simulation& aSimulation, std::size_t aMember);

//! Time of the first acknowledgement at or after aSince; empty if there is
//! none.
std::optional<Time>
FirstAcknowledged(const Simulation& aSimulation, Time aSince);

//! The first violation; empty if there is none.
std::string
FirstViolation(const Simulation& aSimulation);

//! Checks the invariants at the end of a run: the primary holds every
//! acknowledged write, and no write has been pending for more than 3 s.
void
CheckEnd(Simulation& aSimulation);

} // namespace wigeonlb::core::failover
