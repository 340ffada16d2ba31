#pragma once

#include <string>
#include <string_view>
#include <system_error>

#include "storage/filesystem.h"

namespace wigeonlb::storage {

//! A host's data folder, locked against a second process.
struct DataFolder
{
  FileSystem* files_ = nullptr;
  std::string path_;
  FileHandle lock_ = -1;
};

//! Creates the folder if it is missing, locks it, and checks that it belongs
//! to aHost. Errors: FolderInUse, ForeignFolder, CorruptIdentity, or the
//! system's own.
std::error_code
OpenDataFolder(FileSystem& aFiles,
               std::string_view aPath,
               std::string_view aHost,
               DataFolder& aFolder);

//! Gives the lock back.
void
CloseDataFolder(DataFolder& aFolder);

//! Writes a file so that after a crash it is either the old one or the new
//! one: temporary file, sync, rename, sync of the folder. The content gets a
//! checksum.
std::error_code
WriteAtomicFile(const DataFolder& aFolder,
                std::string_view aName,
                std::string_view aContent);

//! Reads such a file. A missing one gives an empty content and no error;
//! a damaged one gives CorruptFile.
std::error_code
ReadAtomicFile(const DataFolder& aFolder,
               std::string_view aName,
               std::string& aContent);

} // namespace wigeonlb::storage
