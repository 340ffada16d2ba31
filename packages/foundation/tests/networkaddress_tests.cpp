#include <catch2/catch.hpp>

#include "foundation/networkaddress.h"

namespace wigeonlb::foundation {

TEST_CASE("network addresses have a host and a port", "[networkaddress]")
{
  struct Row
  {
    std::string_view text_;
    bool valid_;
  };
  const auto row = GENERATE(values<Row>({
    { "10.0.0.9:80", true },
    { "db-1.example_a:65535", true },
    { "[::1]:5432", true },
    { "10.0.0.9:65536", false },
    { "10.0.0.9:70000", false },
    { "10.0.0.9:99999999999999999999", false },
    { "10.0.0.9:0", false },
    { "10.0.0.9:-1", false },
    { "10.0.0.9:+1", false },
    { "10.0.0.9: 80", false },
    { "10.0.0.9:", false },
    { "10.0.0.9", false },
    { ":80", false },
    { ":", false },
    { "", false },
    { "[::1]:99999", false },
    { "[]:80", false },
    { "::1:80", false },
    { "a b:80", false },
    { "a\n:80", false },
    { "\xFF:80", false },
  }));
  INFO(row.text_);
  CHECK(IsNetworkAddress(row.text_) == row.valid_);
}

} // namespace wigeonlb::foundation
