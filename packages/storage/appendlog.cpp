#include "storage/appendlog.h"

#include <cinttypes>
#include <cstdio>

#include "storage/internal/recordcodec.h"
#include "storage/storageerrors.h"

namespace wigeonlb::storage {

namespace {

using foundation::Findings;

constexpr std::string_view kSegmentPrefix = "log-";

std::string
MakeSegmentName(std::uint64_t aSequence)
{
  char name[32];
  std::snprintf(name, sizeof(name), "log-%020" PRIu64, aSequence);
  return name;
}

std::string
MakePath(const AppendLog& aLog, const std::string& aName)
{
  return aLog.folder_->path_ + "/" + aName;
}

std::string
FormatLocation(const std::string& aPath, std::size_t aOffset)
{
  return aPath + " offset " + std::to_string(aOffset);
}

//! Truncates the remains of a write that a crash interrupted.
std::error_code
TruncateTail(AppendLog& aLog,
             const std::string& aPath,
             std::size_t aOffset,
             Findings& aFindings)
{
  foundation::AddFinding(aFindings,
                         FormatLocation(aPath, aOffset),
                         "an incomplete last record was truncated");
  if (const std::error_code error =
        aLog.folder_->files_->Truncate(aPath, aOffset)) {
    return error;
  }
  FileHandle file = -1;
  if (const std::error_code error =
        aLog.folder_->files_->OpenAppend(aPath, file)) {
    return error;
  }
  const std::error_code error = aLog.folder_->files_->Sync(file);
  aLog.folder_->files_->Close(file);
  return error;
}

std::error_code
ReadSegment(AppendLog& aLog,
            const std::string& aName,
            bool aLast,
            std::vector<LogRecord>& aRecords,
            Findings& aFindings)
{
  const std::string path = MakePath(aLog, aName);
  std::string bytes;
  if (const std::error_code error = aLog.folder_->files_->Read(path, bytes)) {
    return error;
  }
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const std::string_view rest = std::string_view(bytes).substr(offset);
    const auto record = internal::DecodeRecord(rest);
    if (record && record->label_.sequence_ == aLog.nextSequence_) {
      aRecords.push_back(
        { record->label_.sequence_, std::string(record->content_) });
      ++aLog.nextSequence_;
      offset += record->size_;
      continue;
    }
    const bool torn =
      aLast && !record && internal::IsTornWrite(bytes, offset) &&
      !internal::HasNewerWrite(rest.substr(1), aLog.nextSequence_);
    if (!torn) {
      foundation::AddFinding(
        aFindings, FormatLocation(path, offset), "the record is damaged");
      return StorageError::CorruptLog;
    }
    if (const std::error_code error =
          TruncateTail(aLog, path, offset, aFindings)) {
      return error;
    }
    break;
  }
  aLog.segmentSize_ = offset;
  return {};
}

std::error_code
OpenSegment(AppendLog& aLog, const std::string& aName)
{
  FileSystem& files = *aLog.folder_->files_;
  files.Close(aLog.file_);
  aLog.file_ = -1;
  if (const std::error_code error =
        files.OpenAppend(MakePath(aLog, aName), aLog.file_)) {
    return error;
  }
  return files.SyncFolder(aLog.folder_->path_);
}

std::error_code
AddSegment(AppendLog& aLog)
{
  const std::string name = MakeSegmentName(aLog.nextSequence_);
  if (const std::error_code error = OpenSegment(aLog, name)) {
    return error;
  }
  aLog.segments_.push_back(name);
  aLog.segmentSize_ = 0;
  return {};
}

std::error_code
WriteRecords(AppendLog& aLog,
             std::span<const std::string> aRecords,
             bool aRestates)
{
  std::string bytes;
  internal::RecordLabel label;
  label.writeFirst_ = aLog.nextSequence_;
  label.restates_ = aRestates;
  std::uint64_t sequence = aLog.nextSequence_;
  for (const std::string& record : aRecords) {
    label.sequence_ = sequence++;
    label.writeLast_ = sequence - aLog.nextSequence_ == aRecords.size();
    internal::AppendRecord(bytes, aLog.segmentSize_, label, record);
  }
  FileSystem& files = *aLog.folder_->files_;
  if (const std::error_code error = files.Write(aLog.file_, bytes)) {
    return error;
  }
  if (const std::error_code error = files.Sync(aLog.file_)) {
    return error;
  }
  aLog.nextSequence_ = sequence;
  aLog.segmentSize_ += bytes.size();
  return {};
}

bool
ParseSegmentName(const std::string& aName, std::uint64_t& aSequence)
{
  return std::sscanf(aName.c_str(), "log-%" SCNu64, &aSequence) == 1;
}

struct FirstWrite
{
  bool torn_ = false;
  bool restates_ = false;
};

//! Reads how a segment begins. A damaged first write doesn't count as torn.
std::error_code
ReadFirstWrite(const AppendLog& aLog,
               const std::string& aName,
               FirstWrite& aWrite)
{
  std::string bytes;
  if (const std::error_code error =
        aLog.folder_->files_->Read(MakePath(aLog, aName), bytes)) {
    return error;
  }
  std::uint64_t sequence = 0;
  std::size_t offset = 0;
  aWrite.torn_ = ParseSegmentName(aName, sequence);
  while (aWrite.torn_ && offset < bytes.size()) {
    const std::string_view rest = std::string_view(bytes).substr(offset);
    const auto record = internal::DecodeRecord(rest);
    if (!record) {
      aWrite.torn_ = internal::IsTornWrite(bytes, offset) &&
                     !internal::HasNewerWrite(rest.substr(1), sequence);
      return {};
    }
    aWrite.torn_ = !record->label_.writeLast_;
    aWrite.restates_ = record->label_.restates_;
    offset += record->size_;
    ++sequence;
  }
  return {};
}

//! Removes the last segments whose first write is torn. The segment before them
//! may end with an unsynced write too: after a failed sync all that was read is
//! repeated in a new segment.
std::error_code
RemoveTornSegments(AppendLog& aLog, Findings& aFindings)
{
  while (aLog.segments_.size() > 1) {
    const std::string& name = aLog.segments_.back();
    FirstWrite write;
    if (const std::error_code error = ReadFirstWrite(aLog, name, write)) {
      return error;
    }
    if (!write.torn_) {
      return {};
    }
    const std::string path = MakePath(aLog, name);
    foundation::AddFinding(
      aFindings, path, "a segment with an incomplete first write was removed");
    if (const std::error_code error = aLog.folder_->files_->Remove(path)) {
      return error;
    }
    aLog.segments_.pop_back();
  }
  return {};
}

//! Finds the segment from which on the log is complete. Removed older segments
//! may be back after a loss of power, also just some of them.
std::error_code
FindStart(const AppendLog& aLog, std::size_t& aStart)
{
  for (aStart = aLog.segments_.size() - 1; aStart > 0; --aStart) {
    FirstWrite write;
    if (const std::error_code error =
          ReadFirstWrite(aLog, aLog.segments_[aStart], write)) {
      return error;
    }
    if (write.restates_ && !write.torn_) {
      break;
    }
  }
  return {};
}

//! Records a failure, after which it is unknown what reached the disk. Returns
//! aError.
std::error_code
RecordFailure(AppendLog& aLog, std::error_code aError)
{
  aLog.failed_ = aLog.failed_ || aError;
  return aError;
}

} // namespace

