#include "core/grants/granttable.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

#include "core/configuration/groupoptions.h"
#include "core/grants/owners.h"

namespace wigeonlb::core::grants {

using foundation::Duration;
using foundation::Instant;

namespace {

//! Time for which a new leader requests the stored holder lists. It is longer
//! than the default lease, so that all holders are known before shares grow.
constexpr Duration kHolderListRequestPeriodMs = std::chrono::milliseconds(2000);

//! Returns the lease length in force, or the longest one that may still run.
Duration
GetLongestActiveLease(const GrantTable& aTable,
                      std::string_view aGroup,
                      Instant aNow)
{
  const auto lease = aTable.leases_.find(std::string(aGroup));
  if (lease == aTable.leases_.end()) {
    return configuration::OptionDuration({}, "lease");
  }
  const auto& lengths = lease->second;
  return aNow < lengths.maxActiveUntil_ ? lengths.maxActiveLength_
                                        : lengths.length_;
}

bool
MayPredecessorGrantsRun(const GrantTable& aTable,
                        std::string_view aGroup,
                        Instant aNow)
{
  return !aTable.ignorePredecessorGrants_ &&
         aNow < GetPredecessorGrantsEnd(aTable, aGroup);
}

HolderKey
MakeHolderKey(const wire::HostInfo& aHost)
{
  return { aHost.host(), aHost.boot() };
}

const wire::Grant*
FindHeld(const wire::Heartbeat& aHeartbeat, std::string_view aGroup)
{
  for (const auto& held : aHeartbeat.held()) {
    if (held.group() == aGroup) {
      return &held;
    }
  }
  return nullptr;
}

//! Returns the record of a holder; creates it if there is none.
HolderRecord&
GetOrCreateRecord(GrantTable& aTable,
                  const foundation::GroupName& aGroup,
                  const HolderKey& aKey)
{
  aTable.groupsOf_[aKey].insert(aGroup);
  return aTable.holders_[aGroup][aKey];
}

//! Removes the records of a group that have no effect any more.
void
RemoveEmptyRecords(GrantTable& aTable,
                   const foundation::GroupName& aGroup,
                   Instant aNow)
{
  auto& holders = aTable.holders_[aGroup];
  for (auto item = holders.begin(); item != holders.end();) {
    MoveEndedGrants(item->second, aNow);
    if (aTable.ignoreEndedGrants_) {
      item->second.ended_ = {};
    }
    if (!IsEmpty(item->second, aNow)) {
      ++item;
      continue;
    }
    const auto groups = aTable.groupsOf_.find(item->first);
    groups->second.erase(aGroup);
    if (groups->second.empty()) {
      aTable.groupsOf_.erase(groups);
    }
    item = holders.erase(item);
  }
}

//! Marks the other incarnations of the sender's host as replaced: their
//! connections were closed when the process ended. A late heartbeat of a
//! replaced incarnation changes nothing.
void
MarkReplacedBoots(GrantTable& aTable, const HolderKey& aSender)
{
  const auto ofHost = [&](const auto& aVisit) {
    for (auto item = aTable.groupsOf_.lower_bound({ aSender.host_, 0 });
         item != aTable.groupsOf_.end() && item->first.host_ == aSender.host_;
         ++item) {
      for (const auto& group : item->second) {
        aVisit(item->first, aTable.holders_.at(group).at(item->first));
      }
    }
  };
  bool late = false;
  ofHost([&](const auto& aKey, const auto& aRecord) {
    late |= aKey == aSender && aRecord.replaced_;
  });
  ofHost([&](const auto& aKey, auto& aRecord) {
    aRecord.replaced_ |= !late && aKey != aSender;
  });
}

//! Counts the reported share of a holder that has sent this leader no heartbeat
//! yet.
void
RecordReportedHolder(GrantTable& aTable,
                     const foundation::GroupName& aGroup,
                     const HolderKey& aKey,
                     std::uint32_t aShare,
                     Instant aNow)
{
  auto& record = GetOrCreateRecord(aTable, aGroup, aKey);
  if (record.lastHeartbeatAt_ == Instant{} ||
      record.lastHeartbeatAt_ < aTable.leadingSince_) {
    record.ended_.share_ = std::max(record.ended_.share_, aShare);
    record.ended_.endedAt_ = aNow;
    record.hasProbeConnection_ = true;
    record.lastHeartbeatAt_ = aTable.leadingSince_ - Duration(1);
  }
}

bool
IsOwner(std::span<const foundation::HostId> aOwners, const HolderKey& aKey)
{
  return std::ranges::find(aOwners, aKey.host_) != aOwners.end();
}

//! Counts the connections of holders that are no longer owners.
std::uint32_t
CountFormerOwnerConnections(const GrantTable& aTable,
                            std::string_view aGroup,
                            std::span<const foundation::HostId> aOwners,
                            const HolderKey& aExcept,
                            Instant aNow)
{
  std::uint32_t used = 0;
  for (const auto& [key, record] : aTable.holders_.at(std::string(aGroup))) {
    const bool isFormerOwner = key != aExcept && !IsOwner(aOwners, key);
    used += isFormerOwner ? GetCountedConnections(record, aNow) : 0;
  }
  return used;
}

//! Returns the share that the sender should have once all shares have settled,
//! when former owners have aFormer connections open. An owner gets at least
//! one. A host that shuts down keeps its share until it has drained, but at
//! most that of one owner.
std::uint32_t
ComputeDesiredShare(const wire::GroupState& aGroup,
                    std::span<const foundation::HostId> aOwners,
                    const wire::Heartbeat& aHeartbeat,
                    std::uint32_t aFormer)
{
  const auto& sender = aHeartbeat.sender();
  const auto limit = GetConnectionLimit(aGroup);
  const auto owner = std::ranges::find(aOwners, sender.host());
  if (owner != aOwners.end()) {
    const auto shares =
      ComputeShares(limit - std::min(limit, aFormer), aOwners.size());
    const auto share =
      shares[static_cast<std::size_t>(owner - aOwners.begin())];
    return std::clamp(share, 1U, ComputeMaxUsefulShare(aGroup, aOwners.size()));
  }
  const auto* held = FindHeld(aHeartbeat, aGroup.group());
  if (held == nullptr || !sender.draining() || held->term() != aGroup.term()) {
    return 0;
  }
  return std::min(held->connection_share(),
                  ComputeShares(limit, aOwners.size() + 1).back());
}

//! Returns the share that fits in addition to the connections that other
//! holders may have open. A share never grows into the reserve. Only a new
//! owner may use the reserve, as far as former owners still count.
std::uint32_t
ComputeFittingShare(const GrantTable& aTable,
                    const wire::GroupState& aGroup,
                    std::span<const foundation::HostId> aOwners,
                    const wire::Heartbeat& aHeartbeat,
                    Instant aNow)
{
  const auto& name = aGroup.group();
  const auto key = MakeHolderKey(aHeartbeat.sender());
  const auto limit = GetConnectionLimit(aGroup);
  const auto fromFormerOwners =
    CountFormerOwnerConnections(aTable, name, aOwners, key, aNow);
  const auto used = CountUsedConnections(aTable, name, key, aNow) +
                    kControlConnections + kProbeConnections;
  const auto free = limit > used ? limit - used : 0;
  const auto reserve = ComputeConnectionReserve(limit, aOwners.size());
  const auto& holders = aTable.holders_.at(name);
  const auto record = holders.find(key);
  const auto own =
    record == holders.end() ? 0 : GetCountedShare(record->second, aNow);
  const auto desired =
    ComputeDesiredShare(aGroup, aOwners, aHeartbeat, fromFormerOwners);
  if (own > 0 && own >= desired) {
    return desired;
  }
  const auto spare = free > reserve ? free - reserve : 0;
  const auto immediate = own > 0 ? own : std::min(fromFormerOwners, free);
  return std::min(desired, std::max(spare, immediate));
}

//! Limits a share while grants of an earlier leader may be in use. Only these
//! grants are renewed, with at most the share in use, so that the sum of all
//! shares can't grow.
std::uint32_t
CapShareDuringTakeover(std::uint32_t aShare,
                       const wire::GroupState& aGroup,
                       const wire::Heartbeat& aHeartbeat)
{
  const auto* held = FindHeld(aHeartbeat, aGroup.group());
  if (held == nullptr ||
      foundation::GetTermEpoch(*held) != foundation::GetTermEpoch(aGroup)) {
    return 0;
  }
  return std::min(aShare, held->connection_share());
}

} // namespace

void
ObserveLease(GrantTable& aTable, const wire::GroupState& aGroup, Instant aNow)
{
  const auto length = configuration::OptionDuration(aGroup, "lease");
  const auto [item, added] = aTable.leases_.try_emplace(
    aGroup.group(), GroupLease{ length, length, {} });
  auto& lease = item->second;
  if (added || lease.length_ == length) {
    return;
  }
  const auto running = GetLongestActiveLease(aTable, aGroup.group(), aNow);
  lease.maxActiveLength_ = std::max(running, length);
  lease.maxActiveUntil_ = aNow + 2 * AddClockDrift(running);
  lease.length_ = length;
}

void
StartLeading(GrantTable& aTable, Instant aNow)
{
  const auto end = Instant::max();
  for (auto& [group, holders] : aTable.holders_) {
    for (auto& [key, record] : holders) {
      MoveEndedGrants(record, end);
      record.ended_.endedAt_ = aNow;
      record.released_ = {};
    }
  }
  aTable.leadingSince_ = aNow;
  aTable.reportedHosts_.clear();
  aTable.writes_.clear();
}

bool
HaveGranteesReported(const GrantTable& aTable, const wire::GroupState& aGroup)
{
  return !aGroup.grantees().empty() &&
         std::ranges::all_of(aGroup.grantees(), [&](const auto& aHost) {
           return aTable.reportedHosts_.contains(aHost);
         });
}

bool
AwaitsHeartbeats(const GrantTable& aTable,
                 const wire::GroupState& aGroup,
                 Instant aNow)
{
  return !aGroup.grantees().empty() && !HaveGranteesReported(aTable, aGroup) &&
         MayPredecessorGrantsRun(aTable, aGroup.group(), aNow);
}

std::vector<foundation::HostId>
FindPossibleHolders(const GrantTable& aTable,
                    const wire::GroupState& aGroup,
                    Instant aNow)
{
  std::set<foundation::HostId> holding;
  const auto holders = aTable.holders_.find(aGroup.group());
  if (holders != aTable.holders_.end()) {
    for (const auto& [key, record] : holders->second) {
      if (!record.replaced_ && GetCountedShare(record, aNow) > 0) {
        holding.insert(key.host_);
      }
    }
  }
  std::vector<foundation::HostId> possible;
  for (const auto& host : aGroup.grantees()) {
    const bool hasNotReported =
      !aTable.reportedHosts_.contains(host) &&
      aNow < GetPredecessorGrantsEnd(aTable, aGroup.group());
    if (hasNotReported || holding.contains(host)) {
      possible.push_back(host);
    }
  }
  return possible;
}

Instant
GetPredecessorGrantsEnd(const GrantTable& aTable, std::string_view aGroup)
{
  const auto since = aTable.leadingSince_;
  return since + AddClockDrift(GetLongestActiveLease(aTable, aGroup, since));
}

void
ProcessHeartbeat(GrantTable& aTable,
                 const wire::Heartbeat& aHeartbeat,
                 Instant aNow)
{
  const auto key = MakeHolderKey(aHeartbeat.sender());
  MarkReplacedBoots(aTable, key);
  aTable.reportedHosts_.insert(key.host_);
  for (const auto& released : aHeartbeat.released()) {
    // The share counts until the lease ends, as connections may still be open.
    auto& record = GetOrCreateRecord(aTable, released.group(), key);
    record.released_ =
      std::max(record.released_, foundation::GetTermEpoch(released));
  }
  for (const auto& held : aHeartbeat.held()) {
    RecordReportedHolder(
      aTable, held.group(), key, held.connection_share(), aNow);
  }
  for (const auto& list : aHeartbeat.holders()) {
    for (const auto& reported : list.holders()) {
      const HolderKey holder{ reported.host(), reported.boot() };
      RecordReportedHolder(
        aTable, list.group(), holder, reported.connections(), aNow);
    }
  }
  for (auto& [group, writes] : aTable.writes_) {
    RecordTold(writes, key, group, aHeartbeat, aNow);
  }
  const auto groups = aTable.groupsOf_.find(key);
  if (groups == aTable.groupsOf_.end()) {
    return;
  }
  for (const auto& group : groups->second) {
    RecordHeldGrant(aTable.holders_.at(group).at(key),
                    FindHeld(aHeartbeat, group),
                    aHeartbeat.last_reply(),
                    aNow);
  }
}

std::optional<wire::Grant>
IssueGrant(GrantTable& aTable,
           const wire::GroupState& aGroup,
           std::span<const foundation::HostId> aOwners,
           const wire::Heartbeat& aHeartbeat,
           Instant aReceived,
           Instant aNow)
{
  const auto key = MakeHolderKey(aHeartbeat.sender());
  if (aGroup.fenced() || aGroup.primary().empty()) {
    return std::nullopt;
  }
  const auto& name = aGroup.group();
  RemoveEmptyRecords(aTable, name, aNow);
  auto share = ComputeFittingShare(aTable, aGroup, aOwners, aHeartbeat, aNow);
  if (MayPredecessorGrantsRun(aTable, name, aNow) &&
      !HaveGranteesReported(aTable, aGroup)) {
    share = CapShareDuringTakeover(share, aGroup, aHeartbeat);
  }
  if (share == 0) {
    return std::nullopt;
  }
  auto& record = GetOrCreateRecord(aTable, name, key);
  if (record.released_ >= foundation::GetTermEpoch(aGroup)) {
    return std::nullopt;
  }
  const auto lease = configuration::OptionDuration(aGroup, "lease");
  record.issued_.push_back({ aHeartbeat.sequence(),
                             aGroup.term(),
                             share,
                             aReceived + AddClockDrift(lease),
                             aGroup.epoch() });
  wire::Grant grant;
  NoteWriter(aTable.writes_, aGroup, aHeartbeat, grant);
  grant.set_group(name);
  grant.set_term(aGroup.term());
  grant.set_epoch(aGroup.epoch());
  grant.set_primary(aGroup.primary());
  grant.set_connection_share(share);
  grant.set_lease_us(static_cast<std::uint64_t>(lease.count()));
  return grant;
}

std::optional<wire::GroupHolders>
ListCountedHolders(const GrantTable& aTable,
                   const foundation::GroupName& aGroup,
                   const wire::Heartbeat& aHeartbeat,
                   Instant aNow)
{
  wire::GroupHolders list;
  const auto group = aTable.holders_.find(aGroup);
  if (group != aTable.holders_.end()) {
    for (const auto& [key, record] : group->second) {
      if (GetCountedConnections(record, aNow) > 0) {
        auto* holder = list.add_holders();
        holder->set_host(key.host_);
        holder->set_boot(key.boot_);
        holder->set_connections(GetCountedShare(record, aNow));
        holder->set_lease_ended(
          !MayPredecessorGrantsRun(aTable, aGroup, aNow) &&
          IsUnresponsiveSinceLeaseEnd(record, aNow));
      }
    }
  }
  if (list.holders().empty()) {
    return std::nullopt;
  }
  const auto serialized = list.SerializeAsString();
  list.set_version(XXH64(serialized.data(), serialized.size(), 0));
  list.set_group(aGroup);
  const bool known =
    std::ranges::any_of(aHeartbeat.holders(), [&](const auto& aKnown) {
      return aKnown.group() == aGroup && aKnown.version() == list.version();
    });
  if (known) {
    list.clear_holders();
  }
  return list;
}

bool
ShouldRequestHolderLists(const GrantTable& aTable, Instant aNow)
{
  return aNow < aTable.leadingSince_ + kHolderListRequestPeriodMs;
}

std::vector<HolderKey>
FindUnreleasedHolders(const GrantTable& aTable,
                      std::string_view aGroup,
                      std::uint64_t aTerm,
                      Instant aNow)
{
  std::vector<HolderKey> unreleased;
  const auto group = aTable.holders_.find(std::string(aGroup));
  if (group == aTable.holders_.end()) {
    return unreleased;
  }
  for (const auto& [key, record] : group->second) {
    if (MayUseTerm(record, aTerm, aNow)) {
      unreleased.push_back(key);
    }
  }
  return unreleased;
}

bool
IsTermReleased(const GrantTable& aTable,
               std::string_view aGroup,
               std::uint64_t aTerm,
               Instant aNow)
{
  return !MayPredecessorGrantsRun(aTable, aGroup, aNow) &&
         FindUnreleasedHolders(aTable, aGroup, aTerm, aNow).empty();
}

std::uint32_t
CountUsedConnections(const GrantTable& aTable,
                     std::string_view aGroup,
                     const HolderKey& aExcept,
                     Instant aNow)
{
  std::uint32_t used = 0;
  const auto group = aTable.holders_.find(std::string(aGroup));
  if (group == aTable.holders_.end()) {
    return used;
  }
  for (const auto& [key, record] : group->second) {
    used += key == aExcept ? 0 : GetCountedConnections(record, aNow);
  }
  return used;
}

} // namespace wigeonlb::core::grants
