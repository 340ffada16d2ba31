#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/configuration/applyrecord.h"
#include "core/configuration/configurationview.h"
#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

//! Size of a snapshot part; small, so that short runs transfer several parts.
constexpr std::size_t kSnapshotPartBytes = 100;

//! Persistent state of a member.
struct Disk
{
  std::optional<wire::HardState> hardState_;
  wire::MemberSnapshot snapshot_;
  std::vector<wire::ConsensusEntry> entries_;
};

struct Member
{
  ConsensusState consensus_;
  wire::ControlState control_;
  Disk disk_;
  bool up_ = true;
};

struct InFlightMessage
{
  foundation::Instant arrives_;
  wire::ConsensusMessage message_;
};

//! An operator that resends a change until it is answered.
struct Operator
{
  wire::ConfigurationChange change_;
  bool answered_ = true;
  int sent_ = 0;
};

//! The latest lease that a member has held.
struct SeenLease
{
  std::uint64_t term_ = 0;
  foundation::Instant end_;
};

//! Callbacks with the simulated time; each may be empty.
struct NetworkObserver
{
  //! A member is started.
  std::function<void(const foundation::HostId&, foundation::Instant)> started_;
  //! The control state was loaded at a start or replaced by a snapshot.
  std::function<void(const foundation::HostId&,
                     const wire::ControlState&,
                     foundation::Instant)>
    replaced_;
  std::function<void(const foundation::HostId&,
                     const wire::ConsensusEntry&,
                     foundation::Instant)>
    applying_;
  std::function<void(const foundation::HostId&,
                     const wire::ConsensusEntry&,
                     const configuration::ApplyResult&)>
    applied_;
  //! An event was handled; called before its actions are executed.
  std::function<void(const foundation::HostId&, std::span<const Action>)>
    stepped_;
  std::function<void(const foundation::HostId&,
                     const LeadershipChanged&,
                     foundation::Instant)>
    leadership_;
  //! Called with the revision in force at the host that polls the members.
  std::function<void(std::uint64_t, foundation::Instant)> revision_;
};

struct NetworkSettings
{
  int members_ = 3;
  std::uint64_t seed_ = 1;
  int lossPercent_ = 5;
  int duplicatePercent_ = 5;
  int latePerMille_ = 20; //!< messages that are delayed by up to 3 s
  //! The others are delayed by up to this time; 1: they arrive in order.
  int delayRangeMs_ = 25;
  //! Small batches and snapshots, so that short runs transfer several; off: the
  //! defaults of ConsensusSettings.
  bool smallParts_ = true;
  //! Probability of a crash while the actions of one event are executed.
  int crashPerMille_ = 0;
  Guards guards_;
  configuration::Guards configurationGuards_;
  NetworkObserver observer_;
};

//! Simulates members, links, operators and a host on a virtual clock.
struct SimulatedNetwork
{
  NetworkSettings settings_;
  std::mt19937_64 random_;
  foundation::Instant now_;
  std::map<foundation::HostId, Member> members_;
  std::vector<InFlightMessage> inFlightMessages_;
  std::set<std::pair<foundation::HostId, foundation::HostId>> cutLinks_;
  std::map<std::uint64_t, Operator> operators_; //!< by token
  configuration::ConfigurationView host_;
  //! This host crashes at its next Persist action.
  foundation::HostId crashesAtPersist_;
  std::set<foundation::HostId> refusingDisks_; //!< hosts whose writes fail
  //! Hosts that handle nothing, as during a slow write; messages wait for them.
  std::set<foundation::HostId> heldUp_;

  // Observations for the checks of the invariants.
  std::map<std::uint64_t, foundation::HostId> leaders_;     //!< by term
  std::map<std::uint64_t, wire::ConsensusEntry> committed_; //!< by index
  std::map<foundation::HostId, SeenLease> leases_;
  std::map<std::string, int> timesApplied_;
  std::uint64_t acknowledgedRevision_ = 0;
  std::set<std::string> violations_;
  std::uint64_t starts_ = 0;
  std::uint64_t disksLost_ = 0;
  std::uint64_t writesRefused_ = 0;
  std::size_t largestPartBytes_ = 0; //!< largest snapshot part sent
  std::uint64_t entriesSent_ = 0;
  std::map<foundation::HostId, std::uint64_t> bytesSentTo_;
};

SimulatedNetwork
MakeNetwork(const NetworkSettings& aSettings);

//! Advances the clock in steps of 10 ms, delivers messages, feeds ticks and
//! checks the leases.
void
Run(SimulatedNetwork& aNetwork, foundation::Duration aTime);

//! Holds a host up for the given time. Its first event after that is a tick, as
//! in the driver; the messages that waited follow.
void
HoldUp(SimulatedNetwork& aNetwork,
       const foundation::HostId& aHost,
       foundation::Duration aTime);

void
Crash(SimulatedNetwork& aNetwork, const foundation::HostId& aHost);
void
LoseDisk(SimulatedNetwork& aNetwork, const foundation::HostId& aHost);
void
Start(SimulatedNetwork& aNetwork, const foundation::HostId& aHost);

//! Cuts the links between a host and all others in both directions.
void
Isolate(SimulatedNetwork& aNetwork, const foundation::HostId& aHost);
void
Heal(SimulatedNetwork& aNetwork);

//! Feeds an event to a member, if it is up, and executes its actions.
void
Feed(SimulatedNetwork& aNetwork,
     const foundation::HostId& aHost,
     const Event& aEvent);

//! The leader with the highest term among the running members, or empty.
foundation::HostId
Leader(const SimulatedNetwork& aNetwork);

//! Sends or resends the change of an operator.
void
SendChange(SimulatedNetwork& aNetwork,
           std::uint64_t aToken,
           const foundation::HostId& aTo);

//! Records a violation if two members hold leases at the same time, or if there
//! is a newer leader before the end of a lease that a member holds or has held.
void
CheckLeases(SimulatedNetwork& aNetwork);

//! Records a violation if the logs of two members contradict each other.
void
CheckAllLogs(SimulatedNetwork& aNetwork);

} // namespace wigeonlb::core::consensus
