#include <catch2/catch.hpp>

#include "core/configuration/applyrecord.h"
#include "core/trace/failoverrecords.h"
#include "core/trace/replayfailover.h"

namespace wigeonlb::core::trace::tests {

namespace {

//! A control member whose decision steps are recorded.
struct Leader
{
  failover::FailoverState state_;
  wire::ControlState control_;
  Trace trace_{ "m", {} };
};

wire::TraceRecord&
Append(Leader& aLeader)
{
  auto& record = aLeader.trace_.records_.emplace_back();
  record.set_number(aLeader.trace_.records_.size());
  return record;
}

void
Apply(Leader& aLeader, const wire::ControlRecord& aRecord)
{
  wire::ConsensusEntry entry;
  entry.set_index(aLeader.control_.applied_index() + 1);
  *entry.mutable_record() = aRecord;
  *Append(aLeader).mutable_applied() = entry;
  configuration::ApplyRecord(aLeader.control_, aRecord, entry.index());
}

void
Step(Leader& aLeader, const failover::FailoverEvent& aEvent, int aAtMs)
{
  const foundation::Instant now{ std::chrono::milliseconds(aAtMs) };
  std::vector<failover::FailoverAction> actions;
  failover::Step(aLeader.state_, aLeader.control_, aEvent, now, actions);
  *Append(aLeader).mutable_failover_step() = ToRecord(aEvent, actions, now);
}

//! A control leader that queries the targets of many groups without a primary.
Leader
MakeLeaderOfManyGroups()
{
  Leader leader;
  leader.state_.self_ = "m";
  auto& header = *Append(leader).mutable_header();
  header.set_version(kTraceVersion);
  header.set_host("m");
  for (int i = 0; i < 20; ++i) {
    const auto name = "group-" + std::to_string(i);
    wire::ControlRecord create;
    create.mutable_change()->set_change_id(name);
    create.mutable_change()
      ->add_operations()
      ->mutable_create_group()
      ->set_group(name);
    Apply(leader, create);
    for (const auto* target : { "a", "b", "c" }) {
      wire::ControlRecord admit;
      admit.mutable_admit()->set_group(name);
      admit.mutable_admit()->mutable_target()->set_target(target);
      admit.mutable_admit()->mutable_target()->set_counted(true);
      Apply(leader, admit);
    }
  }
  Step(leader, failover::BecameLeader{ .term_ = 1 }, 1000);
  Step(leader, failover::Tick{}, 1020);
  Step(leader, failover::Tick{}, 2000);
  return leader;
}

} // namespace

TEST_CASE("decisions about many groups replay with the same result", "[trace]")
{
  const Leader leader = MakeLeaderOfManyGroups();
  CHECK(leader.trace_.records_.back().failover_step().actions_size() >= 60);
  std::vector<TraceFinding> findings;
  CHECK(ReplayFailover(leader.trace_, 0, findings).steps_ == 3);
  CHECK(findings.empty());
}

TEST_CASE("a step with another result in the replay is found", "[trace]")
{
  Leader leader = MakeLeaderOfManyGroups();
  const auto last = leader.trace_.records_.size() - 1;
  auto& step = *leader.trace_.records_[last].mutable_failover_step();
  SECTION("a different action")
  {
    step.mutable_actions(3)->mutable_read()->set_target("z");
  }
  SECTION("a missing action")
  {
    step.mutable_actions()->RemoveLast();
  }
  std::vector<TraceFinding> findings;
  ReplayFailover(leader.trace_, 7, findings);
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].rule_ == rule::kReplayDiffers);
  CHECK(findings[0].trace_ == 7);
  CHECK(findings[0].number_ == last + 1);
}

TEST_CASE("no step is replayed after missing records", "[trace]")
{
  Leader leader = MakeLeaderOfManyGroups();
  auto& records = leader.trace_.records_;
  const auto second = records.size() - 2;
  SECTION("a record reports dropped records")
  {
    records[second].mutable_dropped()->set_records(1);
  }
  SECTION("a log entry is missing")
  {
    records[second].mutable_applied()->set_index(999);
  }
  std::vector<TraceFinding> findings;
  const auto replay = ReplayFailover(leader.trace_, 0, findings);
  CHECK(replay.steps_ == 1);
  CHECK(replay.stoppedAt_ == records.size());
  CHECK(findings.empty());
}

} // namespace wigeonlb::core::trace::tests
