#include <catch2/catch.hpp>

#include "core/traffic/internal/floors.h"
#include "core/traffic/tests/fakegroup.h"

namespace wigeonlb::core::traffic::tests {

namespace {

constexpr Instant kNow{ 100s };

// Terms 1, 2 and 4 start at the offsets 0, 100 and 150; term 3 had no primary.
wire::GroupState
MakeThreeTermGroup()
{
  wire::GroupState group;
  group.set_term(4);
  const std::pair<std::uint64_t, std::uint64_t> starts[] = { { 1, 0 },
                                                             { 2, 100 },
                                                             { 4, 150 } };
  std::uint64_t parent = 0;
  for (const auto& [term, offset] : starts) {
    auto& start = *group.add_history();
    start.set_term(term);
    start.set_start_offset(offset);
    start.set_parent_term(parent);
    parent = term;
  }
  return group;
}

} // namespace

TEST_CASE("a floor is mapped to a position in the group's history",
          "[traffic][floors]")
{
  const auto [floor, known] = GENERATE(table<LogPosition, LogPosition>({
    { { 1, 90 }, { 1, 90 } },
    { { 1, 130 }, { 1, 100 } }, // rolled back by the promotion to 2
    { { 2, 130 }, { 2, 130 } },
    { { 2, 180 }, { 2, 150 } }, // rolled back by the promotion to 4
    { { 4, 180 }, { 4, 180 } },
    { { 4, 150 }, { 2, 150 } }, // term 4 has no entries yet
    { { 4, 120 }, { 2, 120 } },
    { { 5, 300 }, { 5, 300 } }, // the host does not know the term yet
  }));
  internal::Group group;
  group.state_ = MakeThreeTermGroup();
  CHECK(internal::MapFloorToHistory(group, floor) == known);
}

TEST_CASE(
  "the minimum position of a staleness bound is the oldest recent sample",
  "[traffic][floors]")
{
  internal::Group group;
  routing::AddSample(group.samples_, { 1, 10 }, kNow - 3s);
  routing::AddSample(group.samples_, { 1, 20 }, kNow - 2s);
  routing::AddSample(group.samples_, { 1, 20 }, kNow - 1500ms);
  routing::AddSample(group.samples_, { 1, 30 }, kNow - 500ms);
  const auto [age, floor] = GENERATE(table<Duration, std::uint64_t>({
    { 3s, 10 },
    { 2500ms, 20 },
    { 1500ms, 20 },
    { 1400ms, 30 },
    { 400ms, 0 }, // no sample is recent enough
  }));
  const auto found = internal::ComputeAgeFloor(group, age, kNow);
  CHECK(found.has_value() == (floor != 0));
  CHECK(found.value_or(LogPosition{}).offset_ == floor);
}

TEST_CASE("a statement of an unknown transaction is not run",
          "[traffic][floors]")
{
  const auto [kind, sqlstate] =
    GENERATE(table<wire::StatementClass, std::string>({
      { wire::STATEMENT_READ, "25P02" },
      { wire::STATEMENT_WRITE, "25P02" },
      { wire::STATEMENT_COMMIT, "40000" },
    }));
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  RequestArrived arrived;
  arrived.id_ = { 77, 1 };
  arrived.class_ = kind;
  arrived.deadline_ = group.Now() + 1s;
  arrived.inTransaction_ = true;
  std::vector<TrafficAction> actions;
  Step(group.state_, arrived, group.Now(), actions);
  const auto finish =
    std::ranges::find_if(actions, [](const TrafficAction& aAction) {
      return std::holds_alternative<Finish>(aAction);
    });
  REQUIRE(finish != actions.end());
  CHECK(std::get<Finish>(*finish).outcome_ == wire::OUTCOME_NOT_RUN);
  CHECK(std::get<Finish>(*finish).sqlstate_ == sqlstate);
}

TEST_CASE("the option acknowledge sets who must sync a write first",
          "[traffic][floors]")
{
  const auto [option, done] = GENERATE(table<std::string, bool>(
    { { "majority", false }, { "primary", true }, { "one_replica", true } }));
  FakeGroup group(Settings{}, 3, 3);
  group.options_["acknowledge"] = option;
  group.SetUp();
  group.Target(1).lag_ = group.Target(2).lag_ = 5s;
  CHECK((group.Do({}).outcome_ == wire::OUTCOME_DONE) == done);
}

} // namespace wigeonlb::core::traffic::tests
