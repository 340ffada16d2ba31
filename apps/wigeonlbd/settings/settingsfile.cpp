#include "settings/settingsfile.h"

#include <algorithm>
#include <optional>
#include <sstream>

#include <sys/stat.h>
#include <toml++/toml.h>

namespace wigeonlb::daemon::settings {

namespace {

std::string
FormatLocation(const std::string& aPath, const toml::source_region& aRegion)
{
  return aPath + ":" + std::to_string(aRegion.begin.line) + ":" +
         std::to_string(aRegion.begin.column);
}

bool
IsSetting(std::string_view aName)
{
  return std::ranges::any_of(
    SettingRows(), [&](const SettingRow& aRow) { return aRow.flag_ == aName; });
}

//! Formats a value as it would be written for a flag. Returns nothing for a
//! table, an array or a date.
std::optional<std::string>
FormatValue(const toml::node& aNode)
{
  if (const auto text = aNode.value_exact<std::string>()) {
    return text;
  }
  if (const auto boolean = aNode.value_exact<bool>()) {
    return *boolean ? "on" : "off";
  }
  if (const auto number = aNode.value_exact<std::int64_t>()) {
    return std::to_string(*number);
  }
  if (const auto number = aNode.value_exact<double>()) {
    std::ostringstream text;
    text << *number;
    return text.str();
  }
  return std::nullopt;
}

} // namespace

FileSettingTexts
ReadSettingsFile(const std::string& aPath, foundation::Findings& aFindings)
{
  FileSettingTexts texts;
  toml::table table;
  try {
    table = toml::parse_file(aPath);
  } catch (const toml::parse_error& error) {
    foundation::AddFinding(aFindings,
                           FormatLocation(aPath, error.source()),
                           std::string(error.description()));
    return texts;
  }
  for (const auto& [key, node] : table) {
    const std::string name(key.str());
    const std::string location = FormatLocation(aPath, node.source());
    const auto text = FormatValue(node);
    if (!IsSetting(name)) {
      foundation::AddFinding(
        aFindings, location, "unknown setting '" + name + "'");
    } else if (!text) {
      foundation::AddFinding(aFindings,
                             location,
                             name +
                               ": expected a string, a number or a boolean");
    } else {
      texts[name] = { *text, location };
    }
  }
  return texts;
}

FileMonitor::FileMonitor(std::string aPath)
  : path_(std::move(aPath))
  , stamp_(Read())
{
}

FileMonitor::Stamp
FileMonitor::Read() const
{
  struct stat found
  {};
  if (path_.empty() || ::stat(path_.c_str(), &found) != 0) {
    return {};
  }
  return {
    found.st_mtim.tv_sec, found.st_mtim.tv_nsec, found.st_size, found.st_ino
  };
}

bool
FileMonitor::HasChanged()
{
  const Stamp now = Read();
  if (now == stamp_) {
    return false;
  }
  stamp_ = now;
  return true;
}

} // namespace wigeonlb::daemon::settings
