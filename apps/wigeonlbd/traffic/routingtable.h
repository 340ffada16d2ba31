#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
  bool open_ = false;          //!< its callers need no key
};

//! The organisations and the keys by which their callers identify themselves.
struct OrganisationTable
{
  //! Names by the digest of each key.
  std::map<std::string, foundation::Tenant, std::less<>> byKeyDigest_;
  std::set<foundation::Tenant> names_;
  //! Those with so large a part of all rate limits that each owner of a group
  //! serves them. Others prefer one owner, see ListOwnersFor.
  std::set<foundation::Tenant> large_;
  std::set<foundation::Tenant> unlimited_; //!< without a rate limit
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
  //! Null if callers identify themselves by no key.
  std::shared_ptr<const OrganisationTable> organisations_;
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

//! The organisation that a key belongs to.
struct KeyVerdict
{
  NameVerdict verdict_ = NameVerdict::NoConfiguration;
  foundation::Tenant organisation_; //!< if Known
};

//! Decides about the key of a caller by its digest, if there are organisations
//! or no table.
KeyVerdict
JudgeKey(const RoutingTablePointer& aTable,
         std::string_view aKeyDigest,
         foundation::Instant aNow);

//! Whether this owner knows the organisation of a request, or uses none. Entry
//! hosts that know of no organisations yet send other names, which a target
//! must not be told.
bool
IsKnownOrganisation(const RoutingTablePointer& aTable,
                    const foundation::Tenant& aOrganisation);

//! The owners of a group in the order in which to try them for an organisation.
//! A small organisation has an order of its own, the same at every entry host:
//! each owner then keeps connections for fewer organisations.
std::vector<foundation::HostId>
ListOwnersFor(const RoutingTable& aTable,
              const foundation::GroupName& aGroup,
              const GroupRoute& aRoute,
              const foundation::Tenant& aOrganisation);

//! Decides about a name that a caller has just sent. aTable may be null.
NameVerdict
JudgeName(const RoutingTablePointer& aTable,
          std::string_view aName,
          foundation::Instant aNow);

} // namespace wigeonlb::daemon::traffic
