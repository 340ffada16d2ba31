#include "core/configuration/internal/decisions.h"

#include <algorithm>
#include <utility>

#include <google/protobuf/util/message_differencer.h>

#include "core/configuration/applyrecord.h"
#include "core/configuration/internal/removeif.h"

namespace wigeonlb::core::configuration {

namespace {

using google::protobuf::util::MessageDifferencer;

wire::TargetState*
MutableTarget(wire::GroupState& aGroup, const std::string& aTarget)
{
  for (wire::TargetState& target : *aGroup.mutable_targets()) {
    if (target.target() == aTarget) {
      return &target;
    }
  }
  return nullptr;
}

void
RemoveTarget(wire::GroupState& aGroup, const std::string& aTarget)
{
  RemoveIf(*aGroup.mutable_targets(),
           [&](const auto& aState) { return aState.target() == aTarget; });
}

// A later position replaces the recorded one.
void
RaiseAcknowledged(wire::GroupState& aGroup,
                  std::uint64_t aTerm,
                  std::uint64_t aOffset)
{
  const auto& known = aGroup.acknowledged();
  if (std::pair(aTerm, aOffset) > std::pair(known.term(), known.offset())) {
    aGroup.mutable_acknowledged()->set_term(aTerm);
    aGroup.mutable_acknowledged()->set_offset(aOffset);
  }
}

// Records what may be in the log of a counted target that is removed. Former
// versions name that target with the last position that was read from it.
void
RecordRemoved(wire::GroupState& aGroup,
              const wire::LogPosition& aAcknowledged,
              const wire::DepartedTarget& aDeparted)
{
  RaiseAcknowledged(aGroup, aAcknowledged.term(), aAcknowledged.offset());
  RaiseAcknowledged(aGroup, aDeparted.read_term(), aDeparted.read_offset());
}

// The highest term of the group and its history.
std::uint64_t
HighestTerm(const wire::GroupState& aGroup)
{
  std::uint64_t term = aGroup.term();
  for (const wire::TermStart& start : aGroup.history()) {
    term = std::max(term, start.term());
  }
  return term;
}

// Removes a choice that was never confirmed from the history. Its term is not
// used again.
void
DropUnconfirmed(wire::GroupState& aGroup)
{
  auto& history = *aGroup.mutable_history();
  while (!history.empty() && history.rbegin()->term() > aGroup.term()) {
    history.RemoveLast();
  }
}

void
AddHistory(wire::GroupState& aGroup, const wire::ChoosePrimary& aChoose)
{
  DropUnconfirmed(aGroup);
  wire::TermStart& start = *aGroup.add_history();
  start.set_term(aChoose.term());
  start.set_primary(aChoose.target());
  start.set_start_offset(aChoose.start_offset());
  start.set_parent_term(aChoose.parent_term());
  while (aGroup.history_size() > kHistoryLimit) {
    aGroup.mutable_history()->DeleteSubrange(0, 1);
  }
}

} // namespace

std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::AdmitTarget& aAdmit)
{
  const std::string& name = aAdmit.target().target();
  if (name.empty()) {
    return "no target named";
  }
  wire::TargetState admitted = aAdmit.target();
  wire::TargetState* present = MutableTarget(aGroup, name);
  if (!present) {
    *aGroup.add_targets() = admitted;
    return "";
  }
  if (admitted.incarnation() < present->incarnation()) {
    return "an older incarnation of target " + name;
  }
  // Draining is set by operators, not by the leader.
  admitted.set_draining(present->draining());
  if (MessageDifferencer::Equals(admitted, *present)) {
    return "target " + name + " is admitted like this already";
  }
  *present = admitted;
  RecordRemoved(aGroup, aAdmit.acknowledged(), aAdmit.replaced());
  return "";
}

std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ExpelTarget& aExpel)
{
  wire::TargetState* target = MutableTarget(aGroup, aExpel.target());
  if (!target) {
    return "unknown target " + aExpel.target();
  }
  if (!target->counted() && !aExpel.gone()) {
    return "target " + aExpel.target() + " does not count already";
  }
  if (aExpel.gone() && aGroup.primary() == aExpel.target()) {
    return "target " + aExpel.target() + " is the primary";
  }
  if (target->counted()) {
    RecordRemoved(aGroup, aExpel.acknowledged(), aExpel.departed());
  }
  target->set_counted(false);
  if (aGroup.requested_primary() == aExpel.target()) {
    aGroup.clear_requested_primary();
  }
  aGroup.set_reason(aExpel.reason());
  if (aExpel.gone()) {
    RemoveTarget(aGroup, aExpel.target());
  }
  return "";
}

