#include "core/membership/isolation.h"

#include <algorithm>

namespace wigeonlb::core::membership {

using foundation::HostId;
using foundation::Instant;

std::vector<HostId>
CheckLeaderContact(Isolation& aState,
                   Instant aLastLeaderMessageAt,
                   std::span<const HostId> aHosts,
                   Instant aNow)
{
  if (aNow - aLastLeaderMessageAt < kLeaderTimeoutMs) {
    aState.testedHosts_.clear();
    aState.testFinished_ = false;
    return {};
  }
  if (!aState.testedHosts_.empty()) {
    return {};
  }
  const auto count = std::min(aHosts.size(), kMaxTestedHosts);
  aState.testedHosts_.assign(aHosts.begin(), aHosts.begin() + count);
  aState.testedAt_ = aNow;
  return aState.testedHosts_;
}

bool
EvaluateIsolation(Isolation& aState,
                  const std::function<bool(const HostId&)>& aIsUnreachable,
                  Instant aNow)
{
  const bool before = aState.isolated_;
  if (aState.testedHosts_.empty()) {
    aState.isolated_ = false;
  } else if (aNow - aState.testedAt_ >= kConnectTestMs) {
    const auto unreachableCount = static_cast<std::size_t>(
      std::ranges::count_if(aState.testedHosts_, aIsUnreachable));
    aState.isolated_ =
      unreachableCount * kUnreachableHostsDivisor >= aState.testedHosts_.size();
    aState.testFinished_ = true;
  }
  if (aState.isolated_ && !before) {
    aState.isolatedSince_ = aNow;
    aState.lastDisconnectAt_ = {};
  }
  return before != aState.isolated_;
}

bool
MayAcceptCallers(const Isolation& aState, bool aLeaderKnown)
{
  const bool suspected = !aState.testedHosts_.empty() && !aState.testFinished_;
  return aLeaderKnown && !aState.isolated_ && !suspected;
}

bool
ShouldDisconnectCallers(Isolation& aState, bool aOutOfRotation, Instant aNow)
{
  if (!aState.isolated_ || !aOutOfRotation ||
      aNow - aState.lastDisconnectAt_ < kDisconnectIntervalMs) {
    return false;
  }
  aState.lastDisconnectAt_ = aNow;
  return true;
}

} // namespace wigeonlb::core::membership
