#pragma once

#include <vector>

#include "core/failover/failover.h"

//! The replicated list of hosts that may hold grants of a group (grantees).
namespace wigeonlb::core::failover {

//! Proposes aHost, the group's owners and the possible holders of its grants as
//! grantees. The list is committed before a host receives its first grant, so
//! that the next leader knows from which hosts it needs a heartbeat.
void
ProposeGrantees(FailoverState& aState,
                const wire::GroupState& aGroup,
                const foundation::HostId& aHost,
                foundation::Instant aNow,
                std::vector<FailoverAction>& aActions);

//! True when a host must be a grantee before it receives a grant of the group.
//! NOTE False for groups with majority acknowledgement: there a new leader
//! issues first grants without this list.
bool
RecordsGrantees(const FailoverState& aState, const wire::GroupState& aGroup);

bool
IsGrantee(const wire::GroupState& aGroup, const foundation::HostId& aHost);

} // namespace wigeonlb::core::failover
