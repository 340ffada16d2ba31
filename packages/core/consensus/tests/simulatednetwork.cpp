#include "core/consensus/tests/simulatednetwork.h"

#include <algorithm>

#include <google/protobuf/util/message_differencer.h>

#include "core/configuration/delta.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::Duration;
using foundation::HostId;
using google::protobuf::util::MessageDifferencer;

constexpr Duration kStep = std::chrono::milliseconds(10);

ConsensusSettings
MakeSettings(const SimulatedNetwork& aNetwork, const HostId& aHost)
{
  ConsensusSettings settings;
  settings.self_ = aHost;
  for (int i = 0; i < aNetwork.settings_.members_; ++i) {
    settings.founders_.push_back(std::string(1, static_cast<char>('a' + i)));
  }
  if (aNetwork.settings_.smallParts_) {
    settings.snapshotIntervalEntries_ = 8;
    settings.retainedEntries_ = 2;
    settings.batchEntries_ = 4;
    settings.snapshotChunkBytes_ = kSnapshotPartBytes;
  }
  settings.seed_ = aNetwork.settings_.seed_ * 1000 + aNetwork.starts_;
  settings.guards_ = aNetwork.settings_.guards_;
  return settings;
}

bool
Chance(SimulatedNetwork& aNetwork, int aPerMille)
{
  return static_cast<int>(aNetwork.random_() % 1000) < aPerMille;
}

void
Truncate(std::vector<wire::ConsensusEntry>& aEntries, std::uint64_t aFrom)
{
  while (!aEntries.empty() && aEntries.back().index() >= aFrom) {
    aEntries.pop_back();
  }
}

// Writes the first aParts of a Persist action, to simulate a crash or a refused
// write during it: the entries in order, then the hard state.
void
WriteDisk(Disk& aDisk, const Persist& aPersist, std::size_t aParts)
{
  if (aPersist.truncateFrom_ > 0 && aParts > 0) {
    Truncate(aDisk.entries_, aPersist.truncateFrom_);
  }
  const std::size_t count = std::min(aParts, aPersist.entries_.size());
  aDisk.entries_.insert(aDisk.entries_.end(),
                        aPersist.entries_.begin(),
                        aPersist.entries_.begin() + count);
  if (aParts > aPersist.entries_.size()) {
    aDisk.hardState_ = aPersist.hardState_;
  }
}

void
Transmit(SimulatedNetwork& aNetwork, const wire::ConsensusMessage& aMessage)
{
  aNetwork.largestPartBytes_ = std::max(
    aNetwork.largestPartBytes_, aMessage.snapshot_request().chunk().size());
  aNetwork.entriesSent_ +=
    static_cast<std::uint64_t>(aMessage.append_request().entries_size());
  aNetwork.bytesSentTo_[aMessage.to()] += aMessage.ByteSizeLong();
  const bool cut =
    aNetwork.cutLinks_.contains({ aMessage.from(), aMessage.to() });
  if (cut || Chance(aNetwork, 10 * aNetwork.settings_.lossPercent_)) {
    return;
  }
  int copies = Chance(aNetwork, 10 * aNetwork.settings_.duplicatePercent_) + 1;
  while (copies-- > 0) {
    const bool late = Chance(aNetwork, aNetwork.settings_.latePerMille_);
    const int range = late ? 3000 : aNetwork.settings_.delayRangeMs_;
    const Duration delay =
      std::chrono::milliseconds(1 + aNetwork.random_() % range);
    aNetwork.inFlightMessages_.push_back({ aNetwork.now_ + delay, aMessage });
  }
}

//! Calls a function of the observer if it is set.
template<class Function, class... Arguments>
void
Notify(const Function& aFunction, const Arguments&... aArguments)
{
  if (aFunction) {
    aFunction(aArguments...);
  }
}

