#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <google/protobuf/util/message_differencer.h>

#include "core/configuration/applyrecord.h"
#include "core/trace/internal/rules.h"
#include "foundation/termepoch.h"

namespace wigeonlb::core::trace::internal {

namespace {

using GroupTerm = std::pair<std::string, std::uint64_t>;

//! Control state of one member, reconstructed from its trace.
struct MemberView
{
  wire::ControlState control_;
  //! False after dropped records, until a record with the complete state.
  bool isKnown_ = true;
  std::uint64_t revision_ = 0;
};

struct Acknowledged
{
  RecordLocation location_;
  const wire::WriteAcknowledged* event_ = nullptr;
};

struct ControlRules
{
  RuleInput& input_;
  std::map<std::size_t, MemberView> members_;
  std::map<std::uint64_t, wire::ConsensusEntry> log_;
  std::map<std::uint64_t, std::string> leaders_;
  std::map<GroupTerm, std::string> primaries_;
  //! Group states at the confirmation of a primary, by the confirmed term.
  std::map<GroupTerm, std::pair<RecordLocation, wire::GroupState>> confirmed_;
  //! Highest fenced term and highest chosen term of each group, according to
  //! the records of the current clock so far.
  std::map<std::string, foundation::TermEpoch> fenced_;
  std::map<std::string, std::uint64_t> chosen_;
  //! Groups that were dropped. A new group may have the same name and restart
  //! its terms, so that their terms can't be compared.
  std::set<std::string> recreated_;
  std::vector<Acknowledged> acknowledged_;
};

void
CheckPrimary(ControlRules& aRules,
             const RecordLocation& aLocation,
             const std::string& aGroup,
             std::uint64_t aTerm,
             const std::string& aPrimary)
{
  if (aTerm == 0 || aRules.recreated_.contains(aGroup)) {
    return;
  }
  const auto& known =
    aRules.primaries_.try_emplace({ aGroup, aTerm }, aPrimary).first->second;
  if (known != aPrimary) {
    AddFinding(aRules.input_,
               rule::kOnePrimary,
               aLocation,
               "term " + std::to_string(aTerm) + " of " + aGroup +
                 " has primary " + aPrimary + ", and " + known + " elsewhere");
  }
}

//! Processes the terms in a group state from the control members' log.
void
ProcessGroup(ControlRules& aRules,
             const RecordLocation& aLocation,
             const wire::GroupState& aGroup)
{
  const auto& name = aGroup.group();
  for (const auto& start : aGroup.history()) {
    CheckPrimary(aRules, aLocation, name, start.term(), start.primary());
    auto& chosen = aRules.chosen_[name];
    chosen = std::max(chosen, start.term());
  }
  if (aGroup.fenced()) {
    auto& fenced = aRules.fenced_[name];
    fenced = std::max(fenced, foundation::GetTermEpoch(aGroup));
  }
}

void
ProcessApplied(ControlRules& aRules,
               const RecordLocation& aLocation,
               const wire::ConsensusEntry& aEntry)
{
  const auto& first =
    aRules.log_.try_emplace(aEntry.index(), aEntry).first->second;
  if (!google::protobuf::util::MessageDifferencer::Equals(first, aEntry)) {
    AddFinding(aRules.input_,
               rule::kOneLog,
               aLocation,
               "entry " + std::to_string(aEntry.index()) +
                 " differs from another member's");
  }
  MemberView& member = aRules.members_[aLocation.trace_];
  const auto next = member.control_.applied_index() + 1;
  member.isKnown_ = member.isKnown_ && aEntry.index() <= next;
  if (!member.isKnown_ || aEntry.index() < next) {
    return;
  }
  const auto result = configuration::ApplyRecord(
    member.control_, aEntry.record(), aEntry.index());
  member.control_.set_applied_index(aEntry.index());
  for (const auto& name : result.droppedGroups_) {
    aRules.recreated_.insert(name);
  }
  for (const auto& name : result.changedGroups_) {
    const auto group = member.control_.groups().find(name);
    if (group == member.control_.groups().end()) {
      continue;
    }
    ProcessGroup(aRules, aLocation, group->second);
    if (aEntry.record().has_confirm() && result.changed_) {
      aRules.confirmed_.try_emplace(
        { name, group->second.term() }, aLocation, group->second);
    }
  }
}

void
ProcessControlState(ControlRules& aRules,
                    const RecordLocation& aLocation,
                    const wire::ControlState& aControl)
{
  aRules.members_[aLocation.trace_].control_ = aControl;
  aRules.members_[aLocation.trace_].isKnown_ = true;
  for (const auto& [name, group] : aControl.groups()) {
    ProcessGroup(aRules, aLocation, group);
    if (!group.fenced() && group.promoting().empty()) {
      aRules.confirmed_.try_emplace({ name, group.term() }, aLocation, group);
    }
  }
}

void
CheckLeadership(ControlRules& aRules,
                const RecordLocation& aLocation,
                const wire::Leadership& aEvent)
{
  if (aEvent.leader().empty()) {
    return;
  }
  const auto& known =
    aRules.leaders_.try_emplace(aEvent.term(), aEvent.leader()).first->second;
  if (known != aEvent.leader()) {
    AddFinding(aRules.input_,
               rule::kOneLeader,
               aLocation,
               aEvent.leader() + " and " + known + " lead in term " +
                 std::to_string(aEvent.term()));
  }
}

//! Checks that an issued grant is for the term in force at the control leader
//! that issues it, and not for a term that was fenced before at any member.
void
CheckIssued(ControlRules& aRules,
            const RecordLocation& aLocation,
            const wire::Grant& aGrant)
{
  CheckPrimary(
    aRules, aLocation, aGrant.group(), aGrant.term(), aGrant.primary());
  if (aRules.recreated_.contains(aGrant.group())) {
    return;
  }
  std::string wrong;
  const auto fenced = aRules.fenced_.find(aGrant.group());
  if (fenced != aRules.fenced_.end() &&
      fenced->second >= foundation::GetTermEpoch(aGrant)) {
    wrong = "is fenced";
  }
  const MemberView& member = aRules.members_[aLocation.trace_];
  const auto group = member.control_.groups().find(aGrant.group());
  if (member.isKnown_ && (group == member.control_.groups().end() ||
                          foundation::GetTermEpoch(group->second) !=
                            foundation::GetTermEpoch(aGrant) ||
                          group->second.fenced())) {
    wrong = "is not in force at the issuing member";
  }
  if (!wrong.empty()) {
    AddFinding(aRules.input_,
               rule::kGrantAfterFence,
               aLocation,
               "a grant was issued for term " + std::to_string(aGrant.term()) +
                 " of " + aGrant.group() + ", which " + wrong);
  }
}

void
CheckRevision(ControlRules& aRules,
              const RecordLocation& aLocation,
              std::uint64_t aRevision)
{
  MemberView& member = aRules.members_[aLocation.trace_];
  if (aRevision < member.revision_) {
    AddFinding(aRules.input_,
               rule::kRevisionBack,
               aLocation,
               "revision " + std::to_string(aRevision) + " after " +
                 std::to_string(member.revision_));
  }
  member.revision_ = std::max(member.revision_, aRevision);
}

void
ProcessAcknowledged(ControlRules& aRules,
                    const RecordLocation& aLocation,
                    const wire::WriteAcknowledged& aEvent)
{
  aRules.acknowledged_.push_back({ aLocation, &aEvent });
  const auto& group = aEvent.key().group();
  const auto chosen = aRules.chosen_.find(group);
  if (chosen != aRules.chosen_.end() &&
      chosen->second > aEvent.position().term() &&
      !aRules.recreated_.contains(group)) {
    AddFinding(aRules.input_,
               rule::kAfterChoice,
               aLocation,
               "a write in term " + std::to_string(aEvent.position().term()) +
                 " of " + group +
                 " was acknowledged after the primary of term " +
                 std::to_string(chosen->second) + " was chosen");
  }
}

void
CheckRecord(ControlRules& aRules, const RecordLocation& aLocation)
{
  using Body = wire::TraceRecord::BodyCase;
  const wire::TraceRecord& record = *aLocation.record_;
  switch (record.body_case()) {
    case Body::kApplied:
      return ProcessApplied(aRules, aLocation, record.applied());
    case Body::kControlState:
      return ProcessControlState(aRules, aLocation, record.control_state());
    case Body::kLeadership:
      return CheckLeadership(aRules, aLocation, record.leadership());
    case Body::kRevisionInForce:
      return CheckRevision(
        aRules, aLocation, record.revision_in_force().revision());
    case Body::kGrantHeld: {
      const auto& grant = record.grant_held().grant();
      return CheckPrimary(
        aRules, aLocation, grant.group(), grant.term(), grant.primary());
    }
    case Body::kFailoverStep:
      for (const auto& action : record.failover_step().actions()) {
        for (const auto& grant : action.reply().reply().grants()) {
          CheckIssued(aRules, aLocation, grant);
        }
      }
      return;
    case Body::kWriteAcknowledged:
      return ProcessAcknowledged(
        aRules, aLocation, record.write_acknowledged());
    case Body::kDropped:
      aRules.members_[aLocation.trace_].isKnown_ = false;
      return;
    default:
      return;
  }
}

//! Returns the offset up to which a term's log is part of the confirmed
//! primary's log, or nothing if the history doesn't go back to that term.
std::optional<std::uint64_t>
FindEndOfTerm(const wire::GroupState& aGroup, std::uint64_t aTerm)
{
  const auto& history = aGroup.history();
  if (history.empty() || history.Get(0).term() > aTerm) {
    return std::nullopt;
  }
  std::uint64_t term = aGroup.term();
  // A later term can start at a lower offset than an earlier one. The log was
  // truncated there.
  std::uint64_t end = std::numeric_limits<std::uint64_t>::max();
  for (int i = history.size() - 1; i >= 0; --i) {
    const auto& start = history.Get(i);
    if (start.term() != term) {
      continue;
    }
    end = std::min<std::uint64_t>(end, start.start_offset());
    term = start.parent_term();
    if (term == 0 && i > 0) {
      term = history.Get(i - 1).term();
    }
    if (term <= aTerm) {
      // No part of the log belongs to a term that is not among the parents.
      return term == aTerm ? end : 0;
    }
  }
  return std::nullopt;
}

void
CheckLostWrites(ControlRules& aRules)
{
  for (const auto& [key, confirmed] : aRules.confirmed_) {
    const auto& [location, group] = confirmed;
    if (aRules.recreated_.contains(key.first)) {
      continue;
    }
    for (const Acknowledged& write : aRules.acknowledged_) {
      const auto& position = write.event_->position();
      if (write.event_->key().group() != key.first ||
          position.term() >= key.second) {
        continue;
      }
      const auto end = FindEndOfTerm(group, position.term());
      if (end && position.offset() > *end) {
        AddFinding(aRules.input_,
                   rule::kLostWrite,
                   location,
                   group.primary() + " in term " + std::to_string(key.second) +
                     " has term " + std::to_string(position.term()) +
                     " up to offset " + std::to_string(*end) + "; a write at " +
                     std::to_string(position.offset()) +
                     " was acknowledged in " +
                     aRules.input_.traces_[write.location_.trace_].name_ + ":" +
                     std::to_string(write.location_.record_->number()));
        break;
      }
    }
  }
}

} // namespace

void
CheckControlRules(RuleInput& aInput)
{
  ControlRules rules{ aInput };
  for (const ClockGroup& clock : aInput.clocks_) {
    rules.fenced_.clear();
    rules.chosen_.clear();
    for (const RecordLocation& location : clock.records_) {
      CheckRecord(rules, location);
    }
  }
  CheckLostWrites(rules);
}

} // namespace wigeonlb::core::trace::internal
