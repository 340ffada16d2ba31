#pragma once

#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

//! Whether a member may process a message. Members never send others: such a
//! message comes from a damaged or foreign process, and would end this one or
//! leave it with a log or a lease that it must not have.
bool
IsWellFormed(const ConsensusState& aState,
             const wire::ConsensusMessage& aMessage,
             foundation::Instant aNow);

} // namespace wigeonlb::core::consensus
