#include "core/membership/membership.h"

#include <algorithm>
#include <utility>

namespace wigeonlb::core::membership {

using foundation::Instant;

namespace {

//! Whether two entries are the same in the list of live hosts.
bool
HasSameListing(const wire::HostInfo& aLeft, const wire::HostInfo& aRight)
{
  return aLeft.data_centre() == aRight.data_centre() &&
         aLeft.peer_address() == aRight.peer_address() &&
         aLeft.boot() == aRight.boot() && aLeft.draining() == aRight.draining();
}

//! Whether an observer has reached the target recently, so that its
//! announcements may only be delayed. False for a target that never announced
//! itself here.
bool
WasReachedRecently(const TargetEntry& aEntry, Instant aNow)
{
  return aEntry.incarnation_ != 0 &&
         std::ranges::any_of(aEntry.observations_, [&](const auto& aItem) {
           return aItem.second.report_.reachable() &&
                  aNow - aItem.second.probedAt_ <= kTargetTimeoutMs;
         });
}

} // namespace

bool
NoteHost(MembershipState& aState,
         const wire::HostInfo& aHost,
         std::uint64_t aSequence,
         Instant aNow)
{
  const auto [item, added] = aState.hosts_.try_emplace(aHost.host());
  auto& entry = item->second;
  if (!added && entry.info_.boot() == aHost.boot() &&
      aSequence <= entry.sequence_) {
    return false;
  }
  if (added || !HasSameListing(entry.info_, aHost)) {
    entry.info_ = aHost;
    entry.changedInVersion_ = ++aState.hostsVersion_;
    aState.removedHosts_.erase(aHost.host());
    aState.changedHosts_.insert(aHost.host());
  }
  entry.sequence_ = aSequence;
  entry.lastHeartbeatAt_ = aNow;
  return true;
}

void
RemoveExpired(MembershipState& aState, Instant aNow)
{
  const std::uint64_t versionWithout = aState.hostsVersion_ + 1;
  const auto removedCount =
    std::erase_if(aState.hosts_, [&](const auto& aItem) {
      const bool hasExpired =
        aNow - aItem.second.lastHeartbeatAt_ > kHostTimeoutMs;
      if (hasExpired) {
        aState.changedHosts_.insert(aItem.first);
        aState.removedHosts_[aItem.first] = versionWithout;
      }
      return hasExpired;
    });
  if (removedCount > 0) {
    aState.hostsVersion_ = versionWithout;
  }
  if (aState.removedHosts_.size() > kMaxRemovedHosts) {
    aState.removedHosts_.clear();
    aState.oldestBase_ = aState.hostsVersion_;
  }
  for (auto& [group, targets] : aState.targets_) {
    for (auto& [name, entry] : targets) {
      if (aNow - entry.announcedAt_ > kTargetTimeoutMs) {
        entry.announcement_.reset();
      }
      std::erase_if(entry.observations_, [&](const auto& aItem) {
        return aNow - aItem.second.probedAt_ > kTargetTimeoutMs;
      });
    }
  }
}

std::vector<wire::HostInfo>
ListLiveHosts(const MembershipState& aState)
{
  std::vector<wire::HostInfo> hosts;
  hosts.reserve(aState.hosts_.size());
  for (const auto& [name, entry] : aState.hosts_) {
    hosts.push_back(entry.info_);
  }
  return hosts;
}

void
StartHostVersions(MembershipState& aState, std::uint64_t aVersion)
{
  aState.hostsVersion_ = aVersion;
  aState.oldestBase_ = aVersion;
  aState.removedHosts_.clear();
  for (auto& [name, host] : aState.hosts_) {
    host.changedInVersion_ = aVersion;
  }
}

void
AddHostChanges(const MembershipState& aState,
               std::uint64_t aKnown,
               wire::HeartbeatReply& aReply)
{
  aReply.set_hosts_version(aState.hostsVersion_);
  if (aKnown == aState.hostsVersion_) {
    return;
  }
  const bool isDelta =
    aKnown >= aState.oldestBase_ && aKnown < aState.hostsVersion_;
  const std::uint64_t since = isDelta ? aKnown : 0;
  aReply.set_hosts_base(since);
  for (const auto& [name, host] : aState.hosts_) {
    if (!isDelta || host.changedInVersion_ > since) {
      *aReply.add_hosts() = host.info_;
    }
  }
  for (const auto& [name, version] : aState.removedHosts_) {
    if (isDelta && version > since) {
      aReply.add_hosts_gone(name);
    }
  }
}

bool
NoteAnnouncement(MembershipState& aState,
                 const wire::Announcement& aAnnouncement,
                 Instant aNow)
{
  auto& entry = aState.targets_[aAnnouncement.group()][aAnnouncement.target()];
  // Announcements without a sequence are accepted in the order of arrival.
  const bool late =
    aAnnouncement.sequence() != 0 &&
    std::pair(aAnnouncement.incarnation(), aAnnouncement.sequence()) <
      std::pair(entry.incarnation_, entry.sequence_);
  if (late) {
    return false;
  }
  const bool same = entry.incarnation_ == aAnnouncement.incarnation();
  entry.leaving_ = aAnnouncement.leaving() ||
                   (same && entry.leaving_ && aAnnouncement.sequence() != 0);
  entry.incarnation_ = aAnnouncement.incarnation();
  entry.sequence_ = aAnnouncement.sequence();
  entry.announcement_ = aAnnouncement;
  entry.announcedAt_ = aNow;
  return true;
}

void
NoteReport(MembershipState& aState,
           const foundation::HostId& aObserver,
           const wire::TargetReport& aReport,
           Instant aNow)
{
  auto& entry = aState.targets_[aReport.group()][aReport.target()];
  const auto [item, added] = entry.observations_.try_emplace(aObserver);
  auto& observation = item->second;
  observation.report_ = aReport;
  observation.probedAt_ = aNow - foundation::Duration(aReport.age_us());
  if (!aReport.reachable()) {
    if (!observation.unreachableSince_) {
      observation.unreachableSince_ = observation.probedAt_;
    }
    return;
  }
  observation.unreachableSince_.reset();
  auto& known = observation.known_;
  const bool first = known.incarnation_ == 0 && known.highestSynced_ == 0;
  if (!first && positions::IsRebuilt(aReport, known)) {
    observation.rebuilt_ = true;
  }
  if (known.incarnation_ != aReport.incarnation()) {
    known = { aReport.incarnation(), 0 };
  }
  known.highestSynced_ =
    std::max(known.highestSynced_, aReport.synced_offset());
}

void
ClearRebuildObservation(MembershipState& aState,
                        std::string_view aGroup,
                        std::string_view aTarget)
{
  const auto group = aState.targets_.find(std::string(aGroup));
  if (group == aState.targets_.end()) {
    return;
  }
  const auto target = group->second.find(std::string(aTarget));
  if (target == group->second.end()) {
    return;
  }
  for (auto& [observer, observation] : target->second.observations_) {
    observation.rebuilt_ = false;
    observation.known_.highestSynced_ = 0;
  }
}

bool
WasRebuildObserved(const MembershipState& aState,
                   std::string_view aGroup,
                   std::string_view aTarget)
{
  const auto* entry = FindTarget(aState, aGroup, aTarget);
  return entry != nullptr &&
         std::ranges::any_of(entry->observations_, [](const auto& aItem) {
           return aItem.second.rebuilt_;
         });
}

const TargetEntry*
FindTarget(const MembershipState& aState,
           std::string_view aGroup,
           std::string_view aTarget)
{
  const auto group = aState.targets_.find(std::string(aGroup));
  if (group == aState.targets_.end()) {
    return nullptr;
  }
  const auto target = group->second.find(std::string(aTarget));
  return target == group->second.end() ? nullptr : &target->second;
}

bool
AcceptsNewWork(const MembershipState& aState,
               std::string_view aGroup,
               std::string_view aTarget,
               Instant aNow)
{
  const auto* entry = FindTarget(aState, aGroup, aTarget);
  if (entry == nullptr || entry->leaving_) {
    return false;
  }
  const bool announced = entry->announcement_.has_value() &&
                         aNow - entry->announcedAt_ <= kTargetTimeoutMs;
  return announced || WasReachedRecently(*entry, aNow);
}

const Observation*
FindNewestReport(const MembershipState& aState,
                 std::string_view aGroup,
                 std::string_view aTarget)
{
  const auto* entry = FindTarget(aState, aGroup, aTarget);
  if (entry == nullptr) {
    return nullptr;
  }
  const Observation* newest = nullptr;
  for (const auto& [observer, observation] : entry->observations_) {
    if (newest == nullptr || observation.probedAt_ > newest->probedAt_) {
      newest = &observation;
    }
  }
  return newest;
}

} // namespace wigeonlb::core::membership
