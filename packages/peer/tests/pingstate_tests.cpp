#include <catch2/catch.hpp>

#include "forward.pb.h"
#include "peer/internal/pingstate.h"

namespace wigeonlb::peer {

namespace {

using namespace std::chrono_literals;
using foundation::Duration;
using foundation::Instant;

constexpr Duration kLostAfterMs = 1500ms;
constexpr Instant kStart{ 100s };

struct PongRow
{
  Duration firstPing_;
  Duration lastPing_;
  Duration answered_; //!< send time of the ping that the pong answers
  std::optional<Duration> unanswered_;
};

} // namespace

TEST_CASE("a pong answers all pings up to its own", "[pingstate]")
{
  const auto row = GENERATE(values<PongRow>({
    { 0ms, 0ms, 0ms, std::nullopt },
    { 0ms, 500ms, 500ms, std::nullopt },
    { 0ms, 500ms, 0ms, 500ms },
    { 500ms, 500ms, 0ms, 500ms },
  }));
  PingState state;
  RecordPing(state, kStart + row.firstPing_);
  RecordPing(state, kStart + row.lastPing_);
  RecordPong(state, kStart + row.answered_);
  const Instant expected =
    row.unanswered_ ? kStart + *row.unanswered_ + kLostAfterMs : Instant::max();
  CHECK(GetPingDeadline(state, kLostAfterMs) == expected);
}

struct ConfirmRow
{
  std::optional<Duration> confirmed_; //!< send time of the confirming ping
  Duration lost_;
};

TEST_CASE("a peer is lost after a ping that confirms its silence",
          "[pingstate]")
{
  const auto row = GENERATE(values<ConfirmRow>({
    { std::nullopt, 1500ms },
    { 1125ms, 1500ms },
    { 1400ms, 1775ms }, // sent late, as this host was held up
    { 4000ms, 4375ms },
  }));
  PingState state;
  RecordPing(state, kStart);
  CHECK(GetConfirmingPingTime(state, kLostAfterMs) == kStart + 1125ms);
  if (row.confirmed_) {
    state.confirmingSince_ = kStart + *row.confirmed_;
    RecordPing(state, kStart + *row.confirmed_);
    CHECK(GetConfirmingPingTime(state, kLostAfterMs) == Instant::max());
  }
  CHECK(GetPingDeadline(state, kLostAfterMs) == kStart + row.lost_);
  RecordPong(state, state.lastPing_);
  CHECK(GetPingDeadline(state, kLostAfterMs) == Instant::max());
  CHECK_FALSE(state.confirmingSince_);
}

struct PiggybackRow
{
  Duration pingAge_; //!< age of the last ping
  std::optional<Duration> pendingSince_;
  bool ping_;
  bool pong_;
};

TEST_CASE("pings and pongs are piggybacked on a message", "[pingstate]")
{
  const auto row = GENERATE(values<PiggybackRow>({
    { 100ms, std::nullopt, false, false },
    { 250ms, std::nullopt, true, false },
    { 100ms, 40ms, false, true },
    { 500ms, 40ms, true, true },
  }));
  PingState state;
  state.lastPing_ = kStart - row.pingAge_;
  if (row.pendingSince_) {
    state.pendingPong_ = PendingPong{ 77, kStart - *row.pendingSince_, true };
    CHECK(GetPongTime(state) ==
          kStart - *row.pendingSince_ + kMaxPiggybackDelayMs);
  }
  wire::PeerMessage sent;
  sent.set_from("left");
  sent.mutable_forward_end()->set_request(5);
  wire::PeerMessage received;
  REQUIRE(received.ParseFromString(sent.SerializeAsString() +
                                   BuildPiggybackFields(state, 250ms, kStart)));
  CHECK(received.forward_end().request() == 5);
  CHECK(received.has_riding_ping() == row.ping_);
  CHECK(received.has_riding_pong() == row.pong_);
  CHECK(received.riding_pong().held_us() ==
        (row.pendingSince_
           ? static_cast<std::uint64_t>(row.pendingSince_->count())
           : 0));
  CHECK(GetPongTime(state) == Instant::max());
  CHECK(BuildPiggybackFields(state, 250ms, kStart).empty());
}

} // namespace wigeonlb::peer
