#include <catch2/catch.hpp>

#include "http/httpclient.h"
#include "http/internal/requesttarget.h"

namespace wigeonlb::http {

TEST_CASE("request targets are split and decoded", "[requesttarget]")
{
  struct Row
  {
    std::string target_;
    bool valid_;
    std::string path_;
    std::map<std::string, std::string> query_;
  };
  const auto row = GENERATE(values<Row>({
    { "/statement", true, "/statement", {} },
    { "/a%20b?x=1&y=a+b%2F&z",
      true,
      "/a b",
      { { "x", "1" }, { "y", "a b/" }, { "z", "" } } },
    { "/?", true, "/", {} },
    { "/?&&a=b=c", true, "/", { { "a", "b=c" } } },
    { "/%2", false, "", {} },
    { "/%zz", false, "", {} },
    { "/?a=%f", false, "", {} },
  }));
  HttpRequest request;
  REQUIRE(ParseTarget(row.target_, request) == row.valid_);
  if (row.valid_) {
    CHECK(request.path_ == row.path_);
    CHECK(request.query_ == row.query_);
  }
}

TEST_CASE("ParseTarget decodes the output of EncodeQuery", "[requesttarget]")
{
  const std::string text = "orders-db/2 & 'a=b' %+\n\xc3\xa9";
  HttpRequest request;
  REQUIRE(ParseTarget("/?v=" + EncodeQuery(text), request));
  CHECK(request.query_["v"] == text);
}

TEST_CASE("a parameter is found in the query or in a header", "[requesttarget]")
{
  HttpRequest request;
  request.query_["operator"] = "ana";
  request.headers_["operator"] = "other";
  request.headers_["change-id"] = "c1";
  CHECK(FindParameter(request, "operator") == "ana");
  CHECK(FindParameter(request, "change_id") == "c1");
  CHECK(FindParameter(request, "format").empty());
}

} // namespace wigeonlb::http
