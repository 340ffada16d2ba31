#include "core/grants/tests/configurationdelivery.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "core/grants/tests/deliveryworld.h"

namespace wigeonlb::core::grants {

namespace {

using namespace std::chrono_literals;
using namespace delivery;
using foundation::Duration;

constexpr Duration kStep = 5ms;
constexpr Duration kTroubleTime = 20s;
//! After this time without trouble, each host has what was decided that long
//! before.
constexpr Duration kInForceTime = 3s;
constexpr Duration kCalmTime = 8s;
//! Between two losses for good of a member.
constexpr Duration kLossInterval = 6s;
//! The same if all members are to be replaced within a long cut.
constexpr Duration kShortLossInterval = 1500ms;
constexpr Duration kMaxPause = 5s;
constexpr Duration kMaxCut = 5s;
constexpr Duration kMaxLongCut = 20s;
constexpr std::size_t kHosts = 3;
constexpr std::size_t kVoters = 3;
constexpr std::size_t kSeeds = 3; //!< that a host is told at its start

//! What a draw may bring.
enum class Trouble
{
  Pause,
  Cut,
  Restart,
  LeaderLost,
  MemberReplaced,
  MemberRestarted,
};
constexpr std::uint64_t kTroubles = 6;

//! Adds a group, and drops the one before in half of the cases, so that deltas
//! also lack dropped groups.
void
Decide(World& aWorld)
{
  wire::ControlState state = aWorld.history_.back();
  wire::ControlRecord record;
  auto& change = *record.mutable_change();
  const std::string name = std::to_string(aWorld.history_.size());
  change.set_change_id(name);
  change.add_operations()->mutable_create_group()->set_group("g" + name);
  if (state.groups_size() > 0 && Draw(aWorld, 2) == 0) {
    change.add_operations()->mutable_drop_group()->set_group(
      state.groups().begin()->first);
  }
  const auto result =
    configuration::ApplyRecord(state, record, aWorld.history_.size());
  REQUIRE(result.changed_);
  REQUIRE(state.revision() == aWorld.history_.size());
  aWorld.history_.push_back(std::move(state));
  aWorld.decidedAt_.push_back(aWorld.now_);
  aWorld.members_.at(aWorld.leader_).applied_ = Newest(aWorld);
}

void
AddMember(World& aWorld)
{
  const HostId id = "m" + std::to_string(++aWorld.lastMember_);
  aWorld.members_[id].id_ = id;
  if (aWorld.current_.voters_size() < static_cast<int>(kVoters)) {
    aWorld.current_.add_voters(id);
  } else {
    aWorld.current_.add_learners(id);
  }
  ++aWorld.membersIndex_;
}

//! Returns whether the name was there.
template<class Names>
bool
RemoveName(Names& aNames, const HostId& aName)
{
  const auto found = std::ranges::find(aNames, aName);
  if (found == aNames.end()) {
    return false;
  }
  aNames.erase(found);
  return true;
}

//! Where other hosts are the source of members, all members are replaced during
//! one cut.
Duration
GetLossInterval(const World& aWorld)
{
  return aWorld.settings_.source_ == MemberSource::Seeds ? kLossInterval
                                                         : kShortLossInterval;
}

Duration
DrawUpTo(World& aWorld, Duration aLongest)
{
  return Duration(Draw(aWorld, aLongest.count()));
}

Duration
DrawCut(World& aWorld)
{
  const bool isShort = aWorld.settings_.source_ == MemberSource::Seeds;
  return DrawUpTo(aWorld, isShort ? kMaxCut : kMaxLongCut);
}

//! Replaces a member that does not lead for good.
void
ReplaceMember(World& aWorld)
{
  const std::vector<HostId> members = ListMembers(aWorld.current_);
  const HostId& lost = members[Draw(aWorld, members.size())];
  if (lost == aWorld.leader_ || aWorld.now_ < aWorld.nextLossAt_) {
    return;
  }
  aWorld.nextLossAt_ = aWorld.now_ + GetLossInterval(aWorld);
  aWorld.members_.at(lost).up_ = false;
  if (!RemoveName(*aWorld.current_.mutable_voters(), lost)) {
    RemoveName(*aWorld.current_.mutable_learners(), lost);
  }
  AddMember(aWorld);
}

void
ElectLeader(World& aWorld)
{
  const auto& voters = aWorld.current_.voters();
  aWorld.leader_ = voters[static_cast<int>(Draw(aWorld, kVoters))];
  Member& leader = aWorld.members_.at(aWorld.leader_);
  leader.applied_ = Newest(aWorld);
  leader.up_ = true;
}

void
StartHost(World& aWorld, Host& aHost)
{
  wire::HostInfo self;
  self.set_host(aHost.id_);
  self.set_boot(++aWorld.lastBoot_);
  std::vector<HostId> seeds = ListMembers(aWorld.current_);
  seeds.resize(kSeeds);
  aHost.holder_ = MakeHolder(self, std::move(seeds), aWorld.random_());
  for (std::size_t number = 0; number < kHosts; ++number) {
    const HostId other = "h" + std::to_string(number);
    aHost.holder_.hosts_[other].set_host(other);
  }
  aHost.configuration_ = {};
  aHost.configuration_.expected_ = true;
  aHost.highest_ = 0;
}

//! Sends a message that may be late or lost while there is trouble.
void
Send(World& aWorld, Message aMessage)
{
  Duration delay(1000 + Draw(aWorld, 20'000));
  if (!IsCalm(aWorld)) {
    if (Draw(aWorld, 12) == 0) {
      return;
    }
    if (Draw(aWorld, 12) == 0) {
      delay += Duration(Draw(aWorld, 4'000'000));
    }
  }
  aMessage.at_ = aWorld.now_ + delay;
  aWorld.messages_.push_back(std::move(aMessage));
}

//! What a member answers; a leader holds its lease.
void
Answer(World& aWorld, Member& aMember, const wire::Heartbeat& aHeartbeat)
{
  const HostId& host = aHeartbeat.sender().host();
  const bool leads = aMember.id_ == aWorld.leader_;
  aMember.delivery_.inForce_[host] = aHeartbeat.revision_in_force();
  wire::HeartbeatReply reply;
  reply.set_from(aMember.id_);
  reply.set_boot(aHeartbeat.sender().boot());
  reply.set_sequence(aHeartbeat.sequence());
  reply.set_sent_at_us(aHeartbeat.sent_at_us());
  reply.set_leader(leads);
  reply.set_confirmed(leads);
  reply.set_leader_hint(aWorld.leader_);
  reply.set_relayed_to(aHeartbeat.relayed_by().empty() ? "" : host);
  if (aHeartbeat.members_index() < aWorld.membersIndex_) {
    *reply.mutable_members() = aWorld.current_;
    reply.set_members_index(aWorld.membersIndex_);
  }
  auto whole =
    configuration::AddConfiguration(aMember.delivery_,
                                    aWorld.history_[aMember.applied_],
                                    host,
                                    aWorld.now_,
                                    reply);
  Send(aWorld, { {}, host, {}, std::move(reply) });
  if (whole) {
    Send(aWorld, { {}, host, {}, std::move(*whole) });
  }
}

void
ReceiveHeartbeat(World& aWorld, Member& aMember, wire::Heartbeat aHeartbeat)
{
  if (!aMember.up_) {
    return;
  }
  const bool relays = aHeartbeat.relay() && aHeartbeat.relayed_by().empty() &&
                      !aWorld.leader_.empty() && aMember.id_ != aWorld.leader_;
  if (relays) {
    aHeartbeat.set_relayed_by(aMember.id_);
    Send(aWorld, { {}, aWorld.leader_, std::move(aHeartbeat), {} });
    return;
  }
  Answer(aWorld, aMember, aHeartbeat);
}

void
Feed(World& aWorld, Host& aHost, const HolderEvent& aEvent)
{
  std::vector<HolderAction> actions;
  Step(aHost.holder_, aEvent, aWorld.now_, actions);
  for (const HolderAction& action : actions) {
    if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
      if (aWorld.now_ >= aHost.cutUntil_) {
        Send(aWorld, { {}, heartbeat->member_, heartbeat->heartbeat_, {} });
      }
    } else if (const auto* got = std::get_if<ConfigurationReceived>(&action)) {
      if (configuration::ReceiveConfiguration(aHost.configuration_,
                                              got->reply_)) {
        aHost.configuration_.inForce_ = aHost.configuration_.received_;
      }
    }
  }
}

void
ReceiveReply(World& aWorld, Host& aHost, wire::HeartbeatReply aReply)
{
  if (!IsForThisStart(aHost.holder_, aReply)) {
    return;
  }
  if (aReply.has_members() &&
      aReply.members_index() > aHost.holder_.membersIndex_) {
    aHost.members_ = aReply.members();
    Feed(
      aWorld,
      aHost,
      MembersChanged{ ListMembers(aReply.members()), aReply.members_index() });
  }
  if (!aWorld.settings_.guards_.timeOfRequest_) {
    aReply.set_sent_at_us(aWorld.now_.time_since_epoch().count());
  }
  HostConfiguration& state = aHost.configuration_;
  configuration::NoteConfirmation(state, aReply, aWorld.now_);
  Feed(aWorld, aHost, ReplyReceived{ aReply });
  if (configuration::ConfirmReceived(state, aReply)) {
    state.inForce_ = state.received_;
  }
  Feed(aWorld, aHost, RevisionInForce{ state.inForce_.state_.revision() });
}

//! A host that is no member answers with newer members only.
void
AnswerWithMembers(World& aWorld,
                  const Host& aHost,
                  const wire::Heartbeat& aHeartbeat)
{
  if (aHeartbeat.members_index() >= aHost.holder_.membersIndex_) {
    return;
  }
  wire::HeartbeatReply reply;
  reply.set_from(aHost.id_);
  reply.set_boot(aHeartbeat.sender().boot());
  reply.set_sequence(aHeartbeat.sequence());
  reply.set_sent_at_us(aHeartbeat.sent_at_us());
  *reply.mutable_members() = aHost.members_;
  reply.set_members_index(aHost.holder_.membersIndex_);
  Send(aWorld, { {}, aHeartbeat.sender().host(), {}, std::move(reply) });
}

//! Checks what the host would tell a caller at this moment.
void
Judge(World& aWorld, Host& aHost)
{
  const Revision inForce = aHost.configuration_.inForce_.state_.revision();
  const auto* confirmation =
    configuration::FindConfirmation(aHost.configuration_);
  const bool mayRefuse =
    aWorld.settings_.guards_.ageOfConfirmation_
      ? configuration::MayRefuseNames(confirmation, aWorld.now_)
      : confirmation != nullptr;
  const Instant since = aWorld.now_ - configuration::kConfirmationLifetimeMs;
  Violations& violations = aWorld.violations_;
  violations.refusedTooEarly_ +=
    mayRefuse && inForce < NewestAt(aWorld, since) ? 1 : 0;
  violations.wentBack_ += inForce < aHost.highest_ ? 1 : 0;
  aHost.highest_ = std::max(aHost.highest_, inForce);
  if (aWorld.now_ >= aWorld.calmAt_ + kInForceTime) {
    violations.behind_ +=
      inForce < NewestAt(aWorld, aWorld.now_ - kInForceTime) ? 1 : 0;
    violations.unconfirmed_ += confirmation == nullptr ? 1 : 0;
  }
}

//! A message to a host that stands still waits in its socket.
bool
IsDue(const World& aWorld, const Message& aMessage)
{
  const auto host = std::ranges::find(aWorld.hosts_, aMessage.to_, &Host::id_);
  const bool waits =
    host != aWorld.hosts_.end() && aWorld.now_ < host->goesOnAt_;
  return aMessage.at_ <= aWorld.now_ && !waits;
}

void
Deliver(World& aWorld)
{
  std::vector<Message> due;
  const auto rest = std::stable_partition(
    aWorld.messages_.begin(),
    aWorld.messages_.end(),
    [&](const Message& aItem) { return !IsDue(aWorld, aItem); });
  std::move(rest, aWorld.messages_.end(), std::back_inserter(due));
  aWorld.messages_.erase(rest, aWorld.messages_.end());
  for (Message& message : due) {
    const auto host = std::ranges::find(aWorld.hosts_, message.to_, &Host::id_);
    if (host == aWorld.hosts_.end()) {
      ReceiveHeartbeat(aWorld,
                       aWorld.members_.at(message.to_),
                       std::move(*message.heartbeat_));
    } else if (aWorld.now_ < host->cutUntil_) {
      continue;
    } else if (message.heartbeat_) {
      AnswerWithMembers(aWorld, *host, *message.heartbeat_);
    } else {
      ReceiveReply(aWorld, *host, std::move(*message.reply_));
      Judge(aWorld, *host);
    }
  }
}

//! Without settings to read, a host that starts again could find nobody, and
//! one host at least must hear of each change of members.
bool
IsSpared(const World& aWorld, const Host& aHost, Trouble aTrouble)
{
  if (aWorld.settings_.source_ == MemberSource::Seeds) {
    return false;
  }
  const bool isFirst = &aHost == &aWorld.hosts_.front();
  return aTrouble == Trouble::Restart ||
         (isFirst && (aTrouble == Trouble::Pause || aTrouble == Trouble::Cut));
}

void
Disturb(World& aWorld)
{
  Host& host = aWorld.hosts_[Draw(aWorld, kHosts)];
  const auto trouble = static_cast<Trouble>(Draw(aWorld, kTroubles));
  if (IsSpared(aWorld, host, trouble)) {
    return;
  }
  switch (trouble) {
    case Trouble::Pause:
      host.goesOnAt_ = aWorld.now_ + DrawUpTo(aWorld, kMaxPause);
      return;
    case Trouble::Cut:
      host.cutUntil_ = aWorld.now_ + DrawCut(aWorld);
      return;
    case Trouble::Restart:
      StartHost(aWorld, host);
      return;
    case Trouble::LeaderLost:
      aWorld.leader_.clear();
      return;
    case Trouble::MemberReplaced:
      ReplaceMember(aWorld);
      return;
    case Trouble::MemberRestarted: {
      // A member starts again from its snapshot.
      const std::vector<HostId> members = ListMembers(aWorld.current_);
      Member& member =
        aWorld.members_.at(members[Draw(aWorld, members.size())]);
      if (member.id_ != aWorld.leader_) {
        member.applied_ = Draw(aWorld, member.applied_ + 1);
        member.delivery_ = {};
      }
    }
  }
}

//! Settings files name the present members; hosts read them again.
void
UpdateSeeds(World& aWorld)
{
  for (Host& host : aWorld.hosts_) {
    std::vector<HostId> members = host.holder_.members_;
    for (const HostId& seed : ListMembers(aWorld.current_)) {
      if (std::ranges::find(members, seed) == members.end()) {
        members.push_back(seed);
      }
    }
    Feed(aWorld,
         host,
         MembersChanged{ std::move(members), host.holder_.membersIndex_ });
  }
}

void
AdvanceMembers(World& aWorld)
{
  for (auto& [id, member] : aWorld.members_) {
    const bool follows = member.up_ && !aWorld.leader_.empty();
    if (follows && (IsCalm(aWorld) || Draw(aWorld, 20) == 0)) {
      member.applied_ = Newest(aWorld);
    }
  }
}

void
EndTrouble(World& aWorld)
{
  for (Host& host : aWorld.hosts_) {
    host.goesOnAt_ = aWorld.now_;
    host.cutUntil_ = aWorld.now_;
  }
  if (aWorld.leader_.empty()) {
    ElectLeader(aWorld);
  }
  if (aWorld.settings_.source_ == MemberSource::Seeds) {
    UpdateSeeds(aWorld);
  }
}

} // namespace

Violations
RunSchedule(std::uint64_t aSeed, const ScheduleSettings& aSettings)
{
  World world;
  world.random_.seed(aSeed);
  world.settings_ = aSettings;
  world.calmAt_ = world.now_ + kTroubleTime;
  for (std::size_t number = 0; number < aSettings.members_; ++number) {
    AddMember(world);
  }
  ElectLeader(world);
  for (std::size_t number = 0; number < kHosts; ++number) {
    Host& host = world.hosts_.emplace_back();
    host.id_ = "h" + std::to_string(number);
    StartHost(world, host);
  }
  bool isCalm = false;
  for (; world.now_ < world.calmAt_ + kCalmTime; world.now_ += kStep) {
    if (!std::exchange(isCalm, IsCalm(world)) && isCalm) {
      EndTrouble(world);
    }
    if (!isCalm && Draw(world, 100) == 0) {
      Disturb(world);
    }
    if (world.leader_.empty() && Draw(world, 200) == 0) {
      ElectLeader(world);
    }
    if (!world.leader_.empty() && Draw(world, 60) == 0) {
      Decide(world);
    }
    AdvanceMembers(world);
    // The traffic threads may be the first to run when a host goes on.
    for (Host& host : world.hosts_) {
      if (world.now_ >= host.goesOnAt_) {
        Judge(world, host);
        Feed(world, host, Tick{});
      }
    }
    Deliver(world);
  }
  return world.violations_;
}

} // namespace wigeonlb::core::grants
