#pragma once

namespace wigeonlb::core::retry {

//! How often a statement may be handed over again: a share of the recent
//! successes, so that retries can't multiply load when everything fails.
struct RetryBudget
{
  //! Retries earned by one success.
  double share_ = 0.1;
  //! Most retries that can be saved up.
  double limit_ = 10;
  double left_ = 3;
};

//! A request succeeded.
void
CountSuccess(RetryBudget& aBudget);

//! Spends one retry. Returns false when none is left.
bool
SpendRetry(RetryBudget& aBudget);

} // namespace wigeonlb::core::retry
