#pragma once

#include <span>
#include <vector>

#include "core/trace/trafficrecords.h"
#include "recording/tracerecorder.h"

namespace wigeonlb::daemon::recording {

//! Records the steps of one owner group. Used on its traffic thread.
class OwnerTrace
{
public:
  //! Without a recorder, nothing is recorded.
  OwnerTrace(TraceRecorder* aRecorder, foundation::GroupName aGroup);

  void RecordStep(const core::traffic::TrafficEvent& aEvent,
                  std::span<const core::traffic::TrafficAction> aActions,
                  foundation::Instant aNow);

private:
  TraceRecorder* recorder_;
  core::trace::TrafficRecorderState recording_;
  std::vector<wire::TraceRecord> records_;
};

} // namespace wigeonlb::daemon::recording
