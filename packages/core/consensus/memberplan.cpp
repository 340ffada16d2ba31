#include "core/consensus/memberplan.h"

#include <algorithm>

#include "core/consensus/internal/replication.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;
using foundation::Instant;

bool
Contains(const google::protobuf::RepeatedPtrField<std::string>& aHosts,
         const HostId& aHost)
{
  return std::ranges::find(aHosts, aHost) != aHosts.end();
}

bool
IsUnresponsive(const ConsensusState& aState, const HostId& aHost, Instant aNow)
{
  if (aHost == aState.settings_.self_) {
    return false;
  }
  const auto progress = aState.progress_.find(aHost);
  const bool answered = progress != aState.progress_.end() &&
                        progress->second.answeredSentAt_.has_value();
  const Instant since =
    answered ? std::max(*progress->second.answeredSentAt_, aState.leadingSince_)
             : aState.leadingSince_;
  return aNow - since >= kVoterTimeoutMs;
}

//! The first unresponsive voter, or empty.
HostId
FindUnresponsiveVoter(const ConsensusState& aState, Instant aNow)
{
  for (const HostId& host : Members(aState).voters()) {
    if (IsUnresponsive(aState, host, aNow)) {
      return host;
    }
  }
  return {};
}

void
Erase(google::protobuf::RepeatedPtrField<std::string>& aHosts,
      const HostId& aHost)
{
  aHosts.erase(std::remove(aHosts.begin(), aHosts.end(), aHost), aHosts.end());
}

std::optional<wire::MemberChange>
WithLearners(const ConsensusState& aState,
             std::span<const MemberCandidate> aLive)
{
  wire::MemberChange members = Members(aState);
  bool changed = false;
  for (const MemberCandidate& candidate : aLive) {
    if (Contains(members.voters(), candidate.host_) ||
        Contains(members.learners(), candidate.host_)) {
      continue;
    }
    members.add_learners(candidate.host_);
    (*members.mutable_addresses())[candidate.host_] = candidate.address_;
    changed = true;
  }
  return changed ? std::optional(members) : std::nullopt;
}

//! Promotes the first learner that may become a voter.
std::optional<wire::MemberChange>
WithOneMoreVoter(const ConsensusState& aState, Instant aNow)
{
  for (const HostId& host : Members(aState).learners()) {
    wire::MemberChange members = Members(aState);
    Erase(*members.mutable_learners(), host);
    members.add_voters(host);
    if (IsValidChange(aState, members, aNow)) {
      return members;
    }
  }
  return std::nullopt;
}

//! Demotes a voter to a learner, so that it can become a voter again when it
//! returns.
std::optional<wire::MemberChange>
WithoutVoter(const ConsensusState& aState, const HostId& aHost, Instant aNow)
{
  wire::MemberChange members = Members(aState);
  Erase(*members.mutable_voters(), aHost);
  members.add_learners(aHost);
  return IsValidChange(aState, members, aNow) ? std::optional(members)
                                              : std::nullopt;
}

} // namespace

std::optional<wire::MemberChange>
PlanMembers(const ConsensusState& aState,
            std::span<const MemberCandidate> aLive,
            std::size_t aVoters,
            Instant aNow)
{
  if (!HoldsLease(aState, aNow) ||
      aState.log_.members_.back().first > aState.commitIndex_) {
    return std::nullopt;
  }
  if (auto learners = WithLearners(aState, aLive)) {
    return learners;
  }
  const auto voters = static_cast<std::size_t>(Members(aState).voters_size());
  const HostId unresponsive = FindUnresponsiveVoter(aState, aNow);
  if (!unresponsive.empty() && voters > aVoters) {
    return WithoutVoter(aState, unresponsive, aNow);
  }
  if (voters < aVoters || (!unresponsive.empty() && voters == aVoters)) {
    return WithOneMoreVoter(aState, aNow);
  }
  return std::nullopt;
}

} // namespace wigeonlb::core::consensus
