#pragma once

#include "core/consensus/internal/stepcontext.h"

namespace wigeonlb::core::consensus {

//! Sends the next part of the latest snapshot to a member that needs entries
//! before the start of the log.
void
SendSnapshotPart(StepContext& aContext,
                 const foundation::HostId& aHost,
                 Progress& aProgress);

void
HandleSnapshotRequest(StepContext& aContext,
                      const wire::ConsensusMessage& aMessage);
void
HandleSnapshotReply(StepContext& aContext,
                    const wire::ConsensusMessage& aMessage);

} // namespace wigeonlb::core::consensus
