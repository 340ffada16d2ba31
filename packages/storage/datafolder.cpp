#include "storage/datafolder.h"

#include "storage/internal/checksum.h"
#include "storage/storageerrors.h"

namespace wigeonlb::storage {

namespace {

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kLockName = "lock";
constexpr std::string_view kTemporarySuffix = ".new";

std::string
MakePath(const DataFolder& aFolder, std::string_view aName)
{
  return aFolder.path_ + "/" + std::string(aName);
}

std::error_code
CheckIdentity(const DataFolder& aFolder, std::string_view aHost)
{
  std::string owner;
  if (const std::error_code error =
        ReadAtomicFile(aFolder, kIdentityName, owner)) {
    return error == StorageError::CorruptFile
             ? make_error_code(StorageError::CorruptIdentity)
             : error;
  }
  if (owner.empty()) {
    return WriteAtomicFile(aFolder, kIdentityName, aHost);
  }
  return owner == aHost ? std::error_code()
                        : make_error_code(StorageError::ForeignFolder);
}

} // namespace

std::error_code
OpenDataFolder(FileSystem& aFiles,
               std::string_view aPath,
               std::string_view aHost,
               DataFolder& aFolder)
{
  aFolder.files_ = &aFiles;
  aFolder.path_ = std::string(aPath);
  if (const std::error_code error = aFiles.CreateFolder(aFolder.path_)) {
    return error;
  }
  if (const std::error_code error =
        aFiles.Lock(MakePath(aFolder, kLockName), aFolder.lock_)) {
    return error;
  }
  const std::error_code error = CheckIdentity(aFolder, aHost);
  if (error) {
    CloseDataFolder(aFolder);
  }
  return error;
}

void
CloseDataFolder(DataFolder& aFolder)
{
  if (aFolder.files_ != nullptr && aFolder.lock_ >= 0) {
    aFolder.files_->Close(aFolder.lock_);
  }
  aFolder.lock_ = -1;
}

std::error_code
WriteAtomicFile(const DataFolder& aFolder,
                std::string_view aName,
                std::string_view aContent)
{
  FileSystem& files = *aFolder.files_;
  const std::string path = MakePath(aFolder, aName);
  const std::string temporary = path + std::string(kTemporarySuffix);
  // OpenAppend would append to a temporary file left by an earlier crash.
  (void)files.Remove(temporary);
  FileHandle file = -1;
  if (const std::error_code error = files.OpenAppend(temporary, file)) {
    return error;
  }
  std::string bytes;
  internal::AppendNumber(bytes, internal::Checksum(aContent));
  bytes += aContent;
  std::error_code error = files.Write(file, bytes);
  if (!error) {
    error = files.Sync(file);
  }
  files.Close(file);
  if (!error) {
    error = files.Rename(temporary, path);
  }
  return error ? error : files.SyncFolder(aFolder.path_);
}

std::error_code
ReadAtomicFile(const DataFolder& aFolder,
               std::string_view aName,
               std::string& aContent)
{
  aContent.clear();
  std::string bytes;
  const std::error_code error =
    aFolder.files_->Read(MakePath(aFolder, aName), bytes);
  if (error == std::errc::no_such_file_or_directory) {
    return {};
  }
  if (error) {
    return error;
  }
  constexpr std::size_t kChecksumBytes = 8;
  if (bytes.size() < kChecksumBytes ||
      internal::ReadNumber<std::uint64_t>(bytes) !=
        internal::Checksum(std::string_view(bytes).substr(kChecksumBytes))) {
    return StorageError::CorruptFile;
  }
  aContent = bytes.substr(kChecksumBytes);
  return {};
}

} // namespace wigeonlb::storage
