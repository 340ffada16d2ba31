#pragma once

#include <cstdint>

//! Schedules of hosts that get the configuration from control members, in
//! virtual time: hosts stand still, are cut off and start again, members lag,
//! are lost and replaced, and messages are late, reordered and lost.
namespace wigeonlb::core::grants {

//! Guards that can be switched off to show that the checks notice.
struct ScheduleGuards
{
  bool ageOfConfirmation_ = true;
  bool timeOfRequest_ = true; //!< rather than that of the reply's arrival
};

struct Violations
{
  int refusedTooEarly_ = 0; //!< by a configuration that lacks an older change
  int wentBack_ = 0;
  int behind_ = 0;      //!< not in force in time, without trouble
  int unconfirmed_ = 0; //!< no name can be refused, without trouble
};

//! What hosts can find members by, other than the members that they know.
enum class MemberSource
{
  Seeds,      //!< settings that name the present members in the end
  OtherHosts, //!< one other host that is never cut off, and no settings
};

struct ScheduleSettings
{
  ScheduleGuards guards_;
  MemberSource source_ = MemberSource::Seeds;
  //! Of them three are voters; the others answer hosts and never lead.
  std::size_t members_ = 3;
};

Violations
RunSchedule(std::uint64_t aSeed, const ScheduleSettings& aSettings);

} // namespace wigeonlb::core::grants
