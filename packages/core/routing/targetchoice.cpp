#include "core/routing/targetchoice.h"

#include <algorithm>
#include <vector>

namespace wigeonlb::core::routing {

namespace {

using namespace std::chrono_literals;

// Latency differences below this are network noise.
constexpr foundation::Duration kMinLatencyUs = 200us;

std::int64_t
ComputeCost(const Candidate& aCandidate)
{
  const auto latency = std::max(aCandidate.latency_, kMinLatencyUs);
  return latency.count() * (aCandidate.outstanding_ + 1);
}

} // namespace

std::size_t
ChooseTarget(std::span<const Candidate> aCandidates, Generator& aGenerator)
{
  const bool anyLocal = std::any_of(
    aCandidates.begin(), aCandidates.end(), [](const Candidate& aCandidate) {
      return aCandidate.sameDataCentre_;
    });
  std::vector<std::size_t> eligible;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!anyLocal || aCandidates[i].sameDataCentre_) {
      eligible.push_back(i);
    }
  }
  if (eligible.size() == 1) {
    return eligible.front();
  }
  const std::size_t first = aGenerator() % eligible.size();
  const std::size_t step = 1 + aGenerator() % (eligible.size() - 1);
  const std::size_t left = eligible[first];
  const std::size_t right = eligible[(first + step) % eligible.size()];
  return ComputeCost(aCandidates[right]) < ComputeCost(aCandidates[left])
           ? right
           : left;
}

} // namespace wigeonlb::core::routing
