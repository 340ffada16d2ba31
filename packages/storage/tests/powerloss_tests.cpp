#include <catch2/catch.hpp>

#include <algorithm>

#include "storage/internal/checksum.h"
#include "storage/memberstore.h"
#include "storage/storageerrors.h"
#include "storage/tests/memoryfilesystem.h"

namespace wigeonlb::storage {

namespace {

const std::string kPath = "data";
constexpr std::size_t kSectorBytes = 512;
constexpr std::uint64_t kSyncedEntries = 3;

struct Fixture
{
  MemoryFileSystem files_;
  DataFolder folder_;
  MemberStore store_;
  MemberImage image_;
  foundation::Findings findings_;
};

std::error_code
Open(Fixture& aFixture)
{
  aFixture.findings_.clear();
  if (const std::error_code error =
        OpenDataFolder(aFixture.files_, kPath, "a", aFixture.folder_)) {
    return error;
  }
  aFixture.store_ = MemberStore();
  return Load(
    aFixture.folder_, aFixture.store_, aFixture.image_, aFixture.findings_);
}

wire::HardState
MakeHardState(std::uint64_t aTerm)
{
  wire::HardState hardState;
  hardState.set_term(aTerm);
  return hardState;
}

wire::ConsensusEntry
MakeEntry(std::uint64_t aIndex, std::size_t aBytes)
{
  wire::ConsensusEntry entry;
  entry.set_index(aIndex);
  entry.set_term(1);
  entry.mutable_record()->mutable_change()->set_change_id(
    std::string(aBytes, 'x'));
  return entry;
}

// The log before and after the last write, which was not synced.
struct WrittenLog
{
  std::string name_;
  std::string synced_;
  std::string whole_;
  std::vector<wire::ConsensusEntry> entries_;
};

// Saves synced entries, then writes the entries of the given sizes at once. The
// first entry has aShift additional bytes, which moves the later records.
WrittenLog
WriteLog(std::size_t aShift, const std::vector<std::size_t>& aSizes)
{
  Fixture fixture;
  REQUIRE_FALSE(Open(fixture));
  WrittenLog log;
  for (std::uint64_t i = 1; i <= kSyncedEntries; ++i) {
    log.entries_.push_back(MakeEntry(i, i == 1 ? 200 + aShift : 10));
    const wire::ConsensusEntry entries[] = { log.entries_.back() };
    REQUIRE_FALSE(Save(fixture.store_, MakeHardState(i), 0, entries));
  }
  log.name_ = kPath + "/" + fixture.store_.log_.segments_.back();
  log.synced_ = fixture.files_.files_.at(log.name_)->bytes_;
  std::vector<wire::ConsensusEntry> last;
  last.reserve(aSizes.size());
  for (const std::size_t size : aSizes) {
    last.push_back(MakeEntry(kSyncedEntries + last.size() + 1, size));
  }
  log.entries_.insert(log.entries_.end(), last.begin(), last.end());
  REQUIRE_FALSE(Save(fixture.store_, MakeHardState(1), 0, last));
  log.whole_ = fixture.files_.files_.at(log.name_)->bytes_;
  return log;
}

std::error_code
OpenWith(Fixture& aFixture, const WrittenLog& aLog, const std::string& aBytes)
{
  const auto file = std::make_shared<MemoryFile>();
  file->bytes_ = file->synced_ = aBytes;
  aFixture.files_.files_[aLog.name_] = file;
  return Open(aFixture);
}

bool
HoldsPrefix(const MemberImage& aImage, const WrittenLog& aLog)
{
  const auto& entries = aImage.entries_;
  return entries.size() >= kSyncedEntries &&
         entries.size() <= aLog.entries_.size() &&
         std::equal(entries.begin(),
                    entries.end(),
                    aLog.entries_.begin(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.SerializeAsString() ==
                             aRight.SerializeAsString();
                    });
}

// Returns true when the member recovers all synced entries, only whole ones
// besides, and can go on.
bool
Recovers(const WrittenLog& aLog, const std::string& aBytes)
{
  Fixture fixture;
  if (OpenWith(fixture, aLog, aBytes) || !HoldsPrefix(fixture.image_, aLog)) {
    return false;
  }
  const std::size_t count = fixture.image_.entries_.size();
  const wire::ConsensusEntry next[] = { MakeEntry(count + 1, 7) };
  return !Save(fixture.store_, MakeHardState(9), 0, next) && !Open(fixture) &&
         fixture.findings_.empty() &&
         fixture.image_.entries_.size() == count + 1 &&
         fixture.image_.hardState_->term() == 9;
}

using Files = std::vector<std::string>;

Files
CutAnywhere(const WrittenLog& aLog)
{
  Files torn;
  for (std::size_t i = aLog.synced_.size(); i <= aLog.whole_.size(); ++i) {
    torn.push_back(aLog.whole_.substr(0, i));
  }
  return torn;
}

Files
ZeroFromAnywhere(const WrittenLog& aLog)
{
  Files torn;
  for (std::size_t i = aLog.synced_.size(); i <= aLog.whole_.size(); ++i) {
    torn.push_back(aLog.whole_.substr(0, i));
    torn.back().resize(aLog.whole_.size(), '\0');
  }
  return torn;
}

// Every set of sectors was not written. What they had before is what was
// synced, and zeros.
Files
LoseSectors(const WrittenLog& aLog)
{
  const std::size_t first = aLog.synced_.size() / kSectorBytes;
  const std::size_t end = (aLog.whole_.size() - 1) / kSectorBytes + 1;
  Files torn;
  for (std::uint64_t set = 0; set < std::uint64_t{ 1 } << (end - first);
       ++set) {
    std::string bytes = aLog.whole_;
    for (std::size_t i = first; i < end; ++i) {
      if ((set >> (i - first)) % 2 != 0) {
        const std::size_t from =
          std::max(i * kSectorBytes, aLog.synced_.size());
        const std::size_t to = std::min((i + 1) * kSectorBytes, bytes.size());
        std::fill(bytes.begin() + from, bytes.begin() + to, '\0');
      }
    }
    torn.push_back(std::move(bytes));
  }
  return torn;
}

struct TornRow
{
  std::string name_;
  Files (*tear_)(const WrittenLog&);
  std::vector<std::size_t> shifts_;
  std::vector<std::size_t> sizes_;
};

std::vector<std::size_t>
ListShifts(std::size_t aStep)
{
  std::vector<std::size_t> shifts;
  for (std::size_t i = 0; i < kSectorBytes; i += aStep) {
    shifts.push_back(i);
  }
  return shifts;
}

const std::vector<std::size_t> kShort{ 10, 4, 20, 30 };
const std::vector<std::size_t> kMixed{ 10, 700, 4, 1200, 30 };

} // namespace

TEST_CASE("a torn last write keeps no member out", "[storage]")
{
  const auto row = GENERATE(values<TornRow>({
    { "cut, short", CutAnywhere, ListShifts(64), kShort },
    { "cut, mixed", CutAnywhere, ListShifts(64), kMixed },
    { "zeros, short", ZeroFromAnywhere, ListShifts(16), kShort },
    { "zeros, mixed", ZeroFromAnywhere, ListShifts(64), kMixed },
    { "sectors, one", LoseSectors, ListShifts(1), { 40 } },
    { "sectors, short", LoseSectors, ListShifts(1), kShort },
    { "sectors, mixed", LoseSectors, ListShifts(1), kMixed },
  }));
  std::size_t tried = 0;
  std::size_t failed = 0;
  for (const std::size_t shift : row.shifts_) {
    const WrittenLog log = WriteLog(shift, row.sizes_);
    for (const std::string& bytes : row.tear_(log)) {
      ++tried;
      failed += Recovers(log, bytes) ? 0 : 1;
    }
  }
  INFO(row.name_ << ": " << failed << " of " << tried << " don't recover");
  CHECK(failed == 0);
}

TEST_CASE("damage to what was synced is reported beside a torn write",
          "[storage]")
{
  struct Row
  {
    std::vector<std::size_t> sizes_;
    bool lastIsTorn_;
  };
  const auto row = GENERATE(values<Row>({
    { kShort, false },
    { kMixed, false },
    { kShort, true },
    { { 700, 4 }, true },
  }));
  const std::size_t shift = GENERATE(0, 100, 255, 504, 511);
  const WrittenLog log = WriteLog(shift, row.sizes_);
  Files files{ log.whole_ };
  if (row.lastIsTorn_) {
    files = { log.synced_ + std::string(300, '\0'),
              log.whole_.substr(0, log.synced_.size() + 30),
              LoseSectors(log).back(),
              LoseSectors(log)[1] };
  }
  const std::size_t end =
    row.lastIsTorn_ ? log.synced_.size() : log.whole_.size();
  std::size_t unreported = 0;
  for (const std::string& bytes : files) {
    for (std::size_t bit = 0; bit < 8 * end; ++bit) {
      std::string damaged = bytes;
      damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1U << bit % 8));
      Fixture fixture;
      unreported +=
        OpenWith(fixture, log, damaged) == StorageError::CorruptLog ? 0 : 1;
    }
  }
  INFO("shift " << shift);
  CHECK(unreported == 0);
}

