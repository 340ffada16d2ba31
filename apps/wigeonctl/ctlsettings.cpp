#include "ctlsettings.h"

#include <cstdlib>
#include <sstream>

#include <cxxopts.hpp>

namespace wigeonlb::ctl {

using foundation::AddFinding;
using foundation::Findings;

namespace {

constexpr const char* kDefaultHost = "127.0.0.1:7070";
constexpr const char* kHostVariable = "WIGEONCTL_HOST";
constexpr int kMaxTimeoutMs = 3'600'000;

constexpr const char* kExitCodes = R"(
Exit codes:
  0  done
  1  refused by the system; replay: a trace differs from its stated outcome;
     explain: no line names the request
  2  bad input: command line, file or statement
  3  no host could be reached in time, or the outcome is unknown; the message
     states the change id to resend with

Environment: WIGEONCTL_HOST  hosts to use without --host
)";

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("wigeonctl", "Queries and configures wigeonlb.");
  options.custom_help("[OPTION...]");
  options.positional_help(
    "'STATEMENTS' | - | apply FILE [--check] | replay FILE... | "
    "explain REQUEST [LOG...]");
  options.add_options()("host",
                        "hosts to try in turn, ip:port, separated by commas or "
                        "repeated (default: " +
                          std::string(kDefaultHost) + ")",
                        cxxopts::value<std::vector<std::string>>())(
    "json", "answer in JSON", cxxopts::value<bool>())(
    "operator",
    "name that changes are recorded under (default: the user's)",
    cxxopts::value<std::string>())(
    "change-id",
    "id of a change to resend after its answer was lost; it is applied once",
    cxxopts::value<std::string>())(
    "check", "apply: only show what would change", cxxopts::value<bool>())(
    "timeout-ms",
    "total time limit, including resends",
    cxxopts::value<int>()->default_value("15000"))("help", "this text")(
    // Single strings, as the library splits lists at commas.
    "word",
    "",
    cxxopts::value<std::string>())("file", "", cxxopts::value<std::string>());
  options.parse_positional({ "word", "file" });
  return options;
}

std::vector<std::string>
SplitHosts(const std::string& aText)
{
  std::vector<std::string> hosts;
  std::istringstream in(aText);
  for (std::string host; std::getline(in, host, ',');) {
    if (!host.empty()) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::string
GetText(const cxxopts::ParseResult& aParsed, const char* aName)
{
  return aParsed.count(aName) > 0 ? aParsed[aName].as<std::string>()
                                  : std::string();
}

void
ReadHosts(const cxxopts::ParseResult& aParsed,
          Environment aEnvironment,
          CtlSettings& aSettings)
{
  if (aParsed.count("host") > 0) {
    aSettings.hosts_ = aParsed["host"].as<std::vector<std::string>>();
  } else {
    aSettings.hosts_ = SplitHosts(aEnvironment(kHostVariable));
  }
  if (aSettings.hosts_.empty()) {
    aSettings.hosts_ = { kDefaultHost };
  }
}

void
CheckHosts(const CtlSettings& aSettings, Findings& aFindings)
{
  for (const std::string& host : aSettings.hosts_) {
    const std::size_t colon = host.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == host.size()) {
      AddFinding(aFindings, "--host", "expected ip:port, found " + host);
    }
  }
}

void
ReadArguments(const cxxopts::ParseResult& aParsed,
              CtlSettings& aSettings,
              Findings& aFindings)
{
  const std::string word = GetText(aParsed, "word");
  const std::string file = GetText(aParsed, "file");
  const std::vector<std::string>& rest = aParsed.unmatched();
  if (word == "replay") {
    aSettings.command_ = Command::Replay;
    aSettings.argument_ = file;
    aSettings.files_.push_back(file);
    aSettings.files_.insert(aSettings.files_.end(), rest.begin(), rest.end());
    if (file.empty()) {
      AddFinding(aFindings, word, "expected one or more files");
    }
    return;
  }
  if (word == "explain") {
    aSettings.command_ = Command::Explain;
    aSettings.argument_ = file;
    aSettings.files_ = rest;
    if (file.empty()) {
      AddFinding(aFindings, word, "expected a request id and log files");
    }
    return;
  }
  if (word == "apply") {
    aSettings.command_ = Command::Apply;
    aSettings.argument_ = file;
    if (file.empty() || !rest.empty()) {
      AddFinding(aFindings, word, "expected one file");
    }
    return;
  }
  aSettings.argument_ = word;
  if (word.empty() || !file.empty() || !rest.empty()) {
    AddFinding(aFindings,
               "command line",
               "expected the statements as one argument, or -");
  }
}

CtlSettings
ReadOptions(const cxxopts::ParseResult& aParsed,
            Environment aEnvironment,
            Findings& aFindings)
{
  CtlSettings settings;
  if (aParsed.count("help") > 0) {
    settings.command_ = Command::Help;
    return settings;
  }
  settings.json_ = aParsed.count("json") > 0;
  settings.check_ = aParsed.count("check") > 0;
  settings.changeId_ = GetText(aParsed, "change-id");
  settings.operator_ = GetText(aParsed, "operator");
  if (settings.operator_.empty()) {
    settings.operator_ = aEnvironment("USER");
  }
  const int timeout = aParsed["timeout-ms"].as<int>();
  if (timeout < 1 || timeout > kMaxTimeoutMs) {
    AddFinding(aFindings,
               "--timeout-ms",
               "expected 1 to " + std::to_string(kMaxTimeoutMs));
  }
  settings.timeout_ = std::chrono::milliseconds(timeout);
  ReadHosts(aParsed, aEnvironment, settings);
  CheckHosts(settings, aFindings);
  ReadArguments(aParsed, settings, aFindings);
  if (settings.check_ && settings.command_ != Command::Apply) {
    AddFinding(aFindings, "--check", "is only valid with apply");
  }
  if (!settings.changeId_.empty() && settings.command_ != Command::Statement) {
    AddFinding(
      aFindings,
      "--change-id",
      "is only valid with statements; to retry apply, run it again: it "
      "compares first");
  }
  return settings;
}

} // namespace

std::string
ReadEnvironment(const char* aName)
{
  const char* const value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

CtlSettings
ParseCommandLine(std::span<const std::string> aArguments,
                 Environment aEnvironment,
                 Findings& aFindings)
{
  std::vector<const char*> arguments{ "wigeonctl" };
  for (const std::string& argument : aArguments) {
    arguments.push_back(argument.c_str());
  }
  try {
    return ReadOptions(
      MakeOptions().parse(static_cast<int>(arguments.size()), arguments.data()),
      aEnvironment,
      aFindings);
  } catch (const cxxopts::exceptions::exception& error) {
    AddFinding(aFindings, "command line", error.what());
    return {};
  }
}

std::string
HelpText()
{
  return MakeOptions().help() + kExitCodes;
}

} // namespace wigeonlb::ctl
