#pragma once

namespace wigeonlb::core::retry {

//! Limits the retries of statements to a fraction of the recent successes, so
//! that retries can't multiply the load when all requests fail.
struct RetryBudget
{
  double retriesPerSuccess_ = 0.1;
  //! Largest number of retries that can accumulate.
  double maxRetries_ = 10;
  double availableRetries_ = 3;
};

//! Records a successful request.
void
CountSuccess(RetryBudget& aBudget);

//! Consumes one retry. Returns false if none is available.
bool
SpendRetry(RetryBudget& aBudget);

} // namespace wigeonlb::core::retry
