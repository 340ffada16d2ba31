#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/failover/failover.h"

namespace wigeonlb::core::failover {

//! What the steps of one group work on.
struct GroupContext
{
  FailoverState& state_;
  const wire::ControlState& control_;
  const wire::GroupState& group_;
  GroupProgress& progress_;
  foundation::Instant now_;
  std::vector<FailoverAction>& actions_;
};

//! Notes a decision or its outcome for `show why group`.
void
RecordDecision(GroupContext& aContext, const std::string& aText);

//! Proposes a record, remembers the reason, and holds back further proposals
//! until the record was applied or kProposalRetryMs has passed.
void
ProposeRecord(GroupContext& aContext,
              wire::ControlRecord aRecord,
              const std::string& aReason);

//! Proposes the fence of the term in force.
void
ProposeFence(GroupContext& aContext, const std::string& aReason);

//! True while a proposal other than a fence is on its way.
bool
IsProposalPending(const GroupContext& aContext);

//! Orders a read of a target unless one is on its way or was ordered less than
//! aPause ago.
void
RequestRead(GroupContext& aContext,
            const wire::TargetState& aTarget,
            foundation::Duration aPause);

//! The report of the leader's own read that was ordered at or after aSince, or
//! null.
const wire::TargetReport*
FindOwnReport(const GroupContext& aContext,
              std::string_view aTarget,
              foundation::Instant aSince);

//! Notes why nothing happens now.
void
SetWaitingReason(GroupContext& aContext, std::string aReason);

//! Who must have a write before it is acknowledged, by the group's option.
enum class Acknowledgement
{
  Majority,
  OneReplica,
  Primary,
};
Acknowledgement
GetAcknowledgement(const wire::GroupState& aGroup);

//! The group's option `size`.
std::size_t
GroupSize(const wire::GroupState& aGroup);

//! The last term that was chosen, confirmed or not.
std::uint64_t
LastChosenTerm(const wire::GroupState& aGroup);

} // namespace wigeonlb::core::failover
