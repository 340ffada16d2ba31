#pragma once

#include "core/consensus/tests/plannednetwork.h"

namespace wigeonlb::core::consensus {

//! For this time after its host is back, a lost disk still counts as lost.
constexpr foundation::Duration kCatchUpMs = std::chrono::milliseconds(4000);

//! For this time, a voter that was removed without a word still counts as lost
//! though its successor is ready: its silence has to be noticed, by a leader
//! that is elected first if it led.
constexpr foundation::Duration kRemovalNoticedMs =
  std::chrono::milliseconds(1000);
constexpr foundation::Duration kLeaderRemovalNoticedMs =
  std::chrono::milliseconds(1600);

//! Time in which a leader is elected after all remaining hosts are back.
constexpr foundation::Duration kRecoveryMs = std::chrono::milliseconds(12000);

//! A loss that counts against the number that is tolerated.
struct CountedLoss
{
  bool back_ = false;              //!< the time left has begun to run
  foundation::Duration left_{ 0 }; //!< until it no longer counts
};

//! Hosts that stand still, stop, lose their disks and are replaced, while it is
//! kept track of how many losses count at a time.
struct MembershipPlay
{
  PlannedNetwork planned_;
  std::size_t tolerated_ = 1;
  std::map<foundation::HostId, foundation::Instant> thawAt_;
  std::map<foundation::HostId, foundation::Instant> startAt_;
  std::map<foundation::HostId, foundation::Instant> leaveBy_;
  std::map<foundation::HostId, CountedLoss> lostDisks_;
};

//! A group that tolerates the loss of aTolerated disks, with as many learners
//! that have caught up.
MembershipPlay
MakePlay(std::size_t aTolerated, std::uint64_t aSeed, int aLossPercent);

void
Freeze(MembershipPlay& aPlay,
       const foundation::HostId& aHost,
       foundation::Duration aTime);
void
Stop(MembershipPlay& aPlay,
     const foundation::HostId& aHost,
     foundation::Duration aTime);

//! Stops a host, which comes back with an empty disk.
void
Wipe(MembershipPlay& aPlay,
     const foundation::HostId& aHost,
     foundation::Duration aTime);

//! Loses a host for good without a word.
void
Remove(MembershipPlay& aPlay, const foundation::HostId& aHost);

//! Tells a host to stop for good. It ends once it may, or after a time limit.
void
RemoveAsPlanned(MembershipPlay& aPlay, const foundation::HostId& aHost);

//! Stops all hosts that run; each comes back within a second.
void
StopAll(MembershipPlay& aPlay);

//! Runs the group and returns the hosts whose time has come.
void
Advance(MembershipPlay& aPlay, foundation::Duration aTime);

//! Hosts that run, are not frozen and are not to stop.
std::vector<foundation::HostId>
ListHealthyHosts(const MembershipPlay& aPlay);

//! Whether one more disk may be lost.
bool
MayLoseDisk(const MembershipPlay& aPlay);

//! Returns all remaining hosts and checks what must hold then. Returns what
//! does not, or an empty text.
std::string
CheckRecovery(MembershipPlay& aPlay);

} // namespace wigeonlb::core::consensus
