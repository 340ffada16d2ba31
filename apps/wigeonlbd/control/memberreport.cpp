#include "control/memberreport.h"

#include <algorithm>

namespace wigeonlb::daemon::control {

namespace {

using core::consensus::MembersOverview;
using core::consensus::MemberStanding;
using core::consensus::MemberStatus;
using core::consensus::QuorumStanding;
using foundation::Instant;

//! Silence after which a voter is reported as lost; longer than a restart.
constexpr foundation::Duration kVoterLostMs = std::chrono::milliseconds(2500);

using Lines = std::vector<ReportLine>;
using Fields = std::vector<foundation::LogField>;

std::string
FormatMs(foundation::Duration aDuration)
{
  return std::to_string(foundation::ToMilliseconds(aDuration));
}

void
AddTotals(Fields& aFields, const QuorumStanding& aQuorum)
{
  aFields.emplace_back("voters", std::to_string(aQuorum.voters_));
  aFields.emplace_back("counting", std::to_string(aQuorum.countingVoters_));
  aFields.emplace_back("quorum", std::to_string(aQuorum.quorumSize_));
}

void
AddVoterLine(Lines& aLines,
             std::string_view aEvent,
             const MemberStatus& aStatus,
             const QuorumStanding& aQuorum)
{
  Fields fields{ { "host", aStatus.host_ } };
  if (aStatus.standing_ == MemberStanding::SilentVoter) {
    fields.emplace_back("silent_ms", FormatMs(*aStatus.silence_));
  }
  AddTotals(fields, aQuorum);
  aLines.push_back({ aEvent, std::move(fields) });
}

//! A voter is lost when it may be replaced, which is later than it is silent.
bool
IsLostVoter(const MemberStatus& aStatus)
{
  return aStatus.standing_ == MemberStanding::SilentVoter &&
         *aStatus.silence_ >= kVoterLostMs;
}

void
ReportVoter(MemberReport& aReport,
            const MemberStatus& aStatus,
            const QuorumStanding& aQuorum,
            Lines& aLines)
{
  const auto logged = aReport.failing_.find(aStatus.host_);
  const bool isLogged = logged != aReport.failing_.end();
  const MemberStanding standing = aStatus.standing_;
  if (isLogged && logged->second == standing) {
    return;
  }
  if (IsLostVoter(aStatus)) {
    aReport.failing_[aStatus.host_] = standing;
    AddVoterLine(aLines, "voter-lost", aStatus, aQuorum);
  } else if (standing == MemberStanding::RecoveringVoter) {
    aReport.failing_[aStatus.host_] = standing;
    AddVoterLine(aLines, "voter-recovering", aStatus, aQuorum);
  } else if (standing == MemberStanding::CountingVoter && isLogged) {
    aReport.failing_.erase(logged);
    AddVoterLine(aLines, "voter-counts-again", aStatus, aQuorum);
  }
}

//! Forgets hosts that a change of members has removed from the voters.
void
ForgetFormerVoters(MemberReport& aReport, const MembersOverview& aMembers)
{
  std::erase_if(aReport.failing_, [&](const auto& aItem) {
    return std::ranges::none_of(
      aMembers.members_, [&](const MemberStatus& aStatus) {
        return aStatus.host_ == aItem.first &&
               core::consensus::IsVoterStanding(aStatus.standing_);
      });
  });
}

void
ReportMargin(MemberReport& aReport,
             const QuorumStanding& aQuorum,
             Instant aNow,
             Lines& aLines)
{
  const auto margin = std::make_tuple(
    aQuorum.voters_, aQuorum.countingVoters_, aQuorum.quorumSize_);
  if (!aQuorum.settled_ || margin == aReport.margin_ ||
      aNow < aReport.marginDue_) {
    return;
  }
  aReport.margin_ = margin;
  aReport.marginDue_ = aNow + kMarginIntervalMs;
  Fields fields;
  AddTotals(fields, aQuorum);
  fields.emplace_back("may_lose", std::to_string(aQuorum.mayLose_));
  fields.emplace_back("learners_caught_up",
                      std::to_string(aQuorum.caughtUpLearners_));
  aLines.push_back({ "quorum-margin", std::move(fields) });
}

void
AppendName(std::string& aNames, const foundation::HostId& aHost)
{
  aNames += (aNames.empty() ? "" : ",") + aHost;
}

ReportLine
MakeNoLeaderLine(const MembersOverview& aMembers,
                 const foundation::HostId& aSelf,
                 const IsHostReachable& aIsReachable,
                 foundation::Duration aFor)
{
  int voters = 0;
  std::string reachable;
  std::string unreachable;
  for (const MemberStatus& status : aMembers.members_) {
    if (!core::consensus::IsVoterStanding(status.standing_)) {
      continue;
    }
    ++voters;
    const bool reached = status.host_ == aSelf || aIsReachable(status.host_);
    AppendName(reached ? reachable : unreachable, status.host_);
  }
  const int quorum = voters == 0 ? 0 : voters / 2 + 1;
  return { "no-leader",
           { { "for_ms", FormatMs(aFor) },
             { "voters", std::to_string(voters) },
             { "quorum", std::to_string(quorum) },
             { "reachable", reachable },
             { "unreachable", unreachable },
             { "recovering", aMembers.recovering_ ? "yes" : "no" } } };
}

void
ReportNoLeader(MemberReport& aReport,
               const MembersOverview& aMembers,
               const foundation::HostId& aSelf,
               const IsHostReachable& aIsReachable,
               Instant aNow,
               Lines& aLines)
{
  if (!aMembers.leader_.empty()) {
    aReport.noLeaderSince_.reset();
    return;
  }
  if (!aReport.noLeaderSince_) {
    aReport.noLeaderSince_ = aNow;
    aReport.noLeaderDue_ = std::max(aReport.noLeaderDue_, aNow + kNoLeaderMs);
  }
  if (aNow < aReport.noLeaderDue_) {
    return;
  }
  aReport.noLeaderDue_ = aNow + kNoLeaderIntervalMs;
  aLines.push_back(MakeNoLeaderLine(
    aMembers, aSelf, aIsReachable, aNow - *aReport.noLeaderSince_));
}

} // namespace

std::vector<ReportLine>
CollectReport(MemberReport& aReport,
              const MembersOverview& aMembers,
              const foundation::HostId& aSelf,
              const IsHostReachable& aIsReachable,
              Instant aNow)
{
  Lines lines;
  ReportNoLeader(aReport, aMembers, aSelf, aIsReachable, aNow, lines);
  if (!aMembers.quorum_) {
    aReport.failing_.clear();
    aReport.margin_ = {};
    return lines;
  }
  ForgetFormerVoters(aReport, aMembers);
  for (const MemberStatus& status : aMembers.members_) {
    ReportVoter(aReport, status, *aMembers.quorum_, lines);
  }
  ReportMargin(aReport, *aMembers.quorum_, aNow, lines);
  return lines;
}

} // namespace wigeonlb::daemon::control
