#include "core/configuration/configurationview.h"

#include <algorithm>
#include <set>

namespace wigeonlb::core::configuration {

namespace {

bool
SameSettings(const wire::ControlState& aState,
             const wire::HeartbeatReply& aReply)
{
  return std::map(aState.settings().begin(), aState.settings().end()) ==
         std::map(aReply.settings().begin(), aReply.settings().end());
}

void
DropGroup(ConfigurationView& aView,
          const std::string& aGroup,
          ViewChange& aChange)
{
  if (aView.state_.mutable_groups()->erase(aGroup) > 0) {
    aChange.droppedGroups_.push_back(aGroup);
  }
}

void
DropMissing(ConfigurationView& aView,
            const wire::HeartbeatReply& aReply,
            ViewChange& aChange)
{
  std::set<std::string> missing;
  for (const auto& [name, group] : aView.state_.groups()) {
    missing.insert(name);
  }
  for (const wire::GroupState& group : aReply.groups()) {
    missing.erase(group.group());
  }
  for (const std::string& name : missing) {
    DropGroup(aView, name, aChange);
  }
}

void
UpdateGroup(ConfigurationView& aView,
            const wire::GroupState& aGroup,
            ViewChange& aChange)
{
  wire::GroupState& present = (*aView.state_.mutable_groups())[aGroup.group()];
  if (present.revision() != aGroup.revision()) {
    present = aGroup;
    aChange.changedGroups_.push_back(aGroup.group());
  }
}

void
UpdateDatabases(ConfigurationView& aView, const wire::HeartbeatReply& aReply)
{
  auto& databases = *aView.state_.mutable_databases();
  for (const std::string& name : aReply.dropped_databases()) {
    databases.erase(name);
  }
  for (const wire::DatabaseState& database : aReply.databases()) {
    databases[database.database()] = database;
  }
}

void
UpdateOrganisations(ConfigurationView& aView,
                    const wire::HeartbeatReply& aReply)
{
  auto& organisations = *aView.state_.mutable_organisations();
  for (const std::string& name : aReply.dropped_organisations()) {
    organisations.erase(name);
  }
  for (const wire::OrganisationState& organisation : aReply.organisations()) {
    organisations[organisation.organisation()] = organisation;
  }
  aView.state_.set_identifies_organisations(aReply.identifies_organisations());
}

} // namespace

ViewChange
ApplyReply(ConfigurationView& aView,
           const wire::HeartbeatReply& aReply,
           const Guards& aGuards)
{
  ViewChange change;
  aView.highestRevisionSeen_ =
    std::max(aView.highestRevisionSeen_, aReply.revision());
  const foundation::Revision inForce = aView.state_.revision();
  const bool older = aReply.revision() < inForce;
  const bool gap = !aReply.whole() && aReply.base_revision() > inForce;
  if ((older && aGuards.ignoreOlderRevisions_) || gap) {
    change.ignored_ = true;
    return change;
  }
  if (aReply.revision() == inForce) {
    return change;
  }
  if (aReply.whole()) {
    DropMissing(aView, aReply, change);
    aView.state_.mutable_databases()->clear();
    aView.state_.mutable_organisations()->clear();
  }
  for (const std::string& name : aReply.dropped_groups()) {
    DropGroup(aView, name, change);
  }
  for (const wire::GroupState& group : aReply.groups()) {
    UpdateGroup(aView, group, change);
  }
  UpdateDatabases(aView, aReply);
  UpdateOrganisations(aView, aReply);
  change.settingsChanged_ = !SameSettings(aView.state_, aReply);
  *aView.state_.mutable_settings() = aReply.settings();
  aView.state_.set_revision(aReply.revision());
  change.changed_ = true;
  return change;
}

wire::HostMemory
ToMemory(const ConfigurationView& aView)
{
  wire::HostMemory memory;
  memory.set_highest_revision(aView.highestRevisionSeen_);
  *memory.mutable_view() = aView.state_;
  return memory;
}

ConfigurationView
FromMemory(const wire::HostMemory& aMemory)
{
  return { aMemory.view(), aMemory.highest_revision() };
}

} // namespace wigeonlb::core::configuration
