#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include "settings/daemonsettings.h"

namespace wigeonlb::daemon::settings {

namespace {

SettingTexts
ValidFlags()
{
  return { { "host-id", "a1" },
           { "data-centre", "centro-a" },
           { "peer-address", "127.0.0.1:7100" },
           { "control-members", "a1=127.0.0.1:7100" },
           { "data-folder", "data" } };
}

} // namespace

TEST_CASE("valid settings have no findings", "[settings]")
{
  foundation::Findings findings;
  const DaemonSettings settings = ReadSettings(ValidFlags(), {}, findings);
  CHECK(foundation::ToString(findings).empty());
  CHECK(settings.callerAddress_.port_ == 6432);
  CHECK(IsControlMember(settings));
}

TEST_CASE("the finding of an invalid setting states its flag", "[settings]")
{
  struct Row
  {
    std::string flag_;
    std::string text_;
  };
  const auto row = GENERATE(values<Row>({
    { "host-id", "" },
    { "host-id", "two words" },
    { "data-centre", "" },
    { "caller-address", "localhost:6432" },
    { "caller-address", "127.0.0.1" },
    { "operator-address", "127.0.0.1:70000" },
    { "announce-address", "" },
    { "peer-address", "" },
    { "peer-announced-address", "host:1" },
    { "control-members", "" },
    { "control-members", "a1=127.0.0.1:1,b1=127.0.0.1:2" },
    { "control-members", "a1" },
    { "control-members",
      "a1=127.0.0.1:1,a1=127.0.0.1:2,a2=127.0.0.1:3,a3=127.0.0.1:4" },
    { "data-folder", "" },
    { "target-user", "" },
    { "traffic-threads", "0" },
    { "max-sessions", "-1" },
    { "max-message-bytes", "lots" },
    { "cached-statements", "0" },
    { "startup-timeout-ms", "5" },
    { "statement-deadline-ms", "" },
    { "drain-deadline-ms", "1.5" },
    { "heartbeat-interval-ms", "1" },
    { "log-level", "loud" },
    { "trace-file", "folder/" },
    { "trace-limit-bytes", "1000" },
  }));
  SettingTexts flags = ValidFlags();
  flags[row.flag_] = row.text_;
  foundation::Findings findings;
  ReadSettings(flags, {}, findings);
  INFO(foundation::ToString(findings));
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].location_ == "--" + row.flag_);
}

TEST_CASE("ten invalid settings give ten findings in one report", "[settings]")
{
  const SettingTexts variables = {
    { "WIGEONLB_HOST_ID", "a b" },        { "WIGEONLB_DATA_CENTRE", "" },
    { "WIGEONLB_CALLER_ADDRESS", "x" },   { "WIGEONLB_OPERATOR_ADDRESS", "x" },
    { "WIGEONLB_ANNOUNCE_ADDRESS", "x" }, { "WIGEONLB_PEER_ADDRESS", "x" },
    { "WIGEONLB_CONTROL_MEMBERS", "" },   { "WIGEONLB_TRAFFIC_THREADS", "x" },
    { "WIGEONLB_MAX_SESSIONS", "x" },     { "WIGEONLB_LOG_LEVEL", "x" },
  };
  foundation::Findings findings;
  ReadSettings({}, variables, findings);
  REQUIRE(findings.size() == 10);
  for (const foundation::Finding& finding : findings) {
    CHECK(variables.count(finding.location_) == 1);
  }
}

TEST_CASE("a flag takes precedence over its variable", "[settings]")
{
  foundation::Findings findings;
  const DaemonSettings settings =
    ReadSettings(ValidFlags(), { { "WIGEONLB_HOST_ID", "other" } }, findings);
  CHECK(settings.hostId_ == "a1");
}

TEST_CASE("the announced address defaults to the peer address", "[settings]")
{
  foundation::Findings findings;
  SettingTexts flags = ValidFlags();
  CHECK(ReadSettings(flags, {}, findings).peerAnnouncedAddress_ ==
        "127.0.0.1:7100");
  flags["peer-announced-address"] = "10.0.0.1:7200";
  CHECK(ReadSettings(flags, {}, findings).peerAnnouncedAddress_ ==
        "10.0.0.1:7200");
}

TEST_CASE("the operators' settings page is up to date", "[settings]")
{
  std::ifstream file(WIGEONLB_SETTINGS_PAGE);
  std::ostringstream page;
  page << file.rdbuf();
  CHECK(page.str() == SettingsPage());
}

} // namespace wigeonlb::daemon::settings
