#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "control.pb.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::grants {

//! Connections on each target that are reserved for the control leader.
constexpr std::uint32_t kControlConnections = 2;

//! Connections on each target that each owner uses for its status probes.
constexpr std::uint32_t kProbeConnections = 1;

//! Connections on each target that stay free while no holder is cut off. An
//! owner that replaces an unresponsive one uses them at once, one of them as
//! its probe connection.
constexpr std::uint32_t kReservedConnections = 3;

//! Returns how many of kReservedConnections are set aside. A small connection
//! limit leaves fewer, so that each owner gets at least one connection.
std::uint32_t
ComputeConnectionReserve(std::uint32_t aConnectionLimit, std::size_t aOwners);

//! Selects up to aCount owners by rendezvous hashing among the hosts that are
//! not draining. The first are the best-ranked host of each data centre with a
//! target of the group, so that reads continue in a data centre that is cut
//! off. The best-ranked other hosts of these data centres follow. If these data
//! centres have no host, all hosts are candidates. When a host leaves, the
//! other owners remain owners. When one joins, it replaces at most one owner,
//! unless it is the first host in these data centres.
std::vector<foundation::HostId>
ChooseOwners(const wire::GroupState& aGroup,
             std::span<const wire::HostInfo> aLiveHosts,
             std::size_t aCount);

//! Sorts a group's owners in the order in which an entry host tries them:
//! itself, then those of its data centre, then the others. Each owner has the
//! same share of the targets' slots, so within each of these ranks every entry
//! host has an order of its own: the requests of many entry hosts reach the
//! owners evenly, also when one of them is lost.
void
SortOwnersForEntry(const foundation::GroupName& aGroup,
                   const wire::HostInfo& aEntryHost,
                   std::span<const wire::HostInfo> aLiveHosts,
                   std::vector<foundation::HostId>& aOwners);

//! Whether a host that joins may become an owner; false only if it certainly
//! does not. aOwners are the hosts that ChooseOwners selected without it. From
//! these and the new host alone, ChooseOwners selects the same owners as from
//! all hosts.
bool
MayBecomeOwner(const wire::GroupState& aGroup,
               std::span<const wire::HostInfo> aOwners,
               const wire::HostInfo& aHost,
               std::size_t aCount);

//! Returns the group's option `owners`.
std::size_t
GetOwnerCount(const wire::GroupState& aGroup);

//! Returns the group's option `connection_limit` if it is set, else the
//! smallest connection limit of the group's targets; 0 without targets.
std::uint32_t
GetConnectionLimit(const wire::GroupState& aGroup);

//! Returns the largest share that an owner can use: its part of the slots, plus
//! one connection that is opened while these are in use. Unbounded if a target
//! announces no slots, or if an open transaction holds a slot there only while
//! a statement runs.
std::uint32_t
ComputeMaxUsefulShare(const wire::GroupState& aGroup, std::size_t aOwners);

//! Returns the connection shares of aOwners owners in order of preference.
//! Their sum, the probe connection of each owner, the control connections and
//! the reserve never exceed the limit.
std::vector<std::uint32_t>
ComputeShares(std::uint32_t aConnectionLimit, std::size_t aOwners);

} // namespace wigeonlb::core::grants
