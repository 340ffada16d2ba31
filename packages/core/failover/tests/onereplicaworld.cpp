#include "core/failover/tests/onereplicaworld.h"

#include <algorithm>

#include "core/configuration/applyrecord.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

namespace {

using foundation::Duration;
using foundation::Instant;
using namespace std::chrono_literals;

constexpr Duration kStep = 50ms;
constexpr Duration kAnnouncementInterval = 1200ms;
constexpr Duration kLease = 1000ms;

//! Takes announcements, but no writes.
constexpr const char* kControlHost = "k";

bool
Receives(const World& aWorld, const std::string& aName)
{
  const auto& life = aWorld.lives_.at(aName);
  return aWorld.leader_.servers_.at(aName).answers_ && !life.isDeaf_;
}

//! The replicas that are not deaf get the primary's log. Returns whether one
//! that counts has it.
bool
Replicate(World& aWorld)
{
  const auto name = FindPrimary(aWorld);
  const Server primary = aWorld.leader_.servers_.at(name);
  if (!primary.answers_) {
    return false;
  }
  bool isCounted = false;
  for (auto& [other, server] : aWorld.leader_.servers_) {
    if (other == name || !Receives(aWorld, other)) {
      continue;
    }
    server.offset_ = primary.offset_;
    server.adopted_ = primary.adopted_;
    server.primary_ = false;
    isCounted |= aWorld.lives_.at(other).counts_;
  }
  return isCounted;
}

bool
IsRecorded(const World& aWorld, const std::string& aName)
{
  const auto* target = positions::FindTarget(GetGroup(aWorld.leader_), aName);
  return target != nullptr && target->counted() &&
         target->incarnation() ==
           aWorld.leader_.servers_.at(aName).incarnation_;
}

wire::Announcement
MakeAnnouncement(const World& aWorld, const std::string& aName)
{
  const Server& server = aWorld.leader_.servers_.at(aName);
  wire::Announcement announcement;
  announcement.set_group("g");
  announcement.set_target(aName);
  announcement.set_address(server.address_);
  announcement.set_incarnation(server.incarnation_);
  announcement.set_connection_limit(kConnectionLimit);
  announcement.set_leaving(server.leaving_ || aWorld.lives_.at(aName).isGone_);
  announcement.set_gone(aWorld.lives_.at(aName).isGone_);
  return announcement;
}

//! Sends the leader a heartbeat of the host, with aAnnouncement if set.
void
SendHeartbeat(World& aWorld,
              const std::string& aHost,
              const wire::Announcement* aAnnouncement)
{
  Leader& leader = aWorld.leader_;
  Writer& writer = aWorld.writers_.at(aHost);
  HeartbeatReceived received;
  received.receivedAt_ = leader.now_;
  received.leaderLeaseUntil_ = Instant::max();
  auto& heartbeat = received.heartbeat_;
  heartbeat.mutable_sender()->set_host(aHost);
  heartbeat.mutable_sender()->set_boot(writer.boot_);
  heartbeat.mutable_sender()->set_knows_epochs(true);
  heartbeat.mutable_sender()->set_control_only(aHost == kControlHost);
  heartbeat.set_sequence(++writer.sequence_);
  heartbeat.set_last_reply(writer.lastReply_);
  heartbeat.set_revision_in_force(leader.control_.revision());
  if (aAnnouncement != nullptr) {
    *heartbeat.add_announcements() = *aAnnouncement;
  }
  if (writer.grant_.term_ != 0 && leader.now_ < writer.expires_) {
    auto* held = heartbeat.add_held();
    held->set_group("g");
    held->set_term(writer.grant_.term_);
    held->set_epoch(writer.grant_.epoch_);
    held->set_connection_share(1);
  }
  if (writer.released_.term_ != 0) {
    auto* released = heartbeat.add_released();
    released->set_group("g");
    released->set_term(writer.released_.term_);
    released->set_epoch(writer.released_.epoch_);
  }
  if (writer.told_.term() != 0) {
    *heartbeat.add_acknowledged() = writer.told_;
  }
  if (aHost == kControlHost) {
    Feed(leader, received);
    return;
  }
  for (const auto& target : GetGroup(leader).targets()) {
    const auto& name = target.target();
    *heartbeat.add_reports() = MakeReport(name, leader.servers_.at(name));
  }
  Feed(leader, received);
}

void
OnReply(World& aWorld, const Reply& aReply)
{
  const auto found = aWorld.writers_.find(aReply.host_);
  if (found == aWorld.writers_.end() || !found->second.runs_) {
    return;
  }
  Writer& writer = found->second;
  writer.lastReply_ = std::max(writer.lastReply_, aReply.reply_.sequence());
  for (const auto& grant : aReply.reply_.grants()) {
    const auto term = foundation::GetTermEpoch(grant);
    if (term <= writer.released_ || term < writer.grant_) {
      continue;
    }
    if (writer.grant_.term_ != term.term_) {
      writer.told_.Clear();
      writer.known_ = 0;
    }
    if (grant.has_acknowledged()) {
      auto& told = writer.told_;
      told.set_group("g");
      told.set_term(term.term_);
      told.set_least_offset(
        std::max(told.least_offset(), grant.acknowledged().least_offset()));
      told.set_most_offset(
        std::max(told.most_offset(), grant.acknowledged().most_offset()));
    }
    writer.grant_ = term;
    writer.expires_ = aWorld.leader_.now_ + kLease;
  }
}

void
OnRevoke(World& aWorld, const SendRevoke& aRevoke)
{
  Writer& writer = aWorld.writers_.at(aRevoke.host_);
  if (!writer.runs_) {
    return;
  }
  writer.released_ =
    std::max(writer.released_, foundation::GetTermEpoch(aRevoke.revoke_.key()));
  if (writer.grant_ <= writer.released_) {
    writer.expires_ = {};
  }
}

void
CheckChoices(World& aWorld)
{
  const auto& chosen = aWorld.leader_.chosen_;
  const auto acknowledge = GetGroup(aWorld.leader_).options().at("acknowledge");
  for (; aWorld.checked_ < chosen.size(); ++aWorld.checked_) {
    const auto& name = chosen[aWorld.checked_];
    const auto offset = aWorld.leader_.servers_.at(name).offset_;
    if (offset < aWorld.acknowledged_ && acknowledge == "one_replica") {
      aWorld.lost_ = name + " is chosen at " + std::to_string(offset) +
                     ", acknowledged are " +
                     std::to_string(aWorld.acknowledged_);
    }
  }
}

void
OnPromoted(World& aWorld, const std::string& aPromoted)
{
  CheckChoices(aWorld);
  for (auto& [name, server] : aWorld.leader_.servers_) {
    if (name != aPromoted && server.answers_) {
      server.primary_ = false;
    }
  }
  // While the option was off, acknowledged writes may be lost.
  const auto offset = aWorld.leader_.servers_.at(aPromoted).offset_;
  aWorld.acknowledged_ = std::min(aWorld.acknowledged_, offset);
}

void
Announce(World& aWorld, const std::string& aName)
{
  const auto announcement = MakeAnnouncement(aWorld, aName);
  SendHeartbeat(aWorld, kControlHost, &announcement);
}

//! The announcements that are due. A target that isn't recorded gets its
//! acknowledgement only after it is; or else at once, and what the leader
//! should hear of it is lost on its way.
void
StepAnnouncements(World& aWorld)
{
  for (auto& [name, life] : aWorld.lives_) {
    const bool runs = aWorld.leader_.servers_.at(name).answers_;
    const auto now = aWorld.leader_.now_;
    if (!runs || !life.announces_ || now < life.announcesAt_) {
      continue;
    }
    const bool isHeard = life.counts_ || !aWorld.acknowledgesEarly_;
    life.announcesAt_ = now + kAnnouncementInterval;
    if (isHeard) {
      Announce(aWorld, name);
    }
    life.counts_ |= aWorld.acknowledgesEarly_ || IsRecorded(aWorld, name);
  }
}

//! The leader sees a term begin, so that it knows every grant of it.
void
BeginOwnTerm(World& aWorld)
{
  Leader& leader = aWorld.leader_;
  constexpr std::uint64_t kTerm = 3;
  Server& primary = leader.servers_.at("b");
  auto& group = leader.control_.mutable_groups()->at("g");
  auto* start = group.add_history();
  start->set_term(kTerm);
  start->set_start_offset(primary.offset_);
  group.set_term(kTerm);
  primary.adopted_ = kTerm;
  Feed(leader, StateApplied{ { "g" } });
}

} // namespace

