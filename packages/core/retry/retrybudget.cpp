#include "core/retry/retrybudget.h"

#include <algorithm>

namespace wigeonlb::core::retry {

void
CountSuccess(RetryBudget& aBudget)
{
  aBudget.left_ = std::min(aBudget.left_ + aBudget.share_, aBudget.limit_);
}

bool
SpendRetry(RetryBudget& aBudget)
{
  if (aBudget.left_ < 1) {
    return false;
  }
  aBudget.left_ -= 1;
  return true;
}

} // namespace wigeonlb::core::retry
