#include "core/failover/internal/departedtargets.h"

#include <algorithm>
#include <utility>

#include "core/failover/internal/announcedtargets.h"
#include "core/failover/internal/countedtargets.h"
#include "core/positions/positions.h"

namespace wigeonlb::core::failover {

using foundation::Instant;
using foundation::LogPosition;

namespace {

std::string
JoinNames(const wire::GroupState& aGroup)
{
  std::string names;
  for (const auto& departed : aGroup.departed()) {
    names +=
      departed.target() + "@" + std::to_string(departed.incarnation()) + ",";
  }
  return names;
}

wire::TargetState
MakeFormerState(const wire::DepartedTarget& aDeparted)
{
  wire::TargetState state;
  state.set_target(aDeparted.target());
  state.set_address(aDeparted.address());
  state.set_incarnation(aDeparted.incarnation());
  return state;
}

//! True once the target no longer answers at its address. One that said that it
//! ends may still receive for a moment.
bool
HasStopped(GroupContext& aContext,
           const wire::DepartedTarget& aDeparted,
           Instant aSince)
{
  const auto& group = aContext.group_;
  if (positions::FindTarget(group, aDeparted.target()) != nullptr) {
    return true; // it started again with other data
  }
  RequestRead(aContext, MakeFormerState(aDeparted), kPollIntervalMs);
  const auto& read = aContext.progress_.reads_[aDeparted.target()];
  return read.failingSince_ && read.lastFailedAt_ >= aSince;
}

//! The time at which all departed targets were known to have stopped, as seen
//! by this leader; empty until then.
std::optional<Instant>
UpdateStoppedAt(GroupContext& aContext)
{
  const auto& group = aContext.group_;
  SettlingDeparted& settling = aContext.progress_.settling_;
  const auto names = JoinNames(group);
  if (settling.names_ != names) {
    settling = { names, aContext.now_, std::nullopt, std::nullopt };
  }
  if (!settling.stoppedAt_) {
    bool stopped = true;
    for (const auto& departed : group.departed()) {
      stopped = HasStopped(aContext, departed, settling.since_) && stopped;
    }
    if (stopped) {
      settling.stoppedAt_ = aContext.now_;
    }
  }
  return settling.stoppedAt_;
}

//! The position of the live primary, read after aSince; empty until it was
//! read.
std::optional<LogPosition>
ReadPrimary(GroupContext& aContext, Instant aSince)
{
  const auto& group = aContext.group_;
  const auto* primary = positions::FindTarget(group, group.primary());
  if (primary == nullptr) {
    return std::nullopt;
  }
  RequestRead(aContext, *primary, kPollIntervalMs);
  const auto* report = FindOwnReport(aContext, group.primary(), aSince);
  if (report == nullptr || !report->primary() ||
      report->adopted_term() != group.term() ||
      report->incarnation() != primary->incarnation()) {
    return std::nullopt;
  }
  return positions::GetWrittenPosition(*report, group);
}

//! A target at the address of a departed one has its log if it does not end
//! before what was read of that.
bool
HasTakenOver(const Candidate& aCandidate, const wire::DepartedTarget& aDeparted)
{
  const LogPosition read{ aDeparted.read_term(), aDeparted.read_offset() };
  return aCandidate.target_->address() == aDeparted.address() &&
         aCandidate.target_->target() != aDeparted.target() &&
         aCandidate.position_ >= read;
}

} // namespace

bool
RemembersDeparted(const wire::GroupState& aGroup)
{
  return GetAcknowledgement(aGroup) == Acknowledgement::OneReplica;
}

wire::DepartedTarget
MakeDeparted(const GroupContext& aContext, const wire::TargetState& aTarget)
{
  wire::DepartedTarget departed;
  departed.set_target(aTarget.target());
  departed.set_address(aTarget.address());
  departed.set_incarnation(aTarget.incarnation());
  const auto* newest = membership::FindNewestReport(
    aContext.state_.membership_, aContext.group_.group(), aTarget.target());
  if (newest != nullptr &&
      newest->report_.incarnation() == aTarget.incarnation()) {
    const auto position =
      positions::GetWrittenPosition(newest->report_, aContext.group_);
    departed.set_read_term(position.term_);
    departed.set_read_offset(position.offset_);
  }
  return departed;
}

void
ForgetSettledDeparted(GroupContext& aContext)
{
  const auto& group = aContext.group_;
  if (group.departed().empty()) {
    return;
  }
  const auto stoppedAt = UpdateStoppedAt(aContext);
  if (!stoppedAt) {
    return;
  }
  auto& position = aContext.progress_.settling_.position_;
  if (!position) {
    position = ReadPrimary(aContext, *stoppedAt);
  }
  const bool settled =
    position && std::ranges::any_of(group.targets(), [&](const auto& aTarget) {
      return aTarget.counted() && aTarget.target() != group.primary() &&
             HasReached(aContext, aTarget, *position, *stoppedAt);
    });
  if (!settled) {
    return;
  }
  wire::ControlRecord record;
  record.mutable_forget()->set_group(group.group());
  for (const auto& departed : group.departed()) {
    record.mutable_forget()->add_targets(departed.target());
  }
  ProposeRecord(aContext,
                std::move(record),
                "another replica holds what " + ListDepartedNames(group) +
                  " had");
}

bool
AdmitSuccessor(GroupContext& aContext)
{
  const auto& group = aContext.group_;
  for (const auto* announcement : FindLiveAnnouncements(aContext)) {
    const bool succeeds =
      std::ranges::any_of(group.departed(), [&](const auto& aDeparted) {
        return aDeparted.address() == announcement->address() &&
               aDeparted.target() != announcement->target();
      });
    if (!succeeds ||
        positions::FindTarget(group, announcement->target()) != nullptr) {
      continue;
    }
    auto state = MakeTargetState(*announcement);
    state.set_counted(true);
    ProposeAdmission(aContext, std::move(state), "it succeeds a departed one");
    return true;
  }
  return false;
}

std::size_t
CountMissingDeparted(const GroupContext& aContext,
                     std::span<const Candidate> aCandidates)
{
  if (!aContext.state_.guards_.departedBounds_) {
    return 0;
  }
  return static_cast<std::size_t>(std::ranges::count_if(
    aContext.group_.departed(), [&](const auto& aDeparted) {
      return std::ranges::none_of(aCandidates,
                                  [&](const Candidate& aCandidate) {
                                    return HasTakenOver(aCandidate, aDeparted);
                                  });
    }));
}

std::string
ListDepartedNames(const wire::GroupState& aGroup)
{
  std::string names;
  for (const auto& departed : aGroup.departed()) {
    names += (names.empty() ? "" : ", ") + departed.target();
  }
  return names;
}

} // namespace wigeonlb::core::failover
