#include <catch2/catch.hpp>

#include "core/consensus/tests/simulatednetwork.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;
using namespace std::chrono_literals;

constexpr std::size_t kChangeBytes = 300'000; //!< a document of many routes

//! For this time after its return a member that lost its disk counts as lost.
constexpr foundation::Duration kCatchUpMs = 4000ms;

//! Memory of a control process, half of which is for other things than the log.
//! A start holds the log three times: as read, parsed and copied.
constexpr std::size_t kMemoryBytes = 256'000'000;
constexpr std::size_t kEntryLimitBytes = kMemoryBytes / 2 / 3;

//! Commits changes whose entries are large. The state stays small.
void
Change(SimulatedNetwork& aNetwork, int aChanges)
{
  for (int i = 0; i < aChanges; ++i) {
    wire::ControlRecord record;
    auto& change = *record.mutable_change();
    change.set_change_id("large-" + std::to_string(i));
    change.set_operator_name(std::string(kChangeBytes, 'x'));
    Feed(aNetwork, Leader(aNetwork), Propose{ record, 0 });
    Run(aNetwork, 100ms);
  }
}

NetworkSettings
MakeSettings()
{
  NetworkSettings settings;
  settings.lossPercent_ = 0;
  settings.latePerMille_ = 0;
  settings.smallParts_ = false;
  return settings;
}

SimulatedNetwork
MakeChangedNetwork(int aChanges, const NetworkSettings& aSettings)
{
  SimulatedNetwork network = MakeNetwork(aSettings);
  Run(network, 2s);
  Change(network, aChanges);
  return network;
}

HostId
FindFollower(const SimulatedNetwork& aNetwork)
{
  return Leader(aNetwork) == "a" ? "b" : "a";
}

} // namespace

// Guards against a member whose log outgrows its memory at a start (issue 54,
// review/6).
TEST_CASE("a member's log is bounded by bytes", "[consensus][logsize]")
{
  const int changes = GENERATE(40, 130, 400);
  const SimulatedNetwork network = MakeChangedNetwork(changes, MakeSettings());
  for (const auto& [host, member] : network.members_) {
    const ReplicatedLog& log = member.consensus_.log_;
    CHECK(CountEntryBytes(log, log.baseIndex_, LastIndex(log)) <=
          kEntryLimitBytes);
    std::size_t stored = 0;
    for (const wire::ConsensusEntry& entry : member.disk_.entries_) {
      stored += entry.ByteSizeLong();
    }
    CHECK(stored <= kEntryLimitBytes);
  }
}

namespace {

//! Bytes sent to a member that lost its disk, until it counts again.
std::uint64_t
CatchUp(int aChanges)
{
  SimulatedNetwork network = MakeChangedNetwork(aChanges, MakeSettings());
  const HostId blank = FindFollower(network);
  LoseDisk(network, blank);
  Run(network, 1s);
  Start(network, blank);
  network.bytesSentTo_[blank] = 0;
  Run(network, kCatchUpMs);
  CHECK_FALSE(IsRecovering(network.members_[blank].consensus_));
  return network.bytesSentTo_[blank];
}

} // namespace

// Guards against a member that is sent the whole log and counts late (issue 54,
// review/8).
TEST_CASE("a catch-up takes as many bytes after many changes as after few",
          "[consensus][logsize]")
{
  std::uint64_t afterFew = 0;
  std::uint64_t afterMany = 0;
  // A snapshot falls within each of the ranges.
  for (int i = 0; i < 15; i += 5) {
    afterFew = std::max(afterFew, CatchUp(40 + i));
    afterMany = std::max(afterMany, CatchUp(400 + i));
  }
  INFO(afterFew << " bytes after few changes, " << afterMany << " after many");
  CHECK(afterMany <= 1.5 * static_cast<double>(afterFew));
}

// Guards against a member that is sent the same content with each heartbeat
// while its disk holds it up, and keeps it all in memory (issue 54).
TEST_CASE("a member that is held up is sent each entry once",
          "[consensus][logsize]")
{
  struct Row
  {
    int changes_; //!< while the member is held up
    bool blank_;  //!< it needs a snapshot then
  };
  const auto row =
    GENERATE(values<Row>({ { 1, false }, { 10, false }, { 1, true } }));
  NetworkSettings settings = MakeSettings();
  settings.duplicatePercent_ = 0;
  settings.delayRangeMs_ = 1; // as on a link
  SimulatedNetwork network = MakeChangedNetwork(20, settings);
  const HostId slow = FindFollower(network);
  if (row.blank_) {
    LoseDisk(network, slow);
    Start(network, slow);
  }
  network.bytesSentTo_[slow] = 0;
  network.heldUp_.insert(slow);
  Change(network, row.changes_);
  Run(network, 6s);
  CHECK(network.bytesSentTo_[slow] <= 1.1 * kChangeBytes);
  network.heldUp_.erase(slow);
  Feed(network, slow, Tick{});
  Run(network, 2s);
  const ConsensusState& state = network.members_[slow].consensus_;
  CHECK(LastIndex(state.log_) ==
        LastIndex(network.members_[Leader(network)].consensus_.log_));
  if (!row.blank_) {
    CHECK(network.bytesSentTo_[slow] <= 1.1 * row.changes_ * kChangeBytes);
  }
}

// Guards against a transfer that starts anew with each new snapshot (issue 32).
TEST_CASE("a snapshot that is replaced while it is sent is sent to its end",
          "[consensus][logsize]")
{
  constexpr std::size_t kStateBytes = 100'000;
  NetworkSettings settings;
  settings.lossPercent_ = 0;
  settings.latePerMille_ = 0;
  SimulatedNetwork network = MakeNetwork(settings);
  Run(network, 2s);
  wire::ControlRecord record;
  auto& change = *record.mutable_change();
  change.set_change_id("state");
  auto& option = *change.add_operations()->mutable_create_group();
  option.set_group(std::string(kStateBytes, 'g'));
  Feed(network, Leader(network), Propose{ record, 0 });
  Run(network, 1s);
  const HostId blank = FindFollower(network);
  LoseDisk(network, blank);
  Run(network, 1s);
  Start(network, blank);
  // A new snapshot each 8 entries, before the parts of one are through.
  for (int i = 0; i < 1500 && IsRecovering(network.members_[blank].consensus_);
       ++i) {
    Feed(network, Leader(network), Propose{ wire::ControlRecord(), 0 });
    Run(network, 40ms);
  }
  CHECK_FALSE(IsRecovering(network.members_[blank].consensus_));
}

} // namespace wigeonlb::core::consensus
