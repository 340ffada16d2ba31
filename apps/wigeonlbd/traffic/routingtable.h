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

//! The properties of a group that an entry host needs to serve its callers.
struct GroupRoute
{
  //! Owners of the group in the order in which to try them.
  std::vector<foundation::HostId> owners_;
  //! Maximum staleness of reads of sessions that set none.
  std::optional<foundation::Duration> maxAge_;
  //! Deadlines of statements of sessions that set none; zero: the host's
  //! default.
  foundation::Duration readDeadline_{ 0 };
  foundation::Duration writeDeadline_{ 0 };
  //! Whether requests may have request keys.
  bool requestKeys_ = false;
};

//! A name that callers may connect to.
struct DatabaseRoute
{
  foundation::GroupName group_;
  wire::ReadPolicy readPolicy_ = wire::READ_SESSION;
  //! Maximum staleness of reads; empty: the group's.
  std::optional<foundation::Duration> maxAge_;
  //! Maximum time for one statement; zero: the group's deadlines apply.
  foundation::Duration statementTimeout_{ 0 };
  //! Latency objective of a whole operation; zero: none.
  foundation::Duration latencyObjective_{ 0 };
  std::uint32_t priority_ = 0; //!< 0 is the highest
};

//! Every database that callers may connect to, and every group. Immutable once
//! published.
//! NOTE If no databases are configured, there is one per group, with its name.
struct RoutingTable
{
  foundation::Revision revision_ = 0;
  //! False on a host that has no configuration in force yet.
  bool hasConfiguration_ = true;
  //! False if the configuration may lack acknowledged changes. A name that is
  //! not found may then exist.
  bool isConfirmed_ = true;
  std::map<foundation::GroupName, GroupRoute, std::less<>> groups_;
  std::map<std::string, DatabaseRoute, std::less<>> databases_;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

} // namespace wigeonlb::daemon::traffic
