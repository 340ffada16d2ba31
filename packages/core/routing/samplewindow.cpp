#include "core/routing/samplewindow.h"

#include <algorithm>
#include <limits>

namespace wigeonlb::core::routing {

namespace {

using namespace std::chrono_literals;
using foundation::Instant;
using foundation::LogPosition;

// A new sample replaces the newest one if it follows the sample before that in
// less than this time.
constexpr foundation::Duration kSampleSpacingMs = 2ms;

auto
FindFirstBeyond(const SampleWindow& aWindow, const LogPosition& aPosition)
{
  return std::upper_bound(
    aWindow.samples_.begin(),
    aWindow.samples_.end(),
    aPosition,
    [](const LogPosition& aLeft, const PositionSample& aRight) {
      return aLeft < aRight.position_;
    });
}

// Removes the inner sample whose removal leaves the smallest gap relative to
// its age, so that gaps grow in proportion to age.
void
ThinOut(SampleWindow& aWindow)
{
  auto& samples = aWindow.samples_;
  const Instant newest = samples.back().lastAt_;
  std::size_t best = 1;
  double bestGap = std::numeric_limits<double>::max();
  for (std::size_t i = 1; i + 1 < samples.size(); ++i) {
    const auto gap = samples[i + 1].firstAt_ - samples[i - 1].firstAt_;
    const auto age = newest - samples[i].firstAt_ + kSampleSpacingMs;
    const double relative =
      static_cast<double>(gap.count()) / static_cast<double>(age.count());
    if (relative < bestGap) {
      bestGap = relative;
      best = i;
    }
  }
  samples.erase(samples.begin() + static_cast<std::ptrdiff_t>(best));
}

} // namespace

void
AddSample(SampleWindow& aWindow, const LogPosition& aPosition, Instant aSentAt)
{
  auto& samples = aWindow.samples_;
  if (!samples.empty()) {
    PositionSample& newest = samples.back();
    if (aPosition < newest.position_) {
      return;
    }
    if (aPosition == newest.position_) {
      newest.lastAt_ = std::max(newest.lastAt_, aSentAt);
      return;
    }
    if (aSentAt < newest.lastAt_) {
      return;
    }
  }
  const bool crowded =
    samples.size() > 1 &&
    aSentAt - samples[samples.size() - 2].firstAt_ < kSampleSpacingMs;
  if (crowded) {
    samples.pop_back();
  }
  samples.push_back({ aPosition, aSentAt, aSentAt });
  if (samples.size() > aWindow.limit_) {
    ThinOut(aWindow);
  }
}

std::optional<foundation::Duration>
GetStalenessBound(const SampleWindow& aWindow,
                  const LogPosition& aPosition,
                  Instant aNow)
{
  const PositionSample* covered = FindLastCoveredSample(aWindow, aPosition);
  if (covered == nullptr) {
    return std::nullopt;
  }
  return aNow - covered->lastAt_;
}

const PositionSample*
FindFirstSampleAfter(const SampleWindow& aWindow, const LogPosition& aPosition)
{
  const auto beyond = FindFirstBeyond(aWindow, aPosition);
  return beyond == aWindow.samples_.end() ? nullptr : &*beyond;
}

const PositionSample*
FindLastCoveredSample(const SampleWindow& aWindow, const LogPosition& aPosition)
{
  const auto beyond = FindFirstBeyond(aWindow, aPosition);
  return beyond == aWindow.samples_.begin() ? nullptr : &*std::prev(beyond);
}

LogPosition
GetNewestPosition(const SampleWindow& aWindow)
{
  return aWindow.samples_.empty() ? LogPosition{}
                                  : aWindow.samples_.back().position_;
}

} // namespace wigeonlb::core::routing
