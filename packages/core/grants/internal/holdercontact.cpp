#include "core/grants/internal/holdercontact.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace wigeonlb::core::grants::internal {

using foundation::Duration;
using foundation::Instant;

namespace {

std::uint64_t
ToMicroseconds(Instant aInstant)
{
  return static_cast<std::uint64_t>(aInstant.time_since_epoch().count());
}

Duration
AddJitter(HolderState& aState, Duration aLength)
{
  const auto half = aLength.count() / 2;
  std::uniform_int_distribution<std::int64_t> spread(0, half);
  return Duration(half + spread(aState.random_));
}

void
AddReports(const HolderState& aState, wire::Heartbeat& aHeartbeat, Instant aNow)
{
  for (const auto& [key, item] : aState.reports_) {
    const auto& [report, since] = item;
    auto* copy = aHeartbeat.add_reports();
    *copy = report;
    const auto age = std::max(Duration(0), aNow - since);
    copy->set_age_us(report.age_us() + static_cast<std::uint64_t>(age.count()));
  }
}

//! Adds the stored holder lists. In full for a new leader, which otherwise
//! misses holders that send it no heartbeat; else only their versions.
void
AddHolders(const HolderState& aState, wire::Heartbeat& aHeartbeat)
{
  for (const auto& [group, list] : aState.holders_) {
    auto* copy = aHeartbeat.add_holders();
    *copy = list;
    if (!aState.sendHolderLists_) {
      copy->clear_holders();
    }
  }
}

void
AddHeld(const HolderState& aState, wire::Heartbeat& aHeartbeat)
{
  for (const auto& [group, held] : aState.grants_) {
    auto* copy = aHeartbeat.add_held();
    copy->set_group(group);
    copy->set_term(held.grant_.term());
    copy->set_epoch(held.grant_.epoch());
    copy->set_connection_share(
      std::max(held.grant_.connection_share(), held.shareInUse_));
  }
  // A host that is shutting down ends as soon as it has released its last
  // grant.
  if (aState.self_.draining() && aState.grants_.empty()) {
    return;
  }
  for (const auto& [group, connections] : aState.leftoverConnections_) {
    auto* copy = aHeartbeat.add_held();
    copy->set_group(group);
    copy->set_connection_share(connections);
  }
}

wire::Heartbeat
MakeHeartbeat(HolderState& aState, Instant aNow)
{
  wire::Heartbeat heartbeat;
  *heartbeat.mutable_sender() = aState.self_;
  heartbeat.set_sequence(++aState.sequence_);
  heartbeat.set_sent_at_us(ToMicroseconds(aNow));
  heartbeat.set_revision_in_force(aState.revision_);
  heartbeat.set_hosts_version(aState.hostsVersion_);
  heartbeat.set_last_reply(aState.lastReply_);
  heartbeat.set_members_index(aState.membersIndex_);
  heartbeat.set_relay(aState.followed_ != aState.unresponsiveMember_ &&
                      aNow < aState.relayUntil_);
  for (auto& [key, item] : aState.announcements_) {
    *heartbeat.add_announcements() = item.first;
    item.second = item.second == 0 ? aState.sequence_ : item.second;
  }
  for (auto& [key, sequence] : aState.releases_) {
    auto* released = heartbeat.add_released();
    released->set_group(key.first);
    released->set_term(key.second.term_);
    released->set_epoch(key.second.epoch_);
    sequence = sequence == 0 ? aState.sequence_ : sequence;
  }
  for (const auto& [group, writes] : aState.acknowledged_) {
    *heartbeat.add_acknowledged() = writes;
  }
  AddReports(aState, heartbeat, aNow);
  AddHeld(aState, heartbeat);
  AddHolders(aState, heartbeat);
  return heartbeat;
}

//! Sends each member but the followed one a heartbeat. The first useful answer
//! determines which one is followed.
void
AskOtherMembers(HolderState& aState,
                Instant aNow,
                std::vector<HolderAction>& aActions)
{
  for (std::size_t index = 0; index < aState.members_.size(); ++index) {
    if (index == aState.followed_) {
      continue;
    }
    SendHeartbeat send{ aState.members_[index], MakeHeartbeat(aState, aNow) };
    // Members that can reach the leader would relay one heartbeat each.
    send.heartbeat_.set_relay(false);
    aActions.emplace_back(std::move(send));
  }
}

//! The hosts that this one knows and that are no members.
std::vector<foundation::HostId>
ListOtherHosts(const HolderState& aState)
{
  std::set<foundation::HostId> others = aState.senders_;
  for (const auto& [name, host] : aState.hosts_) {
    others.insert(name);
  }
  others.erase(aState.self_.host());
  for (const foundation::HostId& member : aState.members_) {
    others.erase(member);
  }
  return { others.begin(), others.end() };
}

//! Sends some other hosts a heartbeat. They answer with the members that they
//! know.
void
AskOtherHosts(HolderState& aState,
              Instant aNow,
              std::vector<HolderAction>& aActions)
{
  std::vector<foundation::HostId> asked;
  std::ranges::sample(ListOtherHosts(aState),
                      std::back_inserter(asked),
                      kOtherHostsAsked,
                      aState.random_);
  for (const foundation::HostId& host : asked) {
    SendHeartbeat send{ host, MakeHeartbeat(aState, aNow) };
    send.heartbeat_.set_relay(false);
    aActions.emplace_back(std::move(send));
  }
}

} // namespace

