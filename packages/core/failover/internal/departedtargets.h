#pragma once

#include <span>

#include "core/failover/internal/candidates.h"
#include "core/failover/internal/groupcontext.h"

//! Targets that counted and can't be read any more, in groups whose writes are
//! acknowledged once one replica has received them. Such a write may be in the
//! log of a departed target alone. They are remembered in the replicated state
//! until another target is known to hold all that they may hold.
namespace wigeonlb::core::failover {

//! True if the group remembers departed targets.
bool
RemembersDeparted(const wire::GroupState& aGroup);

//! The entry for a target that departs, with the last position that was read.
wire::DepartedTarget
MakeDeparted(const GroupContext& aContext, const wire::TargetState& aTarget);

//! Proposes to forget the departed targets once another counted target holds
//! all that the live primary had after they stopped answering.
void
ForgetSettledDeparted(GroupContext& aContext);

//! Proposes to admit a target that announced itself at the address of a
//! departed one, whose log it has been given. Returns whether a record was
//! proposed.
bool
AdmitSuccessor(GroupContext& aContext);

//! Number of departed targets whose log no candidate has taken over.
std::size_t
CountMissingDeparted(const GroupContext& aContext,
                     std::span<const Candidate> aCandidates);

//! The names of the departed targets, for a reason to wait; empty if there are
//! none.
std::string
ListDepartedNames(const wire::GroupState& aGroup);

} // namespace wigeonlb::core::failover
