#pragma once

#include <cstdint>
#include <string>

#include "foundation/findings.h"
#include "settings/daemonsettings.h"

namespace wigeonlb::daemon::settings {

//! Reads a settings file: TOML with the names of the flags as keys. A syntax
//! error, an unknown name and a value that is not a string, number or boolean
//! are findings at `file:line:column`. Unknown names are rejected so that a
//! misspelt name does not go unnoticed.
FileSettingTexts
ReadSettingsFile(const std::string& aPath, foundation::Findings& aFindings);

//! Detects changes of a file by its modification time, size and inode.
//! Creating and deleting the file are changes, too.
class FileMonitor
{
public:
  explicit FileMonitor(std::string aPath);

  //! Returns true once after each change.
  bool HasChanged();

private:
  struct Stamp
  {
    std::int64_t seconds_ = 0;
    std::int64_t nanoseconds_ = 0;
    std::int64_t bytes_ = 0;
    std::uint64_t inode_ = 0;

    bool operator==(const Stamp&) const = default;
  };
  Stamp Read() const;

  std::string path_;
  Stamp stamp_;
};

} // namespace wigeonlb::daemon::settings
