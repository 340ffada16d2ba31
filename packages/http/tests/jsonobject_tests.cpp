#include <string>

#include <catch2/catch.hpp>

#include "http/jsonobject.h"

namespace wigeonlb::http {

namespace {

std::string
Nested(int aLevels)
{
  return "{\"a\":" + std::string(aLevels, '[') + std::string(aLevels, ']') +
         "}";
}

} // namespace

// Guards against a value that a later one of the same key hides.
TEST_CASE("a body that is not one JSON object with distinct keys has a finding",
          "[jsonobject]")
{
  const auto [text, valid] = GENERATE(table<std::string, bool>({
    { "{}", true },
    { R"({"a":1,"b":{"a":1}})", true },
    { R"([{"a":1},{"a":2}])", false },
    { R"({"a":[{"a":1},{"a":2}]})", true },
    { R"({"a":1,"a":1})", false },
    { R"({"a":1,"\u0061":2})", false },
    { R"({"b":[{"c":{"a":1,"a":2}}]})", false },
    { R"({"a":{"a":1},"b":1,"a":2})", false },
    { R"({"a":1)", false },
    { R"({"a":1} x)", false },
    { R"({"a":NaN})", false },
    { "{\"a\":\"\xFF\"}", false },
    { "\xEF\xBB\xBF{}", true },
    { "", false },
    { "null", false },
    { Nested(31), true },
    { Nested(32), true },
    { Nested(33), false },
    { Nested(100'000), false },
  }));
  CAPTURE(text.substr(0, 40));
  foundation::Findings findings;
  const auto object = ParseJsonObject(text, findings);
  CHECK(findings.empty() == valid);
  CHECK(object.is_object());
  CHECK((valid || object.empty()));
}

} // namespace wigeonlb::http
