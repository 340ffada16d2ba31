#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/trace/checktraces.h"
#include "core/trace/internal/mergedrecords.h"

namespace wigeonlb::core::trace::internal {

//! Input of a set of rules, and the list to which it adds its findings.
struct RuleInput
{
  std::span<const Trace> traces_;
  std::span<const ClockGroup> clocks_;
  std::vector<TraceFinding>& findings_;
};

//! Adds a finding for the record at aLocation.
inline void
AddFinding(RuleInput& aInput,
           std::string_view aRule,
           const RecordLocation& aLocation,
           std::string aText)
{
  aInput.findings_.push_back({ std::string(aRule),
                               aLocation.trace_,
                               aLocation.record_->number(),
                               std::move(aText) });
}

//! Checks the rules about the replicated log, the configuration, grants and
//! primaries, and whether acknowledged writes are in the log of each confirmed
//! primary.
void
CheckControlRules(RuleInput& aInput);

//! Checks the rules about the requests, reads, acknowledgements and connections
//! of each owner.
void
CheckTrafficRules(RuleInput& aInput);

} // namespace wigeonlb::core::trace::internal
