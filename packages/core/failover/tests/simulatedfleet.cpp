#include "core/failover/tests/simulatedfleet.h"

#include <algorithm>

#include "core/failover/tests/simulatedfleetinternal.h"
#include "core/grants/owners.h"

namespace wigeonlb::core::failover {

using foundation::Duration;
using foundation::HostId;
using foundation::Instant;

namespace {

constexpr int kMembers = 5;
constexpr std::size_t kDataCentres = 5;
constexpr std::size_t kTargets = 3;           //!< of each group
constexpr std::size_t kAnnouncedTo = 3;       //!< hosts
constexpr std::uint64_t kStepsPerReport = 24; //!< 240 ms, as in the daemon
constexpr std::uint64_t kStepsPerAnnouncement = 50;
constexpr std::uint64_t kStepsPerReplication = 10;
constexpr Duration kMaxDelay = std::chrono::milliseconds(10);
constexpr Duration kDrainTime = std::chrono::milliseconds(100);
constexpr Duration kCloseTime = std::chrono::milliseconds(50);

std::string
DataCentre(std::size_t aNumber)
{
  return "dc" + std::to_string(aNumber % kDataCentres);
}

//! A name of the same length for each number, so that figures of fleets of
//! different sizes can be compared.
std::string
MakeName(const std::string& aKind, std::size_t aNumber)
{
  auto digits = std::to_string(aNumber);
  digits.insert(0, 4 - digits.size(), '0');
  return aKind + "-" + digits;
}

void
Execute(Fleet& aFleet, std::size_t, const grants::SendHeartbeat& aAction)
{
  Deliver(aFleet, [&aFleet, aAction] {
    ReceiveHeartbeat(aFleet, aAction.member_, aAction.heartbeat_);
  });
}

//! Connections that a grant does not cover any more are closed a little later.
void
Execute(Fleet& aFleet, std::size_t aHost, const grants::GrantChanged& aAction)
{
  const auto boot = aFleet.hosts_[aHost].boots_;
  After(aFleet, kCloseTime, [&aFleet, aHost, boot, group = aAction.group_] {
    const auto& host = aFleet.hosts_[aHost];
    const auto held = host.holder_.grants_.find(group);
    const auto share = held == host.holder_.grants_.end()
                         ? 0
                         : held->second.grant_.connection_share();
    if (host.boots_ == boot) {
      FeedFleetHost(aFleet, aHost, grants::ShareInUse{ group, share });
    }
  });
}

void
Execute(Fleet& aFleet, std::size_t aHost, const grants::StopNewWrites& aAction)
{
  const auto boot = aFleet.hosts_[aHost].boots_;
  After(aFleet, kDrainTime, [&aFleet, aHost, boot, aAction] {
    if (aFleet.hosts_[aHost].boots_ == boot) {
      FeedFleetHost(aFleet,
                    aHost,
                    grants::DrainedForRelease{
                      aAction.group_, { aAction.term_, aAction.epoch_ } });
    }
  });
}

void
Execute(Fleet& aFleet,
        std::size_t aHost,
        const grants::ConfigurationReceived& aAction)
{
  auto& view = aFleet.hosts_[aHost].view_;
  if (configuration::ApplyReply(view, aAction.reply_).changed_) {
    FeedFleetHost(
      aFleet, aHost, grants::RevisionInForce{ view.state_.revision() });
  }
}

void
Execute(Fleet&, std::size_t, const grants::HostsChanged&)
{
}

//! The first running host at or after aNumber.
std::optional<std::size_t>
FindRunningHost(const Fleet& aFleet, std::size_t aNumber)
{
  const auto count = aFleet.hosts_.size();
  for (std::size_t i = 0; i < count; ++i) {
    if (aFleet.hosts_[(aNumber + i) % count].up_) {
      return (aNumber + i) % count;
    }
  }
  return std::nullopt;
}

void
Announce(Fleet& aFleet,
         const std::string& aGroup,
         const SimulatedTarget& aTarget,
         std::size_t aNumber)
{
  wire::Announcement announcement;
  announcement.set_group(aGroup);
  announcement.set_target(aTarget.name_);
  announcement.set_address(aTarget.name_ + ":5432");
  announcement.set_data_centre(aTarget.dataCentre_);
  announcement.set_slots(3);
  announcement.set_connection_limit(20);
  announcement.set_incarnation(aTarget.incarnation_);
  for (std::size_t i = 0; i < kAnnouncedTo; ++i) {
    const auto apart = aFleet.hosts_.size() / kAnnouncedTo;
    const auto host = FindRunningHost(aFleet, aNumber + i * apart);
    if (host) {
      FeedFleetHost(
        aFleet, *host, grants::AnnouncementReceived{ announcement });
    }
  }
}

//! The targets announce themselves and follow their primary.
void
AdvanceTargets(Fleet& aFleet)
{
  std::size_t number = 0;
  for (auto& [name, targets] : aFleet.groups_) {
    const auto primary = std::ranges::find_if(
      targets, [](const auto& aTarget) { return aTarget.primary_; });
    for (auto& target : targets) {
      ++number;
      if ((aFleet.steps_ + number) % kStepsPerAnnouncement == 0) {
        Announce(aFleet, name, target, number);
      }
      if (aFleet.steps_ % kStepsPerReplication == 0 &&
          primary != targets.end() && !target.primary_) {
        Follow(target, *primary, 0);
      }
    }
  }
}

//! A holder reports on the targets of the groups that it holds grants of.
void
Report(Fleet& aFleet, std::size_t aHost)
{
  grants::ReportsChanged changed;
  for (const auto& [name, held] : aFleet.hosts_[aHost].holder_.grants_) {
    for (const auto& target : aFleet.groups_.at(name)) {
      auto report = MakeReport(target, false, true);
      report.set_group(name);
      changed.reports_.push_back(std::move(report));
    }
  }
  if (!changed.reports_.empty()) {
    FeedFleetHost(aFleet, aHost, changed);
  }
}

void
AdvanceHosts(Fleet& aFleet)
{
  const auto now = Now(aFleet);
  for (std::size_t i = 0; i < aFleet.hosts_.size(); ++i) {
    const auto& host = aFleet.hosts_[i];
    if (!host.up_) {
      continue;
    }
    aFleet.longestUnanswered_ =
      std::max(aFleet.longestUnanswered_, now - host.answeredAt_);
    if ((aFleet.steps_ + i) % kStepsPerReport == 0) {
      Report(aFleet, i);
    }
    if (grants::NextDue(host.holder_) <= now) {
      FeedFleetHost(aFleet, i, grants::Tick{});
    }
  }
}

void
DeliverDue(Fleet& aFleet)
{
  while (!aFleet.queue_.empty() &&
         aFleet.queue_.begin()->first <= Now(aFleet)) {
    const auto action = aFleet.queue_.extract(aFleet.queue_.begin());
    action.mapped()();
  }
}

void
AddTargets(Fleet& aFleet, const std::string& aGroup, std::size_t aNumber)
{
  for (std::size_t i = 0; i < kTargets; ++i) {
    SimulatedTarget target;
    target.name_ = aGroup + "-t" + std::to_string(i);
    target.dataCentre_ = DataCentre(aNumber + i);
    target.adopted_ = 0;
    aFleet.groups_[aGroup].push_back(target);
  }
}

//! Whether the leader lists exactly the running hosts.
bool
ListsRunningHosts(const Fleet& aFleet, const FleetMember& aLeader)
{
  const auto& listed = aLeader.state_.membership_.hosts_;
  std::size_t running = 0;
  for (const auto& host : aFleet.hosts_) {
    if (!host.up_) {
      continue;
    }
    ++running;
    const auto entry = listed.find(host.holder_.self_.host());
    if (entry == listed.end() ||
        entry->second.info_.boot() != host.holder_.self_.boot()) {
      return false;
    }
  }
  return running == listed.size();
}

//! Whether the owners that follow from the leader's list hold their grants.
bool
OwnersHold(const Fleet& aFleet,
           const wire::GroupState& aGroup,
           const std::vector<wire::HostInfo>& aLive)
{
  const auto owners =
    grants::ChooseOwners(aGroup, aLive, grants::GetOwnerCount(aGroup));
  return !owners.empty() && std::ranges::all_of(owners, [&](const auto& aName) {
    const auto& host = aFleet.hosts_[aFleet.hostIndexes_.at(aName)];
    return grants::Holds(
      host.holder_, aGroup.group(), aGroup.term(), Now(aFleet));
  });
}

} // namespace

Instant
Now(const Fleet& aFleet)
{
  return aFleet.network_.now_;
}

void
After(Fleet& aFleet, Duration aDelay, std::function<void()> aAction)
{
  aFleet.queue_.emplace(Now(aFleet) + aDelay, std::move(aAction));
}

void
Deliver(Fleet& aFleet, std::function<void()> aAction)
{
  const auto range = static_cast<std::uint64_t>(kMaxDelay.count());
  After(aFleet, Duration(1 + aFleet.random_() % range), std::move(aAction));
}

void
FeedFleetHost(Fleet& aFleet,
              std::size_t aHost,
              const grants::HolderEvent& aEvent)
{
  auto& host = aFleet.hosts_[aHost];
  if (!host.up_) {
    return;
  }
  std::vector<grants::HolderAction> actions;
  grants::Step(host.holder_, aEvent, Now(aFleet), actions);
  for (const auto& action : actions) {
    std::visit([&](const auto& aOne) { Execute(aFleet, aHost, aOne); }, action);
  }
}

void
DeliverReply(Fleet& aFleet, const HostId& aHost, wire::HeartbeatReply aReply)
{
  const auto index = aFleet.hostIndexes_.at(aHost);
  const bool leads = aReply.leader();
  // Shared, because a copy of a list of hosts costs more than handling it.
  const auto event = std::make_shared<grants::HolderEvent>(
    grants::ReplyReceived{ std::move(aReply) });
  Deliver(aFleet, [&aFleet, index, leads, event] {
    if (leads) {
      aFleet.hosts_[index].answeredAt_ = Now(aFleet);
    }
    FeedFleetHost(aFleet, index, *event);
  });
}

void
StartHost(Fleet& aFleet, std::size_t aHost)
{
  auto& host = aFleet.hosts_[aHost];
  host.up_ = true;
  host.answeredAt_ = Now(aFleet);
  ++host.boots_;
  wire::HostInfo info;
  info.set_host(MakeName("entry", aHost));
  info.set_data_centre(DataCentre(aHost));
  info.set_peer_address(MakeName("address", aHost) + ":20000");
  info.set_boot(1796342500865294397U + aHost + (host.boots_ << 32U));
  std::vector<HostId> members;
  for (const auto& [name, member] : aFleet.members_) {
    members.push_back(name);
  }
  host.holder_ = grants::MakeHolder(info, members, aFleet.random_());
  FeedFleetHost(
    aFleet, aHost, grants::RevisionInForce{ host.view_.state_.revision() });
}

std::unique_ptr<Fleet>
MakeFleet(const FleetSettings& aSettings)
{
  auto fleet = std::make_unique<Fleet>();
  fleet->settings_ = aSettings;
  fleet->random_.seed(aSettings.seed_);
  consensus::NetworkSettings network;
  network.members_ = kMembers;
  network.seed_ = aSettings.seed_;
  network.lossPercent_ = 0;
  network.duplicatePercent_ = 0;
  network.latePerMille_ = 0;
  network.smallParts_ = false;
  network.observer_ = MakeFleetObserver(*fleet);
  fleet->network_ = consensus::MakeNetwork(network);
  for (const auto& [name, member] : fleet->network_.members_) {
    StartMember(*fleet, name);
  }
  for (std::size_t i = 0; i < aSettings.groups_; ++i) {
    AddTargets(*fleet, MakeName("group", i), i);
  }
  fleet->hosts_.resize(aSettings.hosts_);
  for (std::size_t i = 0; i < aSettings.hosts_; ++i) {
    fleet->hostIndexes_[MakeName("entry", i)] = i;
    const auto range = static_cast<std::uint64_t>(kStartSpread.count());
    After(*fleet, Duration(fleet->random_() % range), [&fleet = *fleet, i] {
      StartHost(fleet, i);
    });
  }
  return fleet;
}

void
Advance(Fleet& aFleet)
{
  ++aFleet.steps_;
  consensus::Run(aFleet.network_, kFleetStep);
  AdvanceMembers(aFleet);
  DeliverDue(aFleet);
  AdvanceTargets(aFleet);
  AdvanceHosts(aFleet);
}

bool
IsSettled(const Fleet& aFleet)
{
  const auto* leader = FindLeader(aFleet);
  if (leader == nullptr || !ListsRunningHosts(aFleet, *leader)) {
    return false;
  }
  const auto& control = aFleet.network_.members_.at(leader->name_).control_;
  const auto version = leader->state_.membership_.hostsVersion_;
  const bool informed =
    std::ranges::all_of(aFleet.hosts_, [&](const auto& aHost) {
      return !aHost.up_ ||
             (aHost.holder_.hostsVersion_ == version &&
              aHost.view_.state_.revision() == control.revision());
    });
  const auto live = membership::ListLiveHosts(leader->state_.membership_);
  return informed && control.groups().size() == aFleet.groups_.size() &&
         std::ranges::all_of(control.groups(), [&](const auto& aItem) {
           return OwnersHold(aFleet, aItem.second, live);
         });
}

} // namespace wigeonlb::core::failover