void
ApplyEntry(SimulatedNetwork& aNetwork, const HostId& aHost, const Apply& aApply)
{
  Member& member = aNetwork.members_[aHost];
  const wire::ConsensusEntry& entry = aApply.entry_;
  Notify(aNetwork.settings_.observer_.applying_, aHost, entry, aNetwork.now_);
  const auto [known, first] =
    aNetwork.committed_.try_emplace(entry.index(), entry);
  if (!MessageDifferencer::Equals(known->second, entry)) {
    aNetwork.violations_.insert("a committed entry was replaced");
  }
  const configuration::ApplyResult result =
    configuration::ApplyRecord(member.control_,
                               entry.record(),
                               entry.index(),
                               aNetwork.settings_.configurationGuards_);
  Notify(aNetwork.settings_.observer_.applied_, aHost, entry, result);
  if (!first || !result.changed_ || !result.change_) {
    return;
  }
  if (++aNetwork.timesApplied_[result.change_->change_id()] > 1) {
    aNetwork.violations_.insert("a change was applied twice");
  }
}

void
HandleAnswer(SimulatedNetwork& aNetwork,
             const Member& aMember,
             const ProposalDecided& aDecided)
{
  Operator& sender = aNetwork.operators_[aDecided.token_];
  // Half of the answers are dropped, so that operators resend their changes.
  if (aDecided.outcome_ != ProposalOutcome::Committed || sender.answered_ ||
      Chance(aNetwork, 500)) {
    return;
  }
  sender.answered_ = true;
  for (const wire::ChangeResult& result : aMember.control_.recent_results()) {
    if (result.change_id() == sender.change_.change_id() && result.accepted()) {
      aNetwork.acknowledgedRevision_ =
        std::max(aNetwork.acknowledgedRevision_, result.revision());
    }
  }
}

void
SaveSnapshot(SimulatedNetwork& aNetwork,
             const HostId& aHost,
             const TakeSnapshot& aTake)
{
  Member& member = aNetwork.members_[aHost];
  wire::MemberSnapshot snapshot;
  snapshot.set_last_index(aTake.lastIndex_);
  snapshot.set_last_term(aTake.lastTerm_);
  *snapshot.mutable_members() = aTake.members_;
  *snapshot.mutable_state() = member.control_;
  member.disk_.snapshot_ = snapshot;
  std::erase_if(member.disk_.entries_, [&](const auto& aEntry) {
    return aEntry.index() <= aTake.lastIndex_;
  });
  Feed(aNetwork, aHost, SnapshotSaved{ snapshot });
}

bool
IsWrite(const Action& aAction)
{
  return std::holds_alternative<Persist>(aAction) ||
         std::holds_alternative<TakeSnapshot>(aAction) ||
         std::holds_alternative<InstallSnapshot>(aAction);
}

// Any part of what is refused may be on the disk.
void
RefuseWrite(SimulatedNetwork& aNetwork,
            const HostId& aHost,
            const Action& aAction)
{
  ++aNetwork.writesRefused_;
  if (const auto* persist = std::get_if<Persist>(&aAction)) {
    WriteDisk(aNetwork.members_[aHost].disk_,
              *persist,
              aNetwork.random_() % (persist->entries_.size() + 2));
  }
  Feed(aNetwork, aHost, StorageFailed{});
}

void
Execute(SimulatedNetwork& aNetwork, const HostId& aHost, const Action& aAction)
{
  Member& member = aNetwork.members_[aHost];
  if (aNetwork.refusingDisks_.contains(aHost) && IsWrite(aAction)) {
    RefuseWrite(aNetwork, aHost, aAction);
    return;
  }
  if (const auto* persist = std::get_if<Persist>(&aAction)) {
    if (aNetwork.crashesAtPersist_ == aHost) {
      aNetwork.crashesAtPersist_.clear();
      Crash(aNetwork, aHost);
      return;
    }
    WriteDisk(member.disk_, *persist, persist->entries_.size() + 1);
  } else if (const auto* send = std::get_if<SendMessage>(&aAction)) {
    Transmit(aNetwork, send->message_);
  } else if (const auto* apply = std::get_if<Apply>(&aAction)) {
    ApplyEntry(aNetwork, aHost, *apply);
  } else if (const auto* take = std::get_if<TakeSnapshot>(&aAction)) {
    SaveSnapshot(aNetwork, aHost, *take);
  } else if (const auto* install = std::get_if<InstallSnapshot>(&aAction)) {
    member.disk_ = { install->hardState_, install->snapshot_, {} };
    member.control_ = install->snapshot_.state();
    Notify(aNetwork.settings_.observer_.replaced_,
           aHost,
           member.control_,
           aNetwork.now_);
  } else if (const auto* changed = std::get_if<LeadershipChanged>(&aAction)) {
    Notify(
      aNetwork.settings_.observer_.leadership_, aHost, *changed, aNetwork.now_);
  } else if (const auto* decided = std::get_if<ProposalDecided>(&aAction)) {
    HandleAnswer(aNetwork, member, *decided);
  }
}

