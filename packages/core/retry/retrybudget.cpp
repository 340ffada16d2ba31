#include "core/retry/retrybudget.h"

#include <algorithm>

namespace wigeonlb::core::retry {

void
CountSuccess(RetryBudget& aBudget)
{
  aBudget.availableRetries_ =
    std::min(aBudget.availableRetries_ + aBudget.retriesPerSuccess_,
             aBudget.maxRetries_);
}

bool
SpendRetry(RetryBudget& aBudget)
{
  if (aBudget.availableRetries_ < 1) {
    return false;
  }
  aBudget.availableRetries_ -= 1;
  return true;
}

} // namespace wigeonlb::core::retry
