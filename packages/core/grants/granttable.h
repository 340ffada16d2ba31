#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "control.pb.h"
#include "core/grants/holderrecord.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::grants {

//! Bound on how much faster or slower one host's monotonic clock runs than
//! another's, in percent.
constexpr int kClockDriftPercent = 1;

//! A lease with the clock drift added, as the grantor has to wait.
constexpr foundation::Duration
WithDrift(foundation::Duration aLease)
{
  return aLease + aLease * kClockDriftPercent / 100;
}

//! Lease lengths of one group, by its option `lease`.
struct GroupLease
{
  foundation::Duration length_{ 0 };
  foundation::Duration longest_{ 0 }; //!< that may run until longestUntil_
  foundation::Instant longestUntil_;
};

//! The leader's side of the grants.
struct GrantTable
{
  std::map<foundation::GroupName, std::map<HolderKey, HolderRecord>> holders_;
  //! The groups in which a holder has a record.
  std::map<HolderKey, std::set<foundation::GroupName>> groupsOf_;
  std::map<foundation::GroupName, GroupLease> leases_;
  //! When this host became leader; grants of an earlier one may run since.
  foundation::Instant leadingSince_;
  //! Hosts that said since then what they hold.
  std::set<foundation::HostId> heard_;
  bool ignorePredecessorGrants_ = false; //!< for tests of the guard only
  bool forgetsEnded_ = false;            //!< for tests of the guard only
};

//! Takes the lease length of a group. Runs on every member, leader or not, so
//! that a new leader knows the longest lease that may still run.
void
ObserveLease(GrantTable& aTable,
             const wire::GroupState& aGroup,
             foundation::Instant aNow);

//! Assumes that the predecessor has just issued every grant. What this host
//! issued as an earlier leader counts until its holder is heard.
void
StartLeading(GrantTable& aTable, foundation::Instant aNow);

//! Takes what a heartbeat says of grants: releases, shares in use, and holders
//! that an earlier leader knew. The caller has checked that the heartbeat is
//! not older than one already taken.
void
ProcessHeartbeat(GrantTable& aTable,
                 const wire::Heartbeat& aHeartbeat,
                 foundation::Instant aNow);

//! The grant of a group for the sender of a heartbeat, or none: the term is
//! fenced, the host is not an owner, or no connection is free for it yet.
//! aReceived is when the leader received the heartbeat.
std::optional<wire::Grant>
IssueGrant(GrantTable& aTable,
           const wire::GroupState& aGroup,
           std::span<const foundation::HostId> aOwners,
           const wire::Heartbeat& aHeartbeat,
           foundation::Instant aReceived,
           foundation::Instant aNow);

//! True when every host that an earlier leader may have given a grant of the
//! group has said since what it holds.
bool
KnowsHolders(const GrantTable& aTable, const wire::GroupState& aGroup);

//! True while new grants wait for the heartbeats of hosts that an earlier
//! leader may have given one. Without a record of these hosts the wait is for
//! the end of the lease, and no heartbeat shortens it.
bool
AwaitsHeartbeats(const GrantTable& aTable,
                 const wire::GroupState& aGroup,
                 foundation::Instant aNow);

//! The hosts that may hold grants of the group: those of its record that this
//! leader hasn't found without one.
std::vector<foundation::HostId>
FindPossibleHolders(const GrantTable& aTable,
                    const wire::GroupState& aGroup,
                    foundation::Instant aNow);

//! Until when grants of an earlier leader may be in use for the group.
foundation::Instant
GetPredecessorGrantsEnd(const GrantTable& aTable, std::string_view aGroup);

//! The holders that count in a group, for the sender of a heartbeat, which
//! keeps them for the next leader. The list is empty with the version that the
//! sender has; there is none when no holder counts.
std::optional<wire::GroupHolders>
ListCountedHolders(const GrantTable& aTable,
                   const foundation::GroupName& aGroup,
                   const wire::Heartbeat& aHeartbeat,
                   foundation::Instant aNow);

//! True while a new leader asks the hosts what holders they know of.
bool
ShouldRequestHolderLists(const GrantTable& aTable, foundation::Instant aNow);

//! True when no grant of the term can be in use any more.
bool
IsTermReleased(const GrantTable& aTable,
               std::string_view aGroup,
               std::uint64_t aTerm,
               foundation::Instant aNow);

//! Holders that may still use a grant of the term.
std::vector<HolderKey>
FindUnreleasedHolders(const GrantTable& aTable,
                      std::string_view aGroup,
                      std::uint64_t aTerm,
                      foundation::Instant aNow);

//! Connections of each target that holders may have in use, their probe
//! connections included, without those of aExcept. A holder that was not heard
//! since its lease ended counts with its whole share: it may be frozen.
std::uint32_t
UsedConnections(const GrantTable& aTable,
                std::string_view aGroup,
                const HolderKey& aExcept,
                foundation::Instant aNow);

} // namespace wigeonlb::core::grants