namespace {

// Appends a record as the versions before the end mark wrote it.
void
AppendOldRecord(std::string& aBytes,
                std::uint64_t aSequence,
                const wire::MemberRecord& aRecord)
{
  const std::string content = aRecord.SerializeAsString();
  std::string length;
  internal::AppendNumber(length, std::uint64_t{ content.size() });
  internal::AppendNumber(aBytes, static_cast<std::uint32_t>(content.size()));
  internal::AppendNumber(
    aBytes, static_cast<std::uint32_t>(internal::Checksum(length, aSequence)));
  internal::AppendNumber(aBytes, aSequence);
  internal::AppendNumber(aBytes, internal::Checksum(content, aSequence));
  aBytes += content;
}

// Each entry with its hard state was one write.
WrittenLog
MakeOldLog(std::size_t aLastBytes)
{
  WrittenLog log;
  log.name_ = kPath + "/log-00000000000000000001";
  std::uint64_t sequence = 1;
  for (std::uint64_t i = 1; i <= kSyncedEntries + 1; ++i) {
    const bool last = i > kSyncedEntries;
    log.entries_.push_back(MakeEntry(i, last ? aLastBytes : 10));
    wire::MemberRecord record;
    *record.mutable_entry() = log.entries_.back();
    AppendOldRecord(log.whole_, sequence++, record);
    *record.mutable_hard_state() = MakeHardState(1);
    AppendOldRecord(log.whole_, sequence++, record);
    if (!last) {
      log.synced_ = log.whole_;
    }
  }
  return log;
}

} // namespace