std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::FenceTerm& aFence)
{
  if (aGroup.primary().empty() || aFence.term() != aGroup.term()) {
    return "term " + std::to_string(aFence.term()) + " is not the current one";
  }
  if (aGroup.fenced()) {
    return "term " + std::to_string(aFence.term()) + " is fenced already";
  }
  aGroup.set_fenced(true);
  aGroup.set_reason(aFence.reason());
  return "";
}

std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ResumeTerm& aResume)
{
  const std::string term = "term " + std::to_string(aResume.term());
  if (!aGroup.fenced() || aResume.term() != aGroup.term() ||
      aResume.epoch() != aGroup.epoch()) {
    return term + " is not fenced in epoch " + std::to_string(aResume.epoch());
  }
  if (!aGroup.promoting().empty()) {
    // The request for the promotion may still be carried out.
    return "another primary than that of " + term + " is chosen";
  }
  aGroup.set_fenced(false);
  aGroup.set_epoch(aGroup.epoch() + 1);
  aGroup.set_reason(aResume.reason());
  return "";
}

std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ChoosePrimary& aChoose)
{
  const std::uint64_t highest = HighestTerm(aGroup);
  if (!aGroup.primary().empty() && !aGroup.fenced()) {
    return "term " + std::to_string(aGroup.term()) + " is not fenced";
  }
  // Terms may be skipped, because the targets may have started terms of their
  // own.
  if (aChoose.term() <= highest) {
    return "term " + std::to_string(aChoose.term()) + " is not above " +
           std::to_string(highest);
  }
  const wire::TargetState* target = FindTarget(aGroup, aChoose.target());
  if (!target || !target->counted()) {
    return "target " + aChoose.target() + " does not count";
  }
  AddHistory(aGroup, aChoose);
  aGroup.set_promoting(aChoose.target());
  aGroup.set_reason(aChoose.reason());
  return "";
}

std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::SetGrantees& aGrantees)
{
  *aGroup.mutable_grantees() = aGrantees.hosts();
  return "";
}

std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ForgetDeparted& aForget)
{
  const auto before = aGroup.departed_size();
  RemoveIf(*aGroup.mutable_departed(), [&](const auto& aDeparted) {
    return std::ranges::find(aForget.targets(), aDeparted.target()) !=
           aForget.targets().end();
  });
  return aGroup.departed_size() < before ? "" : "no such departed target";
}

std::string
ApplyToGroup(wire::GroupState& aGroup, const wire::ConfirmPrimary& aConfirm)
{
  const bool chosen = !aGroup.promoting().empty() &&
                      aGroup.promoting() == aConfirm.target() &&
                      aGroup.history_size() > 0 &&
                      aGroup.history().rbegin()->term() == aConfirm.term();
  if (!chosen) {
    return "target " + aConfirm.target() + " was not chosen for term " +
           std::to_string(aConfirm.term());
  }
  // Targets that assign term numbers themselves may have started another term
  // than the chosen one.
  const std::uint64_t term =
    aConfirm.adopted_term() != 0 ? aConfirm.adopted_term() : aConfirm.term();
  if (!aGroup.primary().empty() && term <= aGroup.term()) {
    return "term " + std::to_string(term) + " is not above " +
           std::to_string(aGroup.term());
  }
  wire::TermStart& start = *aGroup.mutable_history()->rbegin();
  start.set_term(term);
  start.set_start_offset(aConfirm.start_offset());
  aGroup.set_term(term);
  aGroup.set_primary(aConfirm.target());
  aGroup.set_fenced(false);
  aGroup.clear_promoting();
  // The new primary holds all that was acknowledged before.
  aGroup.clear_departed();
  aGroup.clear_acknowledged();
  if (aGroup.requested_primary() == aConfirm.target()) {
    aGroup.clear_requested_primary();
  }
  return "";
}

} // namespace wigeonlb::core::configuration
