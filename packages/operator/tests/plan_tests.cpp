#include <catch2/catch.hpp>

#include "operator/plan.h"

namespace wigeonlb::operators {

namespace {

CurrentState
MakeState()
{
  return ReadCurrentState(
    { { "name", "primary", "size" }, { { "a/1", "t1", "3" } } },
    { { "name", "value" }, { { "revision", "41" }, { "heartbeat", "1s" } } },
    { { "group", "target", "draining" }, { { "a/1", "t1", "yes" } } });
}

std::vector<PlanStep>
PlanStatements(std::string_view aText)
{
  foundation::Findings findings;
  const auto statements = ParseStatements(aText, findings);
  REQUIRE(findings.empty());
  return MakePlan(statements, MakeState());
}

} // namespace

TEST_CASE("a plan marks the steps that are already in effect", "[plan]")
{
  struct Row
  {
    std::string text_;
    std::string plan_;
  };
  const auto row = GENERATE(values<Row>({
    { "create group b/1 with size = 3; set group b/1 size = 3",
      "change     create group 'b/1' with 'size' = '3'\n"
      "unchanged  set group 'b/1' 'size' = '3'\n" },
    { "create group a/1 with size = 5, queue = 9",
      "unchanged  create group 'a/1'\n"
      "change     set group 'a/1' 'size' = '5'  (now 3)\n"
      "change     set group 'a/1' 'queue' = '9'\n" },
    { "set group a/1 size = 3", "unchanged  set group 'a/1' 'size' = '3'\n" },
    { "drop group a/1; create group a/1; drop group c",
      "change     drop group 'a/1'\n"
      "change     create group 'a/1'\n"
      "unchanged  drop group 'c'\n" },
    { "set system heartbeat = 2s, x = ''",
      "change     set system 'heartbeat' = '2s'  (now 1s)\n"
      "change     set system 'x' = ''\n" },
    { "drain target a/1 t1; undrain target a/1 t1; drain target a/1 't''2'",
      "unchanged  drain target 'a/1' 't1'\n"
      "change     undrain target 'a/1' 't1'\n"
      "change     drain target 'a/1' 't''2'\n" },
    { "promote a/1 t1; promote a/1 t2",
      "unchanged  promote 'a/1' 't1'\n"
      "change     promote 'a/1' 't2'  (now t1)\n" },
  }));
  CHECK(ToText(PlanStatements(row.text_)) == row.plan_);
}

TEST_CASE("a plan expects revision 0, but no unknown revision", "[plan]")
{
  const auto plan = PlanStatements("drop group a/1");
  CHECK(ToStatements(plan, 0) == "drop group 'a/1' if revision 0;\n");
  CHECK(ToStatements(plan, {}) == "drop group 'a/1';\n");
}

TEST_CASE("statements of a plan expect the revision that it is based on",
          "[plan]")
{
  struct Row
  {
    std::string text_;
    std::string sent_;
  };
  const auto row = GENERATE(values<Row>({
    { "set group a/1 size = 3", "" },
    { "drop group a/1; set group a/1 size = 3",
      "drop group 'a/1' if revision 41;\n"
      "set group 'a/1' 'size' = '3' if revision 41;\n" },
    { "drop group a/1 if revision 7", "drop group 'a/1' if revision 7;\n" },
  }));
  const std::string sent =
    ToStatements(PlanStatements(row.text_), MakeState().revision_);
  CHECK(sent == row.sent_);
  foundation::Findings findings;
  ParseStatements(sent, findings);
  CHECK(findings.empty());
}

} // namespace wigeonlb::operators
