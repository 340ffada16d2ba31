#include <catch2/catch.hpp>

#include "core/retry/retrybudget.h"

namespace wigeonlb::core::retry {

TEST_CASE("retries are a share of the successes", "[retrybudget]")
{
  struct Row
  {
    int successes_, taken_;
  };
  const auto row = GENERATE(values<Row>({
    { 0, 3 },
    { 25, 5 },
    { 10000, 10 },
  }));
  RetryBudget budget;
  for (int i = 0; i < row.successes_; ++i) {
    CountSuccess(budget);
  }
  int taken = 0;
  while (SpendRetry(budget)) {
    ++taken;
  }
  CHECK(taken == row.taken_);
}

} // namespace wigeonlb::core::retry
