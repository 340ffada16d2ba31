#include <catch2/catch.hpp>

#include "core/positions/positions.h"

namespace wigeonlb::core::positions {

using foundation::LogPosition;

namespace {

//! Terms 3 and 4 are confirmed and start at 0 and 100. Term 5 was chosen and
//! never confirmed; term 6 was chosen at 150 and is not confirmed yet.
wire::GroupState
MakeGroup()
{
  wire::GroupState group;
  group.set_group("g");
  group.set_term(4);
  group.set_primary("b");
  group.set_promoting("c");
  for (const auto& [term, start] :
       { std::pair(3, 0), std::pair(4, 100), std::pair(6, 150) }) {
    auto* entry = group.add_history();
    entry->set_term(term);
    entry->set_start_offset(start);
  }
  for (const auto* name : { "a", "b", "c" }) {
    auto* target = group.add_targets();
    target->set_target(name);
    target->set_incarnation(1);
    target->set_counted(true);
  }
  return group;
}

wire::TargetReport
MakeReport(std::string_view aTarget,
           std::uint64_t aTerm,
           std::uint64_t aSynced,
           std::uint64_t aIncarnation = 1)
{
  wire::TargetReport report;
  report.set_target(std::string(aTarget));
  report.set_reachable(true);
  report.set_adopted_term(aTerm);
  report.set_synced_offset(aSynced);
  report.set_applied_offset(aSynced / 2);
  report.set_incarnation(aIncarnation);
  return report;
}

} // namespace

TEST_CASE("the written position has the term that the offset belongs to",
          "[positions]")
{
  struct Row
  {
    std::string_view what_;
    std::uint64_t adopted_;
    std::uint64_t offset_;
    LogPosition written_;
    bool diverged_;
  };
  const auto row = GENERATE(values<Row>({
    { "adopted 4 but below its start", 4, 99, { 3, 99 }, false },
    { "adopted 4 at its start", 4, 100, { 4, 100 }, false },
    { "in 3 up to the start of 4", 3, 100, { 3, 100 }, false },
    { "in 3 past the start of 4: a replaced primary",
      3,
      101,
      { 3, 101 },
      true },
    { "an unconfirmed term start sets no limit", 4, 160, { 4, 160 }, false },
    { "the chosen target has begun its term", 6, 170, { 4, 170 }, false },
    { "before the first term", 2, 0, { 2, 0 }, false },
    { "before the first term, with log", 2, 1, { 2, 1 }, true },
  }));
  INFO(row.what_);
  const auto group = MakeGroup();
  const auto report = MakeReport("a", row.adopted_, row.offset_);
  CHECK(GetWrittenPosition(report, group) == row.written_);
  CHECK(IsDiverged(report, group) == row.diverged_);
}

TEST_CASE("a term that was chosen and never confirmed is not in the history",
          "[positions]")
{
  auto group = MakeGroup();
  group.set_term(6);
  group.set_promoting("");
  CHECK(IsDiverged(MakeReport("a", 5, 120), group));
  CHECK_FALSE(IsDiverged(MakeReport("a", 4, 150), group));
  CHECK(GetWrittenPosition(MakeReport("a", 6, 150), group) ==
        LogPosition{ 6, 150 });
}

TEST_CASE("a term that was skipped is abandoned", "[positions]")
{
  struct Row
  {
    std::string_view what_;
    std::uint64_t adopted_;
    std::uint64_t offset_;
    LogPosition written_;
    bool onAbandonedTerm_;
    bool diverged_;
  };
  const auto row = GENERATE(values<Row>({
    { "in 3, which 6 continues", 3, 150, { 3, 150 }, false, false },
    { "in 3 past the start of 6", 3, 151, { 3, 151 }, false, true },
    { "wrote in the skipped 4", 4, 101, { 3, 101 }, true, true },
    { "adopted the skipped 4 without any of its log",
      4,
      100,
      { 3, 100 },
      false,
      false },
    { "in 6", 6, 151, { 6, 151 }, false, false },
  }));
  INFO(row.what_);
  auto group = MakeGroup();
  group.set_term(6);
  group.mutable_history(2)->set_parent_term(3);
  const auto report = MakeReport("a", row.adopted_, row.offset_);
  CHECK(GetWrittenPosition(report, group) == row.written_);
  CHECK(IsOnAbandonedTerm(report, group) == row.onAbandonedTerm_);
  CHECK(IsDiverged(report, group) == row.diverged_);
}

TEST_CASE("a target without log of its term ranks with the parent term",
          "[positions]")
{
  const auto group = MakeGroup();
  CHECK(GetChoicePosition(MakeReport("a", 4, 100), group) ==
        LogPosition{ 3, 100 });
  CHECK(GetChoicePosition(MakeReport("a", 4, 101), group) ==
        LogPosition{ 4, 101 });
  CHECK(GetChoicePosition(MakeReport("a", 3, 0), group) == LogPosition{ 3, 0 });
}

TEST_CASE("reads see the applied position", "[positions]")
{
  const auto report = MakeReport("a", 4, 180);
  CHECK(GetWrittenPosition(report, MakeGroup()) == LogPosition{ 4, 180 });
  CHECK(GetAppliedPosition(report, MakeGroup()) == LogPosition{ 3, 90 });
}

TEST_CASE("a lower offset or another incarnation shows a rebuilt target",
          "[positions]")
{
  const KnownTarget known{ 1, 100 };
  CHECK_FALSE(IsRebuilt(MakeReport("a", 4, 100), known));
  CHECK(IsRebuilt(MakeReport("a", 4, 99), known));
  CHECK(IsRebuilt(MakeReport("a", 4, 200, 2), known));
}

TEST_CASE("the majority position needs the primary and the current term",
          "[positions]")
{
  struct Row
  {
    std::string_view what_;
    std::vector<wire::TargetReport> reports_;
    std::optional<LogPosition> position_;
  };
  auto unreachable = MakeReport("c", 4, 190);
  unreachable.set_reachable(false);
  auto diverged = MakeReport("c", 4, 190);
  diverged.set_diverged(true);
  CHECK(IsDiverged(diverged, MakeGroup()));
  const auto primary = MakeReport("b", 4, 200);
  const auto row = GENERATE_COPY(values<Row>({
    { "of three targets, one replica is enough",
      { primary, MakeReport("a", 4, 180), MakeReport("c", 4, 120) },
      LogPosition{ 4, 180 } },
    { "the primary alone is not a majority", { primary }, std::nullopt },
    { "two replicas without the primary",
      { MakeReport("a", 4, 180), MakeReport("c", 4, 190) },
      std::nullopt },
    { "a target without log of its adopted term doesn't count",
      { primary, MakeReport("a", 4, 99) },
      std::nullopt },
    { "a rebuilt target doesn't count",
      { primary, MakeReport("a", 4, 180, 2) },
      std::nullopt },
    { "an unreachable target doesn't count",
      { primary, unreachable },
      std::nullopt },
    { "a target that reports divergence doesn't count",
      { primary, diverged },
      std::nullopt },
    { "a target outside the group doesn't count",
      { primary, MakeReport("d", 4, 180) },
      std::nullopt },
  }));
  INFO(row.what_);
  CHECK(FindMajorityPosition(row.reports_, MakeGroup()) == row.position_);
}

} // namespace wigeonlb::core::positions
