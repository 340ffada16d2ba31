#include "core/trace/checktraces.h"

#include <algorithm>
#include <tuple>

#include "core/trace/internal/mergedrecords.h"
#include "core/trace/internal/rules.h"

namespace wigeonlb::core::trace {

std::vector<TraceFinding>
CheckTraces(std::span<const Trace> aTraces)
{
  std::vector<TraceFinding> findings;
  const auto clocks = internal::MergeByClock(aTraces);
  internal::RuleInput input{ aTraces, clocks, findings };
  internal::CheckControlRules(input);
  internal::CheckTrafficRules(input);
  std::ranges::stable_sort(findings, {}, [](const TraceFinding& aFinding) {
    return std::tuple(aFinding.trace_, aFinding.number_);
  });
  return findings;
}

} // namespace wigeonlb::core::trace
