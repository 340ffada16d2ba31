#pragma once

#include <optional>
#include <string>

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! The target of that name, or null.
Target*
FindTarget(Group& aGroup, const TargetName& aName);

//! The primary of the grant that is held; null without one.
Target*
FindPrimary(Group& aGroup);

//! May new work be given to the target at all.
bool
AcceptsWork(const Target& aTarget);

//! Transactions must leave a connection for other work.
bool
MayPin(const Target& aTarget);

//! The written position of what reads see.
LogPosition
AppliedPosition(const Group& aGroup, const wire::TargetReport& aReport);

//! A report of the life of the target's data that the group knows.
bool
IsSameIncarnation(const Group& aGroup,
                  const Target& aTarget,
                  const wire::TargetReport& aReport);

//! Why a replica can't serve a read, from what is remembered of it; empty when
//! it can.
std::string_view
FindIneligibleReason(const Group& aGroup,
                     const Target& aTarget,
                     const LogPosition& aFloor,
                     std::optional<Duration> aMaxAge,
                     Instant aNow);

//! Whether a status read along with a statement shows the floor and the age.
bool
SatisfiesRead(const Group& aGroup,
              const Target& aTarget,
              const wire::TargetReport& aReport,
              const LogPosition& aFloor,
              std::optional<Duration> aMaxAge,
              Instant aNow);

//! Takes in a status of the target, however it came.
void
ApplyReport(Context& aContext,
            Target& aTarget,
            const wire::TargetReport& aReport,
            Instant aSentAt);

//! Takes in the group's state and what is announced of it.
void
OnGroupChanged(Context& aContext, const GroupChanged& aEvent);

//! Sets shares and slots anew.
void
SetLimits(Context& aContext);

//! Ejects replicas that fail or are far slower than the others.
void
EjectOutlierReplicas(Context& aContext);

} // namespace wigeonlb::core::traffic::internal
