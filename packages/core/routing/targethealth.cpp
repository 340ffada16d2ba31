#include "core/routing/targethealth.h"

#include <algorithm>
#include <vector>

namespace wigeonlb::core::routing {

namespace {

using namespace std::chrono_literals;
using foundation::Duration;
using foundation::Instant;

// Each answer enters the smoothed latency with weight 1 / kSmoothingParts.
constexpr int kSmoothingParts = 8;
constexpr std::uint32_t kFailuresToEject = 3;
// A target with fewer answers is not compared by latency.
constexpr std::uint32_t kMinAnswersToCompare = 16;
// A target is slow if its latency exceeds both kMinSlowLatencyMs and the median
// latency times kSlowFactor.
constexpr int kSlowFactor = 5;
constexpr Duration kMinSlowLatencyMs = 50ms;
// The first ejection's length. The n-th consecutive one is n times as long, up
// to kMaxEjectionFactor.
constexpr Duration kFirstEjectionSeconds = 1s;
constexpr std::uint32_t kMaxEjectionFactor = 30;
// When an ejection ends, kRecoveryFactor times the measured latency is added to
// it. The addition falls linearly to zero within kRecoverySeconds.
constexpr Duration kRecoverySeconds = 4s;
constexpr int kRecoveryFactor = 8;

Duration
ComputeMedianLatency(std::span<TargetHealth* const> aTargets)
{
  std::vector<Duration> latencies;
  for (const TargetHealth* target : aTargets) {
    if (target->answers_ >= kMinAnswersToCompare) {
      latencies.push_back(target->latency_);
    }
  }
  if (latencies.size() < 2) {
    return Duration::max() / kSlowFactor;
  }
  // The lower median: of two targets the faster one is the reference.
  const auto middle =
    latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

bool
IsOutlier(const TargetHealth& aHealth, Duration aMedian)
{
  if (aHealth.consecutiveFailures_ >= kFailuresToEject) {
    return true;
  }
  return aHealth.answers_ >= kMinAnswersToCompare &&
         aHealth.latency_ > std::max(kMinSlowLatencyMs, aMedian * kSlowFactor);
}

void
Eject(TargetHealth& aHealth, Instant aNow)
{
  ++aHealth.ejections_;
  const auto factor = std::min(aHealth.ejections_, kMaxEjectionFactor);
  aHealth.ejectedUntil_ = aNow + kFirstEjectionSeconds * factor;
  // After the ejection the target is assessed by new answers only.
  aHealth.answers_ = 0;
  aHealth.consecutiveFailures_ = 0;
}

} // namespace

void
RecordAnswer(TargetHealth& aHealth, Duration aLatency)
{
  constexpr std::uint32_t kAnswersToResetEjections = 1000;
  aHealth.consecutiveFailures_ = 0;
  aHealth.latency_ =
    aHealth.answers_ == 0
      ? aLatency
      : aHealth.latency_ + (aLatency - aHealth.latency_) / kSmoothingParts;
  if (++aHealth.answers_ % kAnswersToResetEjections == 0) {
    aHealth.ejections_ = 0;
  }
}

void
RecordFailure(TargetHealth& aHealth)
{
  ++aHealth.consecutiveFailures_;
}

bool
IsEjected(const TargetHealth& aHealth, Instant aNow)
{
  return aNow < aHealth.ejectedUntil_;
}

Duration
GetWeightedLatency(const TargetHealth& aHealth, Instant aNow)
{
  if (aHealth.ejections_ == 0) {
    return aHealth.latency_;
  }
  const Duration left = aHealth.ejectedUntil_ + kRecoverySeconds - aNow;
  if (left <= Duration::zero()) {
    return aHealth.latency_;
  }
  const auto remaining = std::min(left, kRecoverySeconds);
  return std::max(aHealth.latency_, Duration(1ms)) *
         (1 + kRecoveryFactor * remaining.count() / kRecoverySeconds.count());
}

std::uint32_t
EjectOutliers(std::span<TargetHealth* const> aTargets, Instant aNow)
{
  const std::size_t allowed = aTargets.size() / 2;
  auto ejected = static_cast<std::size_t>(
    std::count_if(aTargets.begin(), aTargets.end(), [&](TargetHealth* aTarget) {
      return IsEjected(*aTarget, aNow);
    }));
  const Duration median = ComputeMedianLatency(aTargets);
  std::uint32_t count = 0;
  for (TargetHealth* target : aTargets) {
    if (ejected < allowed && !IsEjected(*target, aNow) &&
        IsOutlier(*target, median)) {
      Eject(*target, aNow);
      ++ejected;
      ++count;
    }
  }
  return count;
}

} // namespace wigeonlb::core::routing
