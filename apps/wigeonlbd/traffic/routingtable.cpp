#include "traffic/routingtable.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace wigeonlb::daemon::traffic {

namespace {

bool
HasRoute(const RoutingTable& aTable, std::string_view aName)
{
  const auto database = aTable.databases_.find(aName);
  return database != aTable.databases_.end() &&
         aTable.groups_.contains(database->second.group_);
}

//! Whether this host may take what it doesn't find for not configured.
bool
MayRefuse(const RoutingTablePointer& aTable, foundation::Instant aNow)
{
  return aTable->confirmation_ == nullptr ||
         core::configuration::MayRefuseNames(FindConfirmation(aTable).get(),
                                             aNow);
}

} // namespace

std::shared_ptr<const core::configuration::Confirmation>
FindConfirmation(const RoutingTablePointer& aTable)
{
  const bool has = aTable != nullptr && aTable->confirmation_ != nullptr;
  return has ? aTable->confirmation_->Get() : nullptr;
}

NameVerdict
JudgeName(const RoutingTablePointer& aTable,
          std::string_view aName,
          foundation::Instant aNow)
{
  if (aTable == nullptr || !aTable->hasConfiguration_) {
    return NameVerdict::NoConfiguration;
  }
  if (HasRoute(*aTable, aName)) {
    return NameVerdict::Known;
  }
  return MayRefuse(aTable, aNow) ? NameVerdict::Unknown : NameVerdict::MayExist;
}

KeyVerdict
JudgeKey(const RoutingTablePointer& aTable,
         std::string_view aKeyDigest,
         foundation::Instant aNow)
{
  if (aTable == nullptr || !aTable->hasConfiguration_) {
    return { NameVerdict::NoConfiguration, {} };
  }
  const auto& byDigest = aTable->organisations_->byKeyDigest_;
  const auto found = byDigest.find(aKeyDigest);
  if (found != byDigest.end()) {
    return { NameVerdict::Known, found->second };
  }
  return { MayRefuse(aTable, aNow) ? NameVerdict::Unknown
                                   : NameVerdict::MayExist,
           {} };
}

bool
IsKnownOrganisation(const RoutingTablePointer& aTable,
                    const foundation::Tenant& aOrganisation)
{
  return aTable == nullptr || aTable->organisations_ == nullptr ||
         aOrganisation.empty() ||
         aTable->organisations_->names_.contains(aOrganisation);
}

std::vector<foundation::HostId>
ListOwnersFor(const RoutingTable& aTable,
              const foundation::GroupName& aGroup,
              const GroupRoute& aRoute,
              const foundation::Tenant& aOrganisation)
{
  std::vector<foundation::HostId> owners = aRoute.owners_;
  if (aTable.organisations_ == nullptr || aOrganisation.empty() ||
      aTable.organisations_->large_.contains(aOrganisation)) {
    return owners;
  }
  const auto seed = XXH64(aGroup.data(),
                          aGroup.size(),
                          XXH64(aOrganisation.data(), aOrganisation.size(), 0));
  std::ranges::sort(owners, {}, [&](const foundation::HostId& aOwner) {
    return std::pair(XXH64(aOwner.data(), aOwner.size(), seed), aOwner);
  });
  return owners;
}

} // namespace wigeonlb::daemon::traffic
