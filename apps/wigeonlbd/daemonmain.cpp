#include "daemonmain.h"

#include <cstdlib>
#include <iostream>

#include <cxxopts.hpp>

#include "daemon.h"
#include "foundation/logging.h"
#include "settings/settingsfile.h"

namespace wigeonlb::daemon {

namespace {

constexpr int kExitBadSettings = 2;

//! Maximum wait for the last log lines to be written at exit. Must be far below
//! the time that a service manager leaves between its stop signal and a kill.
constexpr foundation::Duration kLogShutdownTimeoutMs =
  std::chrono::milliseconds(200);

constexpr const char* kVersion = "wigeonlbd 0.1.0";

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options(
    "wigeonlbd", "Database proxy with session consistency: the entry host.");
  auto add = options.add_options();
  for (const settings::SettingRow& row : settings::SettingRows()) {
    std::string help(row.help_);
    help += " [" + std::string(row.variable_);
    if (!row.default_.empty()) {
      help += ", default " + std::string(row.default_);
    }
    help += "]";
    const std::string unit =
      row.unit_.empty() ? std::string("text") : std::string(row.unit_);
    add(std::string(row.flag_), help, cxxopts::value<std::string>(), unit);
  }
  add("settings-file",
      "TOML file of settings [the variable of the same name]",
      cxxopts::value<std::string>(),
      "path");
  add("check-settings", "check the settings and exit");
  add("settings-page", "print the settings page for operators and exit");
  add("version", "print the version and exit");
  add("help", "print this and exit");
  return options;
}

settings::SettingTexts
ReadFlags(const cxxopts::ParseResult& aParsed)
{
  settings::SettingTexts texts;
  for (const settings::SettingRow& row : settings::SettingRows()) {
    const std::string flag(row.flag_);
    if (aParsed.count(flag) != 0) {
      texts[flag] = aParsed[flag].as<std::string>();
    }
  }
  return texts;
}

settings::SettingTexts
ReadVariables()
{
  settings::SettingTexts texts;
  for (const settings::SettingRow& row : settings::SettingRows()) {
    const std::string name(row.variable_);
    if (const char* const value = std::getenv(name.c_str())) {
      texts[name] = value;
    }
  }
  return texts;
}

//! Settings from the command line and the environment.
struct SettingSources
{
  settings::SettingTexts flags_;
  settings::SettingTexts variables_;
  std::string file_; //!< path of the settings file; empty: none
};

settings::DaemonSettings
ReadSources(const SettingSources& aSources, foundation::Findings& aFindings)
{
  settings::FileSettingTexts file;
  if (!aSources.file_.empty()) {
    file = settings::ReadSettingsFile(aSources.file_, aFindings);
  }
  return settings::ReadSettings(
    aSources.flags_, aSources.variables_, aFindings, file);
}

std::optional<settings::DaemonSettings>
RereadSources(const SettingSources& aSources)
{
  foundation::Findings findings;
  settings::DaemonSettings read = ReadSources(aSources, findings);
  for (const foundation::Finding& finding : findings) {
    foundation::LogWarning(
      "daemon",
      "setting-not-valid",
      { { "place", finding.location_ }, { "finding", finding.message_ } });
  }
  return findings.empty() ? std::optional(std::move(read)) : std::nullopt;
}

std::string
FindSettingsFile(const cxxopts::ParseResult& aParsed, const Ports& aPorts)
{
  if (aParsed.count("settings-file") != 0) {
    return aParsed["settings-file"].as<std::string>();
  }
  const char* const path = std::getenv(aPorts.settingsFileVariable_.c_str());
  return path == nullptr ? std::string() : std::string(path);
}

int
Serve(settings::DaemonSettings aSettings,
      const SettingSources& aSources,
      const Ports& aPorts)
{
  Daemon daemon(std::move(aSettings), aPorts);
  daemon.SetReload([&] { return RereadSources(aSources); }, aSources.file_);
  foundation::Findings findings;
  if (!daemon.Start(findings)) {
    std::cerr << foundation::ToString(findings);
    return kExitBadSettings;
  }
  return daemon.Run();
}

int
Run(int argc, char** argv, const Ports& aPorts)
{
  cxxopts::Options options = MakeOptions();
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (!parsed.unmatched().empty()) {
    std::cerr << parsed.unmatched().front() << ": unexpected argument\n";
    return kExitBadSettings;
  }
  if (parsed.count("help") != 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  if (parsed.count("version") != 0) {
    std::cout << kVersion << "\n";
    return 0;
  }
  if (parsed.count("settings-page") != 0) {
    std::cout << settings::SettingsPage();
    return 0;
  }
  const SettingSources sources{ ReadFlags(parsed),
                                ReadVariables(),
                                FindSettingsFile(parsed, aPorts) };
  foundation::Findings findings;
  settings::DaemonSettings read = ReadSources(sources, findings);
  if (!findings.empty()) {
    std::cerr << foundation::ToString(findings);
    return kExitBadSettings;
  }
  if (parsed.count("check-settings") != 0) {
    std::cout << "settings are valid\n";
    return 0;
  }
  foundation::SetUpLogging(read.logLevel_);
  foundation::LogChange("daemon",
                        "starting",
                        { { "version", kVersion },
                          { "host", read.hostId_ },
                          { "data_centre", read.dataCentre_ } });
  const int exitCode = Serve(std::move(read), sources, aPorts);
  if (!foundation::ShutDownLogging(kLogShutdownTimeoutMs)) {
    std::_Exit(exitCode);
  }
  return exitCode;
}

} // namespace

int
DaemonMain(int argc, char** argv, const Ports& aPorts)
{
  try {
    return Run(argc, argv, aPorts);
  } catch (const std::exception& error) {
    std::cerr << "wigeonlbd: " << error.what() << "\n";
    return kExitBadSettings;
  }
}

} // namespace wigeonlb::daemon
