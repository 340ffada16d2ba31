#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

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

namespace {

//! A host all of whose members are gone, and that knows some other hosts.
HolderState
MakeLostHost(std::size_t aListed, std::size_t aSenders)
{
  wire::HostInfo self;
  self.set_host("h");
  HolderState state = MakeHolder(self, { "gone1", "gone2", "gone3" }, 1);
  state.hosts_["h"] = self;
  state.hosts_["gone1"].set_host("gone1");
  for (std::size_t number = 0; number < aListed; ++number) {
    const HostId host = "listed" + std::to_string(number);
    state.hosts_[host].set_host(host);
  }
  std::vector<HolderAction> actions;
  for (std::size_t number = 0; number < aSenders; ++number) {
    const SenderHeard heard{ "sender" + std::to_string(number) };
    Step(state, heard, Instant(1h), actions);
  }
  return state;
}

bool
IsKnownMember(const HolderState& aState, const HostId& aHost)
{
  return std::ranges::find(aState.members_, aHost) != aState.members_.end();
}

} // namespace

// Guards against a host that never finds members that it wasn't told of.
TEST_CASE("a host that hears no member asks other hosts in time",
          "[holder][contact]")
{
  const auto [listed, senders] = GENERATE(table<std::size_t, std::size_t>(
    { { 0, 0 }, { 1, 0 }, { 0, 1 }, { 2, 2 }, { 40, 0 }, { 0, 200 } }));
  CAPTURE(listed, senders);
  HolderState state = MakeLostHost(listed, senders);
  std::set<HostId> asked;
  for (Instant now(1h); now < Instant(1h) + kInForceTime; now += kStep) {
    std::vector<HolderAction> actions;
    Step(state, Tick{}, now, actions);
    std::size_t others = 0;
    for (const HolderAction& action : actions) {
      const auto& send = std::get<SendHeartbeat>(action);
      if (!IsKnownMember(state, send.member_)) {
        CHECK_FALSE(send.heartbeat_.relay());
        asked.insert(send.member_);
        ++others;
      }
    }
    CHECK(others <= kOtherHostsAsked);
  }
  CHECK(asked.empty() == (listed + senders == 0));
  CHECK_FALSE(asked.contains("h"));
  CHECK(state.senders_.size() <= kMaxSenders);
}

// Guards against heartbeats between all hosts in normal operation.
TEST_CASE("a host in contact with a leader asks no other host",
          "[holder][contact]")
{
  HolderState state = MakeLostHost(3, 3);
  for (Instant now(1h); now < Instant(1h) + 10s; now += kStep) {
    std::vector<HolderAction> actions;
    Step(state, Tick{}, now, actions);
    for (const HolderAction& action : actions) {
      const auto& send = std::get<SendHeartbeat>(action);
      CHECK(IsKnownMember(state, send.member_));
      wire::HeartbeatReply reply;
      reply.set_from(send.member_);
      reply.set_leader(true);
      reply.set_sequence(send.heartbeat_.sequence());
      reply.set_sent_at_us(send.heartbeat_.sent_at_us());
      std::vector<HolderAction> ignored;
      Step(state, ReplyReceived{ reply }, now, ignored);
    }
  }
}

// Guards against new members that are asked one by one, for too long.
TEST_CASE("members that a host learns while it hears no leader are all asked",
          "[holder][contact]")
{
  HolderState state = MakeLostHost(1, 0);
  Instant now(1h);
  for (; now < Instant(1h) + 10s; now += kStep) {
    std::vector<HolderAction> actions;
    Step(state, Tick{}, now, actions);
  }
  const Instant learned = now;
  std::set<HostId> asked;
  std::vector<HolderAction> actions;
  Step(state, MembersChanged{ { "new1", "new2", "new3" }, 9 }, now, actions);
  for (; now < learned + 2 * kUrgentIntervalMs; now += kStep) {
    Step(state, Tick{}, now, actions);
  }
  for (const HolderAction& action : actions) {
    asked.insert(std::get<SendHeartbeat>(action).member_);
  }
  for (const char* const member : { "new1", "new2", "new3" }) {
    CHECK(asked.contains(member));
  }
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
