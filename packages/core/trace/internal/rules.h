#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/trace/checktraces.h"
#include "core/trace/internal/mergedrecords.h"

namespace wigeonlb::core::trace::internal {

//! What a set of rules works on.
struct RuleInput
{
  std::span<const Trace> traces_;
  std::span<const ClockGroup> clocks_;
  std::vector<TraceFinding>& findings_;
};

inline void
AddFinding(RuleInput& aInput,
           std::string_view aRule,
           const RecordLocation& aPlace,
           std::string aText)
{
  aInput.findings_.push_back({ std::string(aRule),
                               aPlace.trace_,
                               aPlace.record_->number(),
                               std::move(aText) });
}

//! Replicated log, configuration, grants, primaries, and what the history of
//! primaries says of acknowledged writes.
void
CheckControlRules(RuleInput& aInput);

//! Requests, reads, acknowledgements and connections of each owner.
void
CheckTrafficRules(RuleInput& aInput);

} // namespace wigeonlb::core::trace::internal
