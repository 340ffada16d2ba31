#include <sstream>

#include <catch2/catch.hpp>

#include "core/trace/tests/traceparsing.h"
#include "core/trace/traceerrors.h"
#include "core/trace/tracereport.h"

namespace wigeonlb::core::trace::tests {

namespace {

std::string
MakeValidText()
{
  return ToText(ParseTraces(R"({"revision_in_force":{"revision":8}}
{"end":{"reason":"closed"}})")[0]);
}

std::string
ReplaceText(std::string aText, std::string_view aOld, std::string_view aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

} // namespace

TEST_CASE("a trace file can be read back", "[trace]")
{
  std::istringstream input(MakeValidText());
  std::vector<Trace> traces;
  foundation::Findings findings;
  REQUIRE_FALSE(ReadTraces(input, "t", traces, findings));
  CHECK(findings.empty());
  REQUIRE(traces.size() == 1);
  CHECK(ToText(traces[0]) == MakeValidText());
  CHECK(MakeReport(traces).summary_ ==
        "t: host h1, 3 records, 0 decisions repeated\n"
        "1 traces checked, 0 expected findings, 0 differences from the "
        "expected findings\n");
}

TEST_CASE("an invalid trace is refused and the error names its line", "[trace]")
{
  struct Row
  {
    std::string text_;
    TraceError error_;
    std::string location_;
  };
  const std::string valid = MakeValidText();
  const auto row = GENERATE_COPY(values<Row>({
    { "", TraceError::MissingHeader, "t:1" },
    { valid.substr(valid.find('\n') + 1), TraceError::MissingHeader, "t:1" },
    { ReplaceText(valid, "\"version\":1", "\"version\":2,\"new\":3"),
      TraceError::WrongVersion,
      "t:1" },
    { valid.substr(0, valid.size() - 4), TraceError::Truncated, "t:3" },
    { ReplaceText(valid, "revision\":\"8", "revision\":\"x"),
      TraceError::Corrupt,
      "t:2" },
    { ReplaceText(valid, "revision_in", "revisioxin"),
      TraceError::Corrupt,
      "t:2" },
    { ReplaceText(valid, "\"number\":\"2\"", "\"number\":\"5\""),
      TraceError::OutOfOrder,
      "t:2" },
    { ReplaceText(valid, "{\"revision\":\"8\"}", "null"),
      TraceError::Corrupt,
      "t:2" },
  }));
  INFO(row.text_);
  std::istringstream input(row.text_);
  std::vector<Trace> traces;
  foundation::Findings findings;
  CHECK(ReadTraces(input, "t", traces, findings) == row.error_);
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].location_ == row.location_);
  CHECK(
    findings[0].message_.starts_with(make_error_code(row.error_).message()));
}

} // namespace wigeonlb::core::trace::tests
