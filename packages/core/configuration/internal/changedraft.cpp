#include "core/configuration/internal/changedraft.h"

#include <set>

#include "core/configuration/applyrecord.h"
#include "core/configuration/checkchange.h"

namespace wigeonlb::core::configuration {

namespace {

using Operation = wire::ConfigurationOperation;

constexpr std::size_t kNameLimit = 63;

// Context of one operation.
struct Context
{
  const wire::ControlState& state_;
  ChangeDraft& draft_;
  std::string location_;
  foundation::Findings& findings_;
};

void
Refuse(Context& aContext, std::string aMessage)
{
  foundation::AddFinding(
    aContext.findings_, aContext.location_, std::move(aMessage));
}

std::optional<wire::GroupState>&
DraftedGroup(Context& aContext, const std::string& aName)
{
  const auto [found, inserted] = aContext.draft_.groups_.try_emplace(aName);
  const auto present = aContext.state_.groups().find(aName);
  if (inserted && present != aContext.state_.groups().end()) {
    found->second = present->second;
  }
  return found->second;
}

wire::GroupState*
RequireGroup(Context& aContext, const std::string& aName)
{
  std::optional<wire::GroupState>& group = DraftedGroup(aContext, aName);
  if (!group) {
    Refuse(aContext, "unknown group " + aName);
    return nullptr;
  }
  return &*group;
}

wire::TargetState*
RequireTarget(Context& aContext,
              wire::GroupState& aGroup,
              const std::string& aName)
{
  for (wire::TargetState& target : *aGroup.mutable_targets()) {
    if (target.target() == aName) {
      return &target;
    }
  }
  Refuse(aContext, "unknown target " + aName + " of group " + aGroup.group());
  return nullptr;
}

void
Create(Context& aContext, const wire::CreateGroup& aCreate)
{
  if (aCreate.group().empty() || aCreate.group().size() > kNameLimit) {
    Refuse(aContext, "a group's name has 1 to 63 bytes");
    return;
  }
  std::optional<wire::GroupState>& group =
    DraftedGroup(aContext, aCreate.group());
  if (group) {
    Refuse(aContext, "group " + aCreate.group() + " exists already");
    return;
  }
  // Sorted by key, so that the findings have the same order on every member.
  const std::map<std::string, std::string> options(aCreate.options().begin(),
                                                   aCreate.options().end());
  for (const auto& [key, value] : options) {
    CheckOption(
      GroupOptions(), key, value, aContext.location_, aContext.findings_);
  }
  group.emplace();
  group->set_group(aCreate.group());
  *group->mutable_options() = aCreate.options();
}

void
Drop(Context& aContext, const wire::DropGroup& aDrop)
{
  if (RequireGroup(aContext, aDrop.group())) {
    DraftedGroup(aContext, aDrop.group()).reset();
  }
}

void
SetOption(Context& aContext, const wire::SetGroupOption& aSet)
{
  wire::GroupState* group = RequireGroup(aContext, aSet.group());
  if (!group) {
    return;
  }
  CheckOption(GroupOptions(),
              aSet.key(),
              aSet.value(),
              aContext.location_,
              aContext.findings_);
  (*group->mutable_options())[aSet.key()] = aSet.value();
}

void
SetOption(Context& aContext, const wire::SetSystemOption& aSet)
{
  CheckOption(SystemOptions(),
              aSet.key(),
              aSet.value(),
              aContext.location_,
              aContext.findings_);
  aContext.draft_.settings_[aSet.key()] = aSet.value();
  aContext.draft_.settingsChanged_ = true;
}

void
Drain(Context& aContext, const wire::SetDraining& aSet)
{
  wire::GroupState* group = RequireGroup(aContext, aSet.group());
  if (!group) {
    return;
  }
  wire::TargetState* target = RequireTarget(aContext, *group, aSet.target());
  if (target) {
    target->set_draining(aSet.draining());
  }
}

void
RequestPrimary(Context& aContext, const wire::RequestPromotion& aRequest)
{
  wire::GroupState* group = RequireGroup(aContext, aRequest.group());
  if (!group) {
    return;
  }
  const wire::TargetState* target =
    RequireTarget(aContext, *group, aRequest.target());
  if (!target) {
    return;
  }
  if (!target->counted() || target->draining()) {
    Refuse(aContext,
           "target " + aRequest.target() +
             (target->draining() ? " is draining"
                                 : " does not count for majorities"));
    return;
  }
  group->set_requested_primary(aRequest.target());
}

bool
SameOptions(const wire::GroupState& aGroup, const wire::CreateGroup& aWanted)
{
  return std::map(aGroup.options().begin(), aGroup.options().end()) ==
         std::map(aWanted.options().begin(), aWanted.options().end());
}

//! Creates a group or replaces its options. A group that already has these
//! options is not changed.
void
Define(Context& aContext, const wire::CreateGroup& aWanted)
{
  const auto present = aContext.state_.groups().find(aWanted.group());
  if (present == aContext.state_.groups().end()) {
    Create(aContext, aWanted);
    return;
  }
  if (SameOptions(present->second, aWanted)) {
    return;
  }
  for (const auto& [key, value] : std::map<std::string, std::string>(
         aWanted.options().begin(), aWanted.options().end())) {
    CheckOption(
      GroupOptions(), key, value, aContext.location_, aContext.findings_);
  }
  *DraftedGroup(aContext, aWanted.group())->mutable_options() =
    aWanted.options();
}

bool
IsDefined(const Context& aContext, const std::string& aGroup)
{
  const auto drafted = aContext.draft_.groups_.find(aGroup);
  return drafted == aContext.draft_.groups_.end()
           ? aContext.state_.groups().contains(aGroup)
           : drafted->second.has_value();
}

//! A key identifies one organisation. Findings don't contain the digest, which
//! would help to guess a short key.
void
CheckOrganisations(Context& aContext,
                   const wire::NumberedConfiguration& aConfiguration)
{
  std::set<std::string> names;
  std::map<std::string, std::string> holders;
  for (const auto& organisation : aConfiguration.organisations()) {
    const std::string& name = organisation.organisation();
    if (name.empty() || !names.insert(name).second) {
      Refuse(aContext,
             "organisation '" + name + "' is named twice or not at all");
    }
    for (const std::string& digest : organisation.key_digests()) {
      const auto [holder, added] = holders.try_emplace(digest, name);
      if (!added) {
        Refuse(aContext,
               "organisations " + holder->second + " and " + name +
                 " share a key");
      }
    }
  }
}

//! The configuration with the highest number is in force. One with the same or
//! a lower number has no effect, even if its contents differ.
void
Adopt(Context& aContext, const wire::NumberedConfiguration& aConfiguration)
{
  const bool isFirst = aContext.state_.document().empty();
  if (!isFirst &&
      aConfiguration.number() <= aContext.state_.document_number()) {
    return;
  }
  for (const wire::CreateGroup& group : aConfiguration.groups()) {
    Define(aContext, group);
  }
  std::set<std::string> names;
  for (const wire::DatabaseState& database : aConfiguration.databases()) {
    const std::string& name = database.database();
    if (name.empty() || !names.insert(name).second) {
      Refuse(aContext, "database '" + name + "' is named twice or not at all");
    }
    if (!IsDefined(aContext, database.group())) {
      Refuse(aContext,
             "database " + name + " is over the unknown group " +
               database.group());
    }
  }
  CheckOrganisations(aContext, aConfiguration);
  aContext.draft_.adopted_ = aConfiguration;
}

void
ApplyOperation(Context& aContext, const Operation& aOperation)
{
  switch (aOperation.operation_case()) {
    case Operation::kCreateGroup:
      return Create(aContext, aOperation.create_group());
    case Operation::kDropGroup:
      return Drop(aContext, aOperation.drop_group());
    case Operation::kSetGroupOption:
      return SetOption(aContext, aOperation.set_group_option());
    case Operation::kSetSystemOption:
      return SetOption(aContext, aOperation.set_system_option());
    case Operation::kSetDraining:
      return Drain(aContext, aOperation.set_draining());
    case Operation::kRequestPromotion:
      return RequestPrimary(aContext, aOperation.request_promotion());
    case Operation::kAdopt:
      return Adopt(aContext, aOperation.adopt());
    case Operation::OPERATION_NOT_SET:
      return Refuse(aContext, "unknown operation");
  }
}

std::string
DescribeGroup(const wire::GroupState& aGroup)
{
  std::string text = "group " + aGroup.group() + " at revision " +
                     std::to_string(aGroup.revision());
  const std::map<std::string, std::string> options(aGroup.options().begin(),
                                                   aGroup.options().end());
  for (const auto& [key, value] : options) {
    text += " " + key + "='" + value + "'";
  }
  for (const wire::TargetState& target : aGroup.targets()) {
    text += target.draining() ? " draining=" + target.target() : "";
  }
  if (!aGroup.requested_primary().empty()) {
    text += " requested_primary=" + aGroup.requested_primary();
  }
  return text;
}

} // namespace

ChangeDraft
DraftChange(const wire::ControlState& aState,
            const wire::ConfigurationChange& aChange,
            foundation::Findings& aFindings)
{
  ChangeDraft draft;
  draft.settings_ = aState.settings();
  int number = 0;
  for (const Operation& operation : aChange.operations()) {
    ++number;
    Context context{
      aState, draft, "operation " + std::to_string(number), aFindings
    };
    ApplyOperation(context, operation);
  }
  if (number == 0) {
    foundation::AddFinding(aFindings, "change", "no operations");
  }
  return draft;
}

std::string
DescribeTouched(const wire::ControlState& aState,
                const wire::ConfigurationChange& aChange)
{
  foundation::Findings ignored;
  const ChangeDraft draft = DraftChange(aState, aChange, ignored);
  std::string text;
  for (const auto& [name, group] : draft.groups_) {
    const auto present = aState.groups().find(name);
    text += present == aState.groups().end()
              ? "; no group " + name
              : "; " + DescribeGroup(present->second);
  }
  std::set<std::string> keys;
  for (const Operation& operation : aChange.operations()) {
    if (operation.has_set_system_option()) {
      keys.insert(operation.set_system_option().key());
    }
  }
  for (const std::string& key : keys) {
    text +=
      "; system " + key + "='" + SystemOptionText(aState.settings(), key) + "'";
  }
  return text;
}

foundation::Findings
CheckChange(const wire::ControlState& aState,
            const wire::ConfigurationChange& aChange)
{
  foundation::Findings findings;
  DraftChange(aState, aChange, findings);
  return findings;
}

} // namespace wigeonlb::core::configuration
