#pragma once

#include "core/consensus/internal/stepcontext.h"

namespace wigeonlb::core::consensus {

//! Sends the next part of the latest snapshot, of at most aMaxBytes, to a
//! member that needs entries before the start of the log. An empty part is a
//! heartbeat.
void
SendSnapshotPart(StepContext& aContext,
                 const foundation::HostId& aHost,
                 Progress& aProgress,
                 std::size_t aMaxBytes);

void
HandleSnapshotRequest(StepContext& aContext,
                      const wire::ConsensusMessage& aMessage);
void
HandleSnapshotReply(StepContext& aContext,
                    const wire::ConsensusMessage& aMessage);

} // namespace wigeonlb::core::consensus
