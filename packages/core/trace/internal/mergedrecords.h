#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "core/trace/tracefile.h"

namespace wigeonlb::core::trace::internal {

//! A record and the trace that it is in.
struct RecordLocation
{
  std::size_t trace_ = 0;
  const wire::TraceRecord* record_ = nullptr;
};

//! Records of the traces with one clock, oldest first.
struct ClockGroup
{
  std::string clock_; //!< empty: the only trace in it names none
  std::vector<RecordLocation> records_;
};

std::vector<ClockGroup>
MergeByClock(std::span<const Trace> aTraces);

} // namespace wigeonlb::core::trace::internal
