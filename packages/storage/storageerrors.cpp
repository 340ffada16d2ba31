#include "storage/storageerrors.h"

#include <array>

#include "foundation/errorcategory.h"

namespace wigeonlb::storage {

namespace {

using Text = foundation::ErrorText<StorageError>;

constexpr std::array kTexts{
  Text{ StorageError::FolderInUse,
        "the data folder is in use by another process" },
  Text{ StorageError::ForeignFolder,
        "the data folder belongs to another host" },
  Text{ StorageError::CorruptLog, "a record of the log is damaged" },
  Text{ StorageError::CorruptSnapshot, "the snapshot is damaged" },
  Text{ StorageError::CorruptIdentity, "the identity file can't be read" },
  Text{ StorageError::CorruptFile, "a file's checksum does not match" },
  Text{ StorageError::MissingRecords,
        "the log does not continue the snapshot" },
  Text{ StorageError::Failed, "an earlier write failed; a restart is needed" },
};

} // namespace

std::error_code
make_error_code(StorageError aError)
{
  static const foundation::ErrorCategory<StorageError> kCategory("storage",
                                                                 kTexts);
  return { static_cast<int>(aError), kCategory };
}

bool
IsDamage(std::error_code aError)
{
  return aError.category() ==
           make_error_code(StorageError::Failed).category() &&
         aError != StorageError::Failed;
}

} // namespace wigeonlb::storage
