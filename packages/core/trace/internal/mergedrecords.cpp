#include "core/trace/internal/mergedrecords.h"

#include <algorithm>
#include <map>

namespace wigeonlb::core::trace::internal {

namespace {

//! Sorts records by time, because the threads of a host may append records in a
//! different order from that in which they read the clock.
void
SortByTime(std::vector<RecordLocation>& aRecords)
{
  std::ranges::stable_sort(aRecords, {}, [](const RecordLocation& aLocation) {
    return aLocation.record_->at_us();
  });
}

} // namespace

std::vector<ClockGroup>
MergeByClock(std::span<const Trace> aTraces)
{
  std::vector<ClockGroup> groups;
  std::map<std::string, std::size_t> byClock;
  for (std::size_t i = 0; i < aTraces.size(); ++i) {
    const std::string& clock = GetHeader(aTraces[i]).clock();
    const auto known = byClock.find(clock);
    std::size_t index = groups.size();
    if (!clock.empty() && known != byClock.end()) {
      index = known->second;
    } else {
      groups.push_back({ clock, {} });
      byClock[clock] = index;
    }
    for (const auto& record : aTraces[i].records_) {
      groups[index].records_.push_back({ i, &record });
    }
  }
  for (auto& group : groups) {
    SortByTime(group.records_);
  }
  return groups;
}

} // namespace wigeonlb::core::trace::internal