std::error_code
OpenLog(DataFolder& aFolder,
        AppendLog& aLog,
        std::vector<LogRecord>& aRecords,
        Findings& aFindings)
{
  aLog = AppendLog{};
  aLog.folder_ = &aFolder;
  std::vector<std::string> names;
  if (const std::error_code error =
        aFolder.files_->List(aFolder.path_, names)) {
    return error;
  }
  for (const std::string& name : names) {
    if (name.compare(0, kSegmentPrefix.size(), kSegmentPrefix) == 0) {
      aLog.segments_.push_back(name);
    }
  }
  if (aLog.segments_.empty()) {
    return AddSegment(aLog);
  }
  if (const std::error_code error = RemoveTornSegments(aLog, aFindings)) {
    return error;
  }
  std::size_t start = 0;
  if (const std::error_code error = FindStart(aLog, start)) {
    return error;
  }
  if (!ParseSegmentName(aLog.segments_[start], aLog.nextSequence_)) {
    foundation::AddFinding(aFindings,
                           MakePath(aLog, aLog.segments_[start]),
                           "the file name is not a valid segment name");
    return StorageError::CorruptLog;
  }
  for (std::size_t i = start; i < aLog.segments_.size(); ++i) {
    const std::string& name = aLog.segments_[i];
    if (name != MakeSegmentName(aLog.nextSequence_)) {
      foundation::AddFinding(aFindings,
                             MakePath(aLog, name),
                             "records before this segment are missing");
      return StorageError::MissingRecords;
    }
    const bool last = i + 1 == aLog.segments_.size();
    if (const std::error_code error =
          ReadSegment(aLog, name, last, aRecords, aFindings)) {
      return error;
    }
  }
  if (const std::error_code error = OpenSegment(aLog, aLog.segments_.back())) {
    return error;
  }
  // The process may have ended between a write and its sync. What was read is
  // acted on without another write, so it must be on the disk first.
  return aFolder.files_->Sync(aLog.file_);
}

std::error_code
AppendRecords(AppendLog& aLog, std::span<const std::string> aRecords)
{
  if (aLog.failed_) {
    return StorageError::Failed;
  }
  if (aLog.segmentSize_ > kSegmentBytes) {
    if (const std::error_code error = AddSegment(aLog)) {
      return RecordFailure(aLog, error);
    }
  }
  return RecordFailure(aLog, WriteRecords(aLog, aRecords, false));
}

std::error_code
StartSegment(AppendLog& aLog, std::span<const std::string> aRecords)
{
  if (aLog.failed_) {
    return StorageError::Failed;
  }
  // An empty last segment already has the name of the new one; reuse it.
  if (aLog.segmentSize_ != 0) {
    if (const std::error_code error = AddSegment(aLog)) {
      return RecordFailure(aLog, error);
    }
  }
  if (const std::error_code error = WriteRecords(aLog, aRecords, true)) {
    return RecordFailure(aLog, error);
  }
  while (aLog.segments_.size() > 1) {
    if (const std::error_code error = aLog.folder_->files_->Remove(
          MakePath(aLog, aLog.segments_.front()))) {
      return RecordFailure(aLog, error);
    }
    aLog.segments_.erase(aLog.segments_.begin());
  }
  return RecordFailure(aLog,
                       aLog.folder_->files_->SyncFolder(aLog.folder_->path_));
}

void
CloseLog(AppendLog& aLog)
{
  if (aLog.folder_ != nullptr) {
    aLog.folder_->files_->Close(aLog.file_);
  }
  aLog.file_ = -1;
}

} // namespace wigeonlb::storage
