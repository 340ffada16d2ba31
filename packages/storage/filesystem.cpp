#include "storage/filesystem.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include "storage/storageerrors.h"

namespace wigeonlb::storage {

namespace {

constexpr int kFileMode = 0640;

std::error_code
GetLastError()
{
  return { errno, std::generic_category() };
}

class PosixFiles final : public FileSystem
{
public:
  std::error_code CreateFolder(const std::string& aPath) override
  {
    std::error_code error;
    std::filesystem::create_directories(aPath, error);
    return error;
  }

  std::error_code List(const std::string& aPath,
                       std::vector<std::string>& aNames) override
  {
    std::error_code error;
    std::filesystem::directory_iterator entries(aPath, error);
    if (error) {
      return error;
    }
    for (const auto& entry : entries) {
      aNames.push_back(entry.path().filename().string());
    }
    std::sort(aNames.begin(), aNames.end());
    return {};
  }

  std::error_code OpenAppend(const std::string& aPath,
                             FileHandle& aFile) override
  {
    aFile =
      open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
    return aFile < 0 ? GetLastError() : std::error_code();
  }

  std::error_code Write(FileHandle aFile, std::string_view aBytes) override
  {
    while (!aBytes.empty()) {
      const ssize_t count = write(aFile, aBytes.data(), aBytes.size());
      if (count < 0 && errno != EINTR) {
        return GetLastError();
      }
      aBytes.remove_prefix(count < 0 ? 0 : static_cast<std::size_t>(count));
    }
    return {};
  }

  std::error_code Sync(FileHandle aFile) override
  {
    return fdatasync(aFile) != 0 ? GetLastError() : std::error_code();
  }

  std::error_code SyncFolder(const std::string& aPath) override
  {
    const int folder = open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
      return GetLastError();
    }
    const std::error_code error =
      fsync(folder) != 0 ? GetLastError() : std::error_code();
    close(folder);
    return error;
  }

  void Close(FileHandle aFile) override
  {
    if (aFile >= 0) {
      close(aFile);
    }
  }

  std::error_code Read(const std::string& aPath, std::string& aBytes) override
  {
    const int file = open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0) {
      return GetLastError();
    }
    aBytes.clear();
    constexpr std::size_t kChunkBytes = 65536;
    std::string chunk(kChunkBytes, '\0');
    std::error_code error;
    while (true) {
      const ssize_t count = read(file, chunk.data(), chunk.size());
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        error = GetLastError();
      }
      if (count <= 0) {
        break;
      }
      aBytes.append(chunk, 0, static_cast<std::size_t>(count));
    }
    close(file);
    return error;
  }

  std::error_code Truncate(const std::string& aPath,
                           std::uint64_t aSize) override
  {
    return truncate(aPath.c_str(), static_cast<off_t>(aSize)) != 0
             ? GetLastError()
             : std::error_code();
  }

  std::error_code Rename(const std::string& aFrom,
                         const std::string& aTo) override
  {
    return std::rename(aFrom.c_str(), aTo.c_str()) != 0 ? GetLastError()
                                                        : std::error_code();
  }

  std::error_code Remove(const std::string& aPath) override
  {
    return unlink(aPath.c_str()) != 0 ? GetLastError() : std::error_code();
  }

  std::error_code Lock(const std::string& aPath, FileHandle& aFile) override
  {
    const int file =
      open(aPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
    if (file < 0) {
      return GetLastError();
    }
    if (flock(file, LOCK_EX | LOCK_NB) != 0) {
      const std::error_code error =
        errno == EWOULDBLOCK ? make_error_code(StorageError::FolderInUse)
                             : GetLastError();
      close(file);
      return error;
    }
    aFile = file;
    return {};
  }
};

} // namespace

FileSystem&
PosixFileSystem()
{
  static PosixFiles files;
  return files;
}

} // namespace wigeonlb::storage
