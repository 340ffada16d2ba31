#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "settings/settingsfile.h"

namespace wigeonlb::daemon::settings {

namespace {

//! A temporary file that is removed at the end of the test.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
    : path_(std::filesystem::temp_directory_path() /
            ("wigeonlb-settings-" + std::to_string(::getpid()) + ".toml"))
  {
    Write(aText);
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  void Write(const std::string& aText) const { std::ofstream(path_) << aText; }

  std::filesystem::path path_;
};

constexpr const char* kValid = "host-id = \"10.0.0.1\"\n"
                               "data-centre = \"a\"\n"
                               "peer-address = \"10.0.0.1:7440\"\n"
                               "control-seeds = \"10.0.0.1:1,10.0.0.2:2\"\n"
                               "founding = true\n"
                               "grace-s = 6.5\n"
                               "tolerated-losses = 2\n"
                               "caller-address = \"\"\n"
                               "data-folder = \"data\"\n";

} // namespace

TEST_CASE("a settings file has the same effect as flags", "[settingsfile]")
{
  const TemporaryFile file(kValid);
  foundation::Findings findings;
  const FileSettingTexts texts =
    ReadSettingsFile(file.path_.string(), findings);
  const DaemonSettings settings = ReadSettings({}, {}, findings, texts);
  CHECK(foundation::ToString(findings).empty());
  CHECK(settings.founding_);
  CHECK(settings.toleratedLosses_ == 2);
  CHECK(settings.drainDeadline_ == std::chrono::milliseconds(6000));
  CHECK_FALSE(AcceptsCallers(settings));
  CHECK(MayBecomeControlMember(settings));
  REQUIRE(settings.controlMembers_.size() == 2);
  CHECK(settings.controlMembers_[1].host_ == "10.0.0.2");
  CHECK(settings.controlMembers_[1].peerAddress_ == "10.0.0.2:7440");
}

TEST_CASE("a flag takes precedence over the file", "[settingsfile]")
{
  const TemporaryFile file(kValid);
  foundation::Findings findings;
  const FileSettingTexts texts =
    ReadSettingsFile(file.path_.string(), findings);
  const DaemonSettings settings =
    ReadSettings({ { "data-centre", "b" } }, {}, findings, texts);
  CHECK(settings.dataCentre_ == "b");
}

TEST_CASE("findings state the line of the file", "[settingsfile]")
{
  struct Row
  {
    std::string line_;
    std::string message_;
  };
  const auto row = GENERATE(values<Row>({
    { "no-such = 1", "unknown setting" },
    { "grace-s = [1]", "expected a string, a number" },
    { "grace-s = \"soon\"", "expected seconds above 0" },
    { "grace-s = \"nan\"", "expected seconds above 0" },
    { "grace-s = \"inf\"", "expected seconds above 0" },
    { "founding = \"maybe\"", "expected on or off" },
    { "control-seeds = \"x\"", "expected ip:port" },
    { "tolerated-losses = 9", "from 0 to 3" },
    { "= 1", "" },
  }));
  const TemporaryFile file("\n" + row.line_ + "\n");
  foundation::Findings findings;
  const FileSettingTexts texts =
    ReadSettingsFile(file.path_.string(), findings);
  ReadSettings({}, {}, findings, texts);
  const std::string location = file.path_.string() + ":2:";
  const bool found =
    std::ranges::any_of(findings, [&](const foundation::Finding& aFinding) {
      return aFinding.location_.starts_with(location) &&
             aFinding.message_.find(row.message_) != std::string::npos;
    });
  INFO(foundation::ToString(findings));
  CHECK(found);
}

TEST_CASE("a change of the file is reported once", "[settingsfile]")
{
  const TemporaryFile file(kValid);
  FileMonitor monitor(file.path_.string());
  CHECK_FALSE(monitor.HasChanged());
  file.Write(std::string(kValid) + "log-level = \"warn\"\n");
  CHECK(monitor.HasChanged());
  CHECK_FALSE(monitor.HasChanged());
}

} // namespace wigeonlb::daemon::settings