TEST_CASE("a log of an older version is read and continued", "[storage]")
{
  const std::size_t lastBytes = GENERATE(10, 700, 3000);
  const WrittenLog old = MakeOldLog(lastBytes);
  std::size_t failed = 0;
  for (const std::string& bytes : CutAnywhere(old)) {
    failed += Recovers(old, bytes) ? 0 : 1;
  }
  CHECK(failed == 0);
  std::size_t unreported = 0;
  for (std::size_t bit = 0; bit < 8 * old.whole_.size(); ++bit) {
    std::string damaged = old.whole_;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1U << bit % 8));
    Fixture fixture;
    unreported +=
      OpenWith(fixture, old, damaged) == StorageError::CorruptLog ? 0 : 1;
  }
  CHECK(unreported == 0);

  // The first write of this version behind it is torn.
  Fixture fixture;
  REQUIRE_FALSE(OpenWith(fixture, old, old.whole_));
  WrittenLog log = old;
  log.synced_ = old.whole_;
  log.entries_.push_back(MakeEntry(kSyncedEntries + 2, 900));
  const wire::ConsensusEntry entries[] = { log.entries_.back() };
  REQUIRE_FALSE(Save(fixture.store_, MakeHardState(1), 0, entries));
  log.whole_ = fixture.files_.files_.at(log.name_)->bytes_;
  for (const auto tear : { CutAnywhere, ZeroFromAnywhere, LoseSectors }) {
    for (const std::string& bytes : tear(log)) {
      failed += Recovers(log, bytes) ? 0 : 1;
    }
  }
  CHECK(failed == 0);
}

