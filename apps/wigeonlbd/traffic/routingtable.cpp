#include "traffic/routingtable.h"

namespace wigeonlb::daemon::traffic {

namespace {

bool
HasRoute(const RoutingTable& aTable, std::string_view aName)
{
  const auto database = aTable.databases_.find(aName);
  return database != aTable.databases_.end() &&
         aTable.groups_.contains(database->second.group_);
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
  const bool mayRefuse =
    aTable->confirmation_ == nullptr ||
    core::configuration::MayRefuseNames(FindConfirmation(aTable).get(), aNow);
  return mayRefuse ? NameVerdict::Unknown : NameVerdict::MayExist;
}

} // namespace wigeonlb::daemon::traffic
