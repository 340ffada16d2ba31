#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include "core/configuration/groupoptions.h"

namespace wigeonlb::core::configuration {

TEST_CASE("the operators' documentation lists the options", "[options]")
{
  std::ifstream file(WIGEONLB_LANGUAGE_PAGE);
  std::ostringstream page;
  page << file.rdbuf();
  for (const auto rows : { GroupOptions(), SystemOptions() }) {
    const auto table = "\n" + OptionsTable(rows) + "\n";
    INFO(table);
    CHECK(page.str().find(table) != std::string::npos);
  }
}

} // namespace wigeonlb::core::configuration
