#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <tuple>

#include "storage/memberstore.h"
#include "storage/storageerrors.h"
#include "storage/tests/memberfixture.h"

namespace wigeonlb::storage {

namespace {

constexpr std::size_t kHeaderBytes = 24;

wire::ConsensusEntry
Entry(std::uint64_t aIndex, std::uint64_t aTerm)
{
  wire::ConsensusEntry entry;
  entry.set_index(aIndex);
  entry.set_term(aTerm);
  entry.mutable_record()->mutable_change()->set_change_id(
    std::to_string(aIndex) + "/" + std::to_string(aTerm));
  return entry;
}

std::error_code
SaveOne(MemberStore& aStore, std::uint64_t aIndex, std::uint64_t aTerm)
{
  const wire::ConsensusEntry entries[] = { Entry(aIndex, aTerm) };
  return Save(aStore, MakeHardState(aTerm), 0, entries);
}

// Saves three entries, one at a time. Returns the content of the log.
std::string&
SaveThreeEntries(Fixture& aFixture)
{
  REQUIRE_FALSE(Open(aFixture));
  for (std::uint64_t i = 1; i <= 3; ++i) {
    REQUIRE_FALSE(SaveOne(aFixture.store_, i, 1));
  }
  return aFixture.files_
    .files_[std::string(kPath) + "/" + aFixture.store_.log_.segments_.back()]
    ->bytes_;
}

// Returns the end offsets of the records of SaveThreeEntries, two per save.
std::vector<std::size_t>
FindRecordEnds(std::string_view aBytes)
{
  std::vector<std::size_t> ends;
  std::size_t offset = 0;
  while (offset < aBytes.size()) {
    offset += kHeaderBytes + static_cast<unsigned char>(aBytes[offset]);
    ends.push_back(offset);
  }
  return ends;
}

} // namespace

// Guards against one entry that stops the member at each start.
TEST_CASE("an entry that can't be read is kept without its content",
          "[storage]")
{
  Fixture fixture;
  REQUIRE_FALSE(Open(fixture));
  wire::ConsensusEntry unreadable = Entry(2, 4);
  unreadable.mutable_record()->mutable_change()->set_change_id("\xFF\xFE");
  const wire::ConsensusEntry entries[] = { Entry(1, 4),
                                           unreadable,
                                           Entry(3, 4) };
  REQUIRE_FALSE(Save(fixture.store_, MakeHardState(4), 0, entries));
  REQUIRE_FALSE(Open(fixture));
  REQUIRE(fixture.image_.entries_.size() == 3);
  CHECK(fixture.findings_.size() == 1);
  CHECK(fixture.image_.entries_[1].index() == 2);
  CHECK(fixture.image_.entries_[1].term() == 4);
  CHECK_FALSE(fixture.image_.entries_[1].has_record());
  CHECK(fixture.image_.entries_[2].record().change().change_id() == "3/4");
}

TEST_CASE("an incomplete last record is truncated and reported", "[storage]")
{
  Fixture fixture;
  const std::string whole = SaveThreeEntries(fixture);
  const std::vector<std::size_t> ends = FindRecordEnds(whole);
  REQUIRE(ends.size() == 6);
  for (std::size_t size = ends[3]; size <= whole.size(); ++size) {
    const bool atEnd = std::ranges::find(ends, size) != ends.end();
    // Space that was allocated but never written reads as zeros.
    for (const std::size_t zeros : { 0, atEnd ? 4096 : 0 }) {
      Fixture torn;
      SaveThreeEntries(torn) = whole.substr(0, size) + std::string(zeros, '\0');
      REQUIRE_FALSE(Open(torn));
      const std::size_t entries = size >= ends[4] ? 3 : 2;
      CHECK(torn.image_.entries_.size() == entries);
      CHECK(torn.findings_.empty() == (atEnd && zeros == 0));
      // New entries are appended after the last complete one.
      REQUIRE_FALSE(SaveOne(torn.store_, entries + 1, 2));
      REQUIRE_FALSE(Open(torn));
      CHECK(torn.findings_.empty());
      CHECK(torn.image_.entries_.size() == entries + 1);
    }
  }
}

TEST_CASE("a flipped bit is reported with its file and offset", "[storage]")
{
  Fixture fixture;
  const std::string whole = SaveThreeEntries(fixture);
  for (std::size_t bit = 0; bit < 8 * whole.size(); ++bit) {
    Fixture flipped;
    std::string& bytes = SaveThreeEntries(flipped);
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1U << bit % 8));
    const std::string before = bytes;
    INFO("bit " << bit);
    CHECK(Open(flipped) == StorageError::CorruptLog);
    REQUIRE(flipped.findings_.size() == 1);
    CHECK_THAT(flipped.findings_[0].location_,
               Catch::Contains("log-") && Catch::Contains("offset "));
    CHECK(bytes == before);
  }
}

