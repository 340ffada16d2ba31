#pragma once

#include "core/consensus/memberplan.h"
#include "core/consensus/tests/simulatednetwork.h"

namespace wigeonlb::core::consensus {

//! Time between two plans of the leader.
constexpr foundation::Duration kPlanIntervalMs = std::chrono::milliseconds(50);

//! Members that the leader plans, some of which are lost for good, while others
//! come with empty disks.
struct PlannedNetwork
{
  SimulatedNetwork network_;
  std::set<foundation::HostId> gone_;
  std::size_t wantedVoters_ = 3;
  int newcomers_ = 0;
  foundation::Instant changeDue_;
  //! Off: a voter is demoted first, and its successor promoted after that, as
  //! before joint quorums.
  bool replacesInOneChange_ = true;
};

//! Starts a host with an empty disk under a name that was never used.
foundation::HostId
AddHost(PlannedNetwork& aPlanned);

//! Ends a host and loses its disk, for good.
void
LoseHost(PlannedNetwork& aPlanned, const foundation::HostId& aHost);

//! Runs the network, the leader's plans and an operator's change each second.
void
RunPlanned(PlannedNetwork& aPlanned, foundation::Duration aTime);

//! The voters according to the leader, or none without a leader.
std::vector<foundation::HostId>
ListVoters(const PlannedNetwork& aPlanned);

//! True if no change of members is under way, the wanted number of voters is
//! there, and each is up and counts.
bool
IsWhole(const PlannedNetwork& aPlanned);

} // namespace wigeonlb::core::consensus
