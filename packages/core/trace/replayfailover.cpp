#include "core/trace/replayfailover.h"

#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/message_differencer.h>

#include "core/configuration/applyrecord.h"
#include "core/trace/failoverrecords.h"

namespace wigeonlb::core::trace {

namespace {

using google::protobuf::util::MessageDifferencer;

struct Member
{
  failover::FailoverState state_;
  wire::ControlState control_;
};

std::string
FormatAsJson(const wire::FailoverOutput& aOutput)
{
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  (void)google::protobuf::util::MessageToJsonString(aOutput, &text, options);
  return text;
}

//! Describes the first difference between the actions; empty if there is none.
std::string
DescribeDifference(const wire::FailoverStep& aRecorded,
                   const std::vector<failover::FailoverAction>& aReplayed)
{
  const auto recorded = static_cast<std::size_t>(aRecorded.actions_size());
  for (std::size_t i = 0; i < std::max(recorded, aReplayed.size()); ++i) {
    const bool isRecorded = i < recorded;
    const bool isReplayed = i < aReplayed.size();
    const auto was = isRecorded ? aRecorded.actions(static_cast<int>(i))
                                : wire::FailoverOutput();
    const auto is =
      isReplayed ? ToRecord(aReplayed[i]) : wire::FailoverOutput();
    if (isRecorded != isReplayed || !MessageDifferencer::Equals(was, is)) {
      return "action " + std::to_string(i + 1) + " was " +
             (isRecorded ? FormatAsJson(was) : "none") + ", is " +
             (isReplayed ? FormatAsJson(is) : "none");
    }
  }
  return {};
}

//! Replays one step. Returns a description of how the actions differ, which is
//! empty if they don't.
std::string
ReplayStep(Member& aMember, const wire::FailoverStep& aStep)
{
  const auto event = ToEvent(aStep);
  if (!event) {
    return "the step has no event";
  }
  std::vector<failover::FailoverAction> actions;
  const auto nowUs = static_cast<std::int64_t>(aStep.now_us());
  failover::Step(aMember.state_,
                 aMember.control_,
                 *event,
                 foundation::Instant(foundation::Duration(nowUs)),
                 actions);
  return DescribeDifference(aStep, actions);
}

//! Applies a log entry. Returns false if entries before it are missing.
bool
ApplyEntry(Member& aMember, const wire::ConsensusEntry& aEntry)
{
  if (aEntry.index() > aMember.control_.applied_index() + 1) {
    return false;
  }
  configuration::ApplyRecord(aMember.control_, aEntry.record(), aEntry.index());
  return true;
}

} // namespace

FailoverReplay
ReplayFailover(const Trace& aTrace,
               std::size_t aIndex,
               std::vector<TraceFinding>& aFindings)
{
  Member member;
  member.state_.self_ = GetHeader(aTrace).host();
  FailoverReplay replay;
  bool complete = true;
  for (const auto& record : aTrace.records_) {
    if (record.has_dropped()) {
      complete = false;
    } else if (record.has_control_state()) {
      member.control_ = record.control_state();
    } else if (record.has_applied()) {
      complete = ApplyEntry(member, record.applied()) && complete;
    } else if (record.has_failover_step() && !complete) {
      replay.stoppedAt_ = record.number();
      return replay;
    } else if (record.has_failover_step()) {
      const auto difference = ReplayStep(member, record.failover_step());
      ++replay.steps_;
      if (!difference.empty()) {
        aFindings.push_back({ std::string(rule::kReplayDiffers),
                              aIndex,
                              record.number(),
                              difference });
        return replay;
      }
    }
  }
  return replay;
}

} // namespace wigeonlb::core::trace
