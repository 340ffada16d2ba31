#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/failover/failover.h"

namespace wigeonlb::core::failover {

//! Arguments that the steps of one group share.
struct GroupContext
{
  FailoverState& state_;
  const wire::ControlState& control_;
  const wire::GroupState& group_;
  GroupProgress& progress_;
  foundation::Instant now_;
  std::vector<FailoverAction>& actions_;
};

//! Records a decision or its outcome for `show why group`.
void
RecordDecision(GroupContext& aContext, const std::string& aText);

//! Proposes a record and adds the reason to the group's decisions. No other
//! proposals than fences follow until the record was applied or
//! kProposalRetryMs has passed.
void
ProposeRecord(GroupContext& aContext,
              wire::ControlRecord aRecord,
              const std::string& aReason);

//! Proposes to fence the term in force, at most once per kProposalRetryMs.
void
ProposeFence(GroupContext& aContext, const std::string& aReason);

//! True while a proposal other than a fence is pending.
bool
IsProposalPending(const GroupContext& aContext);

//! Requests a read of a target unless one is outstanding or was requested less
//! than aPause ago.
void
RequestRead(GroupContext& aContext,
            const wire::TargetState& aTarget,
            foundation::Duration aPause);

//! The report of the leader's own read that was requested at or after aSince,
//! or null.
const wire::TargetReport*
FindOwnReport(const GroupContext& aContext,
              std::string_view aTarget,
              foundation::Instant aSince);

//! Sets the reason why the group currently waits.
void
SetWaitingReason(GroupContext& aContext, std::string aReason);

//! For records.
wire::LogPosition
ToWire(const foundation::LogPosition& aPosition);

//! Which targets must have synced a write before it is acknowledged, by the
//! group's option `acknowledge`.
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
GetGroupSize(const wire::GroupState& aGroup);

//! The last term that was chosen, confirmed or not.
std::uint64_t
GetLastChosenTerm(const wire::GroupState& aGroup);

} // namespace wigeonlb::core::failover
