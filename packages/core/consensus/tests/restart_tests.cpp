#include <catch2/catch.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <google/protobuf/util/message_differencer.h>

#include "core/configuration/applyrecord.h"
#include "core/consensus/consensus.h"
#include "storage/memberstore.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::Instant;
using google::protobuf::util::MessageDifferencer;
using namespace std::chrono_literals;

constexpr int kChanges = 1000;
constexpr int kGroups = 100;
constexpr std::uint64_t kFolderBytesLimit = 512 << 10U;
constexpr double kRestartMsLimit = 2000;

// A single member with its data folder, which can be restarted.
struct StoredMember
{
  storage::DataFolder folder_;
  storage::MemberStore store_;
  ConsensusState consensus_;
  wire::ControlState control_;
  Instant now_;
  std::uint64_t starts_ = 0;
};

void
Feed(StoredMember& aMember, const Event& aEvent);

void
TakeAndSaveSnapshot(StoredMember& aMember, const TakeSnapshot& aTake)
{
  wire::MemberSnapshot snapshot;
  snapshot.set_last_index(aTake.lastIndex_);
  snapshot.set_last_term(aTake.lastTerm_);
  *snapshot.mutable_members() = aTake.members_;
  *snapshot.mutable_state() = aMember.control_;
  REQUIRE_FALSE(storage::SaveSnapshot(aMember.store_, snapshot, {}));
  Feed(aMember, SnapshotSaved{ snapshot });
}

void
Feed(StoredMember& aMember, const Event& aEvent)
{
  std::vector<Action> actions;
  Step(aMember.consensus_, aEvent, aMember.now_, actions);
  for (const Action& action : actions) {
    if (const auto* persist = std::get_if<Persist>(&action)) {
      REQUIRE_FALSE(storage::Save(aMember.store_,
                                  persist->hardState_,
                                  persist->truncateFrom_,
                                  persist->entries_));
    } else if (const auto* apply = std::get_if<Apply>(&action)) {
      configuration::ApplyRecord(
        aMember.control_, apply->entry_.record(), apply->entry_.index());
    } else if (const auto* take = std::get_if<TakeSnapshot>(&action)) {
      TakeAndSaveSnapshot(aMember, *take);
    }
  }
}

// Starts the member from its data folder and waits until it is the leader.
void
Restart(StoredMember& aMember)
{
  storage::CloseLog(aMember.store_.log_);
  storage::MemberImage image;
  foundation::Findings findings;
  REQUIRE_FALSE(
    storage::Load(aMember.folder_, aMember.store_, image, findings));
  CHECK(findings.empty());
  ConsensusSettings settings;
  settings.self_ = "a";
  settings.founders_ = { "a" };
  settings.seed_ = ++aMember.starts_;
  aMember.control_ = image.snapshot_.state();
  aMember.consensus_ = MakeConsensusState(
    settings, image.hardState_, image.snapshot_, image.entries_, aMember.now_);
  for (int i = 0; i < 100 && !IsLeader(aMember.consensus_); ++i) {
    aMember.now_ += 10ms;
    Feed(aMember, Tick{});
  }
  REQUIRE(IsLeader(aMember.consensus_));
}

// Creates each group once, then changes one of its options repeatedly.
wire::ControlRecord
Change(int aNumber)
{
  wire::ControlRecord record;
  auto& change = *record.mutable_change();
  change.set_change_id("change " + std::to_string(aNumber));
  change.set_expected_revision(aNumber);
  const std::string group = "group " + std::to_string(aNumber % kGroups);
  if (aNumber < kGroups) {
    change.add_operations()->mutable_create_group()->set_group(group);
    return record;
  }
  auto& set = *change.add_operations()->mutable_set_group_option();
  set.set_group(group);
  set.set_key("owners");
  set.set_value(std::to_string(1 + aNumber % 64));
  return record;
}

std::uint64_t
FolderBytes(const std::string& aPath)
{
  std::uint64_t bytes = 0;
  for (const auto& entry : std::filesystem::directory_iterator(aPath)) {
    bytes += entry.file_size();
  }
  return bytes;
}

double
MillisecondsSince(std::chrono::steady_clock::time_point aSince)
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - aSince)
    .count();
}

} // namespace

TEST_CASE("a restart after 1,000 changes restores the current state",
          "[consensus][restart]")
{
  char name[] = "/tmp/wigeonlb-restart-XXXXXX";
  REQUIRE(mkdtemp(name) != nullptr);
  StoredMember member;
  REQUIRE_FALSE(storage::OpenDataFolder(
    storage::PosixFileSystem(), name, "a", member.folder_));
  Restart(member);
  const auto began = std::chrono::steady_clock::now();
  std::uint64_t largest = 0;
  for (int i = 0; i < kChanges; ++i) {
    Feed(member, Propose{ Change(i), 1 });
    if (i % 100 == 0) {
      largest = std::max(largest, FolderBytes(name));
    }
  }
  const double perChange = MillisecondsSince(began) / kChanges;
  CHECK(member.control_.revision() == kChanges);
  const wire::ControlState before = member.control_;
  const auto restarted = std::chrono::steady_clock::now();
  Restart(member);
  const double restart = MillisecondsSince(restarted);
  wire::ControlState after = member.control_;
  // The first entry of the new term is applied too.
  CHECK(after.applied_index() == before.applied_index() + 1);
  after.set_applied_index(before.applied_index());
  CHECK(MessageDifferencer::Equals(before, after));
  largest = std::max(largest, FolderBytes(name));
  CHECK(largest < kFolderBytesLimit);
  CHECK(restart < kRestartMsLimit);
  std::cout << "changes=" << kChanges << " ms_per_change=" << perChange
            << " restart_ms=" << restart << " largest_folder_bytes=" << largest
            << "\n";
  storage::CloseLog(member.store_.log_);
  storage::CloseDataFolder(member.folder_);
  std::filesystem::remove_all(name);
}

} // namespace wigeonlb::core::consensus
