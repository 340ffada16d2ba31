#pragma once

#include "core/failover/internal/groupcontext.h"

namespace wigeonlb::core::failover {

//! A group whose term is fenced: waits until no grant can be in use, reads the
//! counted targets and chooses the next primary from a majority of them.
void
StepFenced(GroupContext& aContext);

//! A group whose choice is logged: orders the promotion until it is answered,
//! and makes another choice, in a new term, when the target refuses or stays
//! silent and another one is safe.
void
StepPromotion(GroupContext& aContext);

//! Takes the answer to an order and proposes the confirmation.
void
ApplyPromotionAnswer(GroupContext& aContext, const PromotionAnswered& aAnswer);

} // namespace wigeonlb::core::failover
