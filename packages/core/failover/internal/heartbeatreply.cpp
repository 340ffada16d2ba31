#include "core/failover/internal/heartbeatreply.h"

#include <utility>

#include "core/failover/internal/grantees.h"
#include "core/failover/internal/groupowners.h"

namespace wigeonlb::core::failover {

using foundation::Instant;

namespace {

using Actions = std::vector<FailoverAction>;

//! The groups that a host owns, and while it drains also those that it holds.
std::vector<foundation::GroupName>
ListGroupsToGrant(const FailoverState& aState,
                  const wire::Heartbeat& aHeartbeat)
{
  std::vector<foundation::GroupName> groups;
  const auto owned = aState.ownedGroups_.find(aHeartbeat.sender().host());
  if (owned != aState.ownedGroups_.end()) {
    groups = owned->second;
  }
  if (aHeartbeat.sender().draining()) {
    for (const auto& held : aHeartbeat.held()) {
      groups.push_back(held.group());
    }
  }
  return groups;
}

void
AddGrants(FailoverState& aState,
          const wire::ControlState& aControl,
          const HeartbeatReceived& aEvent,
          Instant aNow,
          wire::HeartbeatReply& aReply,
          Actions& aActions)
{
  RefreshOwners(aState, aControl);
  const auto& heartbeat = aEvent.heartbeat_;
  for (const auto& name : ListGroupsToGrant(aState, heartbeat)) {
    const auto group = aControl.groups().find(name);
    if (group == aControl.groups().end()) {
      continue;
    }
    const auto& host = heartbeat.sender().host();
    if (RecordsGrantees(aState, group->second) &&
        !IsGrantee(group->second, host)) {
      ProposeGrantees(aState, group->second, host, aNow, aActions);
      aReply.set_grants_pending(true);
      continue;
    }
    auto grant = grants::IssueGrant(aState.grants_,
                                    group->second,
                                    aState.owners_.at(name).owners_,
                                    heartbeat,
                                    aEvent.receivedAt_,
                                    aNow);
    if (grant) {
      *aReply.add_grants() = std::move(*grant);
    } else if (grants::AwaitsHeartbeats(aState.grants_, group->second, aNow)) {
      aReply.set_grants_pending(true);
    }
    if (!grants::ShouldRequestHolderLists(aState.grants_, aNow)) {
      auto holders =
        grants::ListCountedHolders(aState.grants_, name, heartbeat, aNow);
      if (holders) {
        *aReply.add_holders() = std::move(*holders);
      }
    }
  }
}

void
AddHosts(const FailoverState& aState,
         const wire::ControlState& aControl,
         const wire::Heartbeat& aHeartbeat,
         Instant aNow,
         wire::HeartbeatReply& aReply)
{
  // With a numbered configuration all hosts start together. A host that has no
  // list yet, or an incomplete one from this leader, gets the current list
  // early, because it is more complete.
  const auto known = aHeartbeat.hosts_version();
  const bool early = (known == 0 && !aControl.document().empty()) ||
                     known >= aState.membership_.oldestBase_;
  if (aNow - aState.leadingSince_ < kHostListSettleMs && !early) {
    aReply.set_hosts_version(known);
    return;
  }
  membership::AddHostChanges(aState.membership_, known, aReply);
}

//! Adds the targets that take no new work in the groups that the host owns.
//! A new leader reports unannounced targets only after kTargetTimeoutMs, when a
//! missing announcement shows that a target is unresponsive.
void
AddUnusable(const FailoverState& aState,
            const wire::ControlState& aControl,
            const foundation::HostId& aHost,
            Instant aNow,
            wire::HeartbeatReply& aReply)
{
  const auto& membership = aState.membership_;
  const bool expectsAnnouncements =
    aNow - aState.leadingSince_ > membership::kTargetTimeoutMs;
  const auto owned = aState.ownedGroups_.find(aHost);
  if (owned == aState.ownedGroups_.end()) {
    return;
  }
  for (const auto& name : owned->second) {
    for (const auto& target : aControl.groups().at(name).targets()) {
      const auto* entry =
        membership::FindTarget(membership, name, target.target());
      const bool announced =
        entry != nullptr && entry->announcement_.has_value();
      if ((announced || expectsAnnouncements) &&
          !membership::AcceptsNewWork(
            membership, name, target.target(), aNow)) {
        auto* unusable = aReply.add_unusable();
        unusable->set_group(name);
        unusable->set_target(target.target());
      }
    }
  }
}

} // namespace

wire::HeartbeatReply
MakeReply(const foundation::HostId& aSelf, const wire::Heartbeat& aHeartbeat)
{
  wire::HeartbeatReply reply;
  reply.set_from(aSelf);
  reply.set_boot(aHeartbeat.sender().boot());
  reply.set_sequence(aHeartbeat.sequence());
  reply.set_sent_at_us(aHeartbeat.sent_at_us());
  return reply;
}

void
AddDecisions(FailoverState& aState,
             const wire::ControlState& aControl,
             const HeartbeatReceived& aEvent,
             Instant aNow,
             wire::HeartbeatReply& aReply,
             std::vector<FailoverAction>& aActions)
{
  const auto& heartbeat = aEvent.heartbeat_;
  AddGrants(aState, aControl, aEvent, aNow, aReply, aActions);
  AddHosts(aState, aControl, heartbeat, aNow, aReply);
  aReply.set_tell_holders(
    grants::ShouldRequestHolderLists(aState.grants_, aNow));
  const auto& host = heartbeat.sender().host();
  AddUnusable(aState, aControl, host, aNow, aReply);
}

} // namespace wigeonlb::core::failover
