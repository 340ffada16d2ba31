#include "core/failover/internal/promotion.h"

#include <algorithm>
#include <map>
#include <utility>

#include "core/configuration/groupoptions.h"
#include "core/failover/internal/acknowledgedbound.h"
#include "core/failover/internal/candidates.h"
#include "core/failover/internal/countedtargets.h"
#include "core/failover/internal/resume.h"
#include "core/failover/internal/withoutmajority.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

using foundation::Instant;
using foundation::LogPosition;

namespace {

std::string
FormatTerm(std::uint64_t aTerm)
{
  return "term " + std::to_string(aTerm);
}

//! Revokes the grants that have not been released. Repeated at intervals, as
//! messages can be lost.
void
SendRevocations(GroupContext& aContext)
{
  auto& progress = aContext.progress_;
  if (aContext.now_ - progress.revocationsSentAt_ < kRetryIntervalMs) {
    return;
  }
  progress.revocationsSentAt_ = aContext.now_;
  const auto& group = aContext.group_;
  const auto holders = grants::FindUnreleasedHolders(
    aContext.state_.grants_, group.group(), group.term(), aContext.now_);
  for (const auto& holder : holders) {
    wire::RevokeGrant revoke;
    revoke.mutable_key()->set_group(group.group());
    revoke.mutable_key()->set_term(group.term());
    revoke.mutable_key()->set_epoch(group.epoch());
    aContext.actions_.push_back(SendRevoke{ holder.host_, std::move(revoke) });
  }
}

//! Returns false while a grant of the fenced term may be in use. Otherwise sets
//! releasedAt_, from which on reads may be used for the choice.
bool
AreGrantsReleased(GroupContext& aContext)
{
  auto& progress = aContext.progress_;
  const auto& group = aContext.group_;
  if (progress.releasedAt_) {
    return true;
  }
  const bool released = grants::IsTermReleased(
    aContext.state_.grants_, group.group(), group.term(), aContext.now_);
  if (!released && aContext.state_.guards_.waitForReleases_) {
    SendRevocations(aContext);
    SetWaitingReason(aContext,
                     "waits for the grants of " + FormatTerm(group.term()));
    return false;
  }
  progress.releasedAt_ = aContext.now_;
  progress.safeSince_.reset();
  RecordDecision(aContext,
                 "no grant of " + FormatTerm(group.term()) + " is in use");
  return true;
}

//! True when each target to choose from has answered a read or failed since
//! aSince.
bool
HaveAllAnswered(const GroupContext& aContext, Instant aSince)
{
  return std::ranges::all_of(
    aContext.group_.targets(), [&](const auto& aTarget) {
      const auto read = aContext.progress_.reads_.find(aTarget.target());
      const bool failed = read != aContext.progress_.reads_.end() &&
                          read->second.failingSince_ &&
                          read->second.lastFailedAt_ >= aSince;
      return !IsReadForChoice(aContext.group_, aTarget) || failed ||
             FindOwnReport(aContext, aTarget.target(), aSince) != nullptr;
    });
}

void
ProposeChoice(GroupContext& aContext, const Candidate& aChosen)
{
  const auto& group = aContext.group_;
  wire::ControlRecord record;
  auto* choose = record.mutable_choose();
  choose->set_group(group.group());
  choose->set_term(
    std::max(GetLastChosenTerm(group), aChosen.report_->adopted_term()) + 1);
  choose->set_target(aChosen.target_->target());
  choose->set_start_offset(aChosen.position_.offset_);
  choose->set_parent_term(aChosen.position_.term_);
  const auto reason = "choose " + aChosen.target_->target() + " for " +
                      FormatTerm(choose->term()) + " at " +
                      foundation::ToString(aChosen.position_);
  choose->set_reason(reason);
  ProposeRecord(aContext, std::move(record), reason);
}

//! Requests reads of the targets to choose from: at once from targets without a
//! request since aSince, then at intervals.
void
RequestReads(GroupContext& aContext, Instant aSince)
{
  for (const auto& target : aContext.group_.targets()) {
    if (!IsReadForChoice(aContext.group_, target)) {
      continue;
    }
    auto& read = aContext.progress_.reads_[target.target()];
    if (read.lastRequestedAt_ < aSince) {
      read.requestedAt_.reset();
      read.lastRequestedAt_ = {};
    }
    RequestRead(aContext, target, kRetryIntervalMs);
  }
}

std::uint64_t
GetChosenStart(const wire::GroupState& aGroup)
{
  return aGroup.history(aGroup.history_size() - 1).start_offset();
}

//! The index of the choice, or of this leader's first entry if the choice was
//! committed by an earlier leader, which may have requested the promotion too.
std::uint64_t
GetFence(const GroupContext& aContext)
{
  const auto choice = aContext.group_.choice_index();
  return aContext.state_.guards_.fencesByLeader_
           ? std::max(choice, aContext.state_.leaderIndex_)
           : choice;
}

bool
MayRequestPromotion(const GroupContext& aContext)
{
  const auto& state = aContext.state_;
  return aContext.now_ < state.leaderLeaseUntil_ ||
         !state.guards_.promotesUnderLease_;
}

void
PromoteChosen(GroupContext& aContext, const wire::TargetState& aTarget)
{
  auto& progress = aContext.progress_;
  const auto& requestedAt = progress.promotionRequestedAt_;
  if (progress.promotionAccepted_ || !MayRequestPromotion(aContext) ||
      (requestedAt && aContext.now_ - *requestedAt < kRetryIntervalMs)) {
    return;
  }
  progress.promotionRequestedAt_ = aContext.now_;
  const auto& state = aContext.state_;
  const auto choiceIndex = aContext.group_.choice_index();
  aContext.actions_.push_back(PromoteTarget{
    .fence_ = GetFence(aContext),
    .group_ = aContext.group_.group(),
    .target_ = aTarget.target(),
    .address_ = aTarget.address(),
    .term_ = progress.promotionTerm_,
    .incarnation_ = aTarget.incarnation(),
    .startOffset_ = GetChosenStart(aContext.group_),
    .dialect_ = aTarget.dialect(),
    .leaderTerm_ = state.leaderTerm_,
    .choiceIndex_ = choiceIndex,
    .chosenByEarlierLeader_ = choiceIndex < state.leaderIndex_,
    .leaseUntil_ = state.leaderLeaseUntil_,
  });
}

//! False when the chosen target lost its data: its log ends before the start
//! of its term, or its incarnation has changed. It then does not have the log
//! that was chosen.
bool
IsChosenLog(const GroupContext& aContext, const wire::TargetReport& aReport)
{
  const auto& group = aContext.group_;
  const auto* target = positions::FindTarget(group, aReport.target());
  return target != nullptr && aReport.incarnation() == target->incarnation() &&
         aReport.synced_offset() >= GetChosenStart(group);
}

//! True when the chosen target leads its term. A target that numbers terms
//! itself (counts_terms) may lead any later term.
bool
LeadsChoice(const GroupContext& aContext, const wire::TargetReport& aReport)
{
  const auto& group = aContext.group_;
  const auto* target = positions::FindTarget(group, aReport.target());
  if (target == nullptr || !aReport.primary() ||
      !IsChosenLog(aContext, aReport)) {
    return false;
  }
  return target->counts_terms()
           ? aReport.adopted_term() > group.term()
           : aReport.adopted_term() == GetLastChosenTerm(group);
}

void
ProposeConfirmation(GroupContext& aContext, const wire::TargetReport& aReport)
{
  const auto& group = aContext.group_;
  wire::ControlRecord record;
  auto* confirm = record.mutable_confirm();
  confirm->set_group(group.group());
  confirm->set_term(GetLastChosenTerm(group));
  confirm->set_target(aReport.target());
  confirm->set_start_offset(aReport.synced_offset());
  const auto* target = positions::FindTarget(group, aReport.target());
  if (target != nullptr && target->counts_terms()) {
    confirm->set_adopted_term(aReport.adopted_term());
  }
  ProposeRecord(aContext,
                std::move(record),
                "confirm " + aReport.target() + " as primary of " +
                  FormatTerm(aReport.adopted_term()));
}

//! Proposes the confirmation when a read shows that the chosen target leads:
//! an accepted promotion is completed without a further answer.
bool
ConfirmByRead(GroupContext& aContext)
{
  const auto& progress = aContext.progress_;
  const auto* report = FindOwnReport(
    aContext, aContext.group_.promoting(), *progress.promotionSince_);
  if (report == nullptr || !LeadsChoice(aContext, *report)) {
    return false;
  }
  ProposeConfirmation(aContext, *report);
  return true;
}

//! True once another choice is due: the chosen target does not respond, has
//! lost its data, or exceeds the group's `promotion_deadline`.
bool
ShouldAbandonPromotion(GroupContext& aContext, const wire::TargetState* aTarget)
{
  auto& progress = aContext.progress_;
  if (aTarget == nullptr || progress.promotionAbandoned_) {
    return true;
  }
  RequestRead(aContext, *aTarget, kRetryIntervalMs);
  const auto* report =
    FindOwnReport(aContext, aTarget->target(), *progress.promotionSince_);
  if (report != nullptr && !IsChosenLog(aContext, *report)) {
    return true;
  }
  const auto& read = progress.reads_[aTarget->target()];
  const bool unreachable =
    read.failingSince_ &&
    aContext.now_ - *read.failingSince_ >= kChosenUnreachableMs;
  const auto deadline =
    configuration::OptionDuration(aContext.group_, "promotion_deadline");
  return unreachable || aContext.now_ - *progress.promotionSince_ >= deadline;
}

//! Describes why no target is certain to hold every acknowledged write.
std::string
DescribeMissingMajority(const GroupContext& aContext, std::size_t aCandidates)
{
  std::string reason =
    "no majority: " + std::to_string(aCandidates) + " of " +
    std::to_string(positions::CountedTargetCount(aContext.group_)) +
    " counted targets answer and count";
  for (const auto& target : aContext.group_.targets()) {
    const auto* report =
      FindOwnReport(aContext, target.target(), *aContext.progress_.releasedAt_);
    if (target.counted() && report != nullptr && report->diverged()) {
      reason += ", " + target.target() + " has diverged";
    }
  }
  return reason;
}

foundation::Duration
GetRetryPause(const FailedPromotion& aFailure)
{
  auto pause = kFailedPromotionRetryMs;
  for (unsigned i = 1; i < aFailure.count_; ++i) {
    pause = std::min(2 * pause, kMaxFailedPromotionRetryMs);
  }
  return pause;
}

//! True when the committed choice still matches the candidate's log and names a
//! term that the candidate can lead.
bool
IsStillChosen(const GroupContext& aContext, const Candidate& aCandidate)
{
  const auto& group = aContext.group_;
  return group.promoting() == aCandidate.target_->target() &&
         aCandidate.report_->adopted_term() < GetLastChosenTerm(group) &&
         IsChosenLog(aContext, *aCandidate.report_);
}

//! Proposes the choice of a candidate. A candidate whose promotion failed waits
//! for its retry; the choice is not committed again if it still is the last
//! one.
void
TryCandidate(GroupContext& aContext, const Candidate& aCandidate)
{
  auto& progress = aContext.progress_;
  if (!aCandidate.target_->counted()) {
    auto state = *aCandidate.target_;
    state.set_counted(true);
    ProposeAdmission(
      aContext, std::move(state), "it holds every acknowledged write");
    return;
  }
  const auto* failure = FindFailure(aContext, aCandidate);
  if (failure != nullptr &&
      aContext.now_ - failure->at_ < GetRetryPause(*failure)) {
    SetWaitingReason(
      aContext,
      aCandidate.target_->target() +
        " has not come to lead, and no other target is sure to hold every "
        "acknowledged write: it is tried again");
    return;
  }
  if (failure != nullptr && IsStillChosen(aContext, aCandidate)) {
    progress.promotionSince_ = aContext.now_;
    progress.promotionRequestedAt_.reset();
    progress.promotionAbandoned_ = false;
    return;
  }
  ProposeChoice(aContext, aCandidate);
}

//! Reads the targets to choose from and tries the best safe one.
void
ReadAndChoose(GroupContext& aContext, Instant aSince)
{
  auto& progress = aContext.progress_;
  if (AdmitNewcomer(aContext)) {
    return;
  }
  RequestReads(aContext, aSince);
  const auto candidates = ListCandidates(aContext, aSince);
  const auto safe = FilterSafeCandidates(aContext, candidates);
  if (safe.empty()) {
    progress.safeSince_.reset();
    const bool oneReplica =
      GetAcknowledgement(aContext.group_) == Acknowledgement::OneReplica;
    SetWaitingReason(aContext,
                     oneReplica
                       ? DescribeMissingReplica(aContext, candidates)
                       : DescribeMissingMajority(aContext, candidates.size()));
    TryResume(aContext, candidates);
    return;
  }
  progress.safeSince_ = progress.safeSince_.value_or(aContext.now_);
  // Without majority acknowledgement, only the reads show which target has the
  // longest log, so the remaining ones get more time.
  const bool majority =
    GetAcknowledgement(aContext.group_) == Acknowledgement::Majority;
  const auto grace = majority ? kReadGraceMs : kAnswerTimeoutMs;
  if (!HaveAllAnswered(aContext, aSince) &&
      aContext.now_ - *progress.safeSince_ < grace) {
    return;
  }
  const auto chosen = ChooseCandidate(aContext, safe);
  if (!chosen) {
    SetWaitingReason(aContext, "waits for a replica to reach the old primary");
    return;
  }
  TryCandidate(aContext, *chosen);
}

//! Makes another choice due. It will use only new reads, as older ones may show
//! an unresponsive target as reachable.
void
AbandonPromotion(GroupContext& aContext)
{
  auto& progress = aContext.progress_;
  progress.promotionAbandoned_ = true;
  progress.releasedAt_ = aContext.now_;
  progress.safeSince_.reset();
}

//! Records that the promotion of the chosen target failed with the log that
//! this report shows.
void
RecordFailedPromotion(GroupContext& aContext,
                      const wire::TargetReport& aReport,
                      std::string_view aHow)
{
  auto& failure = aContext.progress_.failedPromotions_[aReport.target()];
  failure = { aReport.incarnation(),
              aReport.adopted_term(),
              aReport.synced_offset(),
              aContext.now_,
              failure.count_ + 1 };
  RecordDecision(aContext,
                 aReport.target() + std::string(aHow) +
                   FormatTerm(GetLastChosenTerm(aContext.group_)));
}

} // namespace

