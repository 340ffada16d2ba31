#include "core/grants/holder.h"

#include <algorithm>

#include "core/grants/internal/heldgrants.h"
#include "core/grants/internal/holdercontact.h"

namespace wigeonlb::core::grants {

using foundation::Duration;
using foundation::Instant;
using namespace internal;

namespace {

template<class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

using Actions = std::vector<HolderAction>;

void
RemoveAnswered(HolderState& aState, std::uint64_t aSequence)
{
  std::erase_if(aState.releases_, [&](const auto& aItem) {
    return aItem.second != 0 && aItem.second <= aSequence;
  });
  std::erase_if(aState.announcements_, [&](const auto& aItem) {
    return aItem.second.second != 0 && aItem.second.second <= aSequence;
  });
}

//! Stores the holder lists of a reply. A list that was omitted although this
//! host does not have that version gets no version, so that the leader sends it
//! again.
void
StoreHolderLists(HolderState& aState, const wire::HeartbeatReply& aReply)
{
  if (aReply.tell_holders()) {
    return; // a new leader's lists may be incomplete
  }
  std::map<foundation::GroupName, wire::GroupHolders> kept;
  for (const auto& received : aReply.holders()) {
    auto& list = kept[received.group()];
    const auto known = aState.holders_.find(received.group());
    list = received;
    if (!received.holders().empty()) {
      continue;
    }
    if (known != aState.holders_.end() &&
        known->second.version() == received.version()) {
      list = known->second;
    } else {
      list.clear_version();
    }
  }
  aState.holders_ = std::move(kept);
}

//! Applies a complete list of hosts, or a delta to the list of this host.
void
ApplyHostList(HolderState& aState,
              const wire::HeartbeatReply& aReply,
              Actions& aActions)
{
  const bool isFullList = aReply.hosts_base() == 0 && aReply.hosts_size() > 0;
  const bool isDelta =
    aReply.hosts_base() != 0 && aReply.hosts_base() == aState.hostsVersion_;
  if (aReply.hosts_version() == aState.hostsVersion_ ||
      (!isFullList && !isDelta)) {
    return;
  }
  if (isFullList) {
    aState.hosts_.clear();
  }
  aState.hostsVersion_ = aReply.hosts_version();
  aState.senders_.clear();
  for (const auto& host : aReply.hosts()) {
    aState.hosts_[host.host()] = host;
  }
  for (const auto& host : aReply.hosts_gone()) {
    aState.hosts_.erase(host);
  }
  HostsChanged changed;
  for (const auto& [name, host] : aState.hosts_) {
    changed.hosts_.push_back(host);
  }
  aActions.push_back(std::move(changed));
}

void
ProcessLeaderReply(HolderState& aState,
                   const wire::HeartbeatReply& aReply,
                   Instant aNow,
                   Actions& aActions)
{
  if (aReply.sequence() <= aState.lastReply_ ||
      aReply.sequence() > aState.sequence_) {
    return;
  }
  aState.lastReply_ = aReply.sequence();
  aState.sendHolderLists_ = aReply.tell_holders();
  StoreHolderLists(aState, aReply);
  RemoveAnswered(aState, aReply.sequence());
  ApplyHostList(aState, aReply, aActions);
  for (const auto& grant : aReply.grants()) {
    ApplyGrant(aState, grant, aReply.sent_at_us(), aNow, aActions);
  }
  StopUnrenewedGrants(aState, aReply, aNow, aActions);
  if (aReply.grants_pending()) {
    ScheduleHeartbeatWithin(aState, kPendingIntervalMs);
  }
}

void
ProcessReply(HolderState& aState,
             const wire::HeartbeatReply& aReply,
             Instant aNow,
             Actions& aActions)
{
  if (!IsForThisStart(aState, aReply)) {
    return;
  }
  // A member that knows no leader is treated as unresponsive: it may be cut off
  // together with other members that know none.
  const bool useful = aReply.leader() || !aReply.leader_hint().empty();
  const bool relayed = !aReply.relayed_to().empty();
  if (useful &&
      (relayed || aReply.from() == aState.members_[aState.followed_])) {
    aState.lastContact_ = aNow;
  }
  if (!relayed) {
    FollowLeaderHint(aState, aReply, aNow);
  }
  const bool changes = aReply.whole() || aReply.groups_size() > 0 ||
                       aReply.dropped_groups_size() > 0 ||
                       aReply.revision() > aState.revision_;
  if (aReply.leader()) {
    aState.backOff_ = Duration(0);
    ProcessLeaderReply(aState, aReply, aNow, aActions);
  }
  if (changes) {
    aActions.push_back(ConfigurationReceived{ aReply });
  }
}

void
StoreReports(HolderState& aState,
             const std::vector<wire::TargetReport>& aReports,
             Instant aNow)
{
  for (const auto& report : aReports) {
    auto& item = aState.reports_[{ report.group(), report.target() }];
    if (item.first.reachable() != report.reachable() ||
        item.first.primary() != report.primary() ||
        item.first.incarnation() != report.incarnation()) {
      RequestUrgentHeartbeat(aState);
    }
    item = { report, aNow };
  }
}

void
ApplyMembers(HolderState& aState, const MembersChanged& aChanged)
{
  aState.membersIndex_ = aChanged.index_;
  if (aChanged.members_ == aState.members_ || aChanged.members_.empty()) {
    return;
  }
  const auto followed = aState.members_.empty()
                          ? foundation::HostId{}
                          : aState.members_[aState.followed_];
  aState.members_ = aChanged.members_;
  const auto member = std::ranges::find(aState.members_, followed);
  const bool stays = member != aState.members_.end();
  aState.followed_ =
    stays ? static_cast<std::size_t>(member - aState.members_.begin())
          : aState.random_() % aState.members_.size();
  aState.ignoreHintsUntil_ = {};
  // The former members were lost: the first of the new ones may be, too.
  if (HearsNoLeader(aState)) {
    ScheduleHeartbeatToAll(aState);
  }
}

void
StoreSender(HolderState& aState, const SenderHeard& aHeard)
{
  const bool isOther = aHeard.host_ != aState.self_.host();
  if (isOther && aState.senders_.size() < kMaxSenders) {
    aState.senders_.insert(aHeard.host_);
  }
}

//! Announces the shutdown, so that other hosts stop choosing this owner. Its
//! grants remain in use until the work in flight has drained.
void
StartDraining(HolderState& aState)
{
  aState.self_.set_draining(true);
  aState.nextHeartbeat_ = aState.lastSent_;
}

} // namespace

HolderState
MakeHolder(wire::HostInfo aSelf,
           std::vector<foundation::HostId> aMembers,
           std::uint64_t aSeed)
{
  HolderState state;
  state.self_ = std::move(aSelf);
  state.members_ = std::move(aMembers);
  state.random_.seed(aSeed);
  if (!state.members_.empty()) {
    state.followed_ = state.random_() % state.members_.size();
  }
  return state;
}

void
Step(HolderState& aState,
     const HolderEvent& aEvent,
     Instant aNow,
     Actions& aActions)
{
  // Must come first, so that a host that was frozen does not act under a lease
  // that has ended.
  EndExpiredGrants(aState, aNow, aActions);
  std::visit(
    Overloaded{
      [](const Tick&) {},
      [&](const ReplyReceived& aReceived) {
        ProcessReply(aState, aReceived.reply_, aNow, aActions);
      },
      [&](const RevokeReceived& aReceived) {
        ApplyRevocation(aState, aReceived.revoke_, aNow, aActions);
      },
      [&](const ReportsChanged& aChanged) {
        StoreReports(aState, aChanged.reports_, aNow);
      },
      [&](const AnnouncementReceived& aReceived) {
        const auto& announcement = aReceived.announcement_;
        auto& item =
          aState
            .announcements_[{ announcement.group(), announcement.target() }];
        item = { announcement, 0 };
      },
      [&](const WritesAcknowledged& aEvent) {
        StoreAcknowledged(aState, aEvent.writes_);
      },
      [&](const DrainedForRelease& aDrained) {
        HandleDrained(aState, aDrained, aActions);
      },
      [&](const ShareInUse& aShare) { UpdateShareInUse(aState, aShare); },
      [&](const RevisionInForce& aRevision) {
        aState.revision_ = aRevision.revision_;
      },
      [&](const MembersChanged& aChanged) { ApplyMembers(aState, aChanged); },
      [&](const SenderHeard& aHeard) { StoreSender(aState, aHeard); },
      [&](const DrainingStarted&) { StartDraining(aState); },
    },
    aEvent);
  CheckMemberTimeout(aState, aNow);
  SendDueHeartbeat(aState, aNow, aActions);
}

bool
IsForThisStart(const HolderState& aState, const wire::HeartbeatReply& aReply)
{
  return aReply.boot() == 0 || aReply.boot() == aState.self_.boot();
}

Instant
NextDue(const HolderState& aState)
{
  auto due = Instant::max();
  if (!aState.members_.empty()) {
    const auto timeoutAt =
      aState.lastContact_ + kMemberTimeoutMs + aState.backOff_ + Duration(1);
    due = std::min(aState.nextHeartbeat_, timeoutAt);
  }
  for (const auto& [group, held] : aState.grants_) {
    due = std::min(due, held.expires_);
    if (held.stopped_) {
      due = std::min(due, held.releaseBy_);
    }
  }
  return due;
}

bool
Holds(const HolderState& aState,
      std::string_view aGroup,
      std::uint64_t aTerm,
      Instant aNow)
{
  const auto held = aState.grants_.find(std::string(aGroup));
  return held != aState.grants_.end() && !held->second.stopped_ &&
         held->second.grant_.term() == aTerm &&
         (aNow < held->second.expires_ || aState.ignoreLeaseEnd_);
}

bool
MayAcknowledge(const HolderState& aState,
               std::string_view aGroup,
               std::uint64_t aTerm,
               Instant aNow)
{
  const auto held = aState.grants_.find(std::string(aGroup));
  return held != aState.grants_.end() && held->second.grant_.term() == aTerm &&
         (aNow < held->second.expires_ || aState.ignoreLeaseEnd_);
}

} // namespace wigeonlb::core::grants
