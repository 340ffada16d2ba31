#pragma once

#include <optional>
#include <string>

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! The target with this name, or null.
Target*
FindTarget(Group& aGroup, const TargetName& aName);

//! The primary under the current grant; null without a grant.
Target*
FindPrimary(Group& aGroup);

//! Whether the target may get new statements at all.
bool
AcceptsWork(const Target& aTarget);

//! Whether another transaction may pin a connection. One connection is kept
//! free for other statements.
bool
MayPin(const Target& aTarget);

//! The position up to which reads on the target see the log, with the term that
//! wrote it.
LogPosition
GetAppliedPosition(const Group& aGroup, const wire::TargetReport& aReport);

//! Whether the report is of the incarnation of the target's data that the group
//! has recorded.
bool
IsSameIncarnation(const Group& aGroup,
                  const Target& aTarget,
                  const wire::TargetReport& aReport);

//! Why a target cannot serve a read, judged by its latest report; empty when it
//! can.
std::string_view
FindIneligibleReason(const Group& aGroup,
                     const Target& aTarget,
                     const LogPosition& aFloor,
                     std::optional<Duration> aMaxAge,
                     Instant aNow);

//! Whether a status that was queried along with a statement satisfies the floor
//! and the staleness bound.
bool
SatisfiesRead(const Group& aGroup,
              const Target& aTarget,
              const wire::TargetReport& aReport,
              const LogPosition& aFloor,
              std::optional<Duration> aMaxAge,
              Instant aNow);

//! Records a status of the target from any source.
void
ApplyReport(Context& aContext,
            Target& aTarget,
            const wire::TargetReport& aReport,
            Instant aSentAt);

//! Applies a change of the group's state or its announced targets.
void
OnGroupChanged(Context& aContext, const GroupChanged& aEvent);

//! Recomputes the share and slots of each target.
void
SetLimits(Context& aContext);

//! Ejects replicas that fail often or are far slower than the others.
void
EjectOutlierReplicas(Context& aContext);

} // namespace wigeonlb::core::traffic::internal
