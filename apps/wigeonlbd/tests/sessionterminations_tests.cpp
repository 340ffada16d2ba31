#include <catch2/catch.hpp>

#include "traffic/sessionterminations.h"

namespace wigeonlb::daemon::traffic {

TEST_CASE("termination statements of a probe are joined in order",
          "[sessionends]")
{
  struct Row
  {
    std::string dialect_;
    core::traffic::SessionTerminations terminations_;
    std::string statements_;
  };
  const auto row = GENERATE(values<Row>({
    { "standin", {}, "" },
    { "standin",
      { { 3, 4 },
        { "wigeonlb/own/1", "wigeonlb/h/7" },
        foundation::Duration(1) },
      "SELECT standin_end_session(3, 'wigeonlb/own/1'); "
      "SELECT standin_end_session(4, 'wigeonlb/own/1'); "
      "SELECT standin_end_transactions('wigeonlb/h/7', 1)" },
  }));
  CHECK(BuildTerminationStatements(*target::FindDialect(row.dialect_),
                                   row.terminations_,
                                   "wigeonlb/own/1") == row.statements_);
  CHECK(BuildTerminationStatements({}, row.terminations_, "wigeonlb/own/1")
          .empty());
}

} // namespace wigeonlb::daemon::traffic
