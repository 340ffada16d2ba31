#include "core/failover/tests/simulatedtarget.h"

#include <algorithm>

namespace wigeonlb::core::failover {

namespace {

bool
IsPrefix(const SimulatedTarget& aShort, const SimulatedTarget& aLong)
{
  const auto size = aShort.log_.size();
  return size <= aLong.log_.size() &&
         (size == 0 || aShort.log_.back() == aLong.log_[size - 1]);
}

void
RewindTo(SimulatedTarget& aReplica, const SimulatedTarget& aPrimary)
{
  while (!IsPrefix(aReplica, aPrimary)) {
    aReplica.log_.pop_back();
  }
  aReplica.synced_ = std::min(aReplica.synced_, aReplica.log_.size());
}

} // namespace

wire::TargetReport
MakeReport(const SimulatedTarget& aTarget,
           bool aReportsReceived,
           bool aReportsDivergence)
{
  wire::TargetReport report;
  report.set_group("g");
  report.set_target(aTarget.name_);
  report.set_reachable(true);
  report.set_primary(aTarget.primary_);
  report.set_adopted_term(aTarget.adopted_);
  report.set_synced_offset(aReportsReceived ? aTarget.log_.size()
                                            : aTarget.synced_);
  report.set_applied_offset(aTarget.synced_);
  report.set_incarnation(aTarget.incarnation_);
  report.set_diverged(aTarget.diverged_ && aReportsDivergence);
  return report;
}

bool
Promote(SimulatedTarget& aTarget, std::uint64_t aTerm)
{
  if (aTarget.diverged_ || aTarget.adopted_ > aTerm ||
      (aTarget.adopted_ == aTerm && !aTarget.primary_)) {
    return false;
  }
  aTarget.primary_ = true;
  aTarget.adopted_ = aTerm;
  aTarget.synced_ = aTarget.log_.size();
  return true;
}

std::uint64_t
Append(SimulatedTarget& aTarget, std::uint64_t aId)
{
  aTarget.log_.push_back({ aTarget.adopted_, aId });
  aTarget.synced_ = aTarget.log_.size();
  return aTarget.synced_;
}

void
Follow(SimulatedTarget& aReplica,
       const SimulatedTarget& aPrimary,
       std::size_t aCount)
{
  if (aReplica.diverged_ || aPrimary.adopted_ < aReplica.adopted_ ||
      (aReplica.primary_ && !aReplica.stepsDown_)) {
    return;
  }
  const bool later = aPrimary.adopted_ > aReplica.adopted_;
  if (aReplica.primary_ && !later) {
    return;
  }
  if (!IsPrefix(aReplica, aPrimary)) {
    if (aReplica.onDivergence_ == OnDivergence::Keep && later) {
      aReplica.adopted_ = aPrimary.adopted_;
      aReplica.primary_ = false;
      aReplica.diverged_ = true;
      return;
    }
    if (aReplica.onDivergence_ != OnDivergence::Rewind || !later) {
      return;
    }
    RewindTo(aReplica, aPrimary);
  }
  if (later) {
    aReplica.adopted_ = aPrimary.adopted_;
    aReplica.primary_ = false;
    return;
  }
  aReplica.synced_ = aReplica.log_.size();
  const auto begin = static_cast<std::ptrdiff_t>(aReplica.log_.size());
  const auto end = static_cast<std::ptrdiff_t>(
    std::min(aPrimary.log_.size(), aReplica.log_.size() + aCount));
  aReplica.log_.insert(aReplica.log_.end(),
                       aPrimary.log_.begin() + begin,
                       aPrimary.log_.begin() + end);
}

void
Kill(SimulatedTarget& aTarget)
{
  aTarget.up_ = false;
  aTarget.log_.resize(aTarget.synced_);
}

void
RestartEmpty(SimulatedTarget& aTarget)
{
  aTarget.up_ = true;
  aTarget.primary_ = false;
  aTarget.diverged_ = false;
  aTarget.adopted_ = 1;
  aTarget.log_.clear();
  aTarget.synced_ = 0;
  ++aTarget.incarnation_;
}

bool
Contains(const SimulatedTarget& aTarget, std::uint64_t aId)
{
  return std::ranges::find(aTarget.log_, aId, &LogEntry::id_) !=
         aTarget.log_.end();
}

} // namespace wigeonlb::core::failover
