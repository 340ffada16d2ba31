#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include "core/consensus/tests/storedcluster.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::Duration;
using foundation::HostId;
using foundation::Instant;
using namespace std::chrono_literals;

constexpr Duration kMomentLimitMs = 6000ms;
constexpr Duration kProgressMs = 1000ms;
constexpr int kToleratedLosses = 1;
constexpr int kSchedules = 4; //!< of each case

//! Begins the change of the members during which the power is lost.
void
BeginChange(Cluster& aCluster)
{
  const Beginning start = aCluster.case_.start_;
  const HostId leader = Leader(aCluster);
  const HostId other = leader == "a" ? "b" : "a";
  if (start == Beginning::Grow) {
    StartHost(aCluster, "n1");
    StartHost(aCluster, "n2");
    aCluster.newcomer_ = aCluster.random_() % 2 == 0 ? "n1" : "n2";
  } else if (start == Beginning::Wipe) {
    LoseFiles(aCluster.hosts_[other]);
    Run(aCluster, 300ms);
    StartHost(aCluster, other);
    aCluster.newcomer_ = other;
  } else {
    StopHost(aCluster.hosts_[other]);
    if (start == Beginning::Replace) {
      aCluster.hosts_.erase(other);
    }
    StartHost(aCluster, "n1");
    aCluster.newcomer_ = "n1";
  }
}

HostId
PickLostDisk(const Cluster& aCluster)
{
  switch (aCluster.case_.loss_) {
    case Loss::None:
      return {};
    case Loss::Leader:
      return aCluster.acknowledgedBy_;
    case Loss::Newcomer:
      return aCluster.newcomer_;
    case Loss::Voter:
      break;
  }
  for (const HostId host : { "c", "b", "a" }) {
    if (host != aCluster.acknowledgedBy_ && host != aCluster.newcomer_) {
      return host;
    }
  }
  return {};
}

//! All hosts lose power, at any call of a write that is under way.
void
LosePower(Cluster& aCluster)
{
  const HostId lost = PickLostDisk(aCluster);
  for (auto& [name, host] : aCluster.hosts_) {
    if (host.writtenAt_) {
      host.files_.callsLeft_ = 1 + aCluster.random_() % 14;
      (void)Write(host, host.pending_.front());
    }
    StopHost(host);
    host.files_.Crash(aCluster.random_);
    if (name == lost) {
      LoseFiles(host);
    }
  }
  aCluster.sent_.clear();
  aCluster.open_ = 0;
  aCluster.powerLost_ = false;
  aCluster.awaitsMoment_ = false;
}

void
CheckAcknowledged(Cluster& aCluster)
{
  const wire::ControlState& state = aCluster.hosts_[Leader(aCluster)].control_;
  for (const std::uint64_t number : aCluster.acknowledged_) {
    if (!state.groups().contains(GroupName(number))) {
      aCluster.violations_.insert("an acknowledged change is missing");
    }
  }
}

//! Starts all hosts, one after the other, and checks what the leader has.
void
CheckRestart(Cluster& aCluster)
{
  aCluster.proposes_ = false;
  int blankVoters = 0;
  for (auto& [name, host] : aCluster.hosts_) {
    StartHost(aCluster, name);
    blankVoters += IsVoter(aCluster.members_, name) &&
                       host.consensus_.hardState_.recovering()
                     ? 1
                     : 0;
    Run(aCluster, std::chrono::milliseconds(aCluster.random_() % 400));
  }
  if (!AwaitLeader(aCluster)) {
    aCluster.stopped_ = blankVoters > kToleratedLosses;
    if (!aCluster.stopped_) {
      aCluster.violations_.insert("no leader after the restart");
    }
    return;
  }
  CheckAcknowledged(aCluster);
  const std::size_t before = aCluster.acknowledged_.size();
  aCluster.proposes_ = true;
  Run(aCluster, kProgressMs);
  if (!AwaitLeader(aCluster) || aCluster.acknowledged_.size() == before) {
    aCluster.violations_.insert("no change after the restart");
    return;
  }
  CheckAcknowledged(aCluster);
}

//! Whether the members have changed, and the moment isn't after that.
bool
IsPastMoment(const Cluster& aCluster)
{
  const HostId leader = Leader(aCluster);
  const Moment moment = aCluster.case_.moment_;
  if (leader.empty() || moment == Moment::PromotionCommitted ||
      moment == Moment::ReadmissionCommitted || moment == Moment::CountsAgain) {
    return false;
  }
  const ConsensusState& state = aCluster.hosts_.at(leader).consensus_;
  const auto found = state.progress_.find(aCluster.newcomer_);
  const wire::MemberChange& members = MembersAt(state.log_, state.commitIndex_);
  return IsVoter(members, aCluster.newcomer_) &&
         found != state.progress_.end() && found->second.incarnation_ != 0 &&
         !found->second.recovering_;
}

void
AwaitMoment(Cluster& aCluster)
{
  const Instant end = aCluster.now_ + kMomentLimitMs;
  aCluster.awaitsMoment_ = true;
  while (!aCluster.powerLost_ && aCluster.now_ < end &&
         !IsPastMoment(aCluster)) {
    Run(aCluster, kStepMs);
  }
}