void
RecordLeader(SimulatedNetwork& aNetwork, const HostId& aHost)
{
  const ConsensusState& state = aNetwork.members_[aHost].consensus_;
  if (!IsLeader(state)) {
    return;
  }
  const auto [known, first] =
    aNetwork.leaders_.try_emplace(state.hardState_.term(), aHost);
  if (known->second != aHost) {
    aNetwork.violations_.insert("two leaders in one term");
  }
}

void
Deliver(SimulatedNetwork& aNetwork)
{
  std::vector<InFlightMessage> due;
  std::erase_if(
    aNetwork.inFlightMessages_, [&](const InFlightMessage& aInFlight) {
      const bool arrived = aInFlight.arrives_ <= aNetwork.now_ &&
                           !aNetwork.heldUp_.contains(aInFlight.message_.to());
      if (arrived) {
        due.push_back(aInFlight);
      }
      return arrived;
    });
  std::ranges::stable_sort(due, {}, &InFlightMessage::arrives_);
  for (const InFlightMessage& inFlight : due) {
    const auto& message = inFlight.message_;
    if (!aNetwork.cutLinks_.contains({ message.from(), message.to() })) {
      Feed(aNetwork, message.to(), MessageReceived{ message });
    }
  }
}

// Starts a member from its disk once the disk accepts writes again, as the
// driver does.
void
RecoverStorage(SimulatedNetwork& aNetwork, const HostId& aHost)
{
  const Member& member = aNetwork.members_[aHost];
  if (member.up_ && member.consensus_.role_ == Role::Failed &&
      !aNetwork.refusingDisks_.contains(aHost)) {
    Start(aNetwork, aHost);
  }
}

void
UpdateHostView(SimulatedNetwork& aNetwork)
{
  auto member = aNetwork.members_.begin();
  std::advance(member, aNetwork.random_() % aNetwork.members_.size());
  const std::uint64_t before = aNetwork.host_.state_.revision();
  configuration::ApplyReply(
    aNetwork.host_,
    configuration::DeltaSince(member->second.control_, before),
    aNetwork.settings_.configurationGuards_);
  Notify(aNetwork.settings_.observer_.revision_,
         aNetwork.host_.state_.revision(),
         aNetwork.now_);
  if (aNetwork.host_.state_.revision() < before) {
    aNetwork.violations_.insert("a host's revision went back");
  }
}

} // namespace

SimulatedNetwork
MakeNetwork(const NetworkSettings& aSettings)
{
  SimulatedNetwork network;
  network.settings_ = aSettings;
  network.random_.seed(aSettings.seed_);
  for (int i = 0; i < aSettings.members_; ++i) {
    Start(network, std::string(1, static_cast<char>('a' + i)));
  }
  return network;
}

void
Start(SimulatedNetwork& aNetwork, const HostId& aHost)
{
  ++aNetwork.starts_;
  Member& member = aNetwork.members_[aHost];
  member.up_ = true;
  member.control_ = member.disk_.snapshot_.state();
  const auto& observer = aNetwork.settings_.observer_;
  Notify(observer.started_, aHost, aNetwork.now_);
  Notify(observer.replaced_, aHost, member.control_, aNetwork.now_);
  member.consensus_ = MakeConsensusState(MakeSettings(aNetwork, aHost),
                                         member.disk_.hardState_,
                                         member.disk_.snapshot_,
                                         member.disk_.entries_,
                                         aNetwork.now_);
}

void
Crash(SimulatedNetwork& aNetwork, const HostId& aHost)
{
  aNetwork.members_[aHost].up_ = false;
}

