#include "core/membership/isolation.h"

#include <algorithm>

namespace wigeonlb::core::membership {

using foundation::HostId;
using foundation::Instant;

std::vector<HostId>
WatchLeader(Isolation& aState,
            Instant aLeaderHeardAt,
            std::span<const HostId> aHosts,
            Instant aNow)
{
  if (aNow - aLeaderHeardAt < kLeaderSilenceMs) {
    aState.tried_.clear();
    aState.judged_ = false;
    return {};
  }
  if (!aState.tried_.empty()) {
    return {};
  }
  const auto count = std::min(aHosts.size(), kHostsTried);
  aState.tried_.assign(aHosts.begin(), aHosts.begin() + count);
  aState.triedAt_ = aNow;
  return aState.tried_;
}

bool
JudgeIsolation(Isolation& aState,
               const std::function<bool(const HostId&)>& aIsLost,
               Instant aNow)
{
  const bool before = aState.cutOff_;
  if (aState.tried_.empty()) {
    aState.cutOff_ = false;
  } else if (aNow - aState.triedAt_ >= kProofMs) {
    const auto lost =
      static_cast<std::size_t>(std::ranges::count_if(aState.tried_, aIsLost));
    aState.cutOff_ = lost * kLostPart >= aState.tried_.size();
    aState.judged_ = true;
  }
  if (aState.cutOff_ && !before) {
    aState.cutOffSince_ = aNow;
    aState.sentAwayAt_ = {};
  }
  return before != aState.cutOff_;
}

bool
MayTakeCallers(const Isolation& aState, bool aLeaderHeard)
{
  const bool suspected = !aState.tried_.empty() && !aState.judged_;
  return aLeaderHeard && !aState.cutOff_ && !suspected;
}

bool
SendsCallersAway(Isolation& aState, bool aNoticed, Instant aNow)
{
  if (!aState.cutOff_ || !aNoticed ||
      aNow - aState.sentAwayAt_ < kAwayAgainMs) {
    return false;
  }
  aState.sentAwayAt_ = aNow;
  return true;
}

} // namespace wigeonlb::core::membership
