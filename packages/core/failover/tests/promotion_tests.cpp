#include <catch2/catch.hpp>

#include <optional>

#include "core/failover/failover.h"

namespace wigeonlb::core::failover {

namespace {

using foundation::Instant;

constexpr std::uint64_t kLeaderTerm = 5;
constexpr std::uint64_t kChoiceTerm = 3;
constexpr std::uint64_t kEarlierFence = 8;
constexpr std::uint64_t kFirstIndex = 10;
constexpr Instant kStart{ std::chrono::seconds(10) };

//! Target "b" was chosen for kChoiceTerm at a log index, and is not confirmed.
wire::ControlState
MakeControl(std::uint64_t aChoiceIndex)
{
  wire::ControlState control;
  auto& group = (*control.mutable_groups())["g"];
  group.set_group("g");
  group.set_term(kChoiceTerm - 1);
  group.set_primary("a");
  group.set_fenced(true);
  group.set_promoting("b");
  group.set_choice_index(aChoiceIndex);
  for (std::uint64_t term = 1; term <= kChoiceTerm; ++term) {
    group.add_history()->set_term(term);
  }
  for (const auto* name : { "a", "b" }) {
    auto* target = group.add_targets();
    target->set_target(name);
    target->set_incarnation(1);
    target->set_counted(true);
  }
  return control;
}

void
Feed(FailoverState& aState,
     const wire::ControlState& aControl,
     const FailoverEvent& aEvent)
{
  std::vector<FailoverAction> actions;
  Step(aState, aControl, aEvent, kStart, actions);
}

//! The request for the promotion that the event leads to, if any.
std::optional<PromoteTarget>
FindRequest(FailoverState& aState,
            const wire::ControlState& aControl,
            const FailoverEvent& aEvent,
            Instant aNow)
{
  std::vector<FailoverAction> actions;
  Step(aState, aControl, aEvent, aNow, actions);
  for (const auto& action : actions) {
    if (const auto* request = std::get_if<PromoteTarget>(&action)) {
      return *request;
    }
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("no two leaders request a promotion with the same fence",
          "[failover]")
{
  struct Row
  {
    std::string_view what_;
    std::uint64_t choiceIndex_;
    std::uint64_t firstIndex_; //!< of the leader
    std::uint64_t fence_;
  };
  const auto row = GENERATE(values<Row>({
    { "a choice of the leader itself", 12, 10, 12 },
    { "an unanswered choice of an earlier leader", 8, 10, 10 },
    { "a choice that two earlier leaders acted on", 8, 25, 25 },
  }));
  INFO(row.what_);
  const auto control = MakeControl(row.choiceIndex_);
  FailoverState state;
  Feed(state, control, BecameLeader{ kLeaderTerm, row.firstIndex_ });
  const auto request =
    FindRequest(state, control, Tick{ Instant::max() }, kStart);
  REQUIRE(request);
  CHECK(request->target_ == "b");
  CHECK(request->fence_ == row.fence_);
  CHECK(request->leaderTerm_ == kLeaderTerm);
  CHECK(request->choiceIndex_ == row.choiceIndex_);
  CHECK(request->chosenByEarlierLeader_ ==
        (row.choiceIndex_ < row.firstIndex_));
}

TEST_CASE("a promotion follows only the answers to the present leadership",
          "[failover]")
{
  enum class Answer
  {
    None,
    Accepted,
    Refused
  };
  struct Row
  {
    std::string_view what_;
    Answer answer_;
    std::uint64_t fence_;
    bool repeated_; //!< whether the promotion is requested again
  };
  const auto row = GENERATE(values<Row>({
    { "the request or its answer was lost", Answer::None, 0, true },
    { "accepted", Answer::Accepted, kFirstIndex, false },
    { "refused", Answer::Refused, kFirstIndex, false },
    { "an earlier one was accepted", Answer::Accepted, kEarlierFence, true },
    { "an earlier one was refused", Answer::Refused, kEarlierFence, true },
  }));
  INFO(row.what_);
  const auto control = MakeControl(kEarlierFence);
  FailoverState state;
  Feed(state, control, BecameLeader{ kLeaderTerm, kFirstIndex });
  const Tick tick{ Instant::max() };
  REQUIRE(FindRequest(state, control, tick, kStart));
  if (row.answer_ != Answer::None) {
    PromotionAnswered answer{ "g", "b", kChoiceTerm, row.fence_ };
    answer.accepted_ = row.answer_ == Answer::Accepted;
    if (row.answer_ == Answer::Refused) {
      answer.report_.emplace();
      answer.report_->set_target("b");
      answer.report_->set_incarnation(1);
      answer.report_->set_reachable(true);
    }
    Feed(state, control, answer);
  }
  const auto again =
    FindRequest(state, control, tick, kStart + kRetryIntervalMs);
  CHECK(again.has_value() == row.repeated_);
  CHECK((!again || again->fence_ == kFirstIndex));
}

TEST_CASE("a leader requests promotions only while its lease holds",
          "[failover]")
{
  struct Row
  {
    std::string_view what_;
    Instant leaseUntil_;
    bool requested_;
  };
  const auto row = GENERATE(values<Row>({
    { "no lease yet", {}, false },
    { "the lease ends at this moment", kStart, false },
    { "the lease holds", kStart + std::chrono::microseconds(1), true },
  }));
  INFO(row.what_);
  const auto control = MakeControl(kEarlierFence);
  FailoverState state;
  Feed(state, control, BecameLeader{ kLeaderTerm, kFirstIndex });
  const auto request =
    FindRequest(state, control, Tick{ row.leaseUntil_ }, kStart);
  CHECK(request.has_value() == row.requested_);
  CHECK((!request || request->leaseUntil_ == row.leaseUntil_));
  CHECK(
    FindRequest(state, control, Tick{ Instant::max() }, kStart).has_value() !=
    row.requested_);
}

} // namespace wigeonlb::core::failover
