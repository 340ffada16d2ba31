#pragma once

#include <vector>

#include "core/trace/checktraces.h"
#include "core/trace/trafficrecords.h"
#include "core/traffic/tests/schedule.h"

namespace wigeonlb::core::trace::tests {

//! Records an owner's steps, as the daemon does.
class GroupTrace
{
public:
  //! Observes the group from now on; both must live until its run ends.
  explicit GroupTrace(traffic::tests::FakeGroup& aGroup);
  GroupTrace(const GroupTrace&) = delete;
  GroupTrace& operator=(const GroupTrace&) = delete;

  const std::vector<Trace>& Traces() const { return traces_; }

private:
  TrafficRecorderState recording_;
  std::vector<Trace> traces_; //!< one
};

} // namespace wigeonlb::core::trace::tests
