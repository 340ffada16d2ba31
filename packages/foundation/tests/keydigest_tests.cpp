#include <catch2/catch.hpp>

#include "foundation/keydigest.h"

using wigeonlb::foundation::DigestKey;

TEST_CASE("two keys with one digest would identify the wrong organisation",
          "[keydigest]")
{
  const auto [left, right] = GENERATE(table<const char*, const char*>({
    { "", "a" },
    { "v3nax7u27gxprymh2rry", "v3nax7u27gxprymh2rrz" },
    { "key", "key " },
    { "key", "KEY" },
  }));
  CAPTURE(left, right);
  CHECK(DigestKey(left) == DigestKey(left));
  CHECK(DigestKey(left) != DigestKey(right));
}

TEST_CASE("a digest contains no part of its key", "[keydigest]")
{
  const std::string key = "v3nax7u27gxprymh2rry";
  const std::string digest = DigestKey(key);
  CHECK(digest.size() == 16);
  CHECK(digest.find(key.substr(0, 4)) == std::string::npos);
}
