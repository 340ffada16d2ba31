#include "core/configuration/applyrecord.h"

#include <algorithm>

#include "core/configuration/internal/changedraft.h"
#include "core/configuration/internal/decisions.h"
#include "core/configuration/internal/numberedentries.h"
#include "core/configuration/internal/removeif.h"

namespace wigeonlb::core::configuration {

namespace {

const wire::ChangeResult*
FindResult(const wire::ControlState& aState, const std::string& aChangeId)
{
  for (const wire::ChangeResult& result : aState.recent_results()) {
    if (result.change_id() == aChangeId) {
      return &result;
    }
  }
  return nullptr;
}

void
StoreResult(wire::ControlState& aState, const wire::ChangeResult& aResult)
{
  *aState.add_recent_results() = aResult;
  if (aState.recent_results_size() > kRecentResultsLimit) {
    aState.mutable_recent_results()->DeleteSubrange(0, 1);
  }
}

void
RemoveDroppedGroup(wire::ControlState& aState, const std::string& aGroup)
{
  RemoveIf(*aState.mutable_dropped_groups(),
           [&](const auto& aDropped) { return aDropped.group() == aGroup; });
}

void
RecordDroppedGroup(wire::ControlState& aState, const std::string& aGroup)
{
  wire::DroppedGroup& dropped = *aState.add_dropped_groups();
  dropped.set_group(aGroup);
  dropped.set_revision(aState.revision());
  if (aState.dropped_groups_size() > kDroppedGroupsLimit) {
    aState.set_dropped_horizon(
      std::max(aState.dropped_horizon(), aState.dropped_groups(0).revision()));
    aState.mutable_dropped_groups()->DeleteSubrange(0, 1);
  }
}

void
ApplyDraft(wire::ControlState& aState,
           ChangeDraft& aDraft,
           ApplyResult& aResult)
{
  if (IsUnchanged(aDraft)) {
    return;
  }
  aState.set_revision(aState.revision() + 1);
  aResult.changed_ = true;
  aResult.settingsChanged_ = aDraft.settingsChanged_;
  *aState.mutable_settings() = aDraft.settings_;
  for (auto& [name, group] : aDraft.groups_) {
    const bool existed = aState.groups().contains(name);
    if (group) {
      RemoveDroppedGroup(aState, name);
      group->set_revision(aState.revision());
      (*aState.mutable_groups())[name] = *group;
      aResult.changedGroups_.push_back(name);
    } else if (existed) {
      aState.mutable_groups()->erase(name);
      RecordDroppedGroup(aState, name);
      aResult.droppedGroups_.push_back(name);
    }
  }
  if (aDraft.adopted_) {
    AdoptEntries(aState, *aDraft.adopted_);
  }
}

wire::ChangeResult
EvaluateChange(wire::ControlState& aState,
               const wire::ConfigurationChange& aChange,
               ApplyResult& aResult)
{
  wire::ChangeResult answer;
  answer.set_change_id(aChange.change_id());
  answer.set_revision(aState.revision());
  if (aChange.has_expected_revision() &&
      aChange.expected_revision() != aState.revision()) {
    answer.set_message("the revision is " + std::to_string(aState.revision()) +
                       ", not " + std::to_string(aChange.expected_revision()) +
                       DescribeTouched(aState, aChange));
    return answer;
  }
  foundation::Findings findings;
  ChangeDraft draft = DraftChange(aState, aChange, findings);
  if (!findings.empty()) {
    answer.set_message(ToString(findings));
    return answer;
  }
  ApplyDraft(aState, draft, aResult);
  answer.set_accepted(true);
  answer.set_revision(aState.revision());
  return answer;
}

void
ApplyChange(wire::ControlState& aState,
            const wire::ConfigurationChange& aChange,
            const Guards& aGuards,
            ApplyResult& aResult)
{
  if (aChange.change_id().empty()) {
    aResult.change_.emplace().set_message("the change has no id");
    aResult.change_->set_revision(aState.revision());
    return;
  }
  const wire::ChangeResult* first = FindResult(aState, aChange.change_id());
  if (first && aGuards.rememberChangeIds_) {
    aResult.change_ = *first;
    return;
  }
  aResult.change_ = EvaluateChange(aState, aChange, aResult);
  StoreResult(aState, *aResult.change_);
}

template<typename Decision>
void
ApplyDecision(wire::ControlState& aState,
              const Decision& aDecision,
              ApplyResult& aResult)
{
  const auto group = aState.mutable_groups()->find(aDecision.group());
  if (group == aState.mutable_groups()->end()) {
    aResult.ignored_ = "unknown group " + aDecision.group();
    return;
  }
  aResult.ignored_ = ApplyToGroup(group->second, aDecision);
  // Grantees concern the control leader only, so the change is not published to
  // the hosts.
  if (!aResult.ignored_.empty() ||
      std::is_same_v<Decision, wire::SetGrantees>) {
    return;
  }
  aState.set_revision(aState.revision() + 1);
  group->second.set_revision(aState.revision());
  if constexpr (std::is_same_v<Decision, wire::ChoosePrimary>) {
    group->second.set_choice_index(aState.applied_index());
  }
  aResult.changed_ = true;
  aResult.changedGroups_.push_back(aDecision.group());
}

} // namespace

ApplyResult
ApplyRecord(wire::ControlState& aState,
            const wire::ControlRecord& aRecord,
            std::uint64_t aIndex,
            const Guards& aGuards)
{
  ApplyResult result;
  if (aIndex <= aState.applied_index()) {
    result.ignored_ = "applied already";
    return result;
  }
  aState.set_applied_index(aIndex);
  switch (aRecord.record_case()) {
    case wire::ControlRecord::kChange:
      ApplyChange(aState, aRecord.change(), aGuards, result);
      break;
    case wire::ControlRecord::kAdmit:
      ApplyDecision(aState, aRecord.admit(), result);
      break;
    case wire::ControlRecord::kExpel:
      ApplyDecision(aState, aRecord.expel(), result);
      break;
    case wire::ControlRecord::kFence:
      ApplyDecision(aState, aRecord.fence(), result);
      break;
    case wire::ControlRecord::kResume:
      ApplyDecision(aState, aRecord.resume(), result);
      break;
    case wire::ControlRecord::kChoose:
      ApplyDecision(aState, aRecord.choose(), result);
      break;
    case wire::ControlRecord::kConfirm:
      ApplyDecision(aState, aRecord.confirm(), result);
      break;
    case wire::ControlRecord::kForget:
      ApplyDecision(aState, aRecord.forget(), result);
      break;
    case wire::ControlRecord::kGrantees:
      ApplyDecision(aState, aRecord.grantees(), result);
      break;
    case wire::ControlRecord::kMembers:
    case wire::ControlRecord::RECORD_NOT_SET:
      break;
  }
  return result;
}

const wire::TargetState*
FindTarget(const wire::GroupState& aGroup, std::string_view aTarget)
{
  for (const wire::TargetState& target : aGroup.targets()) {
    if (target.target() == aTarget) {
      return &target;
    }
  }
  return nullptr;
}

} // namespace wigeonlb::core::configuration
