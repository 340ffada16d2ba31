#include "foundation/tokenbucket.h"

#include <algorithm>

namespace wigeonlb::foundation {

namespace {

void
Fill(TokenBucket& aBucket, Instant aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aBucket.filledAt_;
  if (elapsed.count() <= 0) {
    return;
  }
  aBucket.filledAt_ = aNow;
  aBucket.level_ = std::min(
    static_cast<double>(aBucket.burst_),
    aBucket.level_ + elapsed.count() * static_cast<double>(aBucket.rate_));
}

} // namespace

TokenBucket
MakeTokenBucket(std::uint64_t aRate, std::uint64_t aBurst, Instant aNow)
{
  return { aRate, aBurst, static_cast<double>(aBurst), aNow };
}

void
Charge(TokenBucket& aBucket, std::uint64_t aUnits, Instant aNow)
{
  Fill(aBucket, aNow);
  aBucket.level_ -= static_cast<double>(aUnits);
  // The overdraft is limited to one burst, so that continuous traffic delays
  // snapshots but does not block them forever.
  aBucket.level_ =
    std::max(aBucket.level_, -static_cast<double>(aBucket.burst_));
}

bool
TryCharge(TokenBucket& aBucket, std::uint64_t aUnits, Instant aNow)
{
  if (aBucket.rate_ == 0) {
    return true;
  }
  Fill(aBucket, aNow);
  const double wanted = static_cast<double>(std::min(aUnits, aBucket.burst_));
  if (aBucket.level_ < wanted) {
    return false;
  }
  aBucket.level_ -= static_cast<double>(aUnits);
  return true;
}

} // namespace wigeonlb::foundation
