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
#include "core/grants/acknowledgedwrites.h"
#include "core/grants/holderrecord.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::grants {

//! Largest assumed difference between the rates of two hosts' monotonic clocks,
//! in percent.
constexpr int kClockDriftPercent = 1;

//! Returns the time after which a lease of this length has certainly ended on
//! the holder's clock. The leader waits this long.
constexpr foundation::Duration
AddClockDrift(foundation::Duration aLease)
{
  return aLease + aLease * kClockDriftPercent / 100;
}

//! Lease lengths of one group, from its option `lease`.
struct GroupLease
{
  foundation::Duration length_{ 0 };
  //! Longest lease that may still be running before maxActiveUntil_.
  foundation::Duration maxActiveLength_{ 0 };
  foundation::Instant maxActiveUntil_;
};

//! The control leader's record of the grants that it has issued, and of those
//! that an earlier leader may have issued.
struct GrantTable
{
  std::map<foundation::GroupName, std::map<HolderKey, HolderRecord>> holders_;
  //! Index of holders_: the groups in which a holder has a record.
  std::map<HolderKey, std::set<foundation::GroupName>> groupsOf_;
  std::map<foundation::GroupName, GroupLease> leases_;
  //! Of groups whose writes are acknowledged once one replica has them.
  WritesByGroup writes_;
  //! When this host became leader. Grants of an earlier leader may have been
  //! issued up to then.
  foundation::Instant leadingSince_;
  //! Hosts that have reported since then which grants they hold.
  std::set<foundation::HostId> reportedHosts_;
  //! Each disables one safety check; for tests that show that it is needed.
  bool ignorePredecessorGrants_ = false;
  bool ignoreEndedGrants_ = false;
};

//! Records the lease length of a group. Called on every control member, leader
//! or not, so that a new leader knows the longest lease that may still run.
void
ObserveLease(GrantTable& aTable,
             const wire::GroupState& aGroup,
             foundation::Instant aNow);

//! Starts a leadership, on the assumption that the previous leader has just
//! issued every grant. Grants that this host issued in an earlier leadership
//! count against the connection limit until their holder sends a heartbeat.
void
StartLeading(GrantTable& aTable, foundation::Instant aNow);

//! Records what a heartbeat reports about grants: releases, shares in use, and
//! holders known to an earlier leader. The caller has checked that no newer
//! heartbeat of this host has been processed.
void
ProcessHeartbeat(GrantTable& aTable,
                 const wire::Heartbeat& aHeartbeat,
                 foundation::Instant aNow);

//! Issues a grant of the group to the sender of a heartbeat, which the leader
//! received at aReceived. Returns none if the term is fenced or was released by
//! the sender, if the group has no primary, if the sender is not an owner, or
//! if no connection is free for it yet.
std::optional<wire::Grant>
IssueGrant(GrantTable& aTable,
           const wire::GroupState& aGroup,
           std::span<const foundation::HostId> aOwners,
           const wire::Heartbeat& aHeartbeat,
           foundation::Instant aReceived,
           foundation::Instant aNow);

//! Whether every host that may hold a grant of the group from an earlier leader
//! has reported to this leader what it holds.
bool
HaveGranteesReported(const GrantTable& aTable, const wire::GroupState& aGroup);

//! Whether new grants wait for heartbeats of hosts that may hold grants of an
//! earlier leader. If these hosts are not on record, new grants wait for the
//! end of the lease instead, and no heartbeat shortens that; this returns
//! false.
bool
AwaitsHeartbeats(const GrantTable& aTable,
                 const wire::GroupState& aGroup,
                 foundation::Instant aNow);

//! Hosts that may hold grants of the group: its recorded grantees, without
//! those that this leader knows to hold none.
std::vector<foundation::HostId>
FindPossibleHolders(const GrantTable& aTable,
                    const wire::GroupState& aGroup,
                    foundation::Instant aNow);

//! When the last grant of the group from an earlier leader has ended.
foundation::Instant
GetPredecessorGrantsEnd(const GrantTable& aTable, std::string_view aGroup);

//! Lists the holders whose connections count against the group's limit. The
//! sender of the heartbeat stores the list for the next leader. Only the
//! version is set if the sender has this version; returns none if no holder
//! counts.
std::optional<wire::GroupHolders>
ListCountedHolders(const GrantTable& aTable,
                   const foundation::GroupName& aGroup,
                   const wire::Heartbeat& aHeartbeat,
                   foundation::Instant aNow);

//! Whether this leader is so new that it requests the holder lists that the
//! hosts have stored.
bool
ShouldRequestHolderLists(const GrantTable& aTable, foundation::Instant aNow);

//! Whether no grant of the term, or of an earlier one, can be in use any more.
bool
IsTermReleased(const GrantTable& aTable,
               std::string_view aGroup,
               std::uint64_t aTerm,
               foundation::Instant aNow);

//! Holders that may still use a grant of the term or of an earlier one.
std::vector<HolderKey>
FindUnreleasedHolders(const GrantTable& aTable,
                      std::string_view aGroup,
                      std::uint64_t aTerm,
                      foundation::Instant aNow);

//! Number of connections to each target that holders other than aExcept may
//! have open, including their probe connections. A holder that has sent no
//! heartbeat since its lease ended counts with its whole share, because it may
//! be frozen with its connections open.
std::uint32_t
CountUsedConnections(const GrantTable& aTable,
                     std::string_view aGroup,
                     const HolderKey& aExcept,
                     foundation::Instant aNow);

} // namespace wigeonlb::core::grants
