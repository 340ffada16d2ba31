#include <catch2/catch.hpp>

#include "foundation/findings.h"
#include "foundation/logging.h"

namespace wigeonlb::foundation {

TEST_CASE("findings are formatted with their locations", "[findings]")
{
  Findings findings;
  AddFinding(findings, "--host-id", "must not be empty");
  AddFinding(findings, "WIGEONLB_DRAIN_MS", "expected a whole number");
  CHECK(ToString(findings) == "--host-id: must not be empty\n"
                              "WIGEONLB_DRAIN_MS: expected a whole number\n");
}

TEST_CASE("log lines quote values that would break the line", "[logging]")
{
  struct Row
  {
    std::string value_;
    std::string line_;
  };
  const auto row = GENERATE(values<Row>({
    { "centro-a", "event=joined host=centro-a" },
    { "two words", "event=joined host=\"two words\"" },
    { "", "event=joined host=\"\"" },
  }));
  const LogField fields[] = { { "host", row.value_ } };
  CHECK(FormatLogLine("joined", fields) == row.line_);
}

} // namespace wigeonlb::foundation
