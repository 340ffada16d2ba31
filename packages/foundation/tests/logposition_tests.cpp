#include <catch2/catch.hpp>

#include "foundation/logposition.h"

namespace wigeonlb::foundation {

TEST_CASE("log positions are parsed from text", "[logposition]")
{
  struct Row
  {
    std::string text_;
    bool valid_;
    LogPosition position_;
  };
  const auto row = GENERATE(values<Row>({
    { "3/1048576", true, { 3, 1048576 } },
    { "0/0", true, { 0, 0 } },
    { "3", false, {} },
    { "3/", false, {} },
    { "/3", false, {} },
    { "3/4x", false, {} },
    { "-3/4", false, {} },
    { "99999999999999999999/1", false, {} },
  }));
  LogPosition position;
  CHECK(ParseLogPosition(row.text_, position) == row.valid_);
  CHECK(position == row.position_);
}

TEST_CASE("terms compare before offsets", "[logposition]")
{
  CHECK(LogPosition{ 2, 1 } > LogPosition{ 1, 900 });
  CHECK(LogPosition{ 2, 1 } < LogPosition{ 2, 2 });
}

} // namespace wigeonlb::foundation
