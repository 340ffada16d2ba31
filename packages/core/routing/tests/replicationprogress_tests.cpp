#include <catch2/catch.hpp>

#include "core/routing/replicationprogress.h"

namespace wigeonlb::core::routing {

using namespace std::chrono_literals;
using foundation::Duration;
using foundation::Instant;

TEST_CASE("staleness is bounded by the last covered sample", "[samplewindow]")
{
  struct Row
  {
    std::uint64_t term_, offset_;
    std::optional<Duration> age_;
  };
  const auto row = GENERATE(values<Row>({
    { 1, 99, std::nullopt },
    { 1, 100, Duration(900ms) },
    { 1, 150, Duration(900ms) },
    { 1, 200, Duration(500ms) },
    { 2, 10, Duration(500ms) },
    { 0, 900, std::nullopt },
  }));
  SampleWindow window;
  const Instant start(10s);
  AddSample(window, { 1, 100 }, start);
  AddSample(window, { 1, 100 }, start + 100ms);
  AddSample(window, { 1, 200 }, start + 400ms);
  AddSample(window, { 1, 200 }, start + 500ms);
  // A reply that arrives out of order, with an older position, has no effect.
  AddSample(window, { 1, 150 }, start + 600ms);
  CHECK(GetStalenessBound(window, { row.term_, row.offset_ }, start + 1s) ==
        row.age_);
}

TEST_CASE("a bounded sample window covers several minutes", "[samplewindow]")
{
  SampleWindow window;
  window.limit_ = 128;
  const Instant start(10s);
  for (std::uint64_t i = 0; i < 600; ++i) {
    AddSample(window, { 1, i + 1 }, start + i * 1s);
  }
  CHECK(window.samples_.size() <= 128);
  const Instant now = start + 600s;
  for (std::uint64_t i = 0; i < 600; i += 20) {
    const auto age = GetStalenessBound(window, { 1, i + 1 }, now);
    REQUIRE(age);
    const Duration exact = now - (start + i * 1s);
    CHECK(*age >= exact);
    CHECK(*age <= exact * 2 + 60s);
  }
}

TEST_CASE("the estimated arrival at a position follows the measured delay",
          "[catchup]")
{
  struct Row
  {
    std::uint64_t offset_;
    Duration later_;
    std::optional<Duration> arrival_;
  };
  const auto row = GENERATE(values<Row>({
    { 1000, 0ms, Duration(0ms) },
    { 1100, 0ms, Duration(50ms) },
    { 1100, 30ms, Duration(20ms) },
    // Not yet observed at the primary, so it is written now at the earliest.
    { 1200, 0ms, Duration(50ms) },
    // Overdue by 100 ms.
    { 1100, 150ms, Duration(75ms) },
  }));
  SampleWindow window;
  ReplicationProgress progress;
  Instant now(10s);
  for (std::uint64_t offset = 100; offset <= 1000; offset += 100) {
    AddSample(window, { 1, offset }, now);
    now += 50ms;
    RecordPosition(progress, window, { 1, offset }, now);
  }
  AddSample(window, { 1, 1100 }, now);
  const auto arrival =
    EstimateArrival(progress, window, { 1, row.offset_ }, now + row.later_);
  REQUIRE(arrival);
  CHECK(*arrival - (now + row.later_) == *row.arrival_);
}

TEST_CASE("the estimated delay grows while replication stalls", "[catchup]")
{
  SampleWindow window;
  ReplicationProgress progress;
  const Instant now(10s);
  CHECK_FALSE(EstimateDelay(progress, window, now));
  AddSample(window, { 1, 100 }, now);
  RecordPosition(progress, window, { 1, 100 }, now + 40ms);
  CHECK(EstimateDelay(progress, window, now + 9s) == Duration(40ms));
  AddSample(window, { 1, 200 }, now + 10s);
  CHECK(EstimateDelay(progress, window, now + 12s) == Duration(2s));
  // A rebuilt target resets the measurement.
  RecordPosition(progress, window, { 1, 5 }, now + 12s);
  CHECK_FALSE(progress.delay_);
}

} // namespace wigeonlb::core::routing
