#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/quota/allocator.h"
#include "foundation/clock.h"
#include "foundation/findings.h"
#include "foundation/identifiers.h"

namespace wigeonlb::daemon::settings {

//! An `ip:port` to listen on.
struct ListenAddress
{
  std::string ip_;
  std::uint16_t port_ = 0;
};

//! A control member and the address of its peer links.
struct ControlMember
{
  foundation::HostId host_;
  std::string peerAddress_; //!< `ip:port`
};

//! The startup settings of a daemon.
struct DaemonSettings
{
  foundation::HostId hostId_;
  foundation::DataCentre dataCentre_;
  ListenAddress callerAddress_;
  ListenAddress operatorAddress_;
  ListenAddress announceAddress_;
  ListenAddress peerAddress_;
  std::string peerAnnouncedAddress_; //!< `ip:port`
  std::vector<ControlMember> controlMembers_;
  //! Addresses of hosts that may be control members. controlMembers_ is then
  //! derived from them, with IP addresses as host ids.
  std::vector<ListenAddress> controlSeeds_;
  //! The seeds create a new system if none of them has stored state.
  bool founding_ = false;
  std::size_t toleratedLosses_ = 0; //!< disks that may be lost at the same time
  //! Empty: the host stores no state and never becomes a control member.
  std::string dataFolder_;
  std::string targetUser_;
  std::size_t trafficThreads_ = 0;
  std::size_t maxSessions_ = 0;
  std::size_t maxMessageBytes_ = 0;
  std::size_t cachedStatements_ = 0;
  //! Maximum time for a connecting caller to complete its startup.
  foundation::Duration startupTimeout_{ 0 };
  foundation::Duration statementDeadline_{ 0 };
  foundation::Duration drainDeadline_{ 0 };
  //! How long a stopping host leaves transactions open: half of the grace
  //! period. Zero: half of the drain deadline.
  foundation::Duration transactionDrain_{ 0 };
  //! Time that a balancer needs to notice that the host is not ready; zero: no
  //! balancer.
  foundation::Duration balancerNotice_{ 0 };
  //! Consecutive refused probes after which the balancer stops sending callers;
  //! 0: unknown.
  std::uint32_t balancerRefusals_ = 0;
  //! Maximum rate of log lines about requests; 0: no limit.
  std::uint32_t logRequestsPerSecond_ = 0;
  //! `ip:port` of the promotion service; empty: promotions are requested from
  //! the targets.
  std::string promotionAddress_;
  std::string promotionHolder_; //!< name of this host in promotion requests
  foundation::Duration heartbeatInterval_{ 0 };
  //! By how much organisations may exceed their rate limits.
  core::quota::Tolerance quotaTolerance_;
  std::string logLevel_;
  std::string traceFile_;      //!< empty: no trace is recorded
  std::size_t traceLimit_ = 0; //!< maximum size of the trace file in bytes
};

//! One row of the settings table.
struct SettingRow
{
  std::string_view flag_; //!< without the leading dashes
  //! Environment variable; the flag takes precedence.
  std::string_view variable_;
  std::string_view default_; //!< empty: the setting is required or optional
  std::string_view unit_;
  std::string_view help_;
  //! Parses the text into the settings, or adds a finding at aLocation.
  void (*read_)(std::string_view aText,
                std::string_view aLocation,
                DaemonSettings& aSettings,
                foundation::Findings& aFindings);
};

//! All settings. The command line, `--help` and docs/operators/settings.md are
//! generated from this table.
std::span<const SettingRow>
SettingRows();

//! Unparsed values by flag name or by environment variable.
using SettingTexts = std::map<std::string, std::string, std::less<>>;

//! An unparsed value from a settings file.
struct FileSettingText
{
  std::string text_;
  std::string location_; //!< `file:line:column`
};
using FileSettingTexts = std::map<std::string, FileSettingText, std::less<>>;

//! Parses and validates all settings. The flag has precedence over the
//! variable, the variable over the file, and the file over the default. Every
//! finding names the flag, the variable or the location in the file that it
//! concerns.
DaemonSettings
ReadSettings(const SettingTexts& aFlags,
             const SettingTexts& aVariables,
             foundation::Findings& aFindings,
             const FileSettingTexts& aFile = {});

//! Whether the host accepts callers.
inline bool
AcceptsCallers(const DaemonSettings& aSettings)
{
  return !aSettings.callerAddress_.ip_.empty();
}

//! Whether a load balancer in front of the hosts sends callers only to hosts
//! that are ready.
inline bool
HasBalancer(const DaemonSettings& aSettings)
{
  return aSettings.balancerNotice_ > foundation::Duration::zero();
}

//! Whether the host may become a control member later: it has seeds and a data
//! folder.
inline bool
MayBecomeControlMember(const DaemonSettings& aSettings)
{
  return !aSettings.controlSeeds_.empty() && !aSettings.dataFolder_.empty();
}

//! Whether the host is one of the configured control members.
bool
IsControlMember(const DaemonSettings& aSettings);

//! The reference page of the settings for operators, in Markdown.
std::string
SettingsPage();

} // namespace wigeonlb::daemon::settings
