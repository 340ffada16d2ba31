#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "foundation/clock.h"
#include "foundation/logposition.h"

namespace wigeonlb::core::routing {

//! The primary was at this position or past it at every time in the span.
struct PositionSample
{
  foundation::LogPosition position_;
  foundation::Instant firstAt_;
  foundation::Instant lastAt_;
};

//! Samples of the primary's log, oldest first. Older ones are thinned out, so
//! a bounded number covers minutes.
struct SampleWindow
{
  std::size_t limit_ = 512;
  std::deque<PositionSample> samples_;
};

//! Adds what a read of the primary's position gave. The time is that at which
//! the read was sent: the position is no older than this.
//! NOTE Leaving a sample out makes ages larger, never smaller.
void
AddSample(SampleWindow& aWindow,
          const foundation::LogPosition& aPosition,
          foundation::Instant aSentAt);

//! The most by which data at a position can be old; empty when the position is
//! behind every sample.
std::optional<foundation::Duration>
GetStalenessBound(const SampleWindow& aWindow,
                  const foundation::LogPosition& aPosition,
                  foundation::Instant aNow);

//! The first sample past a position: since then a log that ends there lags.
//! Null when there is none.
const PositionSample*
FindFirstSampleAfter(const SampleWindow& aWindow,
                     const foundation::LogPosition& aPosition);

//! The last sample that a position covers; null when there is none.
const PositionSample*
FindLastCoveredSample(const SampleWindow& aWindow,
                      const foundation::LogPosition& aPosition);

//! The newest known position of the primary; term 0 when there is none.
foundation::LogPosition
GetNewestPosition(const SampleWindow& aWindow);

} // namespace wigeonlb::core::routing