TEST_CASE("what is read at a start is on the disk", "[storage]")
{
  // The process is killed between the write and its sync. What its next start
  // reads may be acknowledged without another write.
  const auto calls = GENERATE(range(1, 30));
  const auto seed = GENERATE(range(1, 21));
  const bool snapshots = GENERATE(false, true);
  Fixture fixture;
  REQUIRE_FALSE(Open(fixture));
  const wire::ConsensusEntry first[] = { MakeEntry(1, 10) };
  REQUIRE_FALSE(Save(fixture.store_, MakeHardState(1), 0, first));
  fixture.files_.callsLeft_ = calls;
  const wire::ConsensusEntry second[] = { MakeEntry(2, 10) };
  wire::MemberSnapshot snapshot;
  snapshot.set_last_index(1);
  if (!Save(fixture.store_, MakeHardState(2), 0, second) && snapshots) {
    (void)SaveSnapshot(fixture.store_, snapshot, second);
  }
  fixture.files_.callsLeft_.reset();
  REQUIRE_FALSE(Open(fixture));
  const MemberImage read = fixture.image_;
  std::mt19937 random(seed);
  fixture.files_.Crash(random);
  REQUIRE_FALSE(Open(fixture));
  const auto last = [](const MemberImage& aImage) {
    return aImage.snapshot_.last_index() + aImage.entries_.size();
  };
  CHECK(last(fixture.image_) >= last(read));
  CHECK(fixture.image_.hardState_->term() >= read.hardState_->term());
}

TEST_CASE("a host memory that is read at a start is on the disk", "[storage]")
{
  const auto calls = GENERATE(range(1, 8));
  const auto seed = GENERATE(range(1, 21));
  Fixture fixture;
  REQUIRE_FALSE(OpenDataFolder(fixture.files_, kPath, "a", fixture.folder_));
  wire::HostMemory memory;
  memory.set_highest_revision(1);
  REQUIRE_FALSE(SaveHostMemory(fixture.folder_, memory));
  fixture.files_.callsLeft_ = calls;
  memory.set_highest_revision(2);
  (void)SaveHostMemory(fixture.folder_, memory);
  fixture.files_.callsLeft_.reset();
  REQUIRE_FALSE(OpenDataFolder(fixture.files_, kPath, "a", fixture.folder_));
  wire::HostMemory read;
  REQUIRE_FALSE(LoadHostMemory(fixture.folder_, read));
  std::mt19937 random(seed);
  fixture.files_.Crash(random);
  REQUIRE_FALSE(LoadHostMemory(fixture.folder_, memory));
  CHECK(memory.highest_revision() == read.highest_revision());
}

TEST_CASE("power that is lost at any call keeps no member out", "[storage]")
{
  // A refused write is followed by a reload, as a member does it, and the power
  // is lost in that reload or after it.
  const auto seed = GENERATE(range(1, 2001));
  std::mt19937 random(seed);
  Fixture fixture;
  REQUIRE_FALSE(Open(fixture));
  std::uint64_t saved = 0;
  std::uint64_t term = 0;
  const auto last = [&fixture] {
    return fixture.image_.snapshot_.last_index() +
           fixture.image_.entries_.size();
  };
  const auto readTerm = [&fixture] {
    return fixture.image_.hardState_.value_or(MakeHardState(0)).term();
  };
  for (int round = 0; round < 8; ++round) {
    fixture.files_.callsLeft_ = 1 + random() % 30;
    std::error_code error;
    std::uint64_t next = last();
    while (!error) {
      ++next;
      const wire::ConsensusEntry entries[] = {
        MakeEntry(next, random() % 900), MakeEntry(next + 1, random() % 90)
      };
      ++next;
      error = Save(fixture.store_, MakeHardState(next), 0, entries);
      saved = error ? saved : next;
      term = error ? term : next;
    }
    for (std::uint64_t reloads = random() % 4; reloads > 0; --reloads) {
      fixture.files_.callsLeft_ = 1 + random() % 16;
      if (!Reload(fixture.folder_,
                  fixture.store_,
                  fixture.image_,
                  fixture.findings_)) {
        saved = last();
        term = readTerm();
      }
    }
    fixture.files_.Crash(random);
    INFO("seed " << seed << " round " << round);
    REQUIRE_FALSE(Open(fixture));
    CHECK(last() >= saved);
    CHECK(readTerm() >= term);
    saved = last();
    term = readTerm();
  }
}

