#include <catch2/catch.hpp>

#include "operator/internal/tokens.h"
#include "operator/statements.h"

namespace wigeonlb::operators {

namespace {

template<typename Body>
Body
ParseOne(std::string_view aText)
{
  foundation::Findings findings;
  const std::vector<Statement> statements = ParseStatements(aText, findings);
  CHECK(foundation::ToString(findings).empty());
  REQUIRE(statements.size() == 1);
  REQUIRE(std::holds_alternative<Body>(statements.front().body_));
  return std::get<Body>(statements.front().body_);
}

} // namespace

TEST_CASE("show accepts a table and conditions", "[statements]")
{
  struct Row
  {
    std::string text_;
    ShowKind kind_;
    std::string conditions_;
  };
  const auto row = GENERATE(values<Row>({
    { "show hosts", ShowKind::Hosts, "" },
    { "SHOW Targets", ShowKind::Targets, "" },
    { "show targets where data_centre = 'centro-a'",
      ShowKind::Targets,
      "data_centre=centro-a;" },
    { "show -- all of them; really\n grants where a=b and c = 'd''e; f' ;",
      ShowKind::Grants,
      "a=b;c=d'e; f;" },
    { "show members where role = ''", ShowKind::Members, "role=;" },
  }));
  const auto statement = ParseOne<ShowStatement>(row.text_);
  CHECK(statement.kind_ == row.kind_);
  std::string conditions;
  for (const Condition& condition : statement.conditions_) {
    conditions += condition.column_ + "=" + condition.value_ + ";";
  }
  CHECK(conditions == row.conditions_);
}

TEST_CASE("explain accepts a minimum position and a maximum staleness",
          "[statements]")
{
  struct Row
  {
    std::string text_;
    std::optional<foundation::LogPosition> floor_;
    std::optional<foundation::Duration> maxAge_;
  };
  const auto row = GENERATE(values<Row>({
    { "explain read orders-db/1", {}, {} },
    { "explain read orders-db/1 floor 3/1048576",
      foundation::LogPosition{ 3, 1048576 },
      {} },
    { "explain read orders-db/1 max_age '250ms'",
      {},
      std::chrono::milliseconds(250) },
    { "explain read 'orders-db/1' floor '1/2' max_age 2h",
      foundation::LogPosition{ 1, 2 },
      std::chrono::hours(2) },
  }));
  const auto statement = ParseOne<ExplainReadStatement>(row.text_);
  CHECK(statement.group_ == "orders-db/1");
  CHECK(statement.floor_ == row.floor_);
  CHECK(statement.maxAge_ == row.maxAge_);
}

TEST_CASE("statements are converted to the operations of one change",
          "[statements]")
{
  struct Row
  {
    std::string text_;
    std::string operations_;
  };
  const auto row = GENERATE(values<Row>({
    { "create group a/1", R"(operations { create_group { group: "a/1" } })" },
    { "create group a/1 with max_age = '5s', size = 3 if revision 41",
      R"(expected_revision: 41 operations { create_group { group: "a/1" )"
      R"(options { key: "max_age" value: "5s" } )"
      R"(options { key: "size" value: "3" } } })" },
    { "drop group a/1 if revision 7; drop group a/2 if revision 7",
      R"(expected_revision: 7 operations { drop_group { group: "a/1" } } )"
      R"(operations { drop_group { group: "a/2" } })" },
    { "set group a/1 x = 1, y = 'two words'",
      R"(operations { set_group_option { group: "a/1" key: "x" value: "1" } } )"
      R"(operations { set_group_option { group: "a/1" key: "y" )"
      R"(value: "two words" } })" },
    { "set system lease = 2s",
      R"(operations { set_system_option { key: "lease" value: "2s" } })" },
    { "drain target a/1 t1; undrain target a/1 't 2'",
      R"(operations { set_draining { group: "a/1" target: "t1" )"
      R"(draining: true } } operations { set_draining { group: "a/1" )"
      R"(target: "t 2" } })" },
    { "promote a/1 t1",
      R"(operations { request_promotion { group: "a/1" target: "t1" } })" },
  }));
  foundation::Findings findings;
  const auto statements = ParseStatements(row.text_, findings);
  const wire::ConfigurationChange change =
    ToChange(statements, "id", "ana", findings);
  CHECK(foundation::ToString(findings).empty());
  CHECK(change.ShortDebugString() ==
        R"(change_id: "id" operator_name: "ana" )" + row.operations_);
}

TEST_CASE("syntax errors state the place and what was expected", "[statements]")
{
  struct Row
  {
    std::string text_;
    std::string findings_;
  };
  const std::string tables = "hosts, groups, targets, sessions, grants, config,"
                             " metrics, members, why or help";
  const auto row = GENERATE_COPY(values<Row>({
    { "", "" },
    { " ; -- nothing; at all\n;", "" },
    { "list hosts",
      "1:1: expected show, explain, create, drop, set, drain, undrain or "
      "promote, found `list`\n" },
    { "show",
      "1:5: expected " + tables + ", found the end of the statement\n" },
    { "show hostss", "1:6: expected " + tables + ", found `hostss`\n" },
    { "show hosts\n  groups",
      "2:3: expected the end of the statement, found `groups`\n" },
    { "show hosts where\n  -- which?\n  a b", "3:5: expected =, found `b`\n" },
    { "show hosts where a = ",
      "1:22: expected a value, found the end of the statement\n" },
    { "show hosts where a = 'b",
      "1:24: expected a closing quote, found the end of the statement\n" },
    { "show why target x", "1:10: expected group, found `target`\n" },
    { "create group ''", "1:14: expected a group name, found `''`\n" },
    { "create group a with x 1", "1:23: expected =, found `1`\n" },
    { "create group a with x = 1,",
      "1:27: expected an option such as key = value, found the end of the "
      "statement\n" },
    { "drop group a if revision x",
      "1:26: expected a revision number, found `x`\n" },
    { "show hosts if revision 4",
      "1:12: expected the end of the statement, found `if`\n" },
    { "explain read a floor 3",
      "1:22: expected a position such as 3/1048576, found `3`\n" },
    { "explain read a max_age 5x",
      "1:24: expected a length of time such as '5s', found `5x`\n" },
    { "drain target a",
      "1:15: expected a target name, found the end of the statement\n" },
    { "set\n group a ; drop ; show hosts ; promote",
      "2:10: expected an option such as key = value, found the end of the "
      "statement\n"
      "2:17: expected group, found the end of the statement\n"
      "2:39: expected a group name, found the end of the statement\n" },
  }));
  foundation::Findings findings;
  ParseStatements(row.text_, findings);
  CHECK(foundation::ToString(findings) == row.findings_);
}

TEST_CASE("statements that can't form one change are reported", "[statements]")
{
  struct Row
  {
    std::string text_;
    std::string findings_;
  };
  const auto row = GENERATE(values<Row>({
    { "show hosts", "1:1: changes nothing\n" },
    { "drop group a if revision 3;\n drop group b if revision 4",
      "2:2: expects revision 4, an earlier statement of the same change "
      "expects 3\n" },
    { "set group a x = 1, x = 2", "1:1: option x is given twice\n" },
  }));
  foundation::Findings findings;
  const auto statements = ParseStatements(row.text_, findings);
  ToChange(statements, "id", "ana", findings);
  CHECK(foundation::ToString(findings) == row.findings_);
}

TEST_CASE("durations require a unit", "[statements]")
{
  struct Row
  {
    std::string text_;
    std::optional<std::int64_t> microseconds_;
  };
  const auto row = GENERATE(values<Row>({
    { "7us", 7 },
    { "5s", 5'000'000 },
    { "2min", 120'000'000 },
    { "0s", 0 },
    { "5", {} },
    { "", {} },
    { "-5s", {} },
    { "5 s", {} },
    { "9223372036854775807h", {} },
  }));
  foundation::Duration duration{ -1 };
  REQUIRE(ParseDuration(row.text_, duration) == row.microseconds_.has_value());
  CHECK(duration.count() == row.microseconds_.value_or(-1));
}

} // namespace wigeonlb::operators
