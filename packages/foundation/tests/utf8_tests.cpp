#include <catch2/catch.hpp>

#include "foundation/utf8.h"

namespace wigeonlb::foundation {

TEST_CASE("texts that are not UTF-8 are recognised", "[utf8]")
{
  struct Row
  {
    std::string_view text_;
    bool valid_;
  };
  const auto row = GENERATE(values<Row>({
    { "", true },
    { "i-7f3a91c2", true },
    { std::string_view("a\0b", 3), true },
    { "\xC3\xA9", true },
    { "\xE2\x82\xAC", true },
    { "\xF0\x9F\xA6\x86", true },
    { "\xF4\x8F\xBF\xBF", true },
    { "i-\xFF\xFE", false },
    { "\x80", false },
    { "\xC3", false },
    { "\xC3(", false },
    { "\xC0\xAF", false },         // overlong
    { "\xE0\x80\xAF", false },     // overlong
    { "\xED\xA0\x80", false },     // surrogate
    { "\xF4\x90\x80\x80", false }, // above U+10FFFF
    { "\xF8\x88\x80\x80\x80", false },
    { "\xE2\x82", false },
    { "\xE2\x82z", false },
  }));
  INFO(row.text_);
  CHECK(IsValidUtf8(row.text_) == row.valid_);
}

} // namespace wigeonlb::foundation
