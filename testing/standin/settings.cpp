#include "testing/standin/settings.h"

#include "testing/harness/commandline.h"

namespace wigeonlb::testing::standin {

namespace {

using harness::ReadOption;

using Milliseconds = std::chrono::milliseconds;

void
AddOptions(cxxopts::Options& aOptions)
{
  const auto text = cxxopts::value<std::string>();
  const auto list = cxxopts::value<std::vector<std::string>>();
  const auto number = cxxopts::value<std::uint32_t>();
  const auto large = cxxopts::value<std::uint64_t>();
  auto add = aOptions.add_options();
  add("help", "print this help");
  add("group", "name of the group", text);
  add("target", "name within the group", text);
  add("listen", "address:port", text);
  add("announced-address", "address:port to announce to hosts", text);
  add("data-centre", "name of the data centre", text);
  add("role", "primary or replica", text);
  add("term", "initial term", large);
  add("peers", "address:port of the group's other servers", list);
  add("announce", "http://address:port of hosts to announce to", list);
  add("announce-every-ms", "time between announcements", number);
  add("slots", "limit on concurrent statements", number);
  add("connections", "limit on connections", number);
  add("connect-cost-ms", "time a new connection takes", number);
  add("statement-cost-ms", "time a statement takes", number);
  add("ship-delay-ms", "delay until an entry is received and synced", number);
  add("apply-delay-ms", "delay from sync until an entry is applied", number);
  add("bandwidth-bytes-per-second", "limit on log shipping; 0 for none", large);
  add("incarnation", "incarnation of the data", large);
  add("applied-log", "file that gets one line per applied entry", text);
}

void
ReadValues(const cxxopts::ParseResult& aResult,
           Settings& aSettings,
           foundation::Findings& aFindings)
{
  std::string role = "replica";
  ReadOption(aResult, "role", role);
  if (role != "primary" && role != "replica") {
    foundation::AddFinding(aFindings, "--role", "expected primary or replica");
  }
  aSettings.primary_ = role == "primary";
  ReadOption(aResult, "group", aSettings.group_);
  ReadOption(aResult, "target", aSettings.target_);
  ReadOption(aResult, "listen", aSettings.listen_);
  ReadOption(aResult, "announced-address", aSettings.announcedAddress_);
  ReadOption(aResult, "data-centre", aSettings.dataCentre_);
  ReadOption(aResult, "term", aSettings.term_);
  ReadOption(aResult, "peers", aSettings.peers_);
  ReadOption(aResult, "announce", aSettings.announce_);
  ReadOption(aResult, "announce-every-ms", aSettings.announceInterval_);
  ReadOption(aResult, "slots", aSettings.slots_);
  ReadOption(aResult, "connections", aSettings.connections_);
  ReadOption(aResult, "connect-cost-ms", aSettings.connectCost_);
  ReadOption(aResult, "statement-cost-ms", aSettings.statementCost_);
  ReadOption(aResult, "ship-delay-ms", aSettings.shipDelay_);
  ReadOption(aResult, "apply-delay-ms", aSettings.applyDelay_);
  ReadOption(aResult, "bandwidth-bytes-per-second", aSettings.bandwidth_);
  ReadOption(aResult, "incarnation", aSettings.incarnation_);
  ReadOption(aResult, "applied-log", aSettings.appliedLog_);
  if (aSettings.slots_ == 0) {
    foundation::AddFinding(aFindings, "--slots", "must be at least 1");
  }
  constexpr std::string_view kScheme = "http://";
  for (std::string& host : aSettings.announce_) {
    if (host.starts_with(kScheme)) {
      host.erase(0, kScheme.size());
    }
  }
}

} // namespace

bool
ReadSettings(int argc,
             const char* const* argv,
             Settings& aSettings,
             foundation::Findings& aFindings)
{
  cxxopts::Options options("standin", "A small database server for tests.");
  AddOptions(options);
  return harness::ParseCommandLine(
    options, argc, argv, aFindings, [&](const auto& aResult) {
      ReadValues(aResult, aSettings, aFindings);
    });
}

} // namespace wigeonlb::testing::standin
