#include "recording/ownertrace.h"

#include <utility>

namespace wigeonlb::daemon::recording {

namespace {

//! Numbers the incarnations of owner groups in this process, as the session
//! numbers of each start from the beginning.
std::uint64_t
AssignOwnerNumber()
{
  static std::atomic<std::uint64_t> last = 0;
  return ++last;
}

} // namespace

OwnerTrace::OwnerTrace(TraceRecorder* aRecorder, foundation::GroupName aGroup)
  : recorder_(aRecorder)
{
  recording_.group_ = std::move(aGroup);
  recording_.owner_ = AssignOwnerNumber();
}

void
OwnerTrace::RecordStep(const core::traffic::TrafficEvent& aEvent,
                       std::span<const core::traffic::TrafficAction> aActions,
                       foundation::Instant aNow)
{
  if (recorder_ == nullptr || !recorder_->IsOn()) {
    return;
  }
  records_.clear();
  core::trace::RecordStep(recording_, aEvent, aActions, aNow, records_);
  for (auto& record : records_) {
    recorder_->Record(std::move(record), aNow);
  }
}

} // namespace wigeonlb::daemon::recording
