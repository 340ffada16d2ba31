#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control.pb.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"

namespace wigeonlb::daemon::traffic {

//! What an entry host knows of a group in order to serve its callers.
struct GroupRoute
{
  //! Owners of the group, the one to ask first in front.
  std::vector<foundation::HostId> owners_;
  //! Bound on the age of reads whose session states none.
  std::optional<foundation::Duration> maxAge_;
  //! Deadlines of statements whose session sets none; zero: the host's own.
  foundation::Duration readDeadline_{ 0 };
  foundation::Duration writeDeadline_{ 0 };
  //! Requests may have keys.
  bool requestKeys_ = false;
};

//! A name that callers may connect to.
struct DatabaseRoute
{
  foundation::GroupName group_;
  wire::ReadPolicy readPolicy_ = wire::READ_SESSION;
  //! Bound on the age of reads; the group's own when empty.
  std::optional<foundation::Duration> maxAge_;
  //! Longest time for one statement; zero: the group's deadlines.
  foundation::Duration statementTimeout_{ 0 };
  foundation::Duration latencyObjective_{
    0
  };                           //!< for a whole operation; zero: none
  std::uint32_t priority_ = 0; //!< 0 is the highest
};

//! Every database and group that callers may name. Immutable once published.
//! NOTE Without databases of their own, groups are named directly.
struct RoutingTable
{
  foundation::Revision revision_ = 0;
  //! False on a host that waits for its first configuration: a name that isn't
  //! here may be known elsewhere.
  bool hasConfiguration_ = true;
  std::map<foundation::GroupName, GroupRoute, std::less<>> groups_;
  std::map<std::string, DatabaseRoute, std::less<>> databases_;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

} // namespace wigeonlb::daemon::traffic
