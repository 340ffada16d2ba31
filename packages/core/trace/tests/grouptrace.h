#pragma once

#include <vector>

#include "core/trace/checktraces.h"
#include "core/trace/trafficrecords.h"
#include "core/traffic/tests/schedule.h"

namespace wigeonlb::core::trace::tests {

//! Records the steps of a simulated owner in the way the daemon does.
class GroupTrace
{
public:
  //! Observes the group from now on. Both must stay alive until its run ends.
  explicit GroupTrace(traffic::tests::FakeGroup& aGroup);
  GroupTrace(const GroupTrace&) = delete;
  GroupTrace& operator=(const GroupTrace&) = delete;

  const std::vector<Trace>& Traces() const { return traces_; }

private:
  TrafficRecorderState recording_;
  std::vector<Trace> traces_; //!< a single trace
};

} // namespace wigeonlb::core::trace::tests
