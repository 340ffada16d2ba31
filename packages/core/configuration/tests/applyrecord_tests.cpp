#include <catch2/catch.hpp>

#include <functional>

#include "core/configuration/applyrecord.h"
#include "core/configuration/checkchange.h"
#include "core/configuration/groupoptions.h"

namespace wigeonlb::core::configuration {

namespace {

wire::ConfigurationChange
Change(const std::string& aId, std::optional<std::uint64_t> aExpected = {})
{
  wire::ConfigurationChange change;
  change.set_change_id(aId);
  if (aExpected) {
    change.set_expected_revision(*aExpected);
  }
  return change;
}

void
AddCreate(wire::ConfigurationChange& aChange, const std::string& aGroup)
{
  aChange.add_operations()->mutable_create_group()->set_group(aGroup);
}

void
AddSet(wire::ConfigurationChange& aChange,
       const std::string& aGroup,
       const std::string& aKey,
       const std::string& aValue)
{
  auto& set = *aChange.add_operations()->mutable_set_group_option();
  set.set_group(aGroup);
  set.set_key(aKey);
  set.set_value(aValue);
}

ApplyResult
Apply(wire::ControlState& aState,
      const wire::ControlRecord& aRecord,
      const Guards& aGuards = {})
{
  return ApplyRecord(aState, aRecord, aState.applied_index() + 1, aGuards);
}

ApplyResult
Apply(wire::ControlState& aState,
      const wire::ConfigurationChange& aChange,
      const Guards& aGuards = {})
{
  wire::ControlRecord record;
  *record.mutable_change() = aChange;
  return Apply(aState, record, aGuards);
}

wire::ControlState
StateWithGroup()
{
  wire::ControlState state;
  wire::ConfigurationChange change = Change("create");
  AddCreate(change, "g");
  Apply(state, change);
  for (const char* name : { "a", "b", "c" }) {
    wire::ControlRecord admit;
    admit.mutable_admit()->set_group("g");
    auto& target = *admit.mutable_admit()->mutable_target();
    target.set_target(name);
    target.set_incarnation(5);
    target.set_counted(true);
    Apply(state, admit);
  }
  return state;
}

// Parses `fence 1`, `choose 2 b`, `confirm 2 b`, `expel b` or `admit b 4`: the
// number is a term, or the incarnation of an admitted target.
wire::ControlRecord
Decision(const std::string& aText)
{
  std::istringstream words(aText);
  std::string verb;
  std::string target;
  std::uint64_t number = 0;
  words >> verb;
  wire::ControlRecord record;
  if (verb == "fence") {
    words >> number;
    record.mutable_fence()->set_group("g");
    record.mutable_fence()->set_term(number);
  } else if (verb == "choose") {
    words >> number >> target;
    record.mutable_choose()->set_group("g");
    record.mutable_choose()->set_term(number);
    record.mutable_choose()->set_target(target);
    record.mutable_choose()->set_start_offset(100 * number);
  } else if (verb == "confirm") {
    words >> number >> target;
    record.mutable_confirm()->set_group("g");
    record.mutable_confirm()->set_term(number);
    record.mutable_confirm()->set_target(target);
    record.mutable_confirm()->set_start_offset(100 * number + 1);
  } else if (verb == "resume") {
    std::uint64_t epoch = 0;
    words >> number >> epoch;
    record.mutable_resume()->set_group("g");
    record.mutable_resume()->set_term(number);
    record.mutable_resume()->set_epoch(epoch);
  } else if (verb == "expel") {
    words >> target;
    record.mutable_expel()->set_group("g");
    record.mutable_expel()->set_target(target);
  } else {
    words >> target >> number;
    record.mutable_admit()->set_group("g");
    record.mutable_admit()->mutable_target()->set_target(target);
    record.mutable_admit()->mutable_target()->set_incarnation(number);
  }
  return record;
}

} // namespace

TEST_CASE("a change is applied completely or refused with a reason",
          "[configuration]")
{
  struct Row
  {
    std::string group_;
    std::string key_;
    std::string value_;
    std::string message_; //!< empty: accepted
  };
  const auto row = GENERATE(values<Row>({
    { "g", "max_age", "5s", "" },
    { "new", "owners", "5", "" },
    { "none", "max_age", "5s", "operation 2: unknown group none" },
    { "g", "colour", "red", "unknown option colour" },
    { "g", "max_age", "5", "expected a duration such as 250ms or 5s" },
    { "g", "max_age", "9999999999999999s", "expected a duration" },
    { "g", "lease", "1ms", "expected 100 to 60000ms" },
    { "g", "owners", "0", "expected 1 to 64 hosts" },
    { "g", "owners", "3x", "expected a whole number" },
    { "g", "fence", "yes", "expected on or off" },
    { "g", "dialect", "My SQL", "expected a lower-case name" },
  }));
  wire::ControlState state = StateWithGroup();
  const std::uint64_t before = state.revision();
  wire::ConfigurationChange change = Change("x", before);
  AddCreate(change, "new");
  AddSet(change, row.group_, row.key_, row.value_);
  const bool accepted = row.message_.empty();
  CHECK(CheckChange(state, change).empty() == accepted);
  const ApplyResult result = Apply(state, change);
  REQUIRE(result.change_);
  CHECK(result.change_->accepted() == accepted);
  CHECK_THAT(result.change_->message(), Catch::Contains(row.message_));
  CHECK(state.revision() == before + (accepted ? 1 : 0));
  CHECK(state.groups().contains("new") == accepted);
  if (accepted) {
    CHECK(OptionText(state.groups().at(row.group_), row.key_) == row.value_);
    CHECK(state.groups().at("new").revision() == before + 1);
  }
}

TEST_CASE("of two changes with the same expected revision one is refused",
          "[configuration]")
{
  wire::ControlState state = StateWithGroup();
  const std::uint64_t expected = state.revision();
  wire::ConfigurationChange one = Change("one", expected);
  AddSet(one, "g", "max_age", "5s");
  wire::ConfigurationChange two = Change("two", expected);
  AddSet(two, "g", "max_age", "9s");
  const auto first = Apply(state, one);
  const auto second = Apply(state, two);
  CHECK(first.change_->accepted());
  CHECK_FALSE(second.change_->accepted());
  CHECK(second.change_->revision() == expected + 1);
  CHECK_THAT(second.change_->message(), Catch::Contains("max_age='5s'"));
  // Resent changes get their first result and do not change the state.
  const std::string firstAnswer = first.change_->SerializeAsString();
  const std::string secondAnswer = second.change_->SerializeAsString();
  CHECK(Apply(state, two).change_->SerializeAsString() == secondAnswer);
  CHECK(Apply(state, one).change_->SerializeAsString() == firstAnswer);
  CHECK(state.revision() == expected + 1);
}

TEST_CASE("without stored change results a resent change is applied again",
          "[configuration][guard]")
{
  const bool guarded = GENERATE(true, false);
  wire::ControlState state = StateWithGroup();
  wire::ConfigurationChange change = Change("one");
  AddSet(change, "g", "max_age", "5s");
  const std::uint64_t before = state.revision();
  for (int i = 0; i < 3; ++i) {
    Apply(state, change, { .rememberChangeIds_ = guarded });
  }
  CHECK(state.revision() == before + (guarded ? 1 : 3));
}

TEST_CASE("stored results and dropped groups are bounded", "[configuration]")
{
  wire::ControlState state;
  for (int i = 0; i < 2 * kRecentResultsLimit; ++i) {
    const std::string name = "g" + std::to_string(i);
    wire::ConfigurationChange create = Change("create " + name);
    AddCreate(create, name);
    Apply(state, create);
    wire::ConfigurationChange drop = Change("drop " + name);
    drop.add_operations()->mutable_drop_group()->set_group(name);
    CHECK(Apply(state, drop).droppedGroups_.size() == 1);
  }
  CHECK(state.recent_results_size() == kRecentResultsLimit);
  CHECK(state.dropped_groups_size() == kDroppedGroupsLimit);
  CHECK(state.dropped_horizon() < state.dropped_groups(0).revision());
  CHECK(state.groups().empty());
}

TEST_CASE("decisions of the leader that arrive out of order are ignored",
          "[configuration]")
{
  struct Row
  {
    std::vector<std::string> before_;
    std::string decision_;
    bool applied_;
  };
  const auto row = GENERATE(values<Row>({
    { {}, "fence 0", false },
    { {}, "choose 7 a", true }, // the targets may have terms already
    { {}, "confirm 1 a", false },
    { { "choose 1 a", "confirm 1 a" }, "fence 1", true },
    { { "choose 1 a", "confirm 1 a" }, "fence 2", false },
    { { "choose 1 a", "confirm 1 a" }, "choose 2 b", false },
    { { "choose 1 a", "confirm 1 a", "fence 1" }, "fence 1", false },
    { { "choose 1 a", "confirm 1 a", "fence 1" }, "choose 2 b", true },
    { { "choose 1 a", "confirm 1 a", "fence 1" }, "choose 1 b", false },
    { { "choose 1 a", "confirm 1 a", "fence 1" }, "choose 3 b", true },
    { { "choose 1 a", "confirm 1 a", "fence 1" }, "choose 2 z", false },
    { { "choose 1 a", "confirm 1 a", "fence 1", "expel b" },
      "choose 2 b",
      false },
    { { "choose 1 a", "confirm 1 a", "fence 1", "choose 2 b" },
      "confirm 2 c",
      false },
    { { "choose 1 a", "confirm 1 a", "fence 1", "choose 2 b" },
      "choose 2 c",
      false },
    { { "choose 1 a", "confirm 1 a", "fence 1", "choose 2 b" },
      "choose 3 c",
      true },
    { { "choose 1 a", "confirm 1 a", "fence 1", "choose 2 b", "choose 3 c" },
      "confirm 2 b",
      false },
    { { "choose 1 a", "confirm 1 a" }, "confirm 1 a", false },
    { { "choose 1 a", "confirm 1 a" }, "resume 1 0", false },
    { { "choose 1 a", "confirm 1 a", "fence 1" }, "resume 1 0", true },
    { { "choose 1 a", "confirm 1 a", "fence 1" }, "resume 1 1", false },
    { { "choose 1 a", "confirm 1 a", "fence 1", "choose 2 b" },
      "resume 1 0",
      false },
    { { "choose 1 a", "confirm 1 a", "fence 1", "resume 1 0", "fence 1" },
      "resume 1 0",
      false },
    { { "choose 1 a", "confirm 1 a", "fence 1", "resume 1 0", "fence 1" },
      "resume 1 1",
      true },
    { { "expel b" }, "expel b", false },
    { {}, "expel z", false },
    { {}, "admit b 4", false },
    { {}, "admit b 6", true },
  }));
  wire::ControlState state = StateWithGroup();
  for (const std::string& decision : row.before_) {
    REQUIRE(Apply(state, Decision(decision)).changed_);
  }
  const std::uint64_t before = state.revision();
  const std::string group = state.groups().at("g").SerializeAsString();
  const ApplyResult result = Apply(state, Decision(row.decision_));
  CHECK(result.changed_ == row.applied_);
  CHECK(result.ignored_.empty() == row.applied_);
  CHECK(state.revision() == before + (row.applied_ ? 1 : 0));
  if (!row.applied_) {
    CHECK(state.groups().at("g").SerializeAsString() == group);
  }
}

TEST_CASE("what was acknowledged is kept when a counted target is removed",
          "[configuration]")
{
  wire::ControlState state = StateWithGroup();
  const auto expel = [&](const std::string& aTarget, std::uint64_t aOffset) {
    auto record = Decision("expel " + aTarget);
    record.mutable_expel()->set_gone(true);
    record.mutable_expel()->mutable_acknowledged()->set_term(1);
    record.mutable_expel()->mutable_acknowledged()->set_offset(aOffset);
    REQUIRE(Apply(state, record).changed_);
    return state.groups().at("g").acknowledged().offset();
  };
  for (const char* decision : { "choose 1 a", "confirm 1 a" }) {
    REQUIRE(Apply(state, Decision(decision)).changed_);
  }
  CHECK(expel("b", 120) == 120);
  CHECK(expel("c", 110) == 120);
  for (const char* decision : { "admit b 9", "fence 1" }) {
    REQUIRE(Apply(state, Decision(decision)).changed_);
  }
}

TEST_CASE("the history keeps the start offset of each confirmed term",
          "[configuration]")
{
  wire::ControlState state = StateWithGroup();
  for (const char* decision : { "choose 1 a",
                                "confirm 1 a",
                                "fence 1",
                                "choose 2 b",
                                "choose 3 c",
                                "confirm 3 c" }) {
    REQUIRE(Apply(state, Decision(decision)).changed_);
  }
  const wire::GroupState& group = state.groups().at("g");
  CHECK(group.term() == 3);
  CHECK(group.primary() == "c");
  CHECK(group.promoting().empty());
  CHECK_FALSE(group.fenced());
  REQUIRE(group.history_size() == 2);
  CHECK(group.history(0).start_offset() == 101);
  CHECK(group.history(1).start_offset() == 301);
  CHECK(ApplyRecord(state, Decision("fence 3"), 1).ignored_ ==
        "applied already");
}

TEST_CASE("the default values of all options are valid", "[configuration]")
{
  foundation::Findings findings;
  for (const auto rows : { GroupOptions(), SystemOptions() }) {
    for (const OptionRow& row : rows) {
      CheckOption(rows, row.key_, row.default_, "default", findings);
    }
  }
  CHECK(ToString(findings).empty());
}

} // namespace wigeonlb::core::configuration
