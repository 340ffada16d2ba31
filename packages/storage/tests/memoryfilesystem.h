#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "storage/filesystem.h"

namespace wigeonlb::storage {

//! Content of a file, as processes read it and as it is on the disk.
struct MemoryFile
{
  std::string bytes_;
  std::string synced_;
};

//! An in-memory file system that loses unsynced data in a simulated crash.
struct MemoryFileSystem : FileSystem
{
  std::map<std::string, std::shared_ptr<MemoryFile>> files_;
  std::map<std::string, std::shared_ptr<MemoryFile>> syncedNames_;
  std::map<FileHandle, std::shared_ptr<MemoryFile>> open_;
  FileHandle nextHandle_ = 1;
  //! Bytes that can be written before the disk is full.
  std::optional<std::size_t> spaceLeft_;
  //! Number of modifying calls after which all of them fail.
  std::optional<int> callsLeft_;
  bool syncFails_ = false;

  //! Loses power: keeps the synced content of each file, a random part of the
  //! rest, and any of the names that changed since the folder was synced.
  void Crash(std::mt19937& aRandom);

  std::error_code CreateFolder(const std::string& aPath) override;
  std::error_code List(const std::string& aPath,
                       std::vector<std::string>& aNames) override;
  std::error_code OpenAppend(const std::string& aPath,
                             FileHandle& aFile) override;
  std::error_code Write(FileHandle aFile, std::string_view aBytes) override;
  std::error_code Sync(FileHandle aFile) override;
  std::error_code SyncFolder(const std::string& aPath) override;
  void Close(FileHandle aFile) override;
  std::error_code Read(const std::string& aPath, std::string& aBytes) override;
  std::error_code Truncate(const std::string& aPath,
                           std::uint64_t aSize) override;
  std::error_code Rename(const std::string& aFrom,
                         const std::string& aTo) override;
  std::error_code Remove(const std::string& aPath) override;
  std::error_code Lock(const std::string& aPath, FileHandle& aFile) override;

private:
  bool ConsumeCall();
};

} // namespace wigeonlb::storage