void
StepFenced(GroupContext& aContext)
{
  if (!aContext.state_.guards_.readAfterRelease_) {
    RequestReads(aContext, Instant::min());
  }
  if (!AreGrantsReleased(aContext)) {
    return;
  }
  const auto since = aContext.state_.guards_.readAfterRelease_
                       ? *aContext.progress_.releasedAt_
                       : Instant::min();
  ReadAndChoose(aContext, since);
}

void
StepPromotion(GroupContext& aContext)
{
  auto& progress = aContext.progress_;
  const auto& group = aContext.group_;
  const auto term = GetLastChosenTerm(group);
  if (progress.promotionTerm_ != term) {
    progress.promotionTerm_ = term;
    progress.promotionSince_ = aContext.now_;
    progress.promotionRequestedAt_.reset();
    progress.promotionAbandoned_ = false;
    progress.promotionAccepted_ = false;
  }
  const auto* target = positions::FindTarget(group, group.promoting());
  SetWaitingReason(aContext,
                   "waits for " + group.promoting() + " to lead " +
                     FormatTerm(term));
  if (ConfirmByRead(aContext)) {
    return;
  }
  if (!ShouldAbandonPromotion(aContext, target)) {
    PromoteChosen(aContext, *target);
    return;
  }
  if (!progress.promotionAbandoned_) {
    const auto* report =
      FindOwnReport(aContext, group.promoting(), *progress.promotionSince_);
    if (report != nullptr) {
      RecordFailedPromotion(aContext, *report, " does not come to lead ");
    }
    AbandonPromotion(aContext);
  }
  ReadAndChoose(aContext, *progress.releasedAt_);
}

void
ApplyPromotionAnswer(GroupContext& aContext, const PromotionAnswered& aAnswer)
{
  const auto& group = aContext.group_;
  // An answer with another fence belongs to an earlier leadership of this host.
  const bool current = group.promoting() == aAnswer.target_ &&
                       GetLastChosenTerm(group) == aAnswer.term_ &&
                       GetFence(aContext) == aAnswer.fence_;
  if (current && aAnswer.accepted_) {
    aContext.progress_.promotionAccepted_ = true;
    RecordDecision(aContext,
                   "the promotion of " + aAnswer.target_ + " was taken");
  }
  if (!current || !aAnswer.report_ || IsProposalPending(aContext)) {
    return;
  }
  const auto& report = *aAnswer.report_;
  if (!report.primary() && !aContext.progress_.promotionAbandoned_) {
    RecordFailedPromotion(aContext, report, " refuses to lead ");
    AbandonPromotion(aContext);
    return;
  }
  if (LeadsChoice(aContext, report)) {
    ProposeConfirmation(aContext, report);
  }
}

} // namespace wigeonlb::core::failover