void
LoseDisk(SimulatedNetwork& aNetwork, const HostId& aHost)
{
  Crash(aNetwork, aHost);
  aNetwork.members_[aHost].disk_ = Disk();
  ++aNetwork.disksLost_;
}

void
Isolate(SimulatedNetwork& aNetwork, const HostId& aHost)
{
  for (const auto& [other, member] : aNetwork.members_) {
    aNetwork.cutLinks_.insert({ aHost, other });
    aNetwork.cutLinks_.insert({ other, aHost });
  }
}

void
Heal(SimulatedNetwork& aNetwork)
{
  aNetwork.cutLinks_.clear();
}

void
Feed(SimulatedNetwork& aNetwork, const HostId& aHost, const Event& aEvent)
{
  Member& member = aNetwork.members_[aHost];
  if (!member.up_ || aNetwork.heldUp_.contains(aHost)) {
    return;
  }
  std::vector<Action> actions;
  // Leaders are excluded: they may step down between two heartbeats, but
  // NextDue returns the time of the next heartbeat.
  const bool idle = std::holds_alternative<Tick>(aEvent) &&
                    !IsLeader(member.consensus_) &&
                    NextDue(member.consensus_) > aNetwork.now_;
  Step(member.consensus_, aEvent, aNetwork.now_, actions);
  if (idle && !actions.empty()) {
    aNetwork.violations_.insert("a tick had effects before NextDue");
  }
  Notify(aNetwork.settings_.observer_.stepped_,
         aHost,
         std::span<const Action>(actions));
  std::size_t executed = actions.size();
  const bool crashes =
    !actions.empty() && Chance(aNetwork, aNetwork.settings_.crashPerMille_);
  if (crashes) {
    executed = aNetwork.random_() % (actions.size() + 1);
  }
  const bool failed = member.consensus_.role_ == Role::Failed;
  for (std::size_t i = 0; i < executed && member.up_; ++i) {
    if (!failed && member.consensus_.role_ == Role::Failed) {
      return; // the remaining actions are dropped
    }
    Execute(aNetwork, aHost, actions[i]);
  }
  if (!crashes) {
    RecordLeader(aNetwork, aHost);
    return;
  }
  const auto* persist = executed < actions.size()
                          ? std::get_if<Persist>(&actions[executed])
                          : nullptr;
  if (persist) {
    WriteDisk(member.disk_,
              *persist,
              aNetwork.random_() % (persist->entries_.size() + 1));
  }
  Crash(aNetwork, aHost);
}

void
Run(SimulatedNetwork& aNetwork, Duration aTime)
{
  const foundation::Instant end = aNetwork.now_ + aTime;
  while (aNetwork.now_ < end) {
    aNetwork.now_ += kStep;
    Deliver(aNetwork);
    for (const auto& [host, member] : aNetwork.members_) {
      RecoverStorage(aNetwork, host);
      Feed(aNetwork, host, Tick{});
    }
    UpdateHostView(aNetwork);
    CheckLeases(aNetwork);
    if (Chance(aNetwork, 50)) {
      CheckAllLogs(aNetwork);
    }
  }
}

void
HoldUp(SimulatedNetwork& aNetwork, const HostId& aHost, Duration aTime)
{
  aNetwork.heldUp_.insert(aHost);
  Run(aNetwork, aTime);
  aNetwork.heldUp_.erase(aHost);
  Feed(aNetwork, aHost, Tick{});
}

HostId
Leader(const SimulatedNetwork& aNetwork)
{
  HostId leader;
  std::uint64_t term = 0;
  for (const auto& [host, member] : aNetwork.members_) {
    const std::uint64_t own = member.consensus_.hardState_.term();
    if (member.up_ && IsLeader(member.consensus_) && own > term) {
      leader = host;
      term = own;
    }
  }
  return leader;
}

void
SendChange(SimulatedNetwork& aNetwork, std::uint64_t aToken, const HostId& aTo)
{
  Operator& sender = aNetwork.operators_[aToken];
  ++sender.sent_;
  wire::ControlRecord record;
  *record.mutable_change() = sender.change_;
  Feed(aNetwork, aTo, Propose{ record, aToken });
}

} // namespace wigeonlb::core::consensus
