#pragma once

#include <cstdint>

#include "foundation/clock.h"

namespace wigeonlb::foundation {

//! Token bucket for bytes or log lines. The level may become negative, so that
//! a message larger than the burst passes when the bucket is full.
struct TokenBucket
{
  std::uint64_t rate_ = 0;  //!< units per second; 0 means no limit
  std::uint64_t burst_ = 0; //!< units
  double level_ = 0;        //!< units; negative after an overdraft
  Instant filledAt_{};
};

//! Returns a full bucket.
TokenBucket
MakeTokenBucket(std::uint64_t aRate, std::uint64_t aBurst, Instant aNow);

//! Withdraws units even when the bucket does not hold them.
void
Charge(TokenBucket& aBucket, std::uint64_t aUnits, Instant aNow);

//! Withdraws units if the bucket holds them or is full.
bool
TryCharge(TokenBucket& aBucket, std::uint64_t aUnits, Instant aNow);

} // namespace wigeonlb::foundation
