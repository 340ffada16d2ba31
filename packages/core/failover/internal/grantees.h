#pragma once

#include <vector>

#include "core/failover/failover.h"

//! The record of hosts that may hold grants of a group.
namespace wigeonlb::core::failover {

//! The record of possible holders is committed before one of them gets its
//! first grant, so that the next leader knows whom to hear.
void
ProposeGrantees(FailoverState& aState,
                const wire::GroupState& aGroup,
                const foundation::HostId& aHost,
                foundation::Instant aNow,
                std::vector<FailoverAction>& aActions);

//! NOTE Only for groups that need no majority: where it is needed, the owners
//! of a new leader come by their first grants as before.
bool
RecordsGrantees(const FailoverState& aState, const wire::GroupState& aGroup);

bool
IsGrantee(const wire::GroupState& aGroup, const foundation::HostId& aHost);

} // namespace wigeonlb::core::failover