std::string
FindPrimary(const World& aWorld)
{
  std::string found;
  std::uint64_t term = 0;
  for (const auto& [name, server] : aWorld.leader_.servers_) {
    if (server.primary_ && server.adopted_ > term) {
      found = name;
      term = server.adopted_;
    }
  }
  return found;
}

void
WriteOnce(World& aWorld, bool aIsAnswered)
{
  Leader& leader = aWorld.leader_;
  Server& primary = leader.servers_.at(FindPrimary(aWorld));
  std::vector<Writer*> holding;
  for (auto& [host, writer] : aWorld.writers_) {
    const bool holds = writer.runs_ && leader.now_ < writer.expires_ &&
                       writer.grant_.term_ == primary.adopted_;
    if (holds) {
      holding.push_back(&writer);
    }
  }
  if (holding.empty() || !primary.answers_ || !primary.primary_) {
    return;
  }
  Writer& writer = *holding[aWorld.random_() % holding.size()];
  writer.told_.set_group("g");
  writer.told_.set_term(primary.adopted_);
  const auto before = writer.known_;
  ++primary.offset_;
  const bool isStrict =
    GetGroup(leader).options().at("acknowledge") == "one_replica";
  const bool isAcknowledged = Replicate(aWorld) || !isStrict;
  if (isAcknowledged && isStrict) {
    aWorld.acknowledged_ = primary.offset_;
  }
  if (!isAcknowledged || !aIsAnswered) {
    writer.told_.set_unknown(writer.told_.unknown() + 1);
    return;
  }
  writer.known_ = primary.offset_;
  if (isStrict) {
    writer.told_.set_least_offset(
      std::max(writer.told_.least_offset(), before + 1));
    writer.told_.set_most_offset(primary.offset_);
    writer.told_.set_unknown(0);
  }
}

