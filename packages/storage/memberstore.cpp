#include "storage/memberstore.h"

#include "storage/internal/checksum.h"
#include "storage/storageerrors.h"

namespace wigeonlb::storage {

namespace {

constexpr std::string_view kSnapshotName = "snapshot";
constexpr std::string_view kMemoryName = "memory";

//! A snapshot, and the first log record whose entries are valid with it.
struct SnapshotFile
{
  std::uint64_t firstSequence_ = 0;
  wire::MemberSnapshot snapshot_;
};

std::error_code
WriteSnapshot(const DataFolder& aFolder, const SnapshotFile& aFile)
{
  std::string content;
  internal::AppendNumber(content, aFile.firstSequence_);
  content += aFile.snapshot_.SerializeAsString();
  return WriteAtomicFile(aFolder, kSnapshotName, content);
}

std::error_code
ReadSnapshot(const DataFolder& aFolder,
             SnapshotFile& aFile,
             foundation::Findings& aFindings)
{
  std::string content;
  std::error_code error = ReadAtomicFile(aFolder, kSnapshotName, content);
  if (!error && content.empty()) {
    return {};
  }
  constexpr std::size_t kNumberBytes = 8;
  if (!error &&
      (content.size() < kNumberBytes ||
       !aFile.snapshot_.ParseFromString(content.substr(kNumberBytes)))) {
    error = StorageError::CorruptFile;
  }
  if (error == StorageError::CorruptFile) {
    error = StorageError::CorruptSnapshot;
  }
  if (error) {
    foundation::AddFinding(aFindings,
                           aFolder.path_ + "/" + std::string(kSnapshotName),
                           error.message());
    return error;
  }
  aFile.firstSequence_ = internal::ReadNumber<std::uint64_t>(content);
  return {};
}

std::string
MakeHardStateRecord(const wire::HardState& aHardState)
{
  wire::MemberRecord record;
  *record.mutable_hard_state() = aHardState;
  return record.SerializeAsString();
}

std::string
MakeEntryRecord(const wire::ConsensusEntry& aEntry)
{
  wire::MemberRecord record;
  *record.mutable_entry() = aEntry;
  return record.SerializeAsString();
}

//! Writes a snapshot, then a new log segment with the hard state and the
//! entries after the snapshot.
std::error_code
StoreSnapshot(MemberStore& aStore,
              const SnapshotFile& aFile,
              std::span<const wire::ConsensusEntry> aTail)
{
  if (const std::error_code error = WriteSnapshot(*aStore.folder_, aFile)) {
    return error;
  }
  aStore.snapshotIndex_ = aFile.snapshot_.last_index();
  aStore.firstSequence_ = aFile.firstSequence_;
  std::vector<std::string> records{ MakeHardStateRecord(aStore.hardState_) };
  for (const wire::ConsensusEntry& entry : aTail) {
    records.push_back(MakeEntryRecord(entry));
  }
  return StartSegment(aStore.log_, records);
}

void
TruncateFrom(std::vector<wire::ConsensusEntry>& aEntries, std::uint64_t aIndex)
{
  while (!aEntries.empty() && aEntries.back().index() >= aIndex) {
    aEntries.pop_back();
  }
}

bool
HoldsEntry(const MemberImage& aImage, const wire::ConsensusEntry& aEntry)
{
  const std::uint64_t offset =
    aEntry.index() - aImage.snapshot_.last_index() - 1;
  return offset < aImage.entries_.size() &&
         aImage.entries_[offset].term() == aEntry.term();
}

//! Applies one record to the image. Returns false when the record is invalid or
//! its entry does not follow the last one.
bool
Replay(const wire::MemberRecord& aRecord,
       bool aEntriesValid,
       MemberImage& aImage)
{
  switch (aRecord.record_case()) {
    case wire::MemberRecord::kHardState:
      aImage.hardState_ = aRecord.hard_state();
      return true;
    case wire::MemberRecord::kTruncateFrom:
      TruncateFrom(aImage.entries_, aRecord.truncate_from());
      return true;
    case wire::MemberRecord::kEntry:
      break;
    default:
      return false;
  }
  const wire::ConsensusEntry& entry = aRecord.entry();
  if (!aEntriesValid || entry.index() <= aImage.snapshot_.last_index()) {
    return true; // contained in the snapshot or replaced by it
  }
  // A new segment repeats the entries after its snapshot. If a crash truncated
  // it, the older segment still contains the remaining entries. An entry that
  // is already there therefore does not truncate the later ones.
  if (HoldsEntry(aImage, entry)) {
    return true;
  }
  TruncateFrom(aImage.entries_, entry.index());
  const std::uint64_t last = aImage.entries_.empty()
                               ? aImage.snapshot_.last_index()
                               : aImage.entries_.back().index();
  if (entry.index() != last + 1) {
    return false;
  }
  aImage.entries_.push_back(entry);
  return true;
}

//! Parses a record whose checksum is right. An entry with content that can't be
//! read, such as text that isn't UTF-8, is kept without that content: it then
//! changes nothing, at any member that holds it, and the log stays usable.
bool
ParseRecord(const LogRecord& aRecord,
            wire::MemberRecord& aParsed,
            foundation::Findings& aFindings)
{
  if (aParsed.ParseFromString(aRecord.bytes_)) {
    return true;
  }
  wire::EntryRecordHeader header;
  if (!header.ParseFromString(aRecord.bytes_) || header.entry().index() == 0) {
    return false;
  }
  aParsed.Clear();
  aParsed.mutable_entry()->set_index(header.entry().index());
  aParsed.mutable_entry()->set_term(header.entry().term());
  foundation::AddFinding(aFindings,
                         "record " + std::to_string(aRecord.sequence_),
                         "the content of entry " +
                           std::to_string(header.entry().index()) +
                           " can't be read and is ignored");
  return true;
}

} // namespace

std::error_code
Load(DataFolder& aFolder,
     MemberStore& aStore,
     MemberImage& aImage,
     foundation::Findings& aFindings)
{
  aStore.folder_ = &aFolder;
  aImage = MemberImage{};
  SnapshotFile snapshot;
  if (const std::error_code error =
        ReadSnapshot(aFolder, snapshot, aFindings)) {
    return error;
  }
  aImage.snapshot_ = std::move(snapshot.snapshot_);
  std::vector<LogRecord> records;
  if (const std::error_code error =
        OpenLog(aFolder, aStore.log_, records, aFindings)) {
    return error;
  }
  for (const LogRecord& record : records) {
    wire::MemberRecord parsed;
    const bool entriesValid = record.sequence_ >= snapshot.firstSequence_;
    if (!ParseRecord(record, parsed, aFindings) ||
        !Replay(parsed, entriesValid, aImage)) {
      foundation::AddFinding(aFindings,
                             aFolder.path_ + " record " +
                               std::to_string(record.sequence_),
                             "the log does not continue the snapshot");
      return StorageError::MissingRecords;
    }
  }
  if (aImage.hardState_) {
    aStore.hardState_ = *aImage.hardState_;
  }
  aStore.snapshotIndex_ = aImage.snapshot_.last_index();
  aStore.firstSequence_ = snapshot.firstSequence_;
  return {};
}

std::error_code
Reload(DataFolder& aFolder,
       MemberStore& aStore,
       MemberImage& aImage,
       foundation::Findings& aFindings)
{
  CloseLog(aStore.log_);
  aStore = MemberStore{};
  if (const std::error_code error = Load(aFolder, aStore, aImage, aFindings)) {
    return error;
  }
  if (!aImage.hardState_) {
    return {}; // nothing was ever stored
  }
  return StoreSnapshot(
    aStore, { aStore.firstSequence_, aImage.snapshot_ }, aImage.entries_);
}

std::error_code
Save(MemberStore& aStore,
     const wire::HardState& aHardState,
     std::uint64_t aTruncateFrom,
     std::span<const wire::ConsensusEntry> aEntries)
{
  std::vector<std::string> records;
  if (aTruncateFrom != 0) {
    wire::MemberRecord record;
    record.set_truncate_from(aTruncateFrom);
    records.push_back(record.SerializeAsString());
  }
  for (const wire::ConsensusEntry& entry : aEntries) {
    records.push_back(MakeEntryRecord(entry));
  }
  // Written last, so that after a torn write the hard state is never stored
  // without the entries: it may record that the recovery of a lost disk ended
  // with these entries.
  records.push_back(MakeHardStateRecord(aHardState));
  const std::error_code error = AppendRecords(aStore.log_, records);
  if (!error) {
    aStore.hardState_ = aHardState;
  }
  return error;
}

std::error_code
SaveSnapshot(MemberStore& aStore,
             const wire::MemberSnapshot& aSnapshot,
             std::span<const wire::ConsensusEntry> aTail)
{
  return StoreSnapshot(aStore, { 0, aSnapshot }, aTail);
}

std::error_code
InstallSnapshot(MemberStore& aStore,
                const wire::HardState& aHardState,
                const wire::MemberSnapshot& aSnapshot)
{
  // Entries of the old log may conflict with the snapshot. They are ignored,
  // even when a crash leaves the old segments in place.
  const SnapshotFile file{ aStore.log_.nextSequence_, aSnapshot };
  if (const std::error_code error = WriteSnapshot(*aStore.folder_, file)) {
    return error;
  }
  aStore.hardState_ = aHardState;
  aStore.snapshotIndex_ = aSnapshot.last_index();
  aStore.firstSequence_ = file.firstSequence_;
  const std::string records[] = { MakeHardStateRecord(aHardState) };
  return StartSegment(aStore.log_, records);
}

std::error_code
LoadHostMemory(const DataFolder& aFolder, wire::HostMemory& aMemory)
{
  // The process may have ended between the rename and its sync. An error is no
  // reason to stop: the host also goes on when it can't save its memory.
  (void)aFolder.files_->SyncFolder(aFolder.path_);
  std::string content;
  if (const std::error_code error =
        ReadAtomicFile(aFolder, kMemoryName, content)) {
    return error;
  }
  return aMemory.ParseFromString(content)
           ? std::error_code()
           : make_error_code(StorageError::CorruptFile);
}

std::error_code
SaveHostMemory(const DataFolder& aFolder, const wire::HostMemory& aMemory)
{
  return WriteAtomicFile(aFolder, kMemoryName, aMemory.SerializeAsString());
}

} // namespace wigeonlb::storage
