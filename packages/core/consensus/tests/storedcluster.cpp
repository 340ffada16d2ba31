#include "core/consensus/tests/storedcluster.h"

#include <algorithm>

#include <google/protobuf/util/message_differencer.h>

#include "core/configuration/applyrecord.h"
#include "core/consensus/memberplan.h"

namespace wigeonlb::core::consensus {

using foundation::Duration;
using foundation::HostId;
using foundation::Instant;
using google::protobuf::util::MessageDifferencer;
using namespace std::chrono_literals;

namespace {

constexpr Duration kPlanIntervalMs = 100ms;
constexpr Duration kChangeIntervalMs = 20ms;
constexpr std::uint64_t kOpenChanges = 6;
constexpr Duration kLeaderLimitMs = 10000ms;
const std::string kFolder = "data";

} // namespace

std::string
GroupName(std::uint64_t aNumber)
{
  return "group " + std::to_string(aNumber);
}

namespace {

bool
IsWrite(const Action& aAction)
{
  return std::holds_alternative<Persist>(aAction) ||
         std::holds_alternative<TakeSnapshot>(aAction) ||
         std::holds_alternative<InstallSnapshot>(aAction);
}

std::uint64_t
Incarnation(const wire::MemberChange& aMembers, const HostId& aHost)
{
  const auto found = aMembers.incarnations().find(aHost);
  return found == aMembers.incarnations().end() ? 0 : found->second;
}

bool
IsInstalling(const StoredHost& aHost)
{
  return aHost.up_ && !aHost.pending_.empty() &&
         std::holds_alternative<InstallSnapshot>(aHost.pending_.front());
}

//! Whether the case's moment is now, as seen by the leader that acknowledges.
bool
IsAtMoment(const Cluster& aCluster, const ConsensusState& aLeader)
{
  const HostId& newcomer = aCluster.newcomer_;
  const wire::MemberChange& newest = Members(aLeader);
  const wire::MemberChange& committed =
    MembersAt(aLeader.log_, aLeader.commitIndex_);
  const auto found = aLeader.progress_.find(newcomer);
  const bool known = found != aLeader.progress_.end();
  const std::uint64_t own = known ? found->second.incarnation_ : 0;
  const bool admitted = own != 0 && Incarnation(committed, newcomer) == own;
  switch (aCluster.case_.moment_) {
    case Moment::Replacing:
      return IsJoint(newest) || IsJoint(committed);
    case Moment::PromotionPending:
      return IsVoter(newest, newcomer) && !IsVoter(committed, newcomer);
    case Moment::PromotionCommitted:
      return IsVoter(committed, newcomer) && !IsJoint(committed);
    case Moment::Recovering:
      return known && found->second.recovering_ &&
             found->second.readmitAt_ > 0 && !admitted;
    case Moment::ReadmissionPending:
      return own != 0 && Incarnation(newest, newcomer) == own && !admitted;
    case Moment::ReadmissionCommitted:
      return admitted;
    case Moment::CountsAgain:
      return admitted && !found->second.recovering_;
    case Moment::SnapshotSent:
      return known && found->second.snapshotOffset_ > 0;
    case Moment::SnapshotInstalled:
      return IsInstalling(aCluster.hosts_.at(newcomer));
  }
  return false;
}

} // namespace

void
StartHost(Cluster& aCluster, const HostId& aName)
{
  StoredHost& host = aCluster.hosts_[aName];
  host.files_.syncs_ = aCluster.case_.syncs_;
  host.folder_ = storage::DataFolder();
  host.store_ = storage::MemberStore();
  storage::MemberImage image;
  foundation::Findings findings;
  if (storage::OpenDataFolder(host.files_, kFolder, aName, host.folder_) ||
      storage::Load(host.folder_, host.store_, image, findings)) {
    aCluster.violations_.insert("a folder can't be read");
    return;
  }
  ConsensusSettings settings;
  settings.self_ = aName;
  settings.founders_ = { "a", "b", "c" };
  settings.snapshotIntervalEntries_ = 16;
  settings.retainedEntries_ = 4;
  settings.batchEntries_ = 4;
  settings.snapshotChunkBytes_ = 400;
  settings.seed_ = aCluster.seed_ * 1000 + ++aCluster.starts_;
  settings.guards_ = aCluster.case_.guards_;
  host.control_ = image.snapshot_.state();
  host.consensus_ = MakeConsensusState(
    settings, image.hardState_, image.snapshot_, image.entries_, aCluster.now_);
  host.up_ = true;
}

void
StopHost(StoredHost& aHost)
{
  aHost.up_ = false;
  aHost.events_.clear();
  aHost.pending_.clear();
  aHost.writtenAt_.reset();
}

void
LoseFiles(StoredHost& aHost)
{
  StopHost(aHost);
  aHost.files_ = TestedFileSystem();
}

namespace {

void
Acknowledge(Cluster& aCluster,
            const HostId& aName,
            const ProposalDecided& aDecided)
{
  const StoredHost& host = aCluster.hosts_[aName];
  if (aDecided.token_ == 0) {
    return;
  }
  aCluster.open_ -= std::min<std::uint64_t>(aCluster.open_, 1);
  if (aDecided.outcome_ != ProposalOutcome::Committed) {
    return;
  }
  if (!host.control_.groups().contains(GroupName(aDecided.token_))) {
    aCluster.violations_.insert("an acknowledged change isn't in force");
  }
  aCluster.acknowledged_.insert(aDecided.token_);
  aCluster.revision_ = std::max(aCluster.revision_, host.control_.revision());
  if (aCluster.awaitsMoment_ && IsAtMoment(aCluster, host.consensus_) &&
      aCluster.random_() % 2 == 0) {
    aCluster.powerLost_ = true;
    aCluster.momentCame_ = true;
    aCluster.acknowledgedBy_ = aName;
    aCluster.members_ =
      MembersAt(host.consensus_.log_, host.consensus_.commitIndex_);
  }
}

void
ApplyEntry(Cluster& aCluster, StoredHost& aHost, const Apply& aApply)
{
  const wire::ConsensusEntry& entry = aApply.entry_;
  const auto [known, first] =
    aCluster.committed_.try_emplace(entry.index(), entry);
  if (!first && !MessageDifferencer::Equals(known->second, entry)) {
    aCluster.violations_.insert("a committed entry was replaced");
  }
  configuration::ApplyRecord(aHost.control_, entry.record(), entry.index());
}

std::error_code
TakeAndSave(StoredHost& aHost, const TakeSnapshot& aTake)
{
  wire::MemberSnapshot snapshot;
  snapshot.set_last_index(aTake.lastIndex_);
  snapshot.set_last_term(aTake.lastTerm_);
  *snapshot.mutable_members() = aTake.members_;
  *snapshot.mutable_state() = aHost.control_;
  std::vector<wire::ConsensusEntry> tail;
  for (const wire::ConsensusEntry& entry : aHost.consensus_.log_.entries_) {
    if (entry.index() > aTake.lastIndex_) {
      tail.push_back(entry);
    }
  }
  aHost.events_.emplace_front(SnapshotSaved{ snapshot });
  return storage::SaveSnapshot(aHost.store_, snapshot, tail);
}

} // namespace

std::error_code
Write(StoredHost& aHost, const Action& aAction)
{
  if (const auto* persist = std::get_if<Persist>(&aAction)) {
    return storage::Save(aHost.store_,
                         persist->hardState_,
                         persist->truncateFrom_,
                         persist->entries_);
  }
  if (const auto* take = std::get_if<TakeSnapshot>(&aAction)) {
    return TakeAndSave(aHost, *take);
  }
  const auto& install = std::get<InstallSnapshot>(aAction);
  aHost.control_ = install.snapshot_.state();
  return storage::InstallSnapshot(
    aHost.store_, install.hardState_, install.snapshot_);
}

namespace {

void
Execute(Cluster& aCluster, const HostId& aName, const Action& aAction)
{
  StoredHost& host = aCluster.hosts_[aName];
  if (IsWrite(aAction)) {
    if (Write(host, aAction)) {
      aCluster.violations_.insert("a write failed");
    }
  } else if (const auto* send = std::get_if<SendMessage>(&aAction)) {
    if (aCluster.random_() % 100 >= aCluster.seed_ % 5) {
      const Duration delay = std::chrono::milliseconds(aCluster.random_() % 20);
      aCluster.sent_.emplace_back(aCluster.now_ + delay, send->message_);
    }
  } else if (const auto* apply = std::get_if<Apply>(&aAction)) {
    ApplyEntry(aCluster, host, *apply);
  } else if (const auto* decided = std::get_if<ProposalDecided>(&aAction)) {
    Acknowledge(aCluster, aName, *decided);
  }
}

//! Handles what waits, up to a write that is not complete.
void
Work(Cluster& aCluster, const HostId& aName)
{
  StoredHost& host = aCluster.hosts_[aName];
  while (host.up_ && !aCluster.powerLost_) {
    if (host.pending_.empty() && host.events_.empty()) {
      return;
    }
    if (host.pending_.empty()) {
      const Event event = host.events_.front();
      host.events_.pop_front();
      std::vector<Action> actions;
      Step(host.consensus_, event, aCluster.now_, actions);
      host.pending_.assign(actions.begin(), actions.end());
      continue;
    }
    if (IsWrite(host.pending_.front())) {
      if (!host.writtenAt_) {
        const int steps = static_cast<int>(aCluster.random_() % 8) - 3;
        host.writtenAt_ = aCluster.now_ + std::max(0, steps) * kStepMs;
      }
      if (aCluster.now_ < *host.writtenAt_) {
        return;
      }
      host.writtenAt_.reset();
    }
    const Action action = host.pending_.front();
    host.pending_.pop_front();
    Execute(aCluster, aName, action);
  }
}

} // namespace

HostId
Leader(const Cluster& aCluster)
{
  for (const auto& [name, host] : aCluster.hosts_) {
    if (host.up_ && HoldsLease(host.consensus_, aCluster.now_) &&
        host.pending_.empty()) {
      return name;
    }
  }
  return {};
}

namespace {

void
ProposeMembers(Cluster& aCluster, const HostId& aLeader)
{
  std::vector<MemberCandidate> live;
  for (const auto& [name, host] : aCluster.hosts_) {
    if (host.up_) {
      live.push_back({ name, name + ":1" });
    }
  }
  const std::size_t voters = aCluster.case_.start_ == Beginning::Grow ? 5 : 3;
  StoredHost& leader = aCluster.hosts_[aLeader];
  const MemberPlan plan =
    PlanMembers(leader.consensus_, live, voters, aCluster.now_);
  if (plan.step_ != MemberStep::None) {
    wire::ControlRecord record;
    *record.mutable_members() = plan.members_;
    leader.events_.emplace_back(Propose{ record, 0 });
  }
}

void
ProposeChange(Cluster& aCluster, const HostId& aLeader)
{
  const std::uint64_t number = ++aCluster.proposed_;
  ++aCluster.open_;
  wire::ControlRecord record;
  auto& change = *record.mutable_change();
  change.set_change_id(std::to_string(number));
  change.add_operations()->mutable_create_group()->set_group(GroupName(number));
  aCluster.hosts_[aLeader].events_.emplace_back(Propose{ record, number });
}

void
ProposeWhatIsDue(Cluster& aCluster)
{
  const HostId leader = Leader(aCluster);
  if (leader.empty()) {
    return;
  }
  if (aCluster.now_ >= aCluster.planDue_) {
    aCluster.planDue_ = aCluster.now_ + kPlanIntervalMs;
    ProposeMembers(aCluster, leader);
  }
  if (aCluster.proposes_ && aCluster.now_ >= aCluster.changeDue_ &&
      aCluster.open_ < kOpenChanges) {
    aCluster.changeDue_ = aCluster.now_ + kChangeIntervalMs;
    ProposeChange(aCluster, leader);
  }
}

//! A member that may answer reads must know all that was acknowledged.
void
CheckReads(Cluster& aCluster)
{
  const HostId leader = Leader(aCluster);
  if (!leader.empty() &&
      aCluster.hosts_[leader].control_.revision() < aCluster.revision_) {
    aCluster.violations_.insert("an acknowledged change came back older");
  }
}

} // namespace

void
Run(Cluster& aCluster, Duration aTime)
{
  const Instant end = aCluster.now_ + aTime;
  while (aCluster.now_ < end && !aCluster.powerLost_) {
    aCluster.now_ += kStepMs;
    std::erase_if(aCluster.sent_, [&](const auto& aSent) {
      const auto& [arrives, message] = aSent;
      const auto host = aCluster.hosts_.find(message.to());
      const bool due = arrives <= aCluster.now_;
      if (due && host != aCluster.hosts_.end() && host->second.up_) {
        host->second.events_.emplace_back(MessageReceived{ message });
      }
      return due;
    });
    ProposeWhatIsDue(aCluster);
    for (auto& [name, host] : aCluster.hosts_) {
      if (host.up_ && host.pending_.empty()) {
        host.events_.emplace_front(Tick{});
      }
      Work(aCluster, name);
    }
    CheckReads(aCluster);
  }
}

bool
AwaitLeader(Cluster& aCluster)
{
  const Instant end = aCluster.now_ + kLeaderLimitMs;
  while (Leader(aCluster).empty() && aCluster.now_ < end) {
    Run(aCluster, kStepMs);
  }
  return !Leader(aCluster).empty();
}

} // namespace wigeonlb::core::consensus
