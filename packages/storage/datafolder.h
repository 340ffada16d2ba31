#pragma once

#include <string>
#include <string_view>
#include <system_error>

#include "storage/filesystem.h"

namespace wigeonlb::storage {

//! A host's data folder, locked against use by a second process.
struct DataFolder
{
  FileSystem* files_ = nullptr;
  std::string path_;
  FileHandle lock_ = -1;
};

//! Creates the folder if it is missing, locks it, and checks that it belongs
//! to aHost. Errors: FolderInUse, ForeignFolder, CorruptIdentity, or a system
//! error.
std::error_code
OpenDataFolder(FileSystem& aFiles,
               std::string_view aPath,
               std::string_view aHost,
               DataFolder& aFolder);

//! Releases the lock.
void
CloseDataFolder(DataFolder& aFolder);

//! Replaces a file atomically: writes a temporary file, syncs and renames it,
//! and syncs the folder. After a crash the file has either its old or its new
//! content. The content is stored with a checksum.
std::error_code
WriteAtomicFile(const DataFolder& aFolder,
                std::string_view aName,
                std::string_view aContent);

//! Reads a file that WriteAtomicFile has written. The content is empty, without
//! an error, if the file does not exist. Errors: CorruptFile, or a system
//! error.
std::error_code
ReadAtomicFile(const DataFolder& aFolder,
               std::string_view aName,
               std::string& aContent);

} // namespace wigeonlb::storage
