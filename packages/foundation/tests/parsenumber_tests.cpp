#include <cstdint>
#include <string>

#include <catch2/catch.hpp>

#include "foundation/parsenumber.h"

namespace wigeonlb::foundation {

// Guards against a number out of range that is taken for zero.
TEST_CASE("a text is parsed as a number completely or not at all",
          "[parsenumber]")
{
  struct Row
  {
    std::string text_;
    int base_;
    bool valid_;
    std::uint64_t number_;
  };
  const auto row = GENERATE(values<Row>({
    { "0", 10, true, 0 },
    { "18446744073709551615", 10, true, 18'446'744'073'709'551'615U },
    { "18446744073709551616", 10, false, 0 },
    { "99999999999999999999999", 10, false, 0 },
    { "", 10, false, 0 },
    { "-1", 10, false, 0 },
    { "+1", 10, false, 0 },
    { " 1", 10, false, 0 },
    { "1 ", 10, false, 0 },
    { "1.5", 10, false, 0 },
    { "ff", 10, false, 0 },
    { "ff", 16, true, 255 },
  }));
  CAPTURE(row.text_);
  constexpr std::uint64_t kBefore = 7;
  std::uint64_t number = kBefore;
  CHECK(ParseNumber(row.text_, number, row.base_) == row.valid_);
  CHECK(number == (row.valid_ ? row.number_ : kBefore));
  std::uint16_t port = 0;
  CHECK_FALSE(ParseNumber("70000", port));
  std::int64_t negative = 0;
  CHECK(ParseNumber("-5", negative));
  CHECK(negative == -5);
}

} // namespace wigeonlb::foundation
