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

//! Time for which a new leader asks for the lists of holders. Longer than the
//! default lease, so that all is known before shares grow.
constexpr Duration kTellHoldersMs = std::chrono::milliseconds(2000);

//! Length in force, or the longest that may still run.
Duration
LongestLease(const GrantTable& aTable, std::string_view aGroup, Instant aNow)
{
  const auto lease = aTable.leases_.find(std::string(aGroup));
  if (lease == aTable.leases_.end()) {
    return configuration::OptionDuration({}, "lease");
  }
  const auto& lengths = lease->second;
  return aNow < lengths.longestUntil_ ? lengths.longest_ : lengths.length_;
}

bool
MayRunFromEarlierLeader(const GrantTable& aTable,
                        std::string_view aGroup,
                        Instant aNow)
{
  return !aTable.ignorePredecessorGrants_ &&
         aNow < GetPredecessorGrantsEnd(aTable, aGroup);
}

HolderKey
KeyOf(const wire::HostInfo& aHost)
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

//! The record of a holder, made when it has none.
HolderRecord&
RecordOf(GrantTable& aTable,
         const foundation::GroupName& aGroup,
         const HolderKey& aKey)
{
  aTable.groupsOf_[aKey].insert(aGroup);
  return aTable.holders_[aGroup][aKey];
}

