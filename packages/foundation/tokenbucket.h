#pragma once

#include <cstdint>

#include "foundation/clock.h"

namespace wigeonlb::foundation {

//! A budget, of bytes or of lines: fills at a rate up to a burst. It may go
//! into debt, so that a message larger than the burst passes when the bucket is
//! full.
struct TokenBucket
{
  std::uint64_t rate_ = 0;  //!< units a second; 0 means no limit
  std::uint64_t burst_ = 0; //!< units
  double level_ = 0;        //!< units; negative while in debt
  Instant filledAt_{};
};

//! A bucket that starts full.
TokenBucket
MakeTokenBucket(std::uint64_t aRate, std::uint64_t aBurst, Instant aNow);

//! Takes units whether they are there or not.
void
Charge(TokenBucket& aBucket, std::uint64_t aUnits, Instant aNow);

//! Takes units if the bucket holds them, or is full.
bool
TryCharge(TokenBucket& aBucket, std::uint64_t aUnits, Instant aNow);

} // namespace wigeonlb::foundation