Cluster
RunSchedule(const Case& aCase, std::uint64_t aSeed)
{
  Cluster cluster{ .case_ = aCase, .seed_ = aSeed };
  cluster.random_.seed(aSeed);
  for (const HostId host : { "a", "b", "c" }) {
    StartHost(cluster, host);
  }
  bool ready = AwaitLeader(cluster);
  Run(cluster, std::chrono::milliseconds(500 + cluster.random_() % 1000));
  ready = ready && AwaitLeader(cluster);
  if (!ready) {
    cluster.violations_.insert("no leader at the start");
    return cluster;
  }
  BeginChange(cluster);
  AwaitMoment(cluster);
  if (cluster.momentCame_) {
    LosePower(cluster);
    CheckRestart(cluster);
  }
  return cluster;
}

std::string
Describe(const Cluster& aCluster)
{
  std::string text =
    aCluster.case_.name_ + ", seed " + std::to_string(aCluster.seed_) + ":";
  for (const std::string& violation : aCluster.violations_) {
    text += " " + violation + ";";
  }
  return text;
}

//! What the seeds of one case came to.
struct Totals
{
  int momentsCame_ = 0;
  int stopped_ = 0;
  std::uint64_t tried_ = 0;
  std::size_t acknowledged_ = 0;
  std::string violations_;
};

//! Reads a number from the environment, for longer runs or a single seed.
int
ReadNumber(const char* aVariable, int aDefault)
{
  const char* text = std::getenv(aVariable);
  return text ? static_cast<int>(std::strtol(text, nullptr, 10)) : aDefault;
}

//! Runs seeds until aSchedules of them have come to the case's moment.
Totals
RunCase(const Case& aCase, int aSchedules)
{
  constexpr int kTriesPerSchedule = 10;
  Totals totals;
  const int tries = kTriesPerSchedule * aSchedules;
  const int first = ReadNumber("WIGEONLB_SEED", 1);
  for (int seed = first;
       seed < first + tries && totals.momentsCame_ < aSchedules;
       ++seed) {
    const Cluster cluster = RunSchedule(aCase, seed);
    ++totals.tried_;
    totals.momentsCame_ += cluster.momentCame_ ? 1 : 0;
    totals.stopped_ += cluster.stopped_ ? 1 : 0;
    totals.acknowledged_ += cluster.acknowledged_.size();
    if (!cluster.violations_.empty()) {
      totals.violations_ += Describe(cluster) + "\n";
    }
  }
  return totals;
}

void
CheckCase(const Case& aCase)
{
  const int schedules = ReadNumber("WIGEONLB_SCHEDULES", kSchedules);
  const Totals totals = RunCase(aCase, schedules);
  std::cout << "power lost: " << aCase.name_ << ": schedules "
            << totals.momentsCame_ << " of " << totals.tried_
            << ", acknowledged " << totals.acknowledged_ << ", stopped by two "
            << "lost disks " << totals.stopped_ << "\n";
  INFO(totals.violations_);
  CHECK(totals.violations_.empty());
  CHECK(totals.momentsCame_ == schedules);
}

} // namespace

