#pragma once

#include <optional>
#include <span>
#include <vector>

#include "core/failover/internal/candidates.h"
#include "core/failover/internal/groupcontext.h"

//! The position that a target must have reached to be promoted, in groups whose
//! writes are acknowledged once one replica has received them. Whatever targets
//! are known: an acknowledged write is in the log of the primary, and the host
//! that acknowledged it to its caller knows where.
namespace wigeonlb::core::failover {

//! The bound by the reads and by what the hosts have told; empty while these
//! are not sufficient.
std::optional<foundation::LogPosition>
FindAcknowledgedBound(const GroupContext& aContext,
                      std::span<const Candidate> aCandidates);

//! The candidates that reach the bound. Preferences choose only among these.
std::vector<Candidate>
FilterByOneReplica(const GroupContext& aContext,
                   std::span<const Candidate> aCandidates);

//! Why no candidate reaches the bound.
std::string
DescribeMissingReplica(const GroupContext& aContext,
                       std::span<const Candidate> aCandidates);

//! Whether a counted target whose data are gone since aSince may be removed:
//! all that was acknowledged before is known by what the hosts told since, or
//! held by another counted target.
bool
MayRemove(GroupContext& aContext,
          const wire::TargetState& aTarget,
          foundation::Instant aSince);

//! What the replicated state keeps when a counted target is removed, whose log
//! alone may hold acknowledged writes; empty if the group has no such writes.
std::optional<foundation::LogPosition>
FindPositionToKeep(const GroupContext& aContext);

} // namespace wigeonlb::core::failover