TEST_CASE("the store refuses writes after a failed one", "[storage]")
{
  struct Row
  {
    std::optional<std::size_t> spaceLeft_;
    bool syncFails_;
  };
  const auto row = GENERATE(values<Row>({
    { 0, false },
    { 10, false },
    { 30, false },
    { {}, true },
  }));
  Fixture fixture;
  SaveThreeEntries(fixture);
  fixture.files_.spaceLeft_ = row.spaceLeft_;
  fixture.files_.syncFails_ = row.syncFails_;
  CHECK(SaveOne(fixture.store_, 4, 1));
  fixture.files_.spaceLeft_.reset();
  fixture.files_.syncFails_ = false;
  CHECK(SaveOne(fixture.store_, 4, 1) == StorageError::Failed);
  std::mt19937 random(1);
  fixture.files_.Crash(random);
  REQUIRE_FALSE(Open(fixture));
  REQUIRE(fixture.image_.entries_.size() >= 3);
  CHECK(fixture.image_.entries_[2].index() == 3);
  CHECK_FALSE(SaveOne(fixture.store_, fixture.image_.entries_.size() + 1, 1));
}

namespace {

// State that must survive a crash.
struct Saved
{
  std::uint64_t last_ = 0;
  std::uint64_t snapshot_ = 0;
  std::uint64_t term_ = 0;
};

wire::MemberSnapshot
MakeSnapshot(std::uint64_t aIndex)
{
  wire::MemberSnapshot snapshot;
  snapshot.set_last_index(aIndex);
  return snapshot;
}

std::error_code
SaveTwo(MemberStore& aStore,
        std::uint64_t aFrom,
        bool aTruncates,
        Saved& aSaved)
{
  const wire::ConsensusEntry entries[] = { Entry(aFrom, 1),
                                           Entry(aFrom + 1, 1) };
  const std::error_code error = Save(
    aStore, MakeHardState(aSaved.term_ + 1), aTruncates ? aFrom : 0, entries);
  if (!error) {
    ++aSaved.term_;
    aSaved.last_ = aFrom + 1;
  } else if (aTruncates) {
    aSaved.last_ = aFrom - 1;
  }
  return error;
}

// Performs a random operation: saves or truncates entries, or saves or installs
// a snapshot.
std::error_code
SaveRandomly(MemberStore& aStore, std::mt19937& aRandom, Saved& aSaved)
{
  const std::uint64_t kind = aRandom() % 8;
  const bool holdsEntries = aSaved.last_ > aSaved.snapshot_;
  if (kind == 0 && holdsEntries) {
    return SaveTwo(aStore, aSaved.last_, true, aSaved);
  }
  if (kind == 1 && holdsEntries) {
    std::vector<wire::ConsensusEntry> tail;
    for (std::uint64_t i = aSaved.snapshot_ + 2; i <= aSaved.last_; ++i) {
      tail.push_back(Entry(i, 1));
    }
    const auto error =
      SaveSnapshot(aStore, MakeSnapshot(aSaved.snapshot_ + 1), tail);
    aSaved.snapshot_ += error ? 0 : 1;
    return error;
  }
  if (kind == 2) {
    const std::uint64_t index = aSaved.last_ + 5;
    const auto error =
      InstallSnapshot(aStore, MakeHardState(aSaved.term_), MakeSnapshot(index));
    if (!error) {
      aSaved.last_ = aSaved.snapshot_ = index;
    }
    return error;
  }
  return SaveTwo(aStore, aSaved.last_ + 1, false, aSaved);
}

// Checks that nothing saved is missing. What is stored beyond it counts as
// saved from now on.
void
CheckImage(const MemberImage& aImage, Saved& aSaved)
{
  std::uint64_t last = aImage.snapshot_.last_index();
  CHECK(last >= aSaved.snapshot_);
  for (const wire::ConsensusEntry& entry : aImage.entries_) {
    CHECK(entry.index() == ++last);
  }
  CHECK(last >= aSaved.last_);
  const std::uint64_t term =
    aImage.hardState_.value_or(MakeHardState(0)).term();
  CHECK(term >= aSaved.term_);
  aSaved = { last, aImage.snapshot_.last_index(), term };
}

} // namespace

TEST_CASE("a crash at any call loses no saved data", "[storage]")
{
  const auto seed = GENERATE(range(1, 401));
  std::mt19937 random(seed);
  Fixture fixture;
  REQUIRE_FALSE(Open(fixture));
  Saved saved;
  for (int restart = 0; restart < 10; ++restart) {
    fixture.files_.callsLeft_ = 1 + random() % 40;
    while (!SaveRandomly(fixture.store_, random, saved)) {
    }
    fixture.files_.Crash(random);
    INFO("seed " << seed << " restart " << restart);
    REQUIRE_FALSE(Open(fixture));
    CheckImage(fixture.image_, saved);
  }
}