TEST_CASE("an acknowledged change outlives a loss of power while the members "
          "change",
          "[consensus][powerloss]")
{
  const auto row = GENERATE(values<Case>({
    { "grow, promotion pending", Beginning::Grow, Moment::PromotionPending },
    { "grow, promotion pending, leader's disk",
      Beginning::Grow,
      Moment::PromotionPending,
      Loss::Leader },
    { "grow, promotion pending, a voter's disk",
      Beginning::Grow,
      Moment::PromotionPending,
      Loss::Voter },
    { "grow, promotion pending, the learner's disk",
      Beginning::Grow,
      Moment::PromotionPending,
      Loss::Newcomer },
    { "grow, promotion committed",
      Beginning::Grow,
      Moment::PromotionCommitted },
    { "grow, promotion committed, leader's disk",
      Beginning::Grow,
      Moment::PromotionCommitted,
      Loss::Leader },
    { "grow, promotion committed, a voter's disk",
      Beginning::Grow,
      Moment::PromotionCommitted,
      Loss::Voter },
    { "grow, promotion committed, the new voter's disk",
      Beginning::Grow,
      Moment::PromotionCommitted,
      Loss::Newcomer },
    { "stopped voter, promotion pending",
      Beginning::Stop,
      Moment::PromotionPending },
    { "stopped voter, replacing", Beginning::Stop, Moment::Replacing },
    { "stopped voter, promotion pending, another disk",
      Beginning::Stop,
      Moment::PromotionPending,
      Loss::Voter },
    { "stopped voter, promotion committed",
      Beginning::Stop,
      Moment::PromotionCommitted },
    { "stopped voter, promotion committed, leader's disk",
      Beginning::Stop,
      Moment::PromotionCommitted,
      Loss::Leader },
    { "stopped voter, promotion committed, new voter's disk",
      Beginning::Stop,
      Moment::PromotionCommitted,
      Loss::Newcomer },
    { "lost voter, promotion pending",
      Beginning::Replace,
      Moment::PromotionPending },
    { "lost voter, promotion committed, leader's disk",
      Beginning::Replace,
      Moment::PromotionCommitted,
      Loss::Leader },
    { "blank voter, recovering", Beginning::Wipe, Moment::Recovering },
    { "blank voter, recovering, blank again",
      Beginning::Wipe,
      Moment::Recovering,
      Loss::Newcomer },
    { "blank voter, readmission pending",
      Beginning::Wipe,
      Moment::ReadmissionPending },
    { "blank voter, readmission pending, blank again",
      Beginning::Wipe,
      Moment::ReadmissionPending,
      Loss::Newcomer },
    { "blank voter, readmitted",
      Beginning::Wipe,
      Moment::ReadmissionCommitted },
    { "blank voter, readmitted, blank again",
      Beginning::Wipe,
      Moment::ReadmissionCommitted,
      Loss::Newcomer },
    { "blank voter, readmitted, leader's disk",
      Beginning::Wipe,
      Moment::ReadmissionCommitted,
      Loss::Leader },
    { "blank voter, readmitted, another disk",
      Beginning::Wipe,
      Moment::ReadmissionCommitted,
      Loss::Voter },
    { "blank voter, counts again, leader's disk",
      Beginning::Wipe,
      Moment::CountsAgain,
      Loss::Leader },
    { "blank voter, counts again, another disk",
      Beginning::Wipe,
      Moment::CountsAgain,
      Loss::Voter },
    { "snapshot to a learner", Beginning::Grow, Moment::SnapshotSent },
    { "snapshot to a learner, leader's disk",
      Beginning::Grow,
      Moment::SnapshotSent,
      Loss::Leader },
    { "snapshot to a learner, a voter's disk",
      Beginning::Grow,
      Moment::SnapshotSent,
      Loss::Voter },
    { "snapshot to a blank voter", Beginning::Wipe, Moment::SnapshotSent },
    { "snapshot installed by a learner",
      Beginning::Grow,
      Moment::SnapshotInstalled },
    { "snapshot installed by a learner, leader's disk",
      Beginning::Grow,
      Moment::SnapshotInstalled,
      Loss::Leader },
    { "snapshot installed by a blank voter",
      Beginning::Wipe,
      Moment::SnapshotInstalled },
    { "snapshot installed by a blank voter, blank again",
      Beginning::Wipe,
      Moment::SnapshotInstalled,
      Loss::Newcomer },
  }));
  CheckCase(row);
}

// Guards against a group that waits for ever for a blank member, whose
// readmission needs it: a lost disk beside a voter that only stood still
// (issues 44 and 54).
TEST_CASE("one disk that is lost with the power while a stopped voter is "
          "replaced stops nothing",
          "[consensus][powerloss][demotedloss]")
{
  const auto row = GENERATE(values<Case>({
    { "stopped voter, replacing, leader's disk",
      Beginning::Stop,
      Moment::Replacing,
      Loss::Leader },
    { "stopped voter, replacing, another disk",
      Beginning::Stop,
      Moment::Replacing,
      Loss::Voter },
    { "stopped voter, replacing, the successor's disk",
      Beginning::Stop,
      Moment::Replacing,
      Loss::Newcomer },
    { "stopped voter, promotion pending, leader's disk",
      Beginning::Stop,
      Moment::PromotionPending,
      Loss::Leader },
  }));
  CheckCase(row);
}

TEST_CASE("a loss of power while the members change shows a disabled guard",
          "[consensus][powerloss][guard]")
{
  const auto row = GENERATE(values<Case>({
    { "persistBeforeAnswer",
      Beginning::Stop,
      Moment::PromotionCommitted,
      Loss::Leader,
      true,
      { .persistBeforeAnswer_ = false } },
    { "persistBeforeAnswer, no disk lost",
      Beginning::Stop,
      Moment::Replacing,
      Loss::None,
      true,
      { .persistBeforeAnswer_ = false } },
    { "persistBeforeAnswer, snapshot",
      Beginning::Grow,
      Moment::SnapshotSent,
      Loss::Leader,
      true,
      { .persistBeforeAnswer_ = false } },
    { "recoveringAbstains",
      Beginning::Grow,
      Moment::PromotionPending,
      Loss::Leader,
      true,
      { .recoveringAbstains_ = false } },
    { "syncs", Beginning::Grow, Moment::SnapshotSent, Loss::None, false },
  }));
  constexpr std::uint64_t kSeeds = 300;
  bool found = false;
  std::string last;
  for (std::uint64_t seed = 1; seed <= kSeeds && !found; ++seed) {
    const Cluster cluster = RunSchedule(row, seed);
    found = cluster.violations_.contains("an acknowledged change is missing");
    last = Describe(cluster);
  }
  CHECK(found);
  std::cout << "guard disabled: " << last << "\n";
}

} // namespace wigeonlb::core::consensus
