#include "core/failover/internal/groupcontext.h"

#include <algorithm>

#include "core/configuration/groupoptions.h"

namespace wigeonlb::core::failover {

using foundation::Duration;
using foundation::Instant;

namespace {

//! Highest synced offset that was reported for the target's incarnation.
std::uint64_t
FindHighestKnownOffset(const GroupContext& aContext,
                       const wire::TargetState& aTarget)
{
  const auto& read = aContext.progress_.reads_[aTarget.target()];
  auto highest = read.highestKnownOffset_;
  if (read.report_ && read.report_->incarnation() == aTarget.incarnation()) {
    highest = std::max(highest, read.report_->synced_offset());
  }
  const auto* entry = membership::FindTarget(
    aContext.state_.membership_, aContext.group_.group(), aTarget.target());
  if (entry == nullptr) {
    return highest;
  }
  for (const auto& [observer, observation] : entry->observations_) {
    if (observation.known_.incarnation_ == aTarget.incarnation()) {
      highest = std::max(highest, observation.known_.highestSynced_);
    }
  }
  return highest;
}

} // namespace

void
RecordDecision(GroupContext& aContext, const std::string& aText)
{
  auto& decisions = aContext.progress_.decisions_;
  decisions.push_back({ aContext.now_, aText });
  if (decisions.size() > kMaxDecisions) {
    decisions.pop_front();
  }
}

void
ProposeRecord(GroupContext& aContext,
              wire::ControlRecord aRecord,
              const std::string& aReason)
{
  aContext.progress_.proposedAt_ = aContext.now_;
  RecordDecision(aContext, aReason);
  aContext.actions_.push_back(Propose{ std::move(aRecord) });
}

void
ProposeFence(GroupContext& aContext, const std::string& aReason)
{
  auto& progress = aContext.progress_;
  const auto& group = aContext.group_;
  if (progress.fenceProposedAt_ &&
      aContext.now_ - *progress.fenceProposedAt_ < kProposalRetryMs) {
    return;
  }
  progress.fenceProposedAt_ = aContext.now_;
  wire::ControlRecord record;
  auto* fence = record.mutable_fence();
  fence->set_group(group.group());
  fence->set_term(group.term());
  fence->set_reason(aReason);
  RecordDecision(aContext,
                 "fence term " + std::to_string(group.term()) + ": " + aReason);
  aContext.actions_.push_back(Propose{ std::move(record) });
}

bool
IsProposalPending(const GroupContext& aContext)
{
  const auto& proposedAt = aContext.progress_.proposedAt_;
  return proposedAt && aContext.now_ - *proposedAt < kProposalRetryMs;
}

void
RequestRead(GroupContext& aContext,
            const wire::TargetState& aTarget,
            Duration aPause)
{
  auto& read = aContext.progress_.reads_[aTarget.target()];
  const auto now = aContext.now_;
  const bool outstanding =
    read.requestedAt_ && now - *read.requestedAt_ < kAnswerTimeoutMs;
  if (outstanding || now - read.lastRequestedAt_ < aPause) {
    return;
  }
  read.highestKnownOffset_ = FindHighestKnownOffset(aContext, aTarget);
  read.number_ = ++aContext.state_.lastReadNumber_;
  read.requestedAt_ = now;
  read.lastRequestedAt_ = now;
  aContext.actions_.push_back(ReadTarget{ read.number_,
                                          aContext.group_.group(),
                                          aTarget.target(),
                                          aTarget.address(),
                                          aTarget.incarnation() });
}

const wire::TargetReport*
FindOwnReport(const GroupContext& aContext,
              std::string_view aTarget,
              Instant aSince)
{
  const auto read = aContext.progress_.reads_.find(std::string(aTarget));
  if (read == aContext.progress_.reads_.end() || !read->second.report_ ||
      read->second.reportRequestedAt_ < aSince) {
    return nullptr;
  }
  return &*read->second.report_;
}

void
SetWaitingReason(GroupContext& aContext, std::string aReason)
{
  aContext.progress_.waitingReason_ = std::move(aReason);
}

wire::LogPosition
ToWire(const foundation::LogPosition& aPosition)
{
  wire::LogPosition position;
  position.set_term(aPosition.term_);
  position.set_offset(aPosition.offset_);
  return position;
}

Acknowledgement
GetAcknowledgement(const wire::GroupState& aGroup)
{
  const auto text = configuration::OptionText(aGroup, "acknowledge");
  if (text == "primary") {
    return Acknowledgement::Primary;
  }
  return text == "one_replica" ? Acknowledgement::OneReplica
                               : Acknowledgement::Majority;
}

std::size_t
GetGroupSize(const wire::GroupState& aGroup)
{
  return static_cast<std::size_t>(configuration::OptionNumber(aGroup, "size"));
}

std::uint64_t
GetLastChosenTerm(const wire::GroupState& aGroup)
{
  auto term = aGroup.term();
  for (const auto& start : aGroup.history()) {
    term = std::max(term, start.term());
  }
  return term;
}

} // namespace wigeonlb::core::failover
