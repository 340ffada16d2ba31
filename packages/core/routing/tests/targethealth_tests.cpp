#include <array>

#include <catch2/catch.hpp>

#include "core/routing/targetchoice.h"
#include "core/routing/targethealth.h"

namespace wigeonlb::core::routing {

using namespace std::chrono_literals;
using foundation::Duration;
using foundation::Instant;

TEST_CASE("outliers are ejected, but never more than half of the targets",
          "[targethealth]")
{
  struct Row
  {
    std::vector<std::uint32_t> failures_;
    std::vector<Duration> latencies_;
    std::vector<bool> ejected_;
  };
  const auto row = GENERATE(values<Row>({
    { { 0, 0, 0 }, { 5ms, 6ms, 7ms }, { false, false, false } },
    { { 3, 0, 0 }, { 5ms, 6ms, 7ms }, { true, false, false } },
    { { 2, 0, 0 }, { 5ms, 6ms, 7ms }, { false, false, false } },
    { { 9, 9, 9 }, { 5ms, 6ms, 7ms }, { true, false, false } },
    { { 9, 9, 9, 9 }, { 5ms, 5ms, 5ms, 5ms }, { true, true, false, false } },
    { { 9 }, { 5ms }, { false } },
    { { 9, 0 }, { 5ms, 5ms }, { true, false } },
    { { 0, 0, 0 }, { 5ms, 5ms, 400ms }, { false, false, true } },
    { { 0, 0 }, { 5ms, 400ms }, { false, true } },
    { { 0, 0 }, { 1ms, 9ms }, { false, false } },
  }));
  const Instant now(10s);
  std::vector<TargetHealth> targets(row.failures_.size());
  std::vector<TargetHealth*> pointers;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    for (int answer = 0; answer < 20; ++answer) {
      RecordAnswer(targets[i], row.latencies_[i]);
    }
    for (std::uint32_t failure = 0; failure < row.failures_[i]; ++failure) {
      RecordFailure(targets[i]);
    }
    pointers.push_back(&targets[i]);
  }
  EjectOutliers(pointers, now);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    CAPTURE(i);
    CHECK(IsEjected(targets[i], now) == row.ejected_[i]);
    CHECK_FALSE(IsEjected(targets[i], now + 1s));
  }
}

TEST_CASE("load returns to a target gradually after an ejection",
          "[targethealth]")
{
  TargetHealth target;
  TargetHealth other;
  for (int i = 0; i < 3; ++i) {
    RecordFailure(target);
  }
  const std::array<TargetHealth*, 2> both = { &target, &other };
  const Instant now(10s);
  REQUIRE(EjectOutliers(both, now) == 1);
  RecordAnswer(target, 4ms);
  Duration before = Duration::max();
  for (const auto later : { 1000ms, 2000ms, 3000ms, 4999ms }) {
    const auto weighted = GetWeightedLatency(target, now + later);
    CHECK(weighted < before);
    before = weighted;
  }
  CHECK(GetWeightedLatency(target, now + 5s) == Duration(4ms));
}

TEST_CASE("a less loaded target in the local data centre is chosen",
          "[targetchoice]")
{
  struct Row
  {
    std::vector<Candidate> candidates_;
    std::vector<bool> possible_;
  };
  const auto row = GENERATE(values<Row>({
    { { { false, 9, 9ms } }, { true } },
    { { { false, 0, 1ms }, { true, 5, 9ms } }, { false, true } },
    { { { true, 0, 1ms }, { true, 1, 1ms } }, { true, false } },
    { { { true, 0, 9ms }, { true, 1, 1ms } }, { false, true } },
    { { { true, 0, 1ms }, { true, 0, 1ms }, { true, 9, 9ms } },
      { true, true, false } },
  }));
  Generator generator(7);
  std::vector<bool> chosen(row.candidates_.size(), false);
  for (int i = 0; i < 100; ++i) {
    chosen[ChooseTarget(row.candidates_, generator)] = true;
  }
  CHECK(chosen == row.possible_);
}

} // namespace wigeonlb::core::routing
