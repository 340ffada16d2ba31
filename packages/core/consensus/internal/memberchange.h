#pragma once

#include "core/consensus/consensus.h"

// Which changes of the members a leader may propose.
namespace wigeonlb::core::consensus {

//! Why a learner may not become a voter now, or None.
ChangeRefusal
CheckAddedHost(const ConsensusState& aState,
               const foundation::HostId& aHost,
               foundation::Instant aNow);

//! True if a voter can be replaced now, or a change of members is not complete.
bool
ReplacesVoters(const ConsensusState& aState, foundation::Instant aNow);

//! Why a membership change may not be proposed now, or None:
//! - It adds or removes at most one voter, or names the present voters as
//!   outgoing ones. Then the voters that it keeps or adds must know of these.
//! - An added voter is a learner that has answered recently and has caught up
//!   with the committed log.
//! - The previous change is committed, and so is an entry of this term.
//! - A quorum of the new voters counts and has answered recently, so that the
//!   change can be committed.
ChangeRefusal
CheckChange(const ConsensusState& aState,
            const wire::MemberChange& aChange,
            foundation::Instant aNow);

//! True if a membership change may be proposed now.
bool
IsValidChange(const ConsensusState& aState,
              const wire::MemberChange& aChange,
              foundation::Instant aNow);

} // namespace wigeonlb::core::consensus
