#include <catch2/catch.hpp>

#include "core/grants/holder.h"

namespace wigeonlb::core::grants {

namespace {

using namespace std::chrono_literals;
using foundation::Duration;
using foundation::HostId;
using foundation::Instant;

//! A change is in force at each host within this time.
constexpr Duration kInForceTime = 3s;
constexpr Duration kStep = 5ms;

//! Time from aFrom on until a heartbeat goes to the member that responds, which
//! is the last one of the list.
Duration
MeasureContact(HolderState& aState, Instant aFrom)
{
  for (Instant now = aFrom; now < aFrom + 2 * kInForceTime; now += kStep) {
    std::vector<HolderAction> actions;
    Step(aState, Tick{}, now, actions);
    for (const HolderAction& action : actions) {
      const auto* const send = std::get_if<SendHeartbeat>(&action);
      if (send != nullptr && send->member_ == aState.members_.back()) {
        return now - aFrom;
      }
    }
  }
  return 2 * kInForceTime;
}

} // namespace

// Guards against a host that stays behind because most members that it knows
// are gone.
TEST_CASE("a host finds the one member that responds in time",
          "[holder][contact]")
{
  const std::size_t gone = GENERATE(0U, 1U, 2U, 4U, 6U, 9U);
  const Duration silence = GENERATE(0s, 1s, 5s, 60s);
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  CAPTURE(gone, silence.count(), seed);
  std::vector<HostId> members;
  for (std::size_t number = 0; number < gone; ++number) {
    members.push_back("gone" + std::to_string(number));
  }
  members.emplace_back("alive");
  wire::HostInfo self;
  self.set_host("h");
  HolderState state = MakeHolder(self, members, seed);
  // Nobody responds for a while.
  const Instant start(1h);
  for (Instant now = start; now < start + silence; now += kStep) {
    std::vector<HolderAction> actions;
    Step(state, Tick{}, now, actions);
  }
  CHECK(MeasureContact(state, start + silence) <= kInForceTime);
}

TEST_CASE("heartbeats to all members are not relayed", "[holder][contact]")
{
  wire::HostInfo self;
  self.set_host("h");
  HolderState state = MakeHolder(self, { "a", "b", "c" }, 1);
  state.relayUntil_ = Instant(2h);
  int relayed = 0;
  int sent = 0;
  for (Instant now(1h); now < Instant(1h) + 5s; now += kStep) {
    std::vector<HolderAction> actions;
    Step(state, Tick{}, now, actions);
    relayed = 0;
    for (const HolderAction& action : actions) {
      relayed += std::get<SendHeartbeat>(action).heartbeat_.relay() ? 1 : 0;
    }
    CHECK(relayed <= 1);
    sent = std::max(sent, static_cast<int>(actions.size()));
  }
  CHECK(sent == 3);
}

} // namespace wigeonlb::core::grants
