#include "core/failover/internal/groupowners.h"

#include <algorithm>
#include <utility>

#include "core/grants/owners.h"

namespace wigeonlb::core::failover {

namespace {

//! Chooses the owners among the hosts and stores their information.
void
AssignOwners(OwnerEntry& aEntry,
             const wire::GroupState& aGroup,
             const std::vector<wire::HostInfo>& aHosts)
{
  aEntry.owners_ = grants::ChooseOwners(aGroup, aHosts, aEntry.ownerCount_);
  std::vector<wire::HostInfo> chosen;
  chosen.reserve(aEntry.owners_.size());
  for (const auto& owner : aEntry.owners_) {
    chosen.push_back(*std::ranges::find(
      aHosts, owner, [](const auto& aHost) -> const auto& {
        return aHost.host();
      }));
  }
  aEntry.hosts_ = std::move(chosen);
}

//! True when an owner is among the hosts that disconnected or changed.
bool
LosesOwner(const OwnerEntry& aEntry, const std::set<foundation::HostId>& aHosts)
{
  return std::ranges::any_of(aEntry.owners_, [&](const auto& aOwner) {
    return aHosts.contains(aOwner);
  });
}

//! Chooses the owners again if the joined host may become one. Returns false
//! otherwise.
bool
TryAddHost(OwnerEntry& aEntry,
           const wire::GroupState& aGroup,
           const wire::HostInfo& aHost)
{
  if (!grants::MayBecomeOwner(
        aGroup, aEntry.hosts_, aHost, aEntry.ownerCount_)) {
    return false;
  }
  auto hosts = aEntry.hosts_;
  hosts.push_back(aHost);
  AssignOwners(aEntry, aGroup, hosts);
  return true;
}

//! Information on those of the changed hosts that are live.
std::vector<wire::HostInfo>
FindLiveHosts(const FailoverState& aState,
              const std::set<foundation::HostId>& aChanged)
{
  std::vector<wire::HostInfo> live;
  for (const auto& name : aChanged) {
    const auto host = aState.membership_.hosts_.find(name);
    if (host != aState.membership_.hosts_.end()) {
      live.push_back(host->second.info_);
    }
  }
  return live;
}

void
RebuildOwnedGroups(FailoverState& aState)
{
  aState.ownedGroups_.clear();
  // In the order of names: the order of a protobuf map differs between two
  // processes.
  for (const auto& [name, entry] : aState.owners_) {
    for (const auto& owner : entry.owners_) {
      aState.ownedGroups_[owner].push_back(name);
    }
  }
}

} // namespace

void
RefreshOwners(FailoverState& aState, const wire::ControlState& aControl)
{
  auto& membership = aState.membership_;
  if (aState.ownersHostsVersion_ == membership.hostsVersion_ &&
      aState.ownersRevision_ == aControl.revision()) {
    return;
  }
  const auto changed = std::exchange(membership.changedHosts_, {});
  const auto joined = FindLiveHosts(aState, changed);
  const auto dropped = std::erase_if(aState.owners_, [&](const auto& aItem) {
    return !aControl.groups().contains(aItem.first);
  });
  bool ownersChanged = dropped > 0;
  std::vector<wire::HostInfo> all; // filled on first use
  for (const auto& [name, group] : aControl.groups()) {
    const auto [item, added] = aState.owners_.try_emplace(name);
    auto& entry = item->second;
    if (added || entry.revision_ != group.revision() ||
        LosesOwner(entry, changed)) {
      if (all.empty()) {
        all = membership::ListLiveHosts(membership);
      }
      entry.revision_ = group.revision();
      entry.ownerCount_ = grants::GetOwnerCount(group);
      AssignOwners(entry, group, all);
      ownersChanged = true;
      continue;
    }
    for (const auto& host : joined) {
      ownersChanged |= TryAddHost(entry, group, host);
    }
  }
  if (ownersChanged) {
    RebuildOwnedGroups(aState);
  }
  aState.ownersHostsVersion_ = membership.hostsVersion_;
  aState.ownersRevision_ = aControl.revision();
}

} // namespace wigeonlb::core::failover
