#include "core/trace/tests/traceparsing.h"

#include <sstream>

#include <catch2/catch.hpp>
#include <google/protobuf/util/json_util.h>

namespace wigeonlb::core::trace::tests {

namespace {

Trace
MakeTrace(std::size_t aIndex)
{
  Trace trace;
  trace.name_ = "h" + std::to_string(aIndex + 1);
  auto& record = trace.records_.emplace_back();
  record.set_number(1);
  record.mutable_header()->set_version(kTraceVersion);
  record.mutable_header()->set_host(trace.name_);
  record.mutable_header()->set_clock("test");
  return trace;
}

} // namespace

std::vector<Trace>
ParseTraces(std::string_view aText)
{
  std::vector<Trace> traces{ MakeTrace(0) };
  std::istringstream input{ std::string(aText) };
  std::uint64_t atUs = 0;
  for (std::string line; std::getline(input, line);) {
    if (line == "---") {
      traces.push_back(MakeTrace(traces.size()));
      continue;
    }
    wire::TraceRecord record;
    INFO(line);
    const auto status =
      google::protobuf::util::JsonStringToMessage(line, &record);
    INFO(status.message());
    REQUIRE(status.ok());
    atUs = record.at_us() == 0 ? atUs + 1000 : record.at_us();
    record.set_at_us(atUs);
    record.set_number(traces.back().records_.size() + 1);
    traces.back().records_.push_back(std::move(record));
  }
  return traces;
}

std::string
ToText(const Trace& aTrace)
{
  std::string text;
  for (const auto& record : aTrace.records_) {
    text += ToJsonLine(record);
  }
  return text;
}

} // namespace wigeonlb::core::trace::tests