bool
HearsNoLeader(const HolderState& aState)
{
  return aState.backOff_ >= kAskAllBackOffMs;
}

void
ScheduleHeartbeatToAll(HolderState& aState)
{
  aState.askAll_ = true;
  RequestUrgentHeartbeat(aState);
}

void
RequestUrgentHeartbeat(HolderState& aState)
{
  ScheduleHeartbeatWithin(aState, kUrgentIntervalMs);
}

void
ScheduleHeartbeatWithin(HolderState& aState, Duration aInterval)
{
  aState.nextHeartbeat_ =
    std::min(aState.nextHeartbeat_, aState.lastSent_ + aInterval);
}

void
CheckMemberTimeout(HolderState& aState, Instant aNow)
{
  if (aState.lastContact_ == Instant{}) {
    aState.lastContact_ = aNow;
  }
  if (aState.members_.empty() ||
      aNow - aState.lastContact_ <= kMemberTimeoutMs + aState.backOff_) {
    return;
  }
  aState.unresponsiveMember_ = aState.followed_;
  aState.ignoreHintsUntil_ = aNow + kIgnoreHintsPeriodMs;
  aState.followed_ = (aState.followed_ + 1) % aState.members_.size();
  aState.lastContact_ = aNow;
  const auto longer =
    std::max<Duration>(2 * aState.backOff_, kUrgentIntervalMs);
  aState.backOff_ = std::min<Duration>(longer, kMaxBackOffMs);
  aState.nextHeartbeat_ = aNow + AddJitter(aState, aState.backOff_);
  aState.askAll_ =
    HearsNoLeader(aState) && aState.members_.size() > kMembersInTurn;
  aState.askOthers_ = HearsNoLeader(aState);
}

void
SendDueHeartbeat(HolderState& aState,
                 Instant aNow,
                 std::vector<HolderAction>& aActions)
{
  if (aState.members_.empty() || aNow < aState.nextHeartbeat_) {
    return;
  }
  aState.lastSent_ = aNow;
  const bool urgent = aNow < aState.urgentUntil_;
  aState.nextHeartbeat_ =
    aNow + (urgent ? kUrgentIntervalMs : kHeartbeatIntervalMs);
  aActions.push_back(SendHeartbeat{ aState.members_[aState.followed_],
                                    MakeHeartbeat(aState, aNow) });
  if (std::exchange(aState.askAll_, false)) {
    AskOtherMembers(aState, aNow, aActions);
  }
  if (std::exchange(aState.askOthers_, false)) {
    AskOtherHosts(aState, aNow, aActions);
  }
}

void
FollowLeaderHint(HolderState& aState,
                 const wire::HeartbeatReply& aReply,
                 Instant aNow)
{
  const auto& wanted = aReply.leader() ? aReply.from() : aReply.leader_hint();
  const auto member = std::ranges::find(aState.members_, wanted);
  if (member == aState.members_.end()) {
    return;
  }
  const auto index = static_cast<std::size_t>(member - aState.members_.begin());
  if (!aReply.leader() && index == aState.unresponsiveMember_ &&
      aNow < aState.ignoreHintsUntil_) {
    // The member can reach a leader that this host can't.
    aState.relayUntil_ = aState.ignoreHintsUntil_;
    ScheduleHeartbeatWithin(aState, kHintRetryMs);
    return;
  }
  aState.followed_ = index;
  if (!aReply.leader()) {
    RequestUrgentHeartbeat(aState);
  }
}

} // namespace wigeonlb::core::grants::internal
