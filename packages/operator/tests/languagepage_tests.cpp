#include <catch2/catch.hpp>

#include <fstream>
#include <set>

#include "operator/statements.h"

namespace wigeonlb::operators {

namespace {

//! Reads the lines of the page's `sql` code blocks, one statement each.
std::vector<std::string>
ReadExamples()
{
  std::ifstream page(WIGEONLB_LANGUAGE_PAGE);
  REQUIRE(page);
  std::vector<std::string> examples;
  bool inside = false;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("```")) {
      inside = line == "```sql";
    } else if (inside) {
      examples.push_back(line);
    }
  }
  return examples;
}

} // namespace

TEST_CASE("the language page has a valid example of every statement",
          "[languagepage]")
{
  std::set<std::size_t> kinds;
  std::set<ShowKind> tables;
  std::set<bool> draining;
  for (const std::string& example : ReadExamples()) {
    foundation::Findings findings;
    const auto statements = ParseStatements(example, findings);
    INFO(example);
    CHECK(foundation::ToString(findings).empty());
    REQUIRE(statements.size() == 1);
    const StatementBody& body = statements.front().body_;
    kinds.insert(body.index());
    if (const auto* show = std::get_if<ShowStatement>(&body)) {
      tables.insert(show->kind_);
    }
    if (const auto* drain = std::get_if<DrainStatement>(&body)) {
      draining.insert(drain->draining_);
    }
  }
  CHECK(kinds.size() == std::variant_size_v<StatementBody>);
  CHECK(tables.size() == 8);
  CHECK(draining.size() == 2);
}

} // namespace wigeonlb::operators
