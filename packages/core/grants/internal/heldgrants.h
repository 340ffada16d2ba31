#pragma once

#include <vector>

#include "core/grants/holder.h"

//! Life cycle of the grants of a holder: acceptance, renewal, revocation, drain
//! and end.
namespace wigeonlb::core::grants::internal {

//! Stores what was acknowledged in the last term of a group. The bounds only
//! rise within a term.
void
StoreAcknowledged(HolderState& aState, const wire::AcknowledgedWrites& aWrites);

//! Ends grants whose lease has ended or whose drain has reached its deadline.
void
EndExpiredGrants(HolderState& aState,
                 foundation::Instant aNow,
                 std::vector<HolderAction>& aActions);

//! Applies one grant from a reply. aSentAt is when the answered heartbeat was
//! sent, in microseconds of this host's clock.
void
ApplyGrant(HolderState& aState,
           const wire::Grant& aGrant,
           std::uint64_t aSentAt,
           foundation::Instant aNow,
           std::vector<HolderAction>& aActions);

//! Stops the grants that the newest reply does not contain. They drain and end
//! with their lease, but are not released: the host may receive a grant of the
//! same term again.
void
StopUnrenewedGrants(HolderState& aState,
                    const wire::HeartbeatReply& aReply,
                    foundation::Instant aNow,
                    std::vector<HolderAction>& aActions);

void
ApplyRevocation(HolderState& aState,
                const wire::RevokeGrant& aRevoke,
                foundation::Instant aNow,
                std::vector<HolderAction>& aActions);

//! Records how many connections are in use, with or without a grant.
void
UpdateShareInUse(HolderState& aState, const ShareInUse& aEvent);

//! Ends a stopped grant under which no work is in flight any more.
void
HandleDrained(HolderState& aState,
              const DrainedForRelease& aEvent,
              std::vector<HolderAction>& aActions);

} // namespace wigeonlb::core::grants::internal
