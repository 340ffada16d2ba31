#pragma once

#include <system_error>

namespace wigeonlb::storage {

//! Errors of a data folder, in addition to system errors.
enum class StorageError
{
  FolderInUse = 1, //!< another process holds the lock
  ForeignFolder,   //!< the folder belongs to another host
  CorruptLog,      //!< a record other than an incomplete last one is damaged
  CorruptSnapshot, //!< a snapshot's checksum does not match
  CorruptIdentity, //!< the checksum of the identity file does not match
  CorruptFile,     //!< the checksum of an atomic file does not match
  MissingRecords,  //!< records between snapshot and log are missing
  Failed,          //!< an earlier write or sync failed; restart required
};

std::error_code
make_error_code(StorageError aError);

//! Returns false for an error of the disk, which may pass.
bool
IsDamage(std::error_code aError);

} // namespace wigeonlb::storage

template<>
struct std::is_error_code_enum<wigeonlb::storage::StorageError> : std::true_type
{
};
