#include <catch2/catch.hpp>

#include "traffic/connectionstate.h"

namespace wigeonlb::daemon::traffic {

namespace {

using Values = std::map<std::string, std::string>;

constexpr target::Dialect kDialect = {
  .name_ = "test",
  .setPrefix_ = "SET ",
  .resetStatement_ = "RESET",
};

wire::ForwardRequest
MakeRequest(const Values& aValues, const std::string& aPrepared = "")
{
  wire::ForwardRequest request;
  for (const auto& [name, value] : aValues) {
    auto& wanted = *request.add_values();
    wanted.set_name(name);
    wanted.set_value(value);
  }
  if (!aPrepared.empty()) {
    request.mutable_prepared()->set_name(aPrepared);
    request.mutable_prepared()->set_definition("PREPARE " + aPrepared);
  }
  return request;
}

std::string
JoinTexts(const std::vector<target::Query>& aQueries)
{
  std::string text;
  for (const target::Query& query : aQueries) {
    CHECK(query.id_.empty());
    text += (text.empty() ? "" : ";") + query.text_;
  }
  return text;
}

} // namespace

TEST_CASE("setup queries apply only what a connection lacks of a session",
          "[connectionstate]")
{
  struct Row
  {
    Values before_;
    Values after_;
    std::string prepared_;
    std::string queries_;
  };
  const auto row = GENERATE(values<Row>({
    { {}, {}, "", "" },
    { {}, { { "a", "1" } }, "", "SET a 1" },
    { { { "a", "1" } }, { { "a", "1" } }, "", "" },
    { { { "a", "1" } }, { { "a", "2" } }, "", "SET a 2" },
    { { { "a", "1" } }, {}, "", "RESET" },
    { { { "a", "1" }, { "b", "2" } }, { { "b", "2" } }, "", "RESET;SET b 2" },
    { {}, {}, "p", "PREPARE p" },
    { { { "a", "1" } }, { { "a", "1" } }, "p", "PREPARE p" },
    { {}, { { "a", "1" } }, "p", "SET a 1;PREPARE p" },
  }));
  ConnectionState state;
  BuildSetupQueries(state, MakeRequest(row.before_), kDialect);
  const auto request = MakeRequest(row.after_, row.prepared_);
  CHECK(JoinTexts(BuildSetupQueries(state, request, kDialect)) == row.queries_);
  CHECK(BuildSetupQueries(state, request, kDialect).empty());
}

TEST_CASE("a reset also discards prepared statements", "[connectionstate]")
{
  ConnectionState state;
  BuildSetupQueries(state, MakeRequest({ { "a", "1" } }, "p"), kDialect);
  CHECK(JoinTexts(BuildSetupQueries(state, MakeRequest({}, "p"), kDialect)) ==
        "RESET;PREPARE p");
}

TEST_CASE("the prepared statements of a connection are limited",
          "[connectionstate]")
{
  ConnectionState state;
  for (std::size_t i = 0; i < kPreparedLimit; ++i) {
    BuildSetupQueries(
      state, MakeRequest({}, "p" + std::to_string(i)), kDialect);
  }
  auto request = MakeRequest({});
  request.set_statement_class(wire::STATEMENT_BEGIN);
  CHECK(JoinTexts(BuildSetupQueries(state, request, kDialect)) == "RESET");
  CHECK(state.prepared_.empty());
}

} // namespace wigeonlb::daemon::traffic
