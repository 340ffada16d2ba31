#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "control.pb.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::grants {

//! Connections on each target that the control leader keeps for itself.
constexpr std::uint32_t kControlConnections = 2;

//! Connections on each target that each owner keeps for its status probes.
constexpr std::uint32_t kProbeConnections = 1;

//! Connections on each target that are left free when no holder is cut off, so
//! that an owner that takes the place of one that is not heard has connections
//! at once, its probe connection included.
constexpr std::uint32_t kReservedConnections = 3;

//! What of kReservedConnections is set aside: less under a small limit, so that
//! each owner has at least one connection.
std::uint32_t
CutOffReserve(std::uint32_t aConnectionLimit, std::size_t aOwners);

//! Picks up to aCount owners by rendezvous hashing among the hosts that are not
//! draining: first the best of each data centre that holds a target of the
//! group, so that reads go on there when it is cut off, then the best of the
//! rest of these data centres. Where they have no host, all hosts may be
//! chosen. A host that joins or leaves moves only its own place.
std::vector<foundation::HostId>
ChooseOwners(const wire::GroupState& aGroup,
             std::span<const wire::HostInfo> aLiveHosts,
             std::size_t aCount);

//! False only when a host that joins doesn't become an owner. aOwners are the
//! hosts that ChooseOwners picked without it; with them and the host alone, it
//! picks the same owners as with all hosts.
bool
MayBecomeOwner(const wire::GroupState& aGroup,
               std::span<const wire::HostInfo> aOwners,
               const wire::HostInfo& aHost,
               std::size_t aCount);

//! The group's option `owners`.
std::size_t
GetOwnerCount(const wire::GroupState& aGroup);

//! The smallest connection limit of the group's targets; 0 without targets.
std::uint32_t
ConnectionLimit(const wire::GroupState& aGroup);

//! The largest share that an owner makes use of: its part of the slots and one
//! connection that is opened meanwhile. Without announced slots no bound.
std::uint32_t
UsefulShare(const wire::GroupState& aGroup, std::size_t aOwners);

//! Shares of aOwners owners in order of preference. With the probe connection
//! of each owner, the control connections and the reserve they never exceed the
//! limit.
std::vector<std::uint32_t>
CutShares(std::uint32_t aConnectionLimit, std::size_t aOwners);

} // namespace wigeonlb::core::grants
