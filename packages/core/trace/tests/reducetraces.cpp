#include "core/trace/tests/reducetraces.h"

#include <algorithm>
#include <set>

namespace wigeonlb::core::trace::tests {

namespace {

std::size_t
CountApplied(const Trace& aTrace)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aTrace.records_, [](const auto& aRecord) {
      return aRecord.has_applied();
    }));
}

//! Keeps the records that ReduceTraces documents. The trace is scanned from the
//! end, to find the last grant and the last write of each term.
Trace
Reduce(const Trace& aTrace)
{
  std::set<std::uint64_t> acknowledged; // terms
  std::set<std::uint64_t> granted;
  Trace reduced{ aTrace.name_, {} };
  for (auto record = aTrace.records_.rbegin(); record != aTrace.records_.rend();
       ++record) {
    const bool lastWrite =
      record->has_write_acknowledged() &&
      acknowledged.insert(record->write_acknowledged().position().term())
        .second;
    const bool grant =
      record->has_grant_held() &&
      granted.insert(record->grant_held().grant().term()).second;
    if (record->has_header() || record->has_applied() ||
        record->has_group_in_force() || lastWrite || grant) {
      reduced.records_.push_back(*record);
    }
  }
  std::ranges::reverse(reduced.records_);
  return reduced;
}

} // namespace

std::vector<Trace>
ReduceTraces(const std::vector<Trace>& aTraces)
{
  const auto mostApplied = std::ranges::max_element(aTraces, {}, CountApplied);
  std::vector<Trace> reduced;
  for (auto trace = aTraces.begin(); trace != aTraces.end(); ++trace) {
    if (trace == mostApplied || CountApplied(*trace) == 0) {
      reduced.push_back(Reduce(*trace));
    }
  }
  return reduced;
}

std::string
FormatFile(std::vector<Trace> aTraces, const std::string& aNote)
{
  std::uint64_t number = 0;
  for (auto& trace : aTraces) {
    for (auto& record : trace.records_) {
      record.set_number(++number);
    }
  }
  aTraces[0].records_[0].mutable_header()->set_note(aNote);
  for (const auto& finding : CheckTraces(aTraces)) {
    auto& header = *aTraces[finding.trace_].records_[0].mutable_header();
    auto& expected = *header.add_expected();
    expected.set_rule(finding.rule_);
    expected.set_number(finding.number_);
  }
  std::string text;
  for (const auto& trace : aTraces) {
    for (const auto& record : trace.records_) {
      text += ToJsonLine(record);
    }
  }
  return text;
}

} // namespace wigeonlb::core::trace::tests
