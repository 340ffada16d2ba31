#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace wigeonlb::storage {

//! Handle of an open file.
using FileHandle = int;

//! The file system calls that storage uses. Tests inject faults through it.
struct FileSystem
{
  virtual ~FileSystem() = default;

  //! Creates the folder and its parents if they are missing.
  virtual std::error_code CreateFolder(const std::string& aPath) = 0;
  //! Lists the names of the files in a folder, sorted.
  virtual std::error_code List(const std::string& aPath,
                               std::vector<std::string>& aNames) = 0;
  //! Opens a file for appending; creates it if it is missing.
  virtual std::error_code OpenAppend(const std::string& aPath,
                                     FileHandle& aFile) = 0;
  //! Writes all bytes. After an error the file may contain any part of them.
  virtual std::error_code Write(FileHandle aFile, std::string_view aBytes) = 0;
  //! Flushes the file's content to the disk.
  virtual std::error_code Sync(FileHandle aFile) = 0;
  //! Flushes a folder's directory entries to the disk.
  virtual std::error_code SyncFolder(const std::string& aPath) = 0;
  virtual void Close(FileHandle aFile) = 0;
  //! Reads a whole file. Returns std::errc::no_such_file_or_directory if it
  //! does not exist.
  virtual std::error_code Read(const std::string& aPath,
                               std::string& aBytes) = 0;
  virtual std::error_code Truncate(const std::string& aPath,
                                   std::uint64_t aSize) = 0;
  virtual std::error_code Rename(const std::string& aFrom,
                                 const std::string& aTo) = 0;
  virtual std::error_code Remove(const std::string& aPath) = 0;
  //! Takes a lock that the system releases when the process ends. Returns
  //! StorageError::FolderInUse if another process holds it.
  virtual std::error_code Lock(const std::string& aPath, FileHandle& aFile) = 0;
};

//! The file system of the operating system.
FileSystem&
PosixFileSystem();

} // namespace wigeonlb::storage