//! Forgets the holders of a group that count no more.
void
DropEmpty(GrantTable& aTable, const foundation::GroupName& aGroup, Instant aNow)
{
  auto& holders = aTable.holders_[aGroup];
  for (auto item = holders.begin(); item != holders.end();) {
    MoveEnded(item->second, aNow);
    if (aTable.forgetsEnded_) {
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

//! The connections of an earlier boot closed when its process ended. A late
//! heartbeat of that boot changes nothing.
void
NoteBoot(GrantTable& aTable, const HolderKey& aSender)
{
  const auto ofHost = [&](const auto& aRun) {
    for (auto item = aTable.groupsOf_.lower_bound({ aSender.host_, 0 });
         item != aTable.groupsOf_.end() && item->first.host_ == aSender.host_;
         ++item) {
      for (const auto& group : item->second) {
        aRun(item->first, aTable.holders_.at(group).at(item->first));
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

//! Counts what is said of a holder that this host hasn't heard since it leads.
void
Inherit(GrantTable& aTable,
        const foundation::GroupName& aGroup,
        const HolderKey& aKey,
        std::uint32_t aShare,
        Instant aNow)
{
  auto& record = RecordOf(aTable, aGroup, aKey);
  if (record.heardAt_ == Instant{} || record.heardAt_ < aTable.leadingSince_) {
    record.ended_.share_ = std::max(record.ended_.share_, aShare);
    record.ended_.endedAt_ = aNow;
    record.probes_ = true;
    record.heardAt_ = aTable.leadingSince_ - Duration(1);
  }
}

bool
IsOwner(std::span<const foundation::HostId> aOwners, const HolderKey& aKey)
{
  return std::ranges::find(aOwners, aKey.host_) != aOwners.end();
}

//! Connections of holders that are not owners any more.
std::uint32_t
UsedByFormerOwners(const GrantTable& aTable,
                   std::string_view aGroup,
                   std::span<const foundation::HostId> aOwners,
                   const HolderKey& aExcept,
                   Instant aNow)
{
  std::uint32_t used = 0;
  for (const auto& [key, record] : aTable.holders_.at(std::string(aGroup))) {
    const bool former = key != aExcept && !IsOwner(aOwners, key);
    used += former ? CountedConnections(record, aNow) : 0;
  }
  return used;
}

//! The share that the sender should have once shares have stopped moving, when
//! former owners have aFormer connections open. An owner always wants one. A
//! host that shuts down keeps what it holds, at most one owner's share, until
//! it has drained.
std::uint32_t
DesiredShare(const wire::GroupState& aGroup,
             std::span<const foundation::HostId> aOwners,
             const wire::Heartbeat& aHeartbeat,
             std::uint32_t aFormer)
{
  const auto& sender = aHeartbeat.sender();
  const auto limit = ConnectionLimit(aGroup);
  const auto place = std::ranges::find(aOwners, sender.host());
  if (place != aOwners.end()) {
    const auto shares =
      CutShares(limit - std::min(limit, aFormer), aOwners.size());
    const auto share =
      shares[static_cast<std::size_t>(place - aOwners.begin())];
    return std::clamp(share, 1U, UsefulShare(aGroup, aOwners.size()));
  }
  const auto* held = FindHeld(aHeartbeat, aGroup.group());
  if (held == nullptr || !sender.draining() || held->term() != aGroup.term()) {
    return 0;
  }
  return std::min(held->connection_share(),
                  CutShares(limit, aOwners.size() + 1).back());
}

//! The share that fits beside what the other holders may have in use. Shares
//! grow without the reserve; an owner that is new beside former ones that are
//! not heard may use it.
std::uint32_t
FittingShare(const GrantTable& aTable,
             const wire::GroupState& aGroup,
             std::span<const foundation::HostId> aOwners,
             const wire::Heartbeat& aHeartbeat,
             Instant aNow)
{
  const auto& name = aGroup.group();
  const auto key = KeyOf(aHeartbeat.sender());
  const auto limit = ConnectionLimit(aGroup);
  const auto former = UsedByFormerOwners(aTable, name, aOwners, key, aNow);
  const auto used = UsedConnections(aTable, name, key, aNow) +
                    kControlConnections + kProbeConnections;
  const auto free = limit > used ? limit - used : 0;
  const auto reserve = CutOffReserve(limit, aOwners.size());
  const auto& holders = aTable.holders_.at(name);
  const auto record = holders.find(key);
  const auto own =
    record == holders.end() ? 0 : CountedShare(record->second, aNow);
  const auto desired = DesiredShare(aGroup, aOwners, aHeartbeat, former);
  if (own > 0 && own >= desired) {
    return desired;
  }
  const auto spare = free > reserve ? free - reserve : 0;
  const auto atOnce = own > 0 ? own : std::min(former, free);
  return std::min(desired, std::max(spare, atOnce));
}

//! While grants of an earlier leader may be in use, only they are renewed, at
//! no more than the share in use, so that the sum of all can't rise.
std::uint32_t
CapDuringTakeover(std::uint32_t aShare,
                  const wire::GroupState& aGroup,
                  const wire::Heartbeat& aHeartbeat)
{
  const auto* held = FindHeld(aHeartbeat, aGroup.group());
  if (held == nullptr || held->term() != aGroup.term()) {
    return 0;
  }
  return std::min(aShare, held->connection_share());
}

} // namespace

void
ObserveLease(GrantTable& aTable, const wire::GroupState& aGroup, Instant aNow)
{
  const auto length = configuration::OptionDuration(aGroup, "lease");
  const auto [place, added] = aTable.leases_.try_emplace(
    aGroup.group(), GroupLease{ length, length, {} });
  auto& lease = place->second;
  if (added || lease.length_ == length) {
    return;
  }
  const auto running = LongestLease(aTable, aGroup.group(), aNow);
  lease.longest_ = std::max(running, length);
  lease.longestUntil_ = aNow + 2 * WithDrift(running);
  lease.length_ = length;
}

void
StartLeading(GrantTable& aTable, Instant aNow)
{
  const auto end = Instant::max();
  for (auto& [group, holders] : aTable.holders_) {
    for (auto& [key, record] : holders) {
      MoveEnded(record, end);
      record.ended_.endedAt_ = aNow;
      record.releasedTerm_ = 0;
    }
  }
  aTable.leadingSince_ = aNow;
  aTable.heard_.clear();
}

bool
KnowsHolders(const GrantTable& aTable, const wire::GroupState& aGroup)
{
  return !aGroup.grantees().empty() &&
         std::ranges::all_of(aGroup.grantees(), [&](const auto& aHost) {
           return aTable.heard_.contains(aHost);
         });
}

bool
AwaitsHeartbeats(const GrantTable& aTable,
                 const wire::GroupState& aGroup,
                 Instant aNow)
{
  return !aGroup.grantees().empty() && !KnowsHolders(aTable, aGroup) &&
         MayRunFromEarlierLeader(aTable, aGroup.group(), aNow);
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
      if (!record.replaced_ && CountedShare(record, aNow) > 0) {
        holding.insert(key.host_);
      }
    }
  }
  std::vector<foundation::HostId> possible;
  for (const auto& host : aGroup.grantees()) {
    const bool unheard = !aTable.heard_.contains(host) &&
                         aNow < GetPredecessorGrantsEnd(aTable, aGroup.group());
    if (unheard || holding.contains(host)) {
      possible.push_back(host);
    }
  }
  return possible;
}

Instant
GetPredecessorGrantsEnd(const GrantTable& aTable, std::string_view aGroup)
{
  const auto since = aTable.leadingSince_;
  return since + WithDrift(LongestLease(aTable, aGroup, since));
}

void
ProcessHeartbeat(GrantTable& aTable,
                 const wire::Heartbeat& aHeartbeat,
                 Instant aNow)
{
  const auto key = KeyOf(aHeartbeat.sender());
  NoteBoot(aTable, key);
  aTable.heard_.insert(key.host_);
  for (const auto& released : aHeartbeat.released()) {
    // The share stays counted until the lease ends: connections may be open.
    auto& record = RecordOf(aTable, released.group(), key);
    record.releasedTerm_ = std::max(record.releasedTerm_, released.term());
  }
  for (const auto& held : aHeartbeat.held()) {
    Inherit(aTable, held.group(), key, held.connection_share(), aNow);
  }
  for (const auto& list : aHeartbeat.holders()) {
    for (const auto& told : list.holders()) {
      const HolderKey holder{ told.host(), told.boot() };
      Inherit(aTable, list.group(), holder, told.connections(), aNow);
    }
  }
  const auto groups = aTable.groupsOf_.find(key);
  if (groups == aTable.groupsOf_.end()) {
    return;
  }
  for (const auto& group : groups->second) {
    TakeHeld(aTable.holders_.at(group).at(key),
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
  const auto key = KeyOf(aHeartbeat.sender());
  if (aGroup.fenced() || aGroup.primary().empty()) {
    return std::nullopt;
  }
  const auto& name = aGroup.group();
  DropEmpty(aTable, name, aNow);
  auto share = FittingShare(aTable, aGroup, aOwners, aHeartbeat, aNow);
  if (MayRunFromEarlierLeader(aTable, name, aNow) &&
      !KnowsHolders(aTable, aGroup)) {
    share = CapDuringTakeover(share, aGroup, aHeartbeat);
  }
  if (share == 0) {
    return std::nullopt;
  }
  auto& record = RecordOf(aTable, name, key);
  if (record.releasedTerm_ >= aGroup.term()) {
    return std::nullopt;
  }
  const auto lease = configuration::OptionDuration(aGroup, "lease");
  record.issued_.push_back({ aHeartbeat.sequence(),
                             aGroup.term(),
                             share,
                             aReceived + WithDrift(lease) });
  wire::Grant grant;
  grant.set_group(name);
  grant.set_term(aGroup.term());
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
      if (CountedConnections(record, aNow) > 0) {
        auto* holder = list.add_holders();
        holder->set_host(key.host_);
        holder->set_boot(key.boot_);
        holder->set_connections(CountedShare(record, aNow));
        holder->set_lease_ended(
          !MayRunFromEarlierLeader(aTable, aGroup, aNow) &&
          IsSilentSinceEnd(record, aNow));
      }
    }
  }
  if (list.holders().empty()) {
    return std::nullopt;
  }
  const auto print = list.SerializeAsString();
  list.set_version(XXH64(print.data(), print.size(), 0));
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
  return aNow < aTable.leadingSince_ + kTellHoldersMs;
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
  return !MayRunFromEarlierLeader(aTable, aGroup, aNow) &&
         FindUnreleasedHolders(aTable, aGroup, aTerm, aNow).empty();
}

std::uint32_t
UsedConnections(const GrantTable& aTable,
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
    used += key == aExcept ? 0 : CountedConnections(record, aNow);
  }
  return used;
}

} // namespace wigeonlb::core::grants
