#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/consensus/memberstanding.h"
#include "foundation/logging.h"

namespace wigeonlb::daemon::control {

//! Time without a control leader after which a member logs it: a few election
//! timeouts, so that an ordinary election is not logged.
constexpr foundation::Duration kNoLeaderMs = std::chrono::milliseconds(2000);

//! Minimum time between two lines about the same lack of a leader.
constexpr foundation::Duration kNoLeaderIntervalMs =
  std::chrono::milliseconds(5000);

//! Minimum time between two lines about the quorum margin.
constexpr foundation::Duration kMarginIntervalMs =
  std::chrono::milliseconds(1000);

struct ReportLine
{
  std::string_view event_;
  std::vector<foundation::LogField> fields_;
};

//! What was logged about the members. The standing of others is forgotten when
//! this member stops leading.
struct MemberReport
{
  //! Voters that were logged as lost or recovering.
  std::map<foundation::HostId, core::consensus::MemberStanding> failing_;
  //! Voters, counting voters and quorum size of the last line.
  std::tuple<int, int, int> margin_;
  foundation::Instant marginDue_;
  //! Absent while a leader is known.
  std::optional<foundation::Instant> noLeaderSince_;
  foundation::Instant noLeaderDue_;
};

//! Whether the link to another host is up.
using IsHostReachable = std::function<bool(const foundation::HostId&)>;

//! The log lines that are due: voters that are lost, that recover and that
//! count again, the quorum margin, and the lack of a leader.
std::vector<ReportLine>
CollectReport(MemberReport& aReport,
              const core::consensus::MembersOverview& aMembers,
              const foundation::HostId& aSelf,
              const IsHostReachable& aIsReachable,
              foundation::Instant aNow);

} // namespace wigeonlb::daemon::control
