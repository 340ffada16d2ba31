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
WriteRecords(AppendLog& aLog, std::span<const std::string> aRecords)
{
  std::string bytes;
  std::uint64_t sequence = aLog.nextSequence_;
  for (const std::string& record : aRecords) {
    internal::AppendRecord(bytes,
                           aLog.segmentSize_,
                           { sequence, aLog.nextSequence_, false },
                           record);
    ++sequence;
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
  std::uint64_t first = 0;
  if (std::sscanf(aLog.segments_.front().c_str(), "log-%" SCNu64, &first) !=
      1) {
    foundation::AddFinding(aFindings,
                           MakePath(aLog, aLog.segments_.front()),
                           "the file name is not a valid segment name");
    return StorageError::CorruptLog;
  }
  aLog.nextSequence_ = first;
  for (const std::string& name : aLog.segments_) {
    if (name != MakeSegmentName(aLog.nextSequence_)) {
      foundation::AddFinding(aFindings,
                             MakePath(aLog, name),
                             "records before this segment are missing");
      return StorageError::MissingRecords;
    }
    const bool last = name == aLog.segments_.back();
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
  return RecordFailure(aLog, WriteRecords(aLog, aRecords));
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
  if (const std::error_code error = WriteRecords(aLog, aRecords)) {
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
