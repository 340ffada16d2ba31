#pragma once

#include <span>

#include "core/failover/internal/candidates.h"

//! A fence that ends without a change of the primary. Groups whose writes are
//! acknowledged without a majority can't choose their primary again, as that
//! would not start a new term. Instead the term goes on in a new epoch, with
//! new grants.
namespace wigeonlb::core::failover {

//! Proposes to resume the fenced term once its primary has led it for as long
//! as another target is given to reach it. aCandidates are the targets that
//! were read, none of which may replace the primary. Returns whether a record
//! was proposed.
bool
TryResume(GroupContext& aContext, std::span<const Candidate> aCandidates);

} // namespace wigeonlb::core::failover
