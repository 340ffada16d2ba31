#include <catch2/catch.hpp>

#include <random>

#include <google/protobuf/util/message_differencer.h>

#include "core/configuration/applyrecord.h"
#include "core/configuration/configurationview.h"
#include "core/configuration/delta.h"

namespace wigeonlb::core::configuration {

namespace {

using google::protobuf::util::MessageDifferencer;

// Randomly creates, changes or drops a group, or sets a system option.
wire::ControlRecord
RandomChange(std::mt19937& aRandom, int aNumber)
{
  wire::ControlRecord record;
  auto& change = *record.mutable_change();
  change.set_change_id(std::to_string(aNumber));
  auto& operation = *change.add_operations();
  const std::string group = "g" + std::to_string(aRandom() % 100);
  switch (aRandom() % 4) {
    case 0:
      operation.mutable_drop_group()->set_group(group);
      break;
    case 1:
      operation.mutable_create_group()->set_group(group);
      break;
    case 2: {
      auto& set = *operation.mutable_set_group_option();
      set.set_group(group);
      set.set_key("owners");
      set.set_value(std::to_string(1 + aRandom() % 64));
      break;
    }
    default: {
      auto& set = *operation.mutable_set_system_option();
      set.set_key("tenant_share");
      set.set_value(std::to_string(1 + aRandom() % 100));
    }
  }
  return record;
}

// The state at a revision of a random history, which is the same in each call.
wire::ControlState
StateOfRevision(std::uint64_t aRevision)
{
  std::mt19937 random(1);
  wire::ControlState state;
  int number = 0;
  while (state.revision() < aRevision) {
    ++number;
    ApplyRecord(state, RandomChange(random, number), number);
  }
  return state;
}

bool
SameConfiguration(const wire::ControlState& aOne,
                  const wire::ControlState& aTwo)
{
  wire::ControlState one;
  wire::ControlState two;
  for (auto [from, to] : { std::pair{ &aOne, &one }, { &aTwo, &two } }) {
    to->set_revision(from->revision());
    *to->mutable_groups() = from->groups();
    *to->mutable_settings() = from->settings();
  }
  return MessageDifferencer::Equals(one, two);
}

} // namespace

TEST_CASE("hosts converge to the members' configuration and never go back",
          "[configuration]")
{
  const auto seed = GENERATE(range(1, 41));
  std::mt19937 random(seed);
  wire::ControlState state;
  // All states so far; members may lag behind the latest one.
  std::vector<wire::ControlState> states;
  std::vector<wire::HeartbeatReply> delayedReplies;
  ConfigurationView view;
  for (int i = 1; i <= 400; ++i) {
    ApplyRecord(state, RandomChange(random, i), i);
    states.push_back(state);
    const auto& member = states[random() % states.size()];
    delayedReplies.push_back(
      DeltaSince(random() % 3 ? state : member, view.state_.revision()));
    if (random() % 4 == 0) {
      const std::uint64_t before = view.state_.revision();
      ApplyReply(view, delayedReplies[random() % delayedReplies.size()]);
      CHECK(view.state_.revision() >= before);
      CHECK(SameConfiguration(
        view.state_,
        view.state_.revision() == 0
          ? wire::ControlState()
          : *std::find_if(
              states.begin(), states.end(), [&](const auto& aState) {
                return aState.revision() == view.state_.revision();
              })));
    }
    if (random() % 50 == 0) {
      view = FromMemory(ToMemory(view));
    }
    if (random() % 100 == 0) {
      view = ConfigurationView(); // the host's data was lost
    }
  }
  ApplyReply(view, DeltaSince(state, view.state_.revision()));
  CHECK(SameConfiguration(view.state_, state));
}

TEST_CASE("without the guard an older reply reverts a host",
          "[configuration][guard]")
{
  const bool guarded = GENERATE(true, false);
  const wire::ControlState isolated = StateOfRevision(5);
  const wire::ControlState state = StateOfRevision(9);
  ConfigurationView view;
  ApplyReply(view, DeltaSince(state, 0));
  const ViewChange change = ApplyReply(
    view, DeltaSince(isolated, 0), { .ignoreOlderRevisions_ = guarded });
  CHECK(change.ignored_ == guarded);
  CHECK(view.state_.revision() == (guarded ? 9 : 5));
  CHECK(view.highestRevisionSeen_ == 9);
}

TEST_CASE("a delta with a later base revision is ignored", "[configuration]")
{
  const wire::ControlState state = StateOfRevision(9);
  ConfigurationView view;
  CHECK(ApplyReply(view, DeltaSince(state, 4)).ignored_);
  CHECK(view.state_.revision() == 0);
  CHECK(ApplyReply(view, DeltaSince(state, 0)).changed_);
}

} // namespace wigeonlb::core::configuration
