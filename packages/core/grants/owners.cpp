#include "core/grants/owners.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string_view>
#include <tuple>

#include <xxhash.h>

#include "core/configuration/groupoptions.h"
#include "core/pool/targetpool.h"

namespace wigeonlb::core::grants {

namespace {

struct Candidate
{
  std::uint64_t weight_ = 0;
  const wire::HostInfo* host_ = nullptr;
};

std::uint64_t
HashGroupName(const wire::GroupState& aGroup)
{
  const auto& group = aGroup.group();
  return XXH64(group.data(), group.size(), 0);
}

Candidate
MakeCandidate(const wire::HostInfo& aHost, std::uint64_t aSeed)
{
  const auto& name = aHost.host();
  return { XXH64(name.data(), name.size(), aSeed), &aHost };
}

bool
HasTargetIn(const wire::GroupState& aGroup, std::string_view aDataCentre)
{
  return std::ranges::any_of(aGroup.targets(), [&](const auto& aTarget) {
    return aTarget.data_centre() == aDataCentre;
  });
}

bool
RanksBefore(const Candidate& aLeft, const Candidate& aRight)
{
  return aLeft.weight_ != aRight.weight_
           ? aLeft.weight_ > aRight.weight_
           : aLeft.host_->host() < aRight.host_->host();
}

std::vector<Candidate>
FindCandidates(const wire::GroupState& aGroup,
               std::span<const wire::HostInfo> aHosts,
               bool aAnyDataCentre)
{
  std::set<std::string_view> dataCentres;
  for (const auto& target : aGroup.targets()) {
    dataCentres.insert(target.data_centre());
  }
  const auto seed = HashGroupName(aGroup);
  std::vector<Candidate> candidates;
  for (const auto& host : aHosts) {
    const bool near = dataCentres.contains(host.data_centre());
    if (!host.draining() && !host.control_only() && (aAnyDataCentre || near)) {
      candidates.push_back(MakeCandidate(host, seed));
    }
  }
  return candidates;
}

//! Finds the best-ranked candidate of each data centre; the best one is first.
std::vector<Candidate>
FindBestPerDataCentre(const std::vector<Candidate>& aCandidates)
{
  std::map<std::string_view, Candidate> best;
  for (const auto& candidate : aCandidates) {
    const auto [item, added] =
      best.try_emplace(candidate.host_->data_centre(), candidate);
    if (!added && RanksBefore(candidate, item->second)) {
      item->second = candidate;
    }
  }
  std::vector<Candidate> sorted;
  sorted.reserve(best.size());
  for (const auto& [dataCentre, candidate] : best) {
    sorted.push_back(candidate);
  }
  std::ranges::sort(sorted, RanksBefore);
  return sorted;
}

} // namespace

std::vector<foundation::HostId>
ChooseOwners(const wire::GroupState& aGroup,
             std::span<const wire::HostInfo> aLiveHosts,
             std::size_t aCount)
{
  auto candidates = FindCandidates(aGroup, aLiveHosts, false);
  auto chosen = FindBestPerDataCentre(candidates);
  if (candidates.empty()) {
    candidates = FindCandidates(aGroup, aLiveHosts, true);
  }
  const auto count = std::min(candidates.size(), aCount);
  std::ranges::partial_sort(candidates,
                            candidates.begin() +
                              static_cast<std::ptrdiff_t>(count),
                            RanksBefore);
  candidates.resize(count);
  for (const auto& candidate : candidates) {
    if (std::ranges::find(chosen, candidate.host_, &Candidate::host_) ==
        chosen.end()) {
      chosen.push_back(candidate);
    }
  }
  chosen.resize(count);
  std::vector<foundation::HostId> owners;
  owners.reserve(count);
  for (const auto& candidate : chosen) {
    owners.push_back(candidate.host_->host());
  }
  return owners;
}

void
SortOwnersForEntry(const foundation::GroupName& aGroup,
                   const wire::HostInfo& aEntryHost,
                   std::span<const wire::HostInfo> aLiveHosts,
                   std::vector<foundation::HostId>& aOwners)
{
  const auto isNear = [&](const foundation::HostId& aOwner) {
    return std::ranges::any_of(aLiveHosts, [&](const auto& aHost) {
      return aHost.host() == aOwner &&
             aHost.data_centre() == aEntryHost.data_centre();
    });
  };
  const auto& entry = aEntryHost.host();
  const auto seed =
    XXH64(aGroup.data(), aGroup.size(), XXH64(entry.data(), entry.size(), 0));
  using Rank = std::tuple<bool, bool, XXH64_hash_t, foundation::HostId>;
  std::vector<Rank> ranks;
  ranks.reserve(aOwners.size());
  for (const auto& owner : aOwners) {
    ranks.emplace_back(owner != entry,
                       !isNear(owner),
                       XXH64(owner.data(), owner.size(), seed),
                       owner);
  }
  std::ranges::sort(ranks);
  std::ranges::transform(ranks, aOwners.begin(), [](const Rank& aRank) {
    return std::get<foundation::HostId>(aRank);
  });
}

bool
MayBecomeOwner(const wire::GroupState& aGroup,
               std::span<const wire::HostInfo> aOwners,
               const wire::HostInfo& aHost,
               std::size_t aCount)
{
  if (aHost.draining() || aHost.control_only()) {
    return false;
  }
  const bool near = HasTargetIn(aGroup, aHost.data_centre());
  const bool ownersNear = std::ranges::any_of(aOwners, [&](const auto& aOwner) {
    return HasTargetIn(aGroup, aOwner.data_centre());
  });
  if (near != ownersNear || aOwners.size() < aCount) {
    return near || !ownersNear;
  }
  const auto seed = HashGroupName(aGroup);
  const auto candidate = MakeCandidate(aHost, seed);
  bool alone = true; // no owner in its data centre
  bool last = true;
  for (const auto& owner : aOwners) {
    alone &= owner.data_centre() != aHost.data_centre();
    last &= RanksBefore(MakeCandidate(owner, seed), candidate);
  }
  return alone || !last;
}

std::size_t
GetOwnerCount(const wire::GroupState& aGroup)
{
  return static_cast<std::size_t>(
    configuration::OptionNumber(aGroup, "owners"));
}

std::uint32_t
GetConnectionLimit(const wire::GroupState& aGroup)
{
  if (aGroup.targets().empty()) {
    return 0;
  }
  const auto set = configuration::OptionNumber(aGroup, "connection_limit");
  if (set > 0) {
    return static_cast<std::uint32_t>(set);
  }
  auto limit = aGroup.targets(0).connection_limit();
  for (const auto& target : aGroup.targets()) {
    limit = std::min(limit, target.connection_limit());
  }
  return limit;
}

std::uint32_t
ComputeConnectionReserve(std::uint32_t aConnectionLimit, std::size_t aOwners)
{
  const auto owners = static_cast<std::uint32_t>(aOwners);
  const auto needed = kControlConnections + owners * (kProbeConnections + 1);
  return aConnectionLimit > needed
           ? std::min(kReservedConnections, aConnectionLimit - needed)
           : 0;
}

std::uint32_t
ComputeMaxUsefulShare(const wire::GroupState& aGroup, std::size_t aOwners)
{
  std::uint32_t slots = 0;
  for (const auto& target : aGroup.targets()) {
    // Open transactions hold connections but no slots there, so the slots are
    // no bound.
    if (target.slots() == 0 || target.slots_by_statement()) {
      return std::numeric_limits<std::uint32_t>::max();
    }
    slots = std::max(slots, target.slots());
  }
  return pool::ComputeSlotShare(slots, static_cast<std::uint32_t>(aOwners)) + 1;
}

std::vector<std::uint32_t>
ComputeShares(std::uint32_t aConnectionLimit, std::size_t aOwners)
{
  const auto owners = static_cast<std::uint32_t>(aOwners);
  const auto reserved = kControlConnections + owners * kProbeConnections +
                        ComputeConnectionReserve(aConnectionLimit, aOwners);
  if (owners == 0 || aConnectionLimit <= reserved) {
    return std::vector<std::uint32_t>(aOwners, 0);
  }
  const auto available = aConnectionLimit - reserved;
  std::vector<std::uint32_t> shares(aOwners, available / owners);
  for (std::uint32_t i = 0; i < available % owners; ++i) {
    ++shares[i];
  }
  return shares;
}

} // namespace wigeonlb::core::grants
