#include "core/trace/tracereport.h"

#include <algorithm>

namespace wigeonlb::core::trace {

namespace {

std::string
FormatLocation(const Trace& aTrace, std::uint64_t aNumber)
{
  return aTrace.name_ + ":" + std::to_string(aNumber);
}

bool
IsExpected(const TraceFinding& aFinding, const Trace& aTrace)
{
  return std::ranges::any_of(GetHeader(aTrace).expected(),
                             [&](const wire::ExpectedFinding& aExpected) {
                               return aExpected.rule() == aFinding.rule_ &&
                                      aExpected.number() == aFinding.number_;
                             });
}

//! Adds the expected findings of one trace that were not found.
void
AddMissingFindings(std::span<const TraceFinding> aFound,
                   std::span<const Trace> aTraces,
                   std::size_t aIndex,
                   foundation::Findings& aUnexpected)
{
  for (const auto& expected : GetHeader(aTraces[aIndex]).expected()) {
    const bool found =
      std::ranges::any_of(aFound, [&](const TraceFinding& aFinding) {
        return aFinding.trace_ == aIndex && aFinding.rule_ == expected.rule() &&
               aFinding.number_ == expected.number();
      });
    if (!found) {
      foundation::AddFinding(aUnexpected,
                             FormatLocation(aTraces[aIndex], expected.number()),
                             expected.rule() + ": expected, but not found");
    }
  }
}

std::uint64_t
CountDroppedRecords(const Trace& aTrace)
{
  std::uint64_t lost = 0;
  for (const auto& record : aTrace.records_) {
    lost += record.dropped().records();
  }
  return lost;
}

std::string
DescribeEnd(const Trace& aTrace)
{
  const auto& last = aTrace.records_.back();
  if (!last.has_end()) {
    return "; not closed: the process did not shut down normally";
  }
  return last.end().reason() == "limit" ? "; ended at its size limit" : "";
}

std::string
Describe(const Trace& aTrace, const FailoverReplay& aReplay)
{
  const auto& header = GetHeader(aTrace);
  std::string text = aTrace.name_ + ": host " + header.host() + ", " +
                     std::to_string(aTrace.records_.size()) + " records, " +
                     std::to_string(aReplay.steps_) + " decisions repeated";
  if (aReplay.stoppedAt_ != 0) {
    text += " (no replay from line " + std::to_string(aReplay.stoppedAt_) +
            " on: records are missing)";
  }
  if (const auto lost = CountDroppedRecords(aTrace); lost != 0) {
    text += "; " + std::to_string(lost) + " records were lost";
  }
  return text + DescribeEnd(aTrace) + "\n";
}

} // namespace

TraceReport
MakeReport(std::span<const Trace> aTraces)
{
  TraceReport report;
  report.found_ = CheckTraces(aTraces);
  for (std::size_t i = 0; i < aTraces.size(); ++i) {
    const auto replay = ReplayFailover(aTraces[i], i, report.found_);
    report.summary_ += Describe(aTraces[i], replay);
  }
  for (const auto& finding : report.found_) {
    const Trace& trace = aTraces[finding.trace_];
    if (!IsExpected(finding, trace)) {
      foundation::AddFinding(report.unexpected_,
                             FormatLocation(trace, finding.number_),
                             finding.rule_ + ": " + finding.text_);
    }
  }
  for (std::size_t i = 0; i < aTraces.size(); ++i) {
    AddMissingFindings(report.found_, aTraces, i, report.unexpected_);
  }
  const auto expected =
    std::ranges::count_if(report.found_, [&](const TraceFinding& aFinding) {
      return IsExpected(aFinding, aTraces[aFinding.trace_]);
    });
  report.summary_ += std::to_string(aTraces.size()) + " traces checked, " +
                     std::to_string(expected) + " expected findings, " +
                     std::to_string(report.unexpected_.size()) +
                     " differences from the expected findings\n";
  return report;
}

} // namespace wigeonlb::core::trace
