#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "core/consensus/replicatedlog.h"

namespace wigeonlb::core::consensus {

using HostList = google::protobuf::RepeatedPtrField<std::string>;

//! Size of a quorum of aVoters voters.
constexpr std::size_t
QuorumSize(std::size_t aVoters)
{
  return aVoters / 2 + 1;
}

//! Calls aFunction with each set of voters whose quorum is needed: the voters,
//! and during a change of members those before it, too.
template<typename Function>
void
ForEachVoterSet(const wire::MemberChange& aMembers, Function aFunction)
{
  aFunction(aMembers.voters());
  if (IsJoint(aMembers)) {
    aFunction(aMembers.outgoing_voters());
  }
}

//! True if aCounts holds for a quorum of each set of voters.
template<typename Predicate>
bool
HasQuorum(const wire::MemberChange& aMembers, Predicate aCounts)
{
  bool all = true;
  ForEachVoterSet(aMembers, [&](const HostList& aVoters) {
    const auto count =
      static_cast<std::size_t>(std::ranges::count_if(aVoters, aCounts));
    all = all && count >= QuorumSize(aVoters.size());
  });
  return all;
}

//! The highest value that a quorum of each set of voters has reached, given the
//! value that each voter has reached.
template<typename Value, typename Read>
Value
ComputeQuorumValue(const wire::MemberChange& aMembers, Read aRead)
{
  std::vector<Value> reached;
  ForEachVoterSet(aMembers, [&](const HostList& aVoters) {
    std::vector<Value> values(1 + aVoters.size());
    std::ranges::transform(aVoters, values.begin(), aRead);
    std::ranges::sort(values, std::greater<>());
    reached.push_back(values[QuorumSize(aVoters.size()) - 1]);
  });
  return std::ranges::min(reached);
}

} // namespace wigeonlb::core::consensus
