#pragma once

#include <cstdint>
#include <string>

#include "foundation/findings.h"
#include "settings/daemonsettings.h"

namespace wigeonlb::daemon::settings {

//! Reads a settings file: TOML with the flags' names as keys. An unknown name,
//! a value that isn't text, number or flag, and a syntax error are findings at
//! `file:line:column`. Names of no flag are refused, so that a misspelt one
//! doesn't go unseen.
FileSettingTexts
ReadSettingsFile(const std::string& aPath, foundation::Findings& aFindings);

//! Notices that a file has changed, by its size and time of change.
class FileMonitor
{
public:
  explicit FileMonitor(std::string aPath);

  //! True once after each change.
  bool HasChanged();

private:
  struct Stamp
  {
    std::int64_t seconds_ = 0;
    std::int64_t nanoseconds_ = 0;
    std::int64_t bytes_ = 0;
    std::uint64_t file_ = 0;

    bool operator==(const Stamp&) const = default;
  };
  Stamp Read() const;

  std::string path_;
  Stamp stamp_;
};

} // namespace wigeonlb::daemon::settings
