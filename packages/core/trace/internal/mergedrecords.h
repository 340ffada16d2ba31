#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "core/trace/tracefile.h"

namespace wigeonlb::core::trace::internal {

//! A record and the index of its trace.
struct RecordLocation
{
  std::size_t trace_ = 0;
  const wire::TraceRecord* record_ = nullptr;
};

//! Records of all traces whose timestamps are from the same clock, oldest
//! first.
struct ClockGroup
{
  std::string clock_; //!< empty for a single trace that names no clock
  std::vector<RecordLocation> records_;
};

//! Merges the records of traces with the same clock. A trace that names no
//! clock forms a group of its own.
std::vector<ClockGroup>
MergeByClock(std::span<const Trace> aTraces);

} // namespace wigeonlb::core::trace::internal
