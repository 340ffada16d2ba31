#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

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

//! Everything that a daemon is told at its start.
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
  //! Addresses of hosts that may be control members; they take the place of
  //! controlMembers_, by IP number.
  std::vector<ListenAddress> controlSeeds_;
  //! The seeds found the system if none of them has a past.
  bool founding_ = false;
  std::size_t toleratedLosses_ = 0; //!< disks lost at once
  std::string dataFolder_;          //!< empty: none, and never a control member
  std::string targetUser_;
  std::size_t trafficThreads_ = 0;
  std::size_t maxSessions_ = 0;
  std::size_t maxMessageBytes_ = 0;
  std::size_t cachedStatements_ = 0;
  foundation::Duration startupTimeout_{ 0 };
  foundation::Duration statementDeadline_{ 0 };
  foundation::Duration drainDeadline_{ 0 };
  foundation::Duration balancerNotice_{ 0 };
  std::uint32_t balancerRefusals_ = 0;     //!< 0: not known
  std::uint32_t logRequestsPerSecond_ = 0; //!< of the log, a second
  std::string promotionAddress_;           //!< `ip:port`; empty: none
  std::string promotionHolder_;
  foundation::Duration heartbeatInterval_{ 0 };
  std::string logLevel_;
  std::string traceFile_;      //!< empty: no trace is recorded
  std::size_t traceLimit_ = 0; //!< bytes of the trace file
};

//! One row of the settings table.
struct SettingRow
{
  std::string_view flag_;     //!< without the leading dashes
  std::string_view variable_; //!< environment variable; the flag wins
  std::string_view default_;  //!< empty: must be given, or may stay empty
  std::string_view unit_;
  std::string_view help_;
  //! Reads the text into the settings, or adds a finding at aPlace.
  void (*read_)(std::string_view aText,
                std::string_view aPlace,
                DaemonSettings& aSettings,
                foundation::Findings& aFindings);
};

//! The table that the command line, `--help` and docs/operators/settings.md
//! are made from.
std::span<const SettingRow>
SettingRows();

//! Texts by flag name, as they were given.
using SettingTexts = std::map<std::string, std::string, std::less<>>;

//! A text from a settings file.
struct FileText
{
  std::string text_;
  std::string place_; //!< `file:line:column`
};
using FileSettingTexts = std::map<std::string, FileText, std::less<>>;

//! Checks all settings. A text comes from the flag, else from the variable,
//! else from the file, else from the row's default. Every finding names the
//! flag, the variable or the place in the file that it came from.
DaemonSettings
ReadSettings(const SettingTexts& aFlags,
             const SettingTexts& aVariables,
             foundation::Findings& aFindings,
             const FileSettingTexts& aFile = {});

//! True when the host takes callers.
inline bool
AcceptsCallers(const DaemonSettings& aSettings)
{
  return !aSettings.callerAddress_.ip_.empty();
}

//! True when a balancer sends callers only to hosts that are ready.
inline bool
HasBalancer(const DaemonSettings& aSettings)
{
  return aSettings.balancerNotice_ > foundation::Duration::zero();
}

//! True when the host has a disk and may become a control member later.
inline bool
MayBecomeControlMember(const DaemonSettings& aSettings)
{
  return !aSettings.controlSeeds_.empty() && !aSettings.dataFolder_.empty();
}

//! True when the host is one of the control members.
bool
IsControlMember(const DaemonSettings& aSettings);

//! The settings page for operators, in Markdown.
std::string
SettingsPage();

} // namespace wigeonlb::daemon::settings
