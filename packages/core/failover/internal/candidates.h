#pragma once

#include <optional>
#include <span>
#include <vector>

#include "core/failover/internal/groupcontext.h"
#include "foundation/logposition.h"

namespace wigeonlb::core::failover {

//! A target that the leader has read, with its position for ranking.
struct Candidate
{
  const wire::TargetState* target_ = nullptr;
  const wire::TargetReport* report_ = nullptr;
  foundation::LogPosition position_;
};

//! Whether the target is read before a choice: it is counted, or a single
//! replica acknowledges writes, and that may have been this one.
bool
IsReadForChoice(const wire::GroupState& aGroup,
                const wire::TargetState& aTarget);

//! Lists the targets to choose from whose logs may hold what a majority holds,
//! according to the leader's own reads that were requested at or after aSince.
std::vector<Candidate>
ListCandidates(const GroupContext& aContext, foundation::Instant aSince);

//! Returns the candidates that are certain to hold every acknowledged write.
//! Any two majorities of the counted targets share a target: one that
//! acknowledged a write and one that was read. A candidate that is not below
//! any member of a majority therefore holds every acknowledged write. The
//! primary of the term in force holds them without a comparison with other
//! targets. With `one_replica`, a candidate is safe when its log reaches the
//! end of the primary, or if that doesn't answer, as far as the reads show that
//! an acknowledged write can. With `primary`, these are the candidates that can
//! be promoted.
std::vector<Candidate>
FilterSafeCandidates(const GroupContext& aContext,
                     const std::vector<Candidate>& aCandidates);

//! The candidate that is the confirmed primary of the term in force, and that
//! leads it; null if there is none. It was a member of each majority that
//! acknowledged writes in the term, and began the term with all earlier writes.
const Candidate*
FindLeadingPrimary(const GroupContext& aContext,
                   std::span<const Candidate> aCandidates);

//! True while the primary is to be replaced although nothing has failed: it
//! leaves, or an operator requested another one.
bool
IsPlannedChange(const wire::GroupState& aGroup);

//! The failed promotion of the candidate with the log that it has now, or null.
const FailedPromotion*
FindFailure(const GroupContext& aContext, const Candidate& aCandidate);

//! Chooses the candidate to promote from the safe ones. Empty while a replica
//! should catch up first, which is waited for only for a limited time.
//! Candidates without a failed promotion are preferred to those with one,
//! candidates on the confirmed history to diverged ones, and other targets to
//! the old primary. When the promotion of all has failed, the one whose failure
//! is longest ago is chosen.
std::optional<Candidate>
ChooseCandidate(const GroupContext& aContext,
                const std::vector<Candidate>& aSafe);

} // namespace wigeonlb::core::failover
