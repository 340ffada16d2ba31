#pragma once

#include <system_error>

namespace wigeonlb::storage {

//! What can go wrong in a data folder, besides the system's own errors.
enum class StorageError
{
  FolderInUse = 1, //!< another process holds the lock
  ForeignFolder,   //!< the folder belongs to another host
  CorruptLog,      //!< a record is damaged and valid ones follow it
  CorruptSnapshot, //!< a snapshot's checksum does not match
  CorruptIdentity, //!< the identity file can't be read
  CorruptFile,     //!< the atomic file's checksum does not match
  MissingRecords,  //!< the log does not continue the snapshot
  Failed,          //!< an earlier write or sync failed; restart is needed
};

std::error_code
make_error_code(StorageError aError);

} // namespace wigeonlb::storage

template<>
struct std::is_error_code_enum<wigeonlb::storage::StorageError> : std::true_type
{
};