TEST_CASE("a store that is reloaded after a failed write loses no saved data",
          "[storage]")
{
  const auto seed = GENERATE(range(1, 401));
  std::mt19937 random(seed);
  Fixture fixture;
  REQUIRE_FALSE(Open(fixture));
  Saved saved;
  REQUIRE_FALSE(SaveTwo(fixture.store_, 1, false, saved));
  for (int round = 0; round < 10; ++round) {
    fixture.files_.callsLeft_ = 1 + random() % 40;
    while (!SaveRandomly(fixture.store_, random, saved)) {
    }
    // The disk refuses the first attempts too.
    for (int attempt = 0; attempt < 3; ++attempt) {
      fixture.files_.callsLeft_ = 1 + random() % 12;
      (void)Reload(
        fixture.folder_, fixture.store_, fixture.image_, fixture.findings_);
    }
    fixture.files_.callsLeft_.reset();
    INFO("seed " << seed << " round " << round);
    REQUIRE_FALSE(Reload(
      fixture.folder_, fixture.store_, fixture.image_, fixture.findings_));
    CheckImage(fixture.image_, saved);
    // What was reloaded is on the disk.
    fixture.files_.Crash(random);
    REQUIRE_FALSE(Open(fixture));
    CheckImage(fixture.image_, saved);
  }
}

TEST_CASE("a torn write never stores the end of a recovery without its entries",
          "[storage]")
{
  const auto calls = GENERATE(1, 2, 3);
  const auto seed = GENERATE(range(1, 51));
  Fixture fixture;
  REQUIRE_FALSE(Open(fixture));
  wire::HardState recovering = MakeHardState(1);
  recovering.set_recovering(true);
  REQUIRE_FALSE(Save(fixture.store_, recovering, 0, {}));
  const wire::ConsensusEntry entries[] = { Entry(1, 1), Entry(2, 1) };
  fixture.files_.callsLeft_ = calls;
  std::ignore = Save(fixture.store_, MakeHardState(1), 0, entries);
  std::mt19937 random(seed);
  fixture.files_.Crash(random);
  REQUIRE_FALSE(Open(fixture));
  CHECK((fixture.image_.hardState_->recovering() ||
         fixture.image_.entries_.size() == 2));
}

TEST_CASE("damage outside of the log is reported by file", "[storage]")
{
  struct Row
  {
    std::string file_;
    StorageError error_;
  };
  const auto row = GENERATE(values<Row>({
    { "identity", StorageError::CorruptIdentity },
    { "snapshot", StorageError::CorruptSnapshot },
    { "memory", StorageError::CorruptFile },
  }));
  Fixture fixture;
  SaveThreeEntries(fixture);
  REQUIRE_FALSE(SaveSnapshot(fixture.store_, MakeSnapshot(3), {}));
  wire::HostMemory memory;
  memory.set_highest_revision(9);
  REQUIRE_FALSE(SaveHostMemory(fixture.folder_, memory));
  fixture.files_.files_.at(std::string(kPath) + "/" + row.file_)
    ->bytes_.back() ^= 1;
  std::error_code error = Open(fixture);
  if (!error) {
    error = LoadHostMemory(fixture.folder_, memory);
  }
  CHECK(error == row.error_);
  CHECK(error.message() == make_error_code(row.error_).message());
}

TEST_CASE("a saved host memory survives a crash in a later write", "[storage]")
{
  const auto calls = GENERATE(range(1, 8));
  Fixture fixture;
  REQUIRE_FALSE(Open(fixture));
  wire::HostMemory memory;
  CHECK_FALSE(LoadHostMemory(fixture.folder_, memory));
  CHECK(memory.highest_revision() == 0);
  memory.set_highest_revision(1);
  REQUIRE_FALSE(SaveHostMemory(fixture.folder_, memory));
  fixture.files_.callsLeft_ = calls;
  memory.set_highest_revision(2);
  const std::error_code error = SaveHostMemory(fixture.folder_, memory);
  std::mt19937 random(calls);
  fixture.files_.Crash(random);
  REQUIRE_FALSE(LoadHostMemory(fixture.folder_, memory));
  CHECK(memory.highest_revision() >= (error ? 1U : 2U));
  CHECK(memory.highest_revision() <= 2U);
}

TEST_CASE("a data folder is used by one process of one host", "[storage]")
{
  char name[] = "/tmp/wigeonlb-storage-XXXXXX";
  REQUIRE(mkdtemp(name) != nullptr);
  const std::string path = std::string(name) + "/data/folder";
  DataFolder first;
  DataFolder second;
  FileSystem& files = PosixFileSystem();
  REQUIRE_FALSE(OpenDataFolder(files, path, "a", first));
  CHECK(OpenDataFolder(files, path, "a", second) == StorageError::FolderInUse);
  CloseDataFolder(first);
  CHECK(OpenDataFolder(files, path, "b", second) ==
        StorageError::ForeignFolder);
  CHECK_FALSE(OpenDataFolder(files, path, "a", second));
  MemberStore store;
  MemberImage image;
  foundation::Findings findings;
  REQUIRE_FALSE(Load(second, store, image, findings));
  CHECK_FALSE(image.hardState_);
  CHECK_FALSE(SaveOne(store, 1, 1));
  CloseLog(store.log_);
  REQUIRE_FALSE(Load(second, store, image, findings));
  CHECK(image.entries_.size() == 1);
  CloseLog(store.log_);
  CloseDataFolder(second);
  std::filesystem::remove_all(name);
}

} // namespace wigeonlb::storage
