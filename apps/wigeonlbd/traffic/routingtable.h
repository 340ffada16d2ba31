#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/configuration/hostconfiguration.h"
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

//! The newest confirmation that covers one routing table; it is renewed while
//! the table is in use. Set by the control thread, read by the traffic threads.
class TableConfirmation
{
public:
  //! Null: a leader has named a revision that the table lacks, or none was
  //! heard.
  void Set(const core::configuration::Confirmation* aConfirmation)
  {
    current_ = aConfirmation == nullptr
                 ? nullptr
                 : std::make_shared<const core::configuration::Confirmation>(
                     *aConfirmation);
  }
  std::shared_ptr<const core::configuration::Confirmation> Get() const
  {
    return current_;
  }

private:
  std::atomic<std::shared_ptr<const core::configuration::Confirmation>>
    current_;
};

//! Every database that callers may connect to, and every group. Immutable once
//! published, but for its confirmation.
//! NOTE If no databases are configured, there is one per group, with its name.
struct RoutingTable
{
  foundation::Revision revision_ = 0;
  //! False on a host that has no configuration in force yet.
  bool hasConfiguration_ = true;
  //! Null on a host without control members, which knows every name.
  std::shared_ptr<const TableConfirmation> confirmation_;
  std::map<foundation::GroupName, GroupRoute, std::less<>> groups_;
  std::map<std::string, DatabaseRoute, std::less<>> databases_;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

//! The newest confirmation of a table; null if there is none, or no table.
std::shared_ptr<const core::configuration::Confirmation>
FindConfirmation(const RoutingTablePointer& aTable);

//! The route of a name, or why it has none.
enum class NameVerdict
{
  Known,
  NoConfiguration, //!< the host has none yet
  MayExist,        //!< it may have been added since the host heard a leader
  Unknown,         //!< no such name in the whole system
};

//! Decides about a name that a caller has just sent. aTable may be null.
NameVerdict
JudgeName(const RoutingTablePointer& aTable,
          std::string_view aName,
          foundation::Instant aNow);

} // namespace wigeonlb::daemon::traffic
