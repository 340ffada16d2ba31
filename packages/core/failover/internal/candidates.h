#pragma once

#include <optional>
#include <vector>

#include "core/failover/internal/groupcontext.h"
#include "foundation/logposition.h"

namespace wigeonlb::core::failover {

//! A counted target that answered, with the position that it is ranked by.
struct Candidate
{
  const wire::TargetState* target_ = nullptr;
  const wire::TargetReport* report_ = nullptr;
  foundation::LogPosition position_;
};

//! The counted targets whose log counts, as read by the leader since aSince.
std::vector<Candidate>
ReadCandidates(const GroupContext& aContext, foundation::Instant aSince);

//! The candidates that are sure to hold every acknowledged write.
//! Each acknowledging majority shares a target with each majority of
//! candidates, so one that none of a majority is above holds what any of them
//! does. The primary of the term in force needs no other.
std::vector<Candidate>
SafeCandidates(const GroupContext& aContext,
               const std::vector<Candidate>& aCandidates);

//! The failure of the candidate to lead with the log that it has; null if none.
const FailedPromotion*
FindFailure(const GroupContext& aContext, const Candidate& aCandidate);

//! The candidate to promote, of safe ones, or nothing to wait for a replica to
//! catch up. One that has failed gives way to one that hasn't, a diverged one
//! to one on the history, the old primary to another one. When all have failed
//! it is the one whose failure is longest ago.
std::optional<Candidate>
ChooseCandidate(const GroupContext& aContext,
                const std::vector<Candidate>& aSafe);

} // namespace wigeonlb::core::failover
