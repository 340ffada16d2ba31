#include "settings/daemonsettings.h"

namespace wigeonlb::daemon::settings {

std::string
SettingsPage()
{
  std::string page =
    "# Settings of wigeonlbd\n\n"
    "Made by `wigeonlbd --settings-page`; a test checks that it is current.\n"
    "Each setting is a flag, an environment variable or a line of the "
    "settings\n"
    "file, in this order. The file is TOML, with the flags' names as keys; it "
    "is\n"
    "named by `--settings-file` or `WIGEONLB_SETTINGS_FILE`, and read again "
    "at\n"
    "SIGHUP and when it has changed: then the log level and the control seeds\n"
    "are taken over, the rest at the next start. All settings are checked "
    "before\n"
    "anything is opened; findings are reported together and end the process "
    "with\n"
    "exit code 2. A file with findings at a later reading changes nothing, "
    "and\n"
    "a log line says so.\n\n"
    "| flag | variable | default | unit | meaning |\n"
    "|---|---|---|---|---|\n";
  for (const SettingRow& row : SettingRows()) {
    page += "| `--" + std::string(row.flag_) + "` | `" +
            std::string(row.variable_) + "` | " + std::string(row.default_) +
            " | " + std::string(row.unit_) + " | " + std::string(row.help_) +
            " |\n";
  }
  return page;
}

} // namespace wigeonlb::daemon::settings
