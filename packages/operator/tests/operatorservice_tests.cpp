#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "operator/operatorservice.h"

namespace wigeonlb::operators {

namespace {

using nlohmann::json;

//! A test double of the daemon with fixed results. The results of `show` are
//! returned at the end of Post.
struct TestDaemon
{
  TestDaemon()
  {
    RegisterOperatorRoutes(
      router_,
      {
        .show_ =
          [this](ShowKind aKind, auto aDone) {
            waiting_.push_back([aKind, aDone] {
              aDone(
                { { { "name", "kind" },
                    { { "a", std::string(ToString(aKind)) }, { "b", "" } } },
                  "" });
            });
          },
        .why_ =
          [](const auto&, auto aDone) {
            aDone({ {}, "no such group" });
          },
        .explain_ =
          [](const auto& aExplain, auto aDone) {
            aDone({ { { "group" }, { { aExplain.group_ } } }, "" });
          },
        .submitChange_ =
          [this](wire::ConfigurationChange aChange, const auto& aDone) {
            change_ = std::move(aChange);
            aDone(changeAnswer_);
          },
      },
      metrics_);
  }

  //! Sends a body; the results of `show` arrive in reverse order.
  http::HttpResponse Post(const std::string& aBody,
                          std::map<std::string, std::string> aQuery = {})
  {
    http::HttpResponse response;
    const http::HttpRequest request{ .method_ = "POST",
                                     .path_ = "/statement",
                                     .query_ = std::move(aQuery),
                                     .body_ = aBody };
    router_.Handle(request, [&](http::HttpResponse aResponse) {
      response = std::move(aResponse);
      ++answers_;
    });
    for (; !waiting_.empty(); waiting_.pop_back()) {
      waiting_.back()();
    }
    CHECK(answers_ == 1);
    return response;
  }

  http::HttpRouter router_;
  foundation::MetricsRegistry metrics_;
  std::vector<std::function<void()>> waiting_;
  wire::ConfigurationChange change_;
  ChangeAnswer changeAnswer_;
  int answers_ = 0;
};

} // namespace

TEST_CASE("results are returned in the order of the queries",
          "[operatorservice]")
{
  struct Row
  {
    std::string body_;
    int status_;
    std::string text_;
  };
  const auto row = GENERATE(values<Row>({
    { "show hosts where name = a; show groups where name = a",
      200,
      "name  kind\na     hosts\n(1 row)\n\n"
      "name  kind\na     groups\n(1 row)\n" },
    { "explain read a/1", 200, "group\na/1\n(1 row)\n" },
    { "show metrics",
      200,
      "name  labels  value  mean_ms  p50_ms  p99_ms  "
      "max_ms\n(0 rows)\n" },
    { "show hosts;\nshow why group x; show groups where y = z",
      400,
      "2:1: no such group\n2:19: no column y; there are name, kind\n" },
    { "", 400, "1:1: expected a statement; try show help\n" },
    { "show hosts; drop group a",
      400,
      "1:1: queries and changes must be sent separately\n" },
    { "drop group",
      400,
      "1:11: expected a group name, found the end of the "
      "statement\n" },
  }));
  TestDaemon daemon;
  const http::HttpResponse response = daemon.Post(row.body_);
  CHECK(response.status_ == row.status_);
  CHECK(response.body_ == row.text_);
}

TEST_CASE("responses are available as JSON", "[operatorservice]")
{
  struct Row
  {
    std::string body_;
    std::string json_;
  };
  const auto row = GENERATE(values<Row>({
    { "show hosts where name = a",
      R"({"results": [{"columns": ["name", "kind"],
          "rows": [{"name": "a", "kind": "hosts"}]}]})" },
    { "show",
      R"({"errors": [{"place": "1:5", "message": "expected hosts, groups, )"
      R"(targets, sessions, grants, config, metrics, members, why or help, )"
      R"(found the end of the statement"}]})" },
    { "drop group a",
      R"({"change": {"change_id": "c", "state": "unknown", "accepted": false,
          "revision": 0, "message": ""}})" },
  }));
  TestDaemon daemon;
  const http::HttpResponse response =
    daemon.Post(row.body_, { { "format", "json" }, { "change_id", "c" } });
  CHECK(response.contentType_ == "application/json");
  CHECK(json::parse(response.body_) == json::parse(row.json_));
}

TEST_CASE("the response states the result of a change", "[operatorservice]")
{
  struct Row
  {
    ChangeState state_;
    bool accepted_;
    int status_;
    std::string text_;
  };
  const auto row = GENERATE(values<Row>({
    { ChangeState::Decided,
      true,
      200,
      "accepted as revision 8 (change id c)\n" },
    { ChangeState::Decided,
      false,
      409,
      "refused at revision 8: exists (change id c)\n" },
    { ChangeState::NotDecided,
      false,
      503,
      "not decided, and will not be: no leader (change id c)\n" },
    { ChangeState::Unknown,
      false,
      503,
      "unknown, resend with the same change id: no leader (change id c)\n" },
  }));
  TestDaemon daemon;
  daemon.changeAnswer_.state_ = row.state_;
  daemon.changeAnswer_.result_.set_accepted(row.accepted_);
  daemon.changeAnswer_.result_.set_revision(8);
  daemon.changeAnswer_.result_.set_message("exists\n");
  daemon.changeAnswer_.message_ = "no leader";
  daemon.changeAnswer_.retryAfter_ = std::chrono::milliseconds(1200);
  const http::HttpResponse response =
    daemon.Post("create group a; drop group b",
                { { "change_id", "c" }, { "operator", "ana" } });
  CHECK(response.status_ == row.status_);
  CHECK(response.body_ == row.text_);
  CHECK(response.headers_.contains("Retry-After") == (row.status_ == 503));
  CHECK(daemon.change_.operations_size() == 2);
  CHECK(daemon.change_.operator_name() == "ana");
  CHECK(daemon.change_.change_id() == "c");
}

TEST_CASE("a change without an id gets one", "[operatorservice]")
{
  TestDaemon daemon;
  daemon.Post("drop group a");
  CHECK(daemon.change_.change_id().size() == 32);
  CHECK(daemon.change_.operator_name() == "unnamed");
}

} // namespace wigeonlb::operators
