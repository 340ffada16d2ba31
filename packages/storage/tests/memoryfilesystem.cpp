#include "storage/tests/memoryfilesystem.h"

#include <algorithm>

namespace wigeonlb::storage {

namespace {

std::error_code
IoError()
{
  return std::make_error_code(std::errc::io_error);
}

std::error_code
MissingFile()
{
  return std::make_error_code(std::errc::no_such_file_or_directory);
}

//! Leaves a part of what was written behind the synced bytes: up to any byte,
//! the same with zeros up to the full length, or any of the sectors.
void
TearWrite(std::string& aBytes, std::size_t aSynced, std::mt19937& aRandom)
{
  constexpr std::size_t kSectorBytes = 512;
  const std::size_t size = aBytes.size();
  const std::uint64_t kind = aRandom() % 3;
  if (kind < 2) {
    aBytes.resize(aSynced + aRandom() % (size - aSynced + 1));
    aBytes.resize(kind == 0 ? aBytes.size() : size, '\0');
    return;
  }
  for (std::size_t from = aSynced; from < size;) {
    const std::size_t to =
      std::min(size, (from / kSectorBytes + 1) * kSectorBytes);
    if (aRandom() % 2 == 0) {
      std::fill(aBytes.begin() + static_cast<std::ptrdiff_t>(from),
                aBytes.begin() + static_cast<std::ptrdiff_t>(to),
                '\0');
    }
    from = to;
  }
}

} // namespace

bool
MemoryFileSystem::ConsumeCall()
{
  if (!callsLeft_) {
    return true;
  }
  *callsLeft_ = std::max(0, *callsLeft_ - 1);
  return *callsLeft_ > 0;
}

void
MemoryFileSystem::Crash(std::mt19937& aRandom)
{
  // Names that were changed after the last sync of the folder are kept or lost
  // independently.
  auto names = files_;
  names.insert(syncedNames_.begin(), syncedNames_.end());
  for (const auto& [name, file] : names) {
    const auto synced = syncedNames_.find(name);
    const auto current = files_.find(name);
    const bool keepsCurrent = aRandom() % 2 != 0;
    if (current != files_.end() && synced != syncedNames_.end()) {
      current->second = keepsCurrent ? current->second : synced->second;
    } else if (synced == syncedNames_.end() && !keepsCurrent) {
      files_.erase(current);
    } else if (current == files_.end() && !keepsCurrent) {
      files_.insert(*synced);
    }
  }
  open_.clear();
  callsLeft_.reset();
  spaceLeft_.reset();
  syncFails_ = false;
  for (auto& [name, file] : files_) {
    const std::size_t synced = file->synced_.size();
    if (file->bytes_.size() > synced) {
      TearWrite(file->bytes_, synced, aRandom);
    } else {
      file->bytes_ = file->synced_;
    }
    file->synced_ = file->bytes_;
  }
  syncedNames_ = files_;
}

std::error_code
MemoryFileSystem::CreateFolder(const std::string&)
{
  return {};
}

std::error_code
MemoryFileSystem::List(const std::string& aPath,
                       std::vector<std::string>& aNames)
{
  aNames.clear();
  for (const auto& [name, file] : files_) {
    aNames.push_back(name.substr(aPath.size() + 1));
  }
  return {};
}

std::error_code
MemoryFileSystem::OpenAppend(const std::string& aPath, FileHandle& aFile)
{
  if (!ConsumeCall()) {
    return IoError();
  }
  auto& file = files_[aPath];
  if (!file) {
    file = std::make_shared<MemoryFile>();
  }
  aFile = nextHandle_++;
  open_[aFile] = file;
  return {};
}

std::error_code
MemoryFileSystem::Write(FileHandle aFile, std::string_view aBytes)
{
  const bool works = ConsumeCall();
  std::size_t count = works ? aBytes.size() : aBytes.size() / 2;
  if (spaceLeft_) {
    count = std::min(count, *spaceLeft_);
    *spaceLeft_ -= count;
  }
  open_.at(aFile)->bytes_ += aBytes.substr(0, count);
  if (!works) {
    return IoError();
  }
  return count == aBytes.size()
           ? std::error_code()
           : std::make_error_code(std::errc::no_space_on_device);
}

std::error_code
MemoryFileSystem::Sync(FileHandle aFile)
{
  if (syncFails_ || !ConsumeCall()) {
    return IoError();
  }
  MemoryFile& file = *open_.at(aFile);
  file.synced_ = file.bytes_;
  return {};
}

std::error_code
MemoryFileSystem::SyncFolder(const std::string&)
{
  if (syncFails_ || !ConsumeCall()) {
    return IoError();
  }
  syncedNames_ = files_;
  return {};
}

void
MemoryFileSystem::Close(FileHandle aFile)
{
  open_.erase(aFile);
}

std::error_code
MemoryFileSystem::Read(const std::string& aPath, std::string& aBytes)
{
  const auto file = files_.find(aPath);
  if (file == files_.end()) {
    return MissingFile();
  }
  aBytes = file->second->bytes_;
  return {};
}

std::error_code
MemoryFileSystem::Truncate(const std::string& aPath, std::uint64_t aSize)
{
  if (!ConsumeCall()) {
    return IoError();
  }
  files_.at(aPath)->bytes_.resize(aSize);
  return {};
}

std::error_code
MemoryFileSystem::Rename(const std::string& aFrom, const std::string& aTo)
{
  if (!ConsumeCall()) {
    return IoError();
  }
  files_[aTo] = files_.at(aFrom);
  files_.erase(aFrom);
  return {};
}

std::error_code
MemoryFileSystem::Remove(const std::string& aPath)
{
  if (!ConsumeCall()) {
    return IoError();
  }
  return files_.erase(aPath) > 0 ? std::error_code() : MissingFile();
}

std::error_code
MemoryFileSystem::Lock(const std::string&, FileHandle& aFile)
{
  aFile = nextHandle_++;
  return {};
}

} // namespace wigeonlb::storage
