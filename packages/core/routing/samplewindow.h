#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "foundation/clock.h"
#include "foundation/logposition.h"

namespace wigeonlb::core::routing {

//! A log position of the primary. Between firstAt_ and lastAt_ the primary was
//! known to be at this position or beyond it.
struct PositionSample
{
  foundation::LogPosition position_;
  foundation::Instant firstAt_;
  foundation::Instant lastAt_;
};

//! Samples of the primary's log position, oldest first. Older samples are
//! thinned out, so that a bounded number of them covers several minutes.
struct SampleWindow
{
  std::size_t limit_ = 512;
  std::deque<PositionSample> samples_;
};

//! Adds a position read from the primary. aSentAt is the time at which the
//! query was sent, so the position is at least as recent as that.
//! NOTE Omitting a sample can only increase the computed ages, never reduce
//! them.
void
AddSample(SampleWindow& aWindow,
          const foundation::LogPosition& aPosition,
          foundation::Instant aSentAt);

//! Upper bound on the age of data at a position; empty if the position is
//! behind every sample.
std::optional<foundation::Duration>
GetStalenessBound(const SampleWindow& aWindow,
                  const foundation::LogPosition& aPosition,
                  foundation::Instant aNow);

//! Returns the first sample beyond a position, or null if there is none. A log
//! that ends at the position has lagged since this sample was taken.
const PositionSample*
FindFirstSampleAfter(const SampleWindow& aWindow,
                     const foundation::LogPosition& aPosition);

//! Returns the last sample at or before a position, or null if there is none.
const PositionSample*
FindLastCoveredSample(const SampleWindow& aWindow,
                      const foundation::LogPosition& aPosition);

//! Returns the newest known position of the primary; its term is 0 if there
//! are no samples.
foundation::LogPosition
GetNewestPosition(const SampleWindow& aWindow);

} // namespace wigeonlb::core::routing