void
RunWorld(World& aWorld, Duration aTime, bool aWrites)
{
  Leader& leader = aWorld.leader_;
  const auto end = leader.now_ + aTime;
  while (leader.now_ < end) {
    if (aWrites) {
      WriteOnce(aWorld, aWorld.random_() % 20 != 0);
    }
    Replicate(aWorld);
    StepAnnouncements(aWorld);
    const Server& primary = leader.servers_.at(FindPrimary(aWorld));
    for (auto& [host, writer] : aWorld.writers_) {
      if (!writer.runs_) {
        continue;
      }
      // The host's probe of the primary.
      if (primary.answers_ && primary.adopted_ == writer.grant_.term_) {
        writer.known_ = primary.offset_;
      }
      SendHeartbeat(aWorld, host, nullptr);
    }
    RunFor(leader, kStep);
    CheckChoices(aWorld);
  }
}

void
BeginWorld(World& aWorld, std::uint64_t aSeed, const Guards& aGuards)
{
  aWorld.random_.seed(static_cast<std::uint32_t>(aSeed));
  Leader& leader = aWorld.leader_;
  leader.acknowledge_ = "one_replica";
  leader.guards_ = aGuards;
  for (const char* name : { "a", "b", "c" }) {
    leader.servers_[name] = { .offset_ = 110,
                              .address_ = std::string(name) + ":1" };
    aWorld.lives_[name].counts_ = true;
  }
  leader.servers_["b"].primary_ = true;
  aWorld.acknowledged_ = 110;
  aWorld.writers_ = { { "h1", {} }, { "h2", {} }, { kControlHost, {} } };
  leader.onReply_ = [&aWorld](const Reply& aReply) { OnReply(aWorld, aReply); };
  leader.onRevoke_ = [&aWorld](const SendRevoke& aRevoke) {
    OnRevoke(aWorld, aRevoke);
  };
  leader.onPromoted_ = [&aWorld](const std::string& aName) {
    OnPromoted(aWorld, aName);
  };
  RunLive(leader, 0ms);
  if (aSeed % 2 == 1) {
    BeginOwnTerm(aWorld);
  }
  RunWorld(aWorld, 2s, false);
}

