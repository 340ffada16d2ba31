// Part of HostAgent: routes and groups for the traffic threads.
#include "control/hostagent.h"

#include "core/configuration/groupoptions.h"
#include "core/grants/owners.h"

namespace wigeonlb::daemon::control {

namespace configuration = core::configuration;
namespace grants = core::grants;

namespace {

//! An organisation is large if it may take a quarter of one owner's part of the
//! load, by the rate limits: one owner alone would be short of slots for it.
constexpr double kLargeShare = 0.25;
constexpr double kTypicalOwners = 3;

bool
IsLarge(const wire::OrganisationState& aOrganisation, double aSumOfRates)
{
  // Without a limit it may send any part of all requests.
  return !aOrganisation.has_rate_per_s() ||
         aOrganisation.rate_per_s() * kTypicalOwners >=
           aSumOfRates * kLargeShare;
}

std::shared_ptr<const traffic::OrganisationTable>
MakeOrganisationTable(const wire::ControlState& aState)
{
  double sumOfRates = 0;
  for (const auto& [name, organisation] : aState.organisations()) {
    sumOfRates += organisation.rate_per_s();
  }
  auto table = std::make_shared<traffic::OrganisationTable>();
  for (const auto& [name, organisation] : aState.organisations()) {
    table->names_.insert(name);
    for (const std::string& digest : organisation.key_digests()) {
      table->byKeyDigest_.emplace(digest, name);
    }
    if (IsLarge(organisation, sumOfRates)) {
      table->large_.insert(name);
    }
    if (!organisation.has_rate_per_s()) {
      table->unlimited_.insert(name);
    }
  }
  return table;
}

} // namespace

void
HostAgent::ApplyUnusable(const wire::HeartbeatReply& aReply)
{
  std::set<std::pair<foundation::GroupName, foundation::TargetName>> unusable;
  for (const wire::TargetKey& key : aReply.unusable()) {
    unusable.emplace(key.group(), key.target());
  }
  if (unusable == unusable_) {
    return;
  }
  unusable_ = std::move(unusable);
  for (const auto& [name, group] : View().state_.groups()) {
    PublishGroup(group);
  }
}

std::vector<foundation::HostId>
HostAgent::ListOwners(const wire::GroupState& aGroup) const
{
  std::vector<foundation::HostId> owners =
    grants::ChooseOwners(aGroup, hosts_, grants::GetOwnerCount(aGroup));
  grants::SortOwnersForEntry(aGroup.group(), settings_.self_, hosts_, owners);
  return owners;
}

bool
HostAgent::IsUsable(const wire::GroupState& aGroup,
                    const wire::TargetState& aTarget) const
{
  if (aTarget.draining() || aTarget.leaving() ||
      unusable_.count({ aGroup.group(), aTarget.target() }) != 0) {
    return false;
  }
  const core::membership::TargetEntry* const entry =
    core::membership::FindTarget(announced_, aGroup.group(), aTarget.target());
  return entry == nullptr || !entry->leaving_ ||
         entry->incarnation_ != aTarget.incarnation();
}

traffic::GroupRoute
HostAgent::MakeRoute(const wire::GroupState& aGroup) const
{
  traffic::GroupRoute route;
  route.owners_ = ListOwners(aGroup);
  const foundation::Duration maxAge =
    configuration::OptionDuration(aGroup, "max_age");
  if (maxAge > foundation::Duration::zero()) {
    route.maxAge_ = maxAge;
  }
  route.readDeadline_ = configuration::OptionDuration(aGroup, "read_deadline");
  route.writeDeadline_ =
    configuration::OptionDuration(aGroup, "write_deadline");
  route.requestKeys_ = !configuration::RequestKeyTable(aGroup).empty();
  return route;
}

traffic::DatabaseRoute
HostAgent::MakeRoute(const wire::DatabaseState& aDatabase)
{
  traffic::DatabaseRoute route;
  route.group_ = aDatabase.group();
  route.readPolicy_ = aDatabase.read_policy();
  if (aDatabase.has_max_age_us()) {
    route.maxAge_ = foundation::Duration(aDatabase.max_age_us());
  }
  route.statementTimeout_ =
    foundation::Duration(aDatabase.statement_timeout_us());
  route.latencyObjective_ = foundation::Duration(aDatabase.aim_us());
  route.priority_ = aDatabase.priority();
  route.open_ = aDatabase.open();
  return route;
}

void
HostAgent::Publish()
{
  auto table = std::make_shared<traffic::RoutingTable>();
  table->revision_ = View().state_.revision();
  table->hasConfiguration_ = KnowsConfiguration();
  if (!settings_.members_.empty()) {
    tableConfirmation_ = std::make_shared<traffic::TableConfirmation>();
    UpdateTableConfirmation();
    table->confirmation_ = tableConfirmation_;
  }
  for (const auto& [name, group] : View().state_.groups()) {
    table->groups_.emplace(name, MakeRoute(group));
    if (View().state_.databases().empty()) {
      table->databases_.emplace(name, traffic::DatabaseRoute{ name });
    }
    PublishGroup(group);
  }
  for (const auto& [name, database] : View().state_.databases()) {
    table->databases_.emplace(name, MakeRoute(database));
  }
  if (View().state_.identifies_organisations()) {
    table->organisations_ = MakeOrganisationTable(View().state_);
  }
  for (auto name = owned_.begin(); name != owned_.end();) {
    if (View().state_.groups().count(*name) == 0) {
      traffic_.DropGroup(*name);
      published_.erase(*name);
      name = owned_.erase(name);
    } else {
      ++name;
    }
  }
  traffic_.SetRoutes(std::move(table));
}

void
HostAgent::PublishGroup(const wire::GroupState& aGroup)
{
  const std::vector<foundation::HostId> owners = ListOwners(aGroup);
  const bool isOwner =
    !owners.empty() && owners.front() == settings_.self_.host();
  if (!isOwner) {
    if (owned_.erase(aGroup.group()) != 0) {
      traffic_.DropGroup(aGroup.group());
      published_.erase(aGroup.group());
    }
    return;
  }
  core::traffic::GroupChanged event;
  event.group_ = aGroup;
  event.owners_ = static_cast<std::uint32_t>(owners.size());
  event.noLeaderSinceStart_ = HasNoLeaderSinceStart();
  event.byOrganisation_ = View().state_.identifies_organisations();
  std::string fingerprint = std::to_string(aGroup.revision()) + " " +
                            std::to_string(event.owners_) +
                            (HasNoLeaderSinceStart() ? " no-leader" : "") +
                            (event.byOrganisation_ ? " by-organisation" : "");
  for (const wire::TargetState& target : aGroup.targets()) {
    if (IsUsable(aGroup, target)) {
      event.usable_.push_back(target.target());
      fingerprint += " " + target.target();
    }
  }
  std::string& published = published_[aGroup.group()];
  if (published == fingerprint) {
    return;
  }
  published = std::move(fingerprint);
  owned_.insert(aGroup.group());
  traffic_.ChangeGroup(std::move(event));
}

} // namespace wigeonlb::daemon::control
