#include "core/consensus/tests/simulatednetwork.h"

#include <algorithm>

#include <google/protobuf/util/message_differencer.h>

namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;
using google::protobuf::util::MessageDifferencer;

// A host may act under a lease that it has read until the end that it read,
// also if it has stepped down meanwhile.
void
CheckSeenLeases(SimulatedNetwork& aNetwork)
{
  for (const auto& [host, member] : aNetwork.members_) {
    const ConsensusState& state = member.consensus_;
    const std::uint64_t term = state.hardState_.term();
    for (const auto& [other, lease] : aNetwork.leases_) {
      if (member.up_ && IsLeader(state) && other != host &&
          lease.term_ < term && aNetwork.now_ < lease.end_) {
        aNetwork.violations_.insert("a member leads before the end of a lease "
                                    "of a former leader");
      }
    }
    // A single voter's lease has no end, but only until it adds a voter.
    if (member.up_ && HoldsLease(state, aNetwork.now_) &&
        Members(state).voters_size() > 1) {
      SeenLease& seen = aNetwork.leases_[host];
      seen = { term, std::max(seen.end_, GetLeaseEnd(state)) };
    }
  }
}

void
CheckLogs(SimulatedNetwork& aNetwork, const Member& aOne, const Member& aTwo)
{
  const ReplicatedLog& one = aOne.consensus_.log_;
  const ReplicatedLog& two = aTwo.consensus_.log_;
  const std::uint64_t first = std::max(one.baseIndex_, two.baseIndex_) + 1;
  const std::uint64_t last = std::min(LastIndex(one), LastIndex(two));
  bool matched = false;
  for (std::uint64_t i = last; i >= first; --i) {
    const bool same = TermAt(one, i) == TermAt(two, i);
    if (matched && !same) {
      aNetwork.violations_.insert("logs differ before a matching entry");
    }
    matched = matched || same;
    if (same && !MessageDifferencer::Equals(EntryAt(one, i), EntryAt(two, i))) {
      aNetwork.violations_.insert("two entries have the same index and term");
    }
  }
}

} // namespace

void
CheckLeases(SimulatedNetwork& aNetwork)
{
  CheckSeenLeases(aNetwork);
  int leases = 0;
  for (const auto& [host, member] : aNetwork.members_) {
    const ConsensusState& state = member.consensus_;
    if (!member.up_ || !HoldsLease(state, aNetwork.now_)) {
      continue;
    }
    ++leases;
    const HostId newest = Leader(aNetwork);
    if (leases > 1 || newest != host) {
      aNetwork.violations_.insert("a lease is held at the same time as another "
                                  "one or under a newer leader");
    }
  }
}

void
CheckAllLogs(SimulatedNetwork& aNetwork)
{
  auto& members = aNetwork.members_;
  for (auto one = members.begin(); one != members.end(); ++one) {
    for (auto two = std::next(one); two != members.end(); ++two) {
      CheckLogs(aNetwork, one->second, two->second);
    }
  }
}

} // namespace wigeonlb::core::consensus
