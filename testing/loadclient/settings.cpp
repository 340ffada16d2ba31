#include "testing/loadclient/settings.h"

#include "testing/harness/commandline.h"

namespace wigeonlb::testing::loadclient {

namespace {

using harness::ReadOption;

using cxxopts::value;
using Milliseconds = std::chrono::milliseconds;

void
AddOptions(cxxopts::Options& aOptions)
{
  auto add = aOptions.add_options();
  add("help", "print this help");
  add("hosts", "address:port, ...", value<std::vector<std::string>>());
  add("group", "database group", value<std::string>());
  add("run",
      "prefix of the ids; default: run and the seed",
      value<std::string>());
  add("sessions", "number of concurrent sessions", value<std::uint32_t>());
  add("seconds", "length of the run", value<double>());
  add("requests", "requests per session", value<std::uint64_t>());
  add("write-share", "share of writes in the requests", value<double>());
  add("transaction-share",
      "share of transactions in the writes",
      value<double>());
  add(
    "tolerant-share", "share of reads that accept max-age-ms", value<double>());
  add("move-share", "probability of changing the host", value<double>());
  add("max-age-ms",
      "maximum staleness of tolerant reads",
      value<std::uint32_t>());
  add("pause-ms", "mean time between two requests", value<std::uint32_t>());
  add("rate", "requests per second of all sessions", value<double>());
  add("timeout-ms", "timeout of a request", value<std::uint32_t>());
  add("seed", "seed of the random numbers", value<std::uint64_t>());
  add("direct", "connect to a target, without session settings");
  add("read-hosts",
      "address:port of replicas that receive the reads in turn",
      value<std::vector<std::string>>());
  add("read-log", "file that gets one line per read", value<std::string>());
}

void
ReadShare(const cxxopts::ParseResult& aResult,
          const char* aName,
          double& aValue,
          foundation::Findings& aFindings)
{
  ReadOption(aResult, aName, aValue);
  if (aValue < 0 || aValue > 1) {
    foundation::AddFinding(
      aFindings, std::string("--") + aName, "expected 0 to 1");
  }
}

void
ReadValues(const cxxopts::ParseResult& aResult,
           Settings& aSettings,
           foundation::Findings& aFindings)
{
  constexpr double kMillisecondsPerSecond = 1000;
  ReadOption(aResult, "hosts", aSettings.hosts_);
  ReadOption(aResult, "group", aSettings.group_);
  ReadOption(aResult, "sessions", aSettings.sessions_);
  ReadOption(aResult, "requests", aSettings.requests_);
  ReadOption(aResult, "seed", aSettings.seed_);
  aSettings.run_ = "run" + std::to_string(aSettings.seed_);
  ReadOption(aResult, "run", aSettings.run_);
  double seconds = static_cast<double>(aSettings.runDuration_.count()) /
                   kMillisecondsPerSecond;
  ReadOption(aResult, "seconds", seconds);
  aSettings.runDuration_ =
    Milliseconds(static_cast<std::int64_t>(seconds * kMillisecondsPerSecond));
  ReadShare(aResult, "write-share", aSettings.writeShare_, aFindings);
  ReadShare(
    aResult, "transaction-share", aSettings.transactionShare_, aFindings);
  ReadShare(aResult, "tolerant-share", aSettings.tolerantShare_, aFindings);
  ReadShare(aResult, "move-share", aSettings.moveShare_, aFindings);
  ReadOption(aResult, "max-age-ms", aSettings.maxAge_);
  ReadOption(aResult, "pause-ms", aSettings.pause_);
  ReadOption(aResult, "rate", aSettings.rate_);
  ReadOption(aResult, "timeout-ms", aSettings.timeout_);
  aSettings.direct_ = aResult.count("direct") > 0;
  ReadOption(aResult, "read-hosts", aSettings.readHosts_);
  ReadOption(aResult, "read-log", aSettings.readLog_);
  if (aSettings.hosts_.empty()) {
    foundation::AddFinding(aFindings, "--hosts", "missing");
  }
  if (aSettings.run_.find_first_of("'%_\\") != std::string::npos) {
    foundation::AddFinding(
      aFindings, "--run", "must not contain quotes, backslashes or wildcards");
  }
}

} // namespace

bool
ReadSettings(int argc,
             const char* const* argv,
             Settings& aSettings,
             foundation::Findings& aFindings)
{
  cxxopts::Options options("loadclient",
                           "Generates load on hosts and checks the outcomes.");
  AddOptions(options);
  return harness::ParseCommandLine(
    options, argc, argv, aFindings, [&](const auto& aResult) {
      ReadValues(aResult, aSettings, aFindings);
    });
}

} // namespace wigeonlb::testing::loadclient
