#pragma once

#include <vector>

#include "control/controlruntime.h"
#include "operator/table.h"
#include "traffic/trafficshard.h"

//! The result tables of `show`, `show why` and `explain`. All but SessionsTable
//! and ReadChoicesTable read state of the control thread.
namespace wigeonlb::daemon::operations {

operators::Table
HostsTable(control::ControlRuntime& aControl);

//! Desired and actual state of each group.
operators::Table
GroupsTable(control::ControlRuntime& aControl);

operators::Table
TargetsTable(control::ControlRuntime& aControl);

//! The grants that this host holds.
operators::Table
GrantsTable(control::ControlRuntime& aControl);

//! The configuration in force on this host, and the control leader's rows about
//! the other hosts.
operators::Table
ConfigTable(control::ControlRuntime& aControl,
            const std::vector<std::vector<std::string>>& aLeaderRows);

//! The control members as known to this host.
operators::Table
MembersTable(control::ControlRuntime& aControl);

//! Whether this host leads and has applied all entries that earlier leaders
//! committed.
bool
IsLeader(const control::ControlRuntime& aControl);

//! Answers a question to the control leader. Requires IsLeader.
operators::Table
LeaderTable(control::ControlRuntime& aControl,
            const wire::OperatorQuestion& aQuestion);

//! Fallback for the decisions about a group when no control leader answered:
//! the reason of the last one.
operators::Table
LastReasonTable(const std::string& aReason);

operators::Table
SessionsTable(const std::vector<traffic::SessionRow>& aRows);

operators::Table
ReadChoicesTable(const std::vector<core::traffic::ReadChoice>& aChoices);

} // namespace wigeonlb::daemon::operations
