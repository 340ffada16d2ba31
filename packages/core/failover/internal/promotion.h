#pragma once

#include "core/failover/internal/groupcontext.h"

namespace wigeonlb::core::failover {

//! Step of a group whose term is fenced: waits until no grant can be in use,
//! reads the counted targets and chooses the next primary from a majority of
//! them.
void
StepFenced(GroupContext& aContext);

//! Step of a group whose chosen primary is committed: requests the promotion
//! until it is answered. When the target refuses or does not respond and
//! another one is safe, makes another choice in a new term.
void
StepPromotion(GroupContext& aContext);

//! Handles the answer to a promotion request and proposes the confirmation.
void
ApplyPromotionAnswer(GroupContext& aContext, const PromotionAnswered& aAnswer);

} // namespace wigeonlb::core::failover
