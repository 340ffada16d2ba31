#include "core/trace/failoverrecords.h"

#include <utility>

namespace wigeonlb::core::trace {

namespace {

using foundation::Duration;
using foundation::Instant;

std::int64_t
ToMicroseconds(Instant aInstant)
{
  return aInstant.time_since_epoch().count();
}

Instant
ToInstant(std::int64_t aMicroseconds)
{
  return Instant(Duration(aMicroseconds));
}

void
Add(wire::FailoverStep& aStep, const failover::Tick& aEvent)
{
  aStep.set_tick(true);
  aStep.set_leader_lease_until_us(ToMicroseconds(aEvent.leaderLeaseUntil_));
}

void
Add(wire::FailoverStep& aStep, const failover::HeartbeatReceived& aEvent)
{
  auto& heartbeat = *aStep.mutable_heartbeat();
  *heartbeat.mutable_heartbeat() = aEvent.heartbeat_;
  heartbeat.set_received_at_us(ToMicroseconds(aEvent.receivedAt_));
  heartbeat.set_leader_lease_until_us(ToMicroseconds(aEvent.leaderLeaseUntil_));
}

void
Add(wire::FailoverStep& aStep, const failover::BecameLeader& aEvent)
{
  auto& started = *aStep.mutable_became_leader();
  started.set_term(aEvent.term_);
  started.set_first_index(aEvent.firstIndex_);
}

void
Add(wire::FailoverStep& aStep, const failover::LostLeadership& /*aEvent*/)
{
  aStep.set_lost_leadership(true);
}

void
Add(wire::FailoverStep& aStep, const failover::StateApplied& aEvent)
{
  auto& applied = *aStep.mutable_applied();
  for (const auto& group : aEvent.groups_) {
    applied.add_groups(group);
  }
}

void
Add(wire::FailoverStep& aStep, const failover::TargetAnswered& aEvent)
{
  auto& answer = *aStep.mutable_target_answered();
  answer.set_read(aEvent.read_);
  answer.set_group(aEvent.group_);
  answer.set_target(aEvent.target_);
  if (aEvent.report_) {
    *answer.mutable_report() = *aEvent.report_;
  }
}

void
Add(wire::FailoverStep& aStep, const failover::PromotionAnswered& aEvent)
{
  auto& answer = *aStep.mutable_promotion_answered();
  answer.set_group(aEvent.group_);
  answer.set_target(aEvent.target_);
  answer.set_term(aEvent.term_);
  answer.set_fence(aEvent.fence_);
  if (aEvent.report_) {
    *answer.mutable_report() = *aEvent.report_;
  }
}

void
Add(wire::FailoverOutput& aOutput, const failover::Propose& aAction)
{
  *aOutput.mutable_propose() = aAction.record_;
}

void
Add(wire::FailoverOutput& aOutput, const failover::Reply& aAction)
{
  aOutput.mutable_reply()->set_host(aAction.host_);
  *aOutput.mutable_reply()->mutable_reply() = aAction.reply_;
}

void
Add(wire::FailoverOutput& aOutput, const failover::SendRevoke& aAction)
{
  aOutput.mutable_revoke()->set_host(aAction.host_);
  *aOutput.mutable_revoke()->mutable_revoke() = aAction.revoke_;
}

void
Add(wire::FailoverOutput& aOutput, const failover::ReadTarget& aAction)
{
  auto& read = *aOutput.mutable_read();
  read.set_read(aAction.read_);
  read.set_group(aAction.group_);
  read.set_target(aAction.target_);
  read.set_address(aAction.address_);
}

void
Add(wire::FailoverOutput& aOutput, const failover::PromoteTarget& aAction)
{
  auto& order = *aOutput.mutable_order();
  order.set_group(aAction.group_);
  order.set_target(aAction.target_);
  order.set_address(aAction.address_);
  order.set_term(aAction.term_);
  order.set_incarnation(aAction.incarnation_);
  order.set_start_offset(aAction.startOffset_);
  order.set_fence(aAction.fence_);
}

std::optional<wire::TargetReport>
GetReport(const wire::FailoverAnswer& aAnswer)
{
  return aAnswer.has_report() ? std::optional(aAnswer.report()) : std::nullopt;
}

failover::HeartbeatReceived
ToHeartbeat(const wire::FailoverHeartbeat& aRecord)
{
  return { aRecord.heartbeat(),
           ToInstant(static_cast<std::int64_t>(aRecord.received_at_us())),
           ToInstant(aRecord.leader_lease_until_us()) };
}

} // namespace

wire::FailoverStep
ToRecord(const failover::FailoverEvent& aEvent,
         std::span<const failover::FailoverAction> aActions,
         Instant aNow)
{
  wire::FailoverStep step;
  step.set_now_us(ToMicroseconds(aNow));
  std::visit([&](const auto& aOne) { Add(step, aOne); }, aEvent);
  for (const auto& action : aActions) {
    *step.add_actions() = ToRecord(action);
  }
  return step;
}

wire::FailoverOutput
ToRecord(const failover::FailoverAction& aAction)
{
  wire::FailoverOutput output;
  std::visit([&](const auto& aOne) { Add(output, aOne); }, aAction);
  return output;
}

std::optional<failover::FailoverEvent>
ToEvent(const wire::FailoverStep& aStep)
{
  using Event = wire::FailoverStep::EventCase;
  switch (aStep.event_case()) {
    case Event::kTick:
      return failover::Tick{ ToInstant(aStep.leader_lease_until_us()) };
    case Event::kHeartbeat:
      return ToHeartbeat(aStep.heartbeat());
    case Event::kBecameLeader:
      return failover::BecameLeader{ aStep.became_leader().term(),
                                     aStep.became_leader().first_index() };
    case Event::kLostLeadership:
      return failover::LostLeadership{};
    case Event::kApplied:
      return failover::StateApplied{ { aStep.applied().groups().begin(),
                                       aStep.applied().groups().end() } };
    case Event::kTargetAnswered: {
      const auto& answer = aStep.target_answered();
      return failover::TargetAnswered{
        answer.read(), answer.group(), answer.target(), GetReport(answer)
      };
    }
    case Event::kPromotionAnswered: {
      const auto& answer = aStep.promotion_answered();
      return failover::PromotionAnswered{ answer.group(),
                                          answer.target(),
                                          answer.term(),
                                          answer.fence(),
                                          GetReport(answer) };
    }
    case Event::EVENT_NOT_SET:
      return std::nullopt;
  }
  return std::nullopt;
}

} // namespace wigeonlb::core::trace
