#include "core/failover/internal/resume.h"

#include <algorithm>
#include <utility>

namespace wigeonlb::core::failover {

namespace {

//! Hosts of a former version would take the resumed term for the fenced one.
bool
DoAllHostsKnowEpochs(const membership::MembershipState& aMembership)
{
  return std::ranges::all_of(aMembership.hosts_, [](const auto& aItem) {
    return aItem.second.info_.knows_epochs();
  });
}

void
ProposeResume(GroupContext& aContext)
{
  const auto& group = aContext.group_;
  const auto reason = "resume term " + std::to_string(group.term()) + ": " +
                      group.primary() +
                      " leads it, and no target may replace it";
  wire::ControlRecord record;
  auto* resume = record.mutable_resume();
  resume->set_group(group.group());
  resume->set_term(group.term());
  resume->set_epoch(group.epoch());
  resume->set_reason(reason);
  ProposeRecord(aContext, std::move(record), reason);
}

} // namespace

bool
TryResume(GroupContext& aContext, std::span<const Candidate> aCandidates)
{
  const auto& group = aContext.group_;
  auto& leadsSince = aContext.progress_.primaryLeadsSince_;
  const bool mayResume =
    aContext.state_.guards_.resumesTerm_ &&
    GetAcknowledgement(group) != Acknowledgement::Majority &&
    group.promoting().empty() &&
    FindLeadingPrimary(aContext, aCandidates) != nullptr &&
    DoAllHostsKnowEpochs(aContext.state_.membership_);
  if (!mayResume) {
    leadsSince.reset();
    return false;
  }
  leadsSince = leadsSince.value_or(aContext.now_);
  const auto wait =
    IsPlannedChange(group) ? kPlannedCatchUpWaitMs : kCatchUpWaitMs;
  const auto& read = aContext.progress_.reads_.at(group.primary());
  const bool answersStill =
    aContext.now_ - read.reportReceivedAt_ < kAnswerTimeoutMs;
  if (aContext.now_ - *leadsSince < wait || !answersStill) {
    return false;
  }
  ProposeResume(aContext);
  return true;
}

} // namespace wigeonlb::core::failover
