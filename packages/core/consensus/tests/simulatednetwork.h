#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/configuration/applyrecord.h"
#include "core/configuration/configurationview.h"
#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

//! Settings of the members: small, so that short runs take snapshots.
constexpr std::size_t kSnapshotPartBytes = 100;

//! What a member finds after a restart.
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

//! An operator who sends one change until it is answered.
struct Operator
{
  wire::ConfigurationChange change_;
  bool answered_ = true;
  int sent_ = 0;
};

//! Called as things happen, with the virtual time; any may be empty.
struct NetworkObserver
{
  //! A member starts.
  std::function<void(const foundation::HostId&, foundation::Instant)> started_;
  //! The control state that it starts with, or that a snapshot replaces.
  std::function<void(const foundation::HostId&,
                     const wire::ControlState&,
                     foundation::Instant)>
    replaced_;
  std::function<void(const foundation::HostId&,
                     const wire::ConsensusEntry&,
                     foundation::Instant)>
    applying_;
  std::function<void(const foundation::HostId&,
                     const LeadershipChanged&,
                     foundation::Instant)>
    leadership_;
  //! Of the one host that follows the members.
  std::function<void(std::uint64_t, foundation::Instant)> revision_;
};

struct NetworkSettings
{
  int members_ = 3;
  std::uint64_t seed_ = 1;
  int lossPercent_ = 5;
  int duplicatePercent_ = 5;
  int crashPerMille_ = 0; //!< chance of a crash within one list of actions
  Guards guards_;
  configuration::Guards configurationGuards_;
  NetworkObserver observer_;
};

//! Members, links and operators on one virtual clock.
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
  //! This host crashes when it next comes to a Persist.
  foundation::HostId crashesAtPersist_;

  // What must hold, as seen from outside.
  std::map<std::uint64_t, foundation::HostId> leaders_;
  std::map<std::uint64_t, wire::ConsensusEntry> committed_; //!< by index
  std::map<std::string, int> timesApplied_;
  std::uint64_t acknowledgedRevision_ = 0;
  std::set<std::string> violations_;
  std::uint64_t starts_ = 0;
  std::uint64_t disksLost_ = 0;
  std::size_t largestPartBytes_ = 0; //!< of a snapshot on its way, in bytes
  std::uint64_t entriesSent_ = 0;
};

SimulatedNetwork
MakeNetwork(const NetworkSettings& aSettings);

//! Moves the clock on in steps of 10 ms and runs what is due.
void
Run(SimulatedNetwork& aNetwork, foundation::Duration aTime);

void
Crash(SimulatedNetwork& aNetwork, const foundation::HostId& aHost);
void
LoseDisk(SimulatedNetwork& aNetwork, const foundation::HostId& aHost);
void
Start(SimulatedNetwork& aNetwork, const foundation::HostId& aHost);

//! Cuts a host off from all others, both ways.
void
Isolate(SimulatedNetwork& aNetwork, const foundation::HostId& aHost);
void
Heal(SimulatedNetwork& aNetwork);

//! Hands one event to a member that is up and carries its actions out.
void
Feed(SimulatedNetwork& aNetwork,
     const foundation::HostId& aHost,
     const Event& aEvent);

//! The leader of the highest term among those that are up, or empty.
foundation::HostId
Leader(const SimulatedNetwork& aNetwork);

//! Lets an operator send a change, or send it again.
void
SendChange(SimulatedNetwork& aNetwork,
           std::uint64_t aToken,
           const foundation::HostId& aTo);

//! Looks at what must hold between members; notes violations.
void
CheckLeases(SimulatedNetwork& aNetwork);
void
CheckAllLogs(SimulatedNetwork& aNetwork);

} // namespace wigeonlb::core::consensus
