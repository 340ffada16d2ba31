#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "core/trace/checktraces.h"
#include "core/trace/replayfailover.h"
#include "foundation/findings.h"

namespace wigeonlb::core::trace {

//! Result of checking and replaying traces.
struct TraceReport
{
  std::vector<TraceFinding> found_; //!< all findings, including expected ones
  //! Differences from the findings that the headers declare as expected:
  //! findings that are not declared, and declared ones that were not found.
  foundation::Findings unexpected_;
  std::string summary_; //!< one line per trace, and a line with the totals
};

//! Checks the invariants over all traces and replays the decisions in each.
TraceReport
MakeReport(std::span<const Trace> aTraces);

} // namespace wigeonlb::core::trace
