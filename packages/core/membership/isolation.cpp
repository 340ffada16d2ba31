#include "core/membership/isolation.h"

#include <algorithm>

namespace wigeonlb::core::membership {

using foundation::HostId;
using foundation::Instant;

std::vector<HostId>
CheckLeaderContact(Isolation& aState,
                   Instant aLeaderHeardAt,
                   std::span<const HostId> aHosts,
                   Instant aNow)
{
  if (aNow - aLeaderHeardAt < kLeaderSilenceMs) {
    aState.testedHosts_.clear();
    aState.judged_ = false;
    return {};
  }
  if (!aState.testedHosts_.empty()) {
    return {};
  }
  const auto count = std::min(aHosts.size(), kHostsTried);
  aState.testedHosts_.assign(aHosts.begin(), aHosts.begin() + count);
  aState.triedAt_ = aNow;
  return aState.testedHosts_;
}

bool
EvaluateIsolation(Isolation& aState,
                  const std::function<bool(const HostId&)>& aIsLost,
                  Instant aNow)
{
  const bool before = aState.isolated_;
  if (aState.testedHosts_.empty()) {
    aState.isolated_ = false;
  } else if (aNow - aState.triedAt_ >= kProofMs) {
    const auto lost = static_cast<std::size_t>(
      std::ranges::count_if(aState.testedHosts_, aIsLost));
    aState.isolated_ = lost * kLostPart >= aState.testedHosts_.size();
    aState.judged_ = true;
  }
  if (aState.isolated_ && !before) {
    aState.isolatedSince_ = aNow;
    aState.sentAwayAt_ = {};
  }
  return before != aState.isolated_;
}

bool
MayAcceptCallers(const Isolation& aState, bool aLeaderHeard)
{
  const bool suspected = !aState.testedHosts_.empty() && !aState.judged_;
  return aLeaderHeard && !aState.isolated_ && !suspected;
}

bool
ShouldDisconnectCallers(Isolation& aState, bool aNoticed, Instant aNow)
{
  if (!aState.isolated_ || !aNoticed ||
      aNow - aState.sentAwayAt_ < kAwayAgainMs) {
    return false;
  }
  aState.sentAwayAt_ = aNow;
  return true;
}

} // namespace wigeonlb::core::membership