std::string
AddServer(World& aWorld, Duration aSilence)
{
  const auto name = "n" + std::to_string(++aWorld.successors_);
  Server server = aWorld.leader_.servers_.at(FindPrimary(aWorld));
  server.answers_ = true;
  server.primary_ = false;
  server.leaving_ = false;
  server.address_ = name + ":1";
  aWorld.leader_.servers_[name] = server;
  aWorld.lives_[name].announcesAt_ = aWorld.leader_.now_ + aSilence;
  return name;
}

void
AnnounceNow(World& aWorld, const std::string& aServer)
{
  aWorld.lives_.at(aServer).announcesAt_ = {};
}

void
EndServer(World& aWorld, const std::string& aServer)
{
  aWorld.lives_.at(aServer).isGone_ = true;
  Announce(aWorld, aServer);
  aWorld.leader_.servers_.at(aServer).answers_ = false;
  aWorld.lives_.at(aServer).counts_ = false;
}

void
ReturnServer(World& aWorld, const std::string& aServer)
{
  Server& server = aWorld.leader_.servers_.at(aServer);
  server.answers_ = true;
  server.primary_ &= FindPrimary(aWorld) == aServer;
  AnnounceNow(aWorld, aServer);
}

void
RestartBlank(World& aWorld, const std::string& aServer)
{
  Server& server = aWorld.leader_.servers_.at(aServer);
  server.offset_ = 0;
  server.answers_ = true;
  server.primary_ = false;
  server.leaving_ = false;
  ++server.incarnation_;
  aWorld.lives_.at(aServer).counts_ = false;
  AnnounceNow(aWorld, aServer);
}

void
ToggleWriter(World& aWorld, const std::string& aHost)
{
  Writer& writer = aWorld.writers_.at(aHost);
  const auto boot = writer.boot_;
  const bool runs = writer.runs_;
  writer = {};
  writer.boot_ = boot + (runs ? 0 : 1);
  writer.runs_ = !runs;
}

void
SetAcknowledge(World& aWorld, const std::string& aValue)
{
  Leader& leader = aWorld.leader_;
  wire::ControlRecord record;
  auto* change = record.mutable_change();
  change->set_change_id(std::to_string(leader.index_ + 1));
  auto* option = change->add_operations()->mutable_set_group_option();
  option->set_group("g");
  option->set_key("acknowledge");
  option->set_value(aValue);
  configuration::ApplyRecord(leader.control_, record, ++leader.index_);
  Feed(leader, StateApplied{ { "g" } });
}

bool
IsServed(const World& aWorld)
{
  const auto& group = GetGroup(aWorld.leader_);
  const auto primary = aWorld.leader_.servers_.find(group.primary());
  return !group.fenced() && group.promoting().empty() &&
         primary != aWorld.leader_.servers_.end() && primary->second.answers_ &&
         primary->second.primary_ &&
         std::ranges::any_of(aWorld.writers_, [&](const auto& aItem) {
           return aItem.second.runs_ &&
                  aWorld.leader_.now_ < aItem.second.expires_ &&
                  aItem.second.grant_ == foundation::GetTermEpoch(group);
         });
}

} // namespace wigeonlb::core::failover