TEST_CASE("older segments that are back hide no damage", "[storage]")
{
  const bool back = GENERATE(false, true);
  Fixture fixture;
  REQUIRE_FALSE(Open(fixture));
  std::vector<wire::ConsensusEntry> entries;
  for (std::uint64_t i = 1; i <= kSyncedEntries; ++i) {
    entries.push_back(MakeEntry(i, 200));
    const wire::ConsensusEntry one[] = { entries.back() };
    REQUIRE_FALSE(Save(fixture.store_, MakeHardState(1), 0, one));
  }
  const auto old = fixture.files_.files_;
  wire::MemberSnapshot snapshot;
  snapshot.set_last_index(1);
  REQUIRE_FALSE(
    SaveSnapshot(fixture.store_, snapshot, std::span(entries).subspan(1)));
  const wire::ConsensusEntry next[] = { MakeEntry(kSyncedEntries + 1, 20) };
  REQUIRE_FALSE(Save(fixture.store_, MakeHardState(2), 0, next));
  if (back) {
    fixture.files_.files_.insert(old.begin(), old.end());
    fixture.files_.files_[kPath + "/log-00000000000000000000"] =
      std::make_shared<MemoryFile>();
  }
  std::string& bytes = fixture.files_.files_
                         .at(kPath + "/" + fixture.store_.log_.segments_.back())
                         ->bytes_;
  const std::string whole = bytes;
  std::size_t unreported = 0;
  for (std::size_t bit = 0; bit < 8 * whole.size(); ++bit) {
    bytes[bit / 8] = static_cast<char>(whole[bit / 8] ^ (1U << bit % 8));
    const std::error_code error = Open(fixture);
    unreported += error == StorageError::CorruptLog ||
                      (back && error == StorageError::MissingRecords)
                    ? 0
                    : 1;
    bytes[bit / 8] = whole[bit / 8];
  }
  CHECK(unreported == 0);
  REQUIRE_FALSE(Open(fixture));
  CHECK(fixture.image_.entries_.size() == kSyncedEntries);
  CHECK(fixture.image_.hardState_->term() == 2);
}

TEST_CASE("power that is lost during a first start leaves a usable folder",
          "[storage]")
{
  const auto calls = GENERATE(range(1, 24));
  const auto seed = GENERATE(range(1, 101));
  Fixture fixture;
  fixture.files_.callsLeft_ = calls;
  wire::HostMemory memory;
  memory.set_highest_revision(1);
  const wire::ConsensusEntry entries[] = { MakeEntry(1, 600) };
  wire::MemberSnapshot snapshot;
  snapshot.set_last_index(1);
  bool saved = false;
  bool remembered = false;
  bool covered = false;
  if (!Open(fixture)) {
    saved = !Save(fixture.store_, MakeHardState(3), 0, entries);
    remembered = !SaveHostMemory(fixture.folder_, memory);
    covered = saved && !SaveSnapshot(fixture.store_, snapshot, {});
  }
  std::mt19937 random(seed);
  fixture.files_.Crash(random);
  REQUIRE_FALSE(Open(fixture));
  REQUIRE_FALSE(LoadHostMemory(fixture.folder_, memory));
  const MemberImage& image = fixture.image_;
  if (saved) {
    CHECK(image.hardState_.value().term() == 3);
    CHECK(image.snapshot_.last_index() + image.entries_.size() == 1);
  }
  CHECK(memory.highest_revision() <= 1);
  CHECK((!remembered || memory.highest_revision() == 1));
  CHECK((!covered || image.snapshot_.last_index() == 1));
  // It can go on.
  REQUIRE_FALSE(Save(fixture.store_, MakeHardState(4), 1, entries));
  REQUIRE_FALSE(Open(fixture));
  CHECK(image.hardState_.value().term() == 4);
}

} // namespace wigeonlb::storage
