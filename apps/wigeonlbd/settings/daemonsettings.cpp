#include "settings/daemonsettings.h"

#include "foundation/parsenumber.h"
#include "settings/addresses.h"
#include "settings/decimalsettings.h"

#include <algorithm>
#include <set>

#include <boost/asio/ip/address.hpp>

namespace wigeonlb::daemon::settings {

namespace {

using foundation::AddFinding;
using foundation::Findings;

void
ReadBounded(std::string_view aText,
            std::string_view aLocation,
            std::uint64_t aMinimum,
            std::uint64_t aMaximum,
            std::uint64_t& aNumber,
            Findings& aFindings)
{
  std::uint64_t number = 0;
  if (!foundation::ParseNumber(aText, number) || number < aMinimum ||
      number > aMaximum) {
    AddFinding(aFindings,
               std::string(aLocation),
               "expected a whole number from " + std::to_string(aMinimum) +
                 " to " + std::to_string(aMaximum) + ", not '" +
                 std::string(aText) + "'");
    return;
  }
  aNumber = number;
}

template<auto Member, std::uint64_t Minimum, std::uint64_t Maximum>
void
ReadCount(std::string_view aText,
          std::string_view aLocation,
          DaemonSettings& aSettings,
          Findings& aFindings)
{
  std::uint64_t number = 0;
  ReadBounded(aText, aLocation, Minimum, Maximum, number, aFindings);
  aSettings.*Member = number;
}

template<auto Member, std::uint64_t Minimum, std::uint64_t Maximum>
void
ReadMilliseconds(std::string_view aText,
                 std::string_view aLocation,
                 DaemonSettings& aSettings,
                 Findings& aFindings)
{
  std::uint64_t number = 0;
  ReadBounded(aText, aLocation, Minimum, Maximum, number, aFindings);
  aSettings.*Member = std::chrono::milliseconds(number);
}

template<auto Member>
void
ReadName(std::string_view aText,
         std::string_view aLocation,
         DaemonSettings& aSettings,
         Findings& aFindings)
{
  if (!IsValidName(aText)) {
    AddFinding(aFindings,
               std::string(aLocation),
               "expected a name of 1 to 63 letters, digits, '-', '_' or '.', "
               "not '" +
                 std::string(aText) + "'");
    return;
  }
  aSettings.*Member = std::string(aText);
}

template<auto Member>
void
ReadAddress(std::string_view aText,
            std::string_view aLocation,
            DaemonSettings& aSettings,
            Findings& aFindings)
{
  if (!ReadListenAddress(aText, aSettings.*Member)) {
    AddFinding(aFindings,
               std::string(aLocation),
               "expected ip:port, not '" + std::string(aText) + "'");
  }
}

void
ReadAnnouncedAddress(std::string_view aText,
                     std::string_view aLocation,
                     DaemonSettings& aSettings,
                     Findings& aFindings)
{
  const ListenAddress& listen = aSettings.peerAddress_;
  aSettings.peerAnnouncedAddress_ =
    aText.empty() ? listen.ip_ + ":" + std::to_string(listen.port_)
                  : std::string(aText);
  ListenAddress address;
  if (!aText.empty() && !ReadListenAddress(aText, address)) {
    AddFinding(aFindings,
               std::string(aLocation),
               "expected ip:port, not '" + std::string(aText) + "'");
  }
}

//! Reads the caller address. It is empty for a host that does not accept
//! callers.
void
ReadCallerAddress(std::string_view aText,
                  std::string_view aLocation,
                  DaemonSettings& aSettings,
                  Findings& aFindings)
{
  if (!aText.empty()) {
    ReadAddress<&DaemonSettings::callerAddress_>(
      aText, aLocation, aSettings, aFindings);
  }
}

void
ReadPromotionAddress(std::string_view aText,
                     std::string_view aLocation,
                     DaemonSettings& aSettings,
                     Findings& aFindings)
{
  ListenAddress address;
  if (!aText.empty() && !ReadListenAddress(aText, address)) {
    AddFinding(aFindings,
               std::string(aLocation),
               "expected ip:port, not '" + std::string(aText) + "'");
    return;
  }
  aSettings.promotionAddress_ = std::string(aText);
}

template<auto Member>
void
ReadBoolean(std::string_view aText,
            std::string_view aLocation,
            DaemonSettings& aSettings,
            Findings& aFindings)
{
  if (aText != "on" && aText != "off") {
    AddFinding(aFindings,
               std::string(aLocation),
               "expected on or off, not '" + std::string(aText) + "'");
    return;
  }
  aSettings.*Member = aText == "on";
}

void
ReadFolder(std::string_view aText,
           std::string_view /*aLocation*/,
           DaemonSettings& aSettings,
           Findings& /*aFindings*/)
{
  aSettings.dataFolder_ = std::string(aText);
}

void
ReadHolder(std::string_view aText,
           std::string_view /*aLocation*/,
           DaemonSettings& aSettings,
           Findings& /*aFindings*/)
{
  aSettings.promotionHolder_ =
    aText.empty() ? aSettings.hostId_ : std::string(aText);
}

void
ReadTraceFile(std::string_view aText,
              std::string_view aLocation,
              DaemonSettings& aSettings,
              Findings& aFindings)
{
  if (aText.ends_with('/')) {
    AddFinding(aFindings,
               std::string(aLocation),
               "expected a file, not the folder '" + std::string(aText) + "'");
    return;
  }
  aSettings.traceFile_ = std::string(aText);
}

void
ReadLogLevel(std::string_view aText,
             std::string_view aLocation,
             DaemonSettings& aSettings,
             Findings& aFindings)
{
  constexpr std::string_view kLevels[] = { "debug", "info", "warn", "error" };
  if (std::find(std::begin(kLevels), std::end(kLevels), aText) ==
      std::end(kLevels)) {
    AddFinding(aFindings,
               std::string(aLocation),
               "expected debug, info, warn or error, not '" +
                 std::string(aText) + "'");
    return;
  }
  aSettings.logLevel_ = std::string(aText);
}

using S = DaemonSettings;

constexpr SettingRow kRows[] = {
  { "host-id",
    "WIGEONLB_HOST_ID",
    "",
    "",
    "name of this host, unique in the system",
    ReadName<&S::hostId_> },
  { "data-centre",
    "WIGEONLB_DATA_CENTRE",
    "",
    "",
    "data centre that this host is in",
    ReadName<&S::dataCentre_> },
  { "caller-address",
    "WIGEONLB_CALLER_ADDRESS",
    "0.0.0.0:6432",
    "ip:port",
    "where callers connect; empty: this host accepts none",
    ReadCallerAddress },
  { "operator-address",
    "WIGEONLB_OPERATOR_ADDRESS",
    "127.0.0.1:7070",
    "ip:port",
    "where wigeonctl connects, and /metrics is read",
    ReadAddress<&S::operatorAddress_> },
  { "announce-address",
    "WIGEONLB_ANNOUNCE_ADDRESS",
    "0.0.0.0:7080",
    "ip:port",
    "where the balancer reads /healthz and targets announce themselves",
    ReadAddress<&S::announceAddress_> },
  { "peer-address",
    "WIGEONLB_PEER_ADDRESS",
    "",
    "ip:port",
    "where this host listens for other hosts",
    ReadAddress<&S::peerAddress_> },
  { "peer-announced-address",
    "WIGEONLB_PEER_ANNOUNCED_ADDRESS",
    "",
    "ip:port",
    "address that other hosts connect to; the peer address when empty",
    ReadAnnouncedAddress },
  { "control-seeds",
    "WIGEONLB_CONTROL_SEEDS",
    "",
    "ip:port,...",
    "instead of control-members: hosts that may be members or know the "
    "members; a host's id is then its IP address, and all hosts use the same "
    "peer port",
    ReadSeeds },
  { "founding",
    "WIGEONLB_FOUNDING",
    "off",
    "",
    "on at the very first start only: the seeds create the system",
    ReadBoolean<&S::founding_> },
  { "tolerated-losses",
    "WIGEONLB_TOLERATED_LOSSES",
    "1",
    "disks",
    "with control-seeds: disks that may be lost at once; sets the number of "
    "control members",
    ReadCount<&S::toleratedLosses_, 0, 3> },
  { "control-members",
    "WIGEONLB_CONTROL_MEMBERS",
    "",
    "host=ip:port,...",
    "the 1, 3, 5 or 7 control members with their peer addresses",
    ReadMembers },
  { "data-folder",
    "WIGEONLB_DATA_FOLDER",
    "",
    "path",
    "folder for the system's own state; a control member needs one",
    ReadFolder },
  { "target-user",
    "WIGEONLB_TARGET_USER",
    "wigeonlb",
    "",
    "user name of the connections to targets",
    ReadName<&S::targetUser_> },
  { "traffic-threads",
    "WIGEONLB_TRAFFIC_THREADS",
    "2",
    "threads",
    "threads that serve callers and targets",
    ReadCount<&S::trafficThreads_, 1, 256> },
  { "max-sessions",
    "WIGEONLB_MAX_SESSIONS",
    "10000",
    "sessions",
    "callers' connections over this are refused with 53300",
    ReadCount<&S::maxSessions_, 1, 1'000'000> },
  { "max-message-bytes",
    "WIGEONLB_MAX_MESSAGE_BYTES",
    "1048576",
    "bytes",
    "longest message accepted from a caller",
    ReadCount<&S::maxMessageBytes_, 1024, 16'777'216> },
  { "cached-statements",
    "WIGEONLB_CACHED_STATEMENTS",
    "4096",
    "statements",
    "classified statements kept by each traffic thread",
    ReadCount<&S::cachedStatements_, 1, 1'000'000> },
  { "startup-timeout-ms",
    "WIGEONLB_STARTUP_TIMEOUT_MS",
    "10000",
    "ms",
    "time for a new caller to send its startup packet",
    ReadMilliseconds<&S::startupTimeout_, 10, 600'000> },
  { "statement-deadline-ms",
    "WIGEONLB_STATEMENT_DEADLINE_MS",
    "10000",
    "ms",
    "deadline of a statement whose session sets none",
    ReadMilliseconds<&S::statementDeadline_, 10, 3'600'000> },
  { "drain-deadline-ms",
    "WIGEONLB_DRAIN_DEADLINE_MS",
    "30000",
    "ms",
    "maximum time for a graceful stop",
    ReadMilliseconds<&S::drainDeadline_, 0, 3'600'000> },
  { "grace-s",
    "WIGEONLB_GRACE_S",
    "",
    "s",
    "time from the stop signal until the process is killed; sets the drain "
    "deadline a little below it",
    ReadGrace },
  { "balancer-notice-ms",
    "WIGEONLB_BALANCER_NOTICE_MS",
    "0",
    "ms",
    "time in which a load balancer notices that this host isn't ready; after "
    "a stop signal new callers are accepted for that time; 0: there is no "
    "balancer, and an isolated host keeps its callers",
    ReadMilliseconds<&S::balancerNotice_, 0, 60'000> },
  { "balancer-refusals",
    "WIGEONLB_BALANCER_REFUSALS",
    "0",
    "",
    "consecutive refused probes after which the balancer sends no new "
    "callers; ends the wait for balancer-notice-ms early; 0: unknown",
    ReadCount<&S::balancerRefusals_, 0, 100> },
  { "log-requests-per-s",
    "WIGEONLB_LOG_REQUESTS_PER_S",
    "50",
    "lines/s",
    "maximum rate of log lines about failed requests, with bursts of four "
    "seconds' worth; suppressed lines are counted; 0: no limit",
    ReadCount<&S::logRequestsPerSecond_, 0, 100'000> },
  { "quota-window-s",
    "WIGEONLB_QUOTA_WINDOW_S",
    "5",
    "s",
    "window over which organisations' rate limits are judged",
    ReadQuotaWindow },
  { "quota-overage",
    "WIGEONLB_QUOTA_OVERAGE",
    "0.1",
    "",
    "fraction by which a window may exceed a rate limit",
    ReadQuotaOverage },
  { "quota-slack",
    "WIGEONLB_QUOTA_SLACK",
    "20",
    "operations",
    "operations by which a window may exceed a rate limit besides",
    ReadQuotaSlack },
  { "promotion-address",
    "WIGEONLB_PROMOTION_ADDRESS",
    "",
    "ip:port",
    "promotion service; empty: promotions are requested from the targets "
    "themselves",
    ReadPromotionAddress },
  { "promotion-holder",
    "WIGEONLB_PROMOTION_HOLDER",
    "",
    "",
    "this host's name in promotion requests; the host id when empty",
    ReadHolder },
  { "heartbeat-interval-ms",
    "WIGEONLB_HEARTBEAT_INTERVAL_MS",
    "250",
    "ms",
    "time between two heartbeats to a control member",
    ReadMilliseconds<&S::heartbeatInterval_, 50, 10'000> },
  { "log-level",
    "WIGEONLB_LOG_LEVEL",
    "info",
    "",
    "debug, info, warn or error",
    ReadLogLevel },
  { "trace-file",
    "WIGEONLB_TRACE_FILE",
    "",
    "path",
    "file that records the core's events, for wigeonctl replay",
    ReadTraceFile },
  { "trace-limit-bytes",
    "WIGEONLB_TRACE_LIMIT_BYTES",
    "67108864",
    "bytes",
    "size at which recording ends",
    ReadCount<&S::traceLimit_, 65'536, 17'179'869'184> },
};

void
CheckCombination(const DaemonSettings& aSettings, Findings& aFindings)
{
  if (aSettings.controlSeeds_.empty() && IsControlMember(aSettings) &&
      aSettings.dataFolder_.empty()) {
    AddFinding(
      aFindings, "--data-folder", "a control member needs a data folder");
  }
}

} // namespace

std::span<const SettingRow>
SettingRows()
{
  return kRows;
}

DaemonSettings
ReadSettings(const SettingTexts& aFlags,
             const SettingTexts& aVariables,
             foundation::Findings& aFindings,
             const FileSettingTexts& aFile)
{
  DaemonSettings settings;
  for (const SettingRow& row : kRows) {
    std::string location = "--" + std::string(row.flag_);
    std::string_view text = row.default_;
    if (const auto flag = aFlags.find(row.flag_); flag != aFlags.end()) {
      text = flag->second;
    } else if (const auto variable = aVariables.find(row.variable_);
               variable != aVariables.end()) {
      text = variable->second;
      location = std::string(row.variable_);
    } else if (const auto line = aFile.find(row.flag_); line != aFile.end()) {
      text = line->second.text_;
      location = line->second.location_;
    }
    row.read_(text, location, settings, aFindings);
  }
  AddSeedsAsControlMembers(settings);
  CheckCombination(settings, aFindings);
  return settings;
}

bool
IsControlMember(const DaemonSettings& aSettings)
{
  return std::any_of(aSettings.controlMembers_.begin(),
                     aSettings.controlMembers_.end(),
                     [&](const ControlMember& aMember) {
                       return aMember.host_ == aSettings.hostId_;
                     });
}

} // namespace wigeonlb::daemon::settings
