#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "control.pb.h"
#include "foundation/identifiers.h"

namespace wigeonlb::daemon::traffic {

//! The newest reports of acknowledged writes, from the traffic threads to the
//! control thread. A report is stored before the callers get their answers, so
//! that a release that the control thread sends later includes it.
class AcknowledgedReports
{
public:
  void Set(const wire::AcknowledgedWrites& aWrites)
  {
    const std::lock_guard lock(mutex_);
    changed_[aWrites.group()] = aWrites;
  }

  //! The reports since the last call, at most one for each group.
  std::vector<wire::AcknowledgedWrites> Take()
  {
    std::map<foundation::GroupName, wire::AcknowledgedWrites> changed;
    {
      const std::lock_guard lock(mutex_);
      changed.swap(changed_);
    }
    std::vector<wire::AcknowledgedWrites> reports;
    reports.reserve(changed.size());
    for (auto& [group, writes] : changed) {
      reports.push_back(std::move(writes));
    }
    return reports;
  }

private:
  std::mutex mutex_;
  std::map<foundation::GroupName, wire::AcknowledgedWrites> changed_;
};

} // namespace wigeonlb::daemon::traffic
