#include <catch2/catch.hpp>

#include "testing/standin/statement.h"

namespace wigeonlb::testing::standin {

TEST_CASE("a query text is split into statements", "[statement]")
{
  using Texts = std::vector<std::string>;
  struct Row
  {
    std::string text_;
    Texts statements_;
  };
  const auto row = GENERATE(values<Row>({
    { "", {} },
    { " ; ;", {} },
    { "SELECT 1", { "SELECT 1" } },
    { "a; b ;c;", { "a", "b", "c" } },
    { "a ';' b; c", { "a ';' b", "c" } },
    { "a 'it''s;' b; c", { "a 'it''s;' b", "c" } },
    { "a \";\" b; c", { "a \";\" b", "c" } },
    { "a -- x;\n b; c", { "a -- x;\n b", "c" } },
    { "/* x; */ BEGIN; -- y", { "BEGIN" } },
    { "a 'open ; b", { "a 'open ; b" } },
    { "/* open ; b", {} },
  }));
  std::string_view rest = row.text_;
  std::string_view statement;
  Texts statements;
  while (ExtractStatement(rest, statement)) {
    statements.emplace_back(statement);
  }
  CHECK(statements == row.statements_);
}

TEST_CASE("calls of control functions are parsed", "[statement]")
{
  struct Row
  {
    std::string text_;
    bool call_;
    std::string name_;
    std::vector<std::string> arguments_;
  };
  const auto row = GENERATE(values<Row>({
    { "SELECT * FROM standin_status", true, "status", {} },
    { "select  *  from  standin_status", true, "status", {} },
    { "SELECT standin_promote(7)", true, "promote", { "7" } },
    { "SELECT standin_set('a', 'b c')", true, "set", { "a", "b", "c" } },
    { "SELECT standin_rebuild()", true, "rebuild", {} },
    { "SELECT * FROM standin_status WHERE 1", false, "", {} },
    { "SELECT 'standin_promote(7)'", false, "", {} },
    { "SELECT 1", false, "", {} },
  }));
  ControlCall call;
  CHECK(ParseControlCall(row.text_, call) == row.call_);
  CHECK(call.name_ == row.name_);
  CHECK(call.arguments_ == row.arguments_);
}

} // namespace wigeonlb::testing::standin
