#pragma once

#include <cstddef>
#include <vector>

#include "core/trace/checktraces.h"

namespace wigeonlb::core::trace {

//! Extent of the replay of one trace.
struct FailoverReplay
{
  std::size_t steps_ = 0; //!< number of replayed steps
  //! Line of the first step that could not be replayed because records before
  //! it are missing; 0 if there is none.
  std::uint64_t stoppedAt_ = 0;
};

//! Replays the decisions of the control leader from their recorded inputs, and
//! adds a finding for the first step whose actions differ from the recorded
//! ones. It then stops, as later steps would start from a different state.
//! aIndex is the index of the trace for use in findings.
FailoverReplay
ReplayFailover(const Trace& aTrace,
               std::size_t aIndex,
               std::vector<TraceFinding>& aFindings);

} // namespace wigeonlb::core::trace
