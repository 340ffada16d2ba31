#include <catch2/catch.hpp>

#include "core/retry/retrybudget.h"

namespace wigeonlb::core::retry {

TEST_CASE("retries are a fraction of the successes", "[retrybudget]")
{
  struct Row
  {
    int successes_, retries_;
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
  int retries = 0;
  while (SpendRetry(budget)) {
    ++retries;
  }
  CHECK(retries == row.retries_);
}

} // namespace wigeonlb::core::retry
