#include <catch2/catch.hpp>

#include <thread>

#include "foundation/metrics.h"

namespace wigeonlb::foundation {

namespace {

HistogramSnapshot
RecordAll(std::initializer_list<std::int64_t> aMicroseconds)
{
  HistogramMetric histogram;
  for (const std::int64_t length : aMicroseconds) {
    histogram.Record(Duration(length));
  }
  return histogram.Snapshot();
}

} // namespace

TEST_CASE("a duration is counted in its bucket", "[metrics]")
{
  struct Row
  {
    std::int64_t microseconds_;
    std::size_t bucket_; //!< 0 is the underflow bucket, 71 the overflow bucket
  };
  const auto row = GENERATE(values<Row>({
    { -5, 0 },
    { 0, 0 },
    { 9, 0 },
    { 11, 1 },
    { 99, 10 },
    { 101, 11 },
    { 99'999'999, 70 },
    { 100'000'001, 71 },
  }));
  const HistogramSnapshot snapshot = RecordAll({ row.microseconds_ });
  REQUIRE(snapshot.buckets_.size() == 72);
  CHECK(snapshot.buckets_[row.bucket_].count_ == 1);
  CHECK(snapshot.count_ == 1);
}

TEST_CASE("a histogram computes mean, variance, bounds and quantiles",
          "[metrics]")
{
  const HistogramSnapshot snapshot = RecordAll({ 1000, 2000, 3000, 10000 });
  CHECK(snapshot.meanSeconds_ == Approx(0.004));
  CHECK(snapshot.varianceSeconds_ == Approx(12.5e-6));
  CHECK(snapshot.sumSeconds_ == Approx(0.016));
  CHECK(snapshot.minSeconds_ == Approx(0.001));
  CHECK(snapshot.maxSeconds_ == Approx(0.010));
  CHECK(QuantileSeconds(snapshot, 0.5) == Approx(0.002).epsilon(0.26));
  CHECK(QuantileSeconds(snapshot, 1) == Approx(0.010));
  CHECK(QuantileSeconds(RecordAll({}), 0.99) == 0);
}

TEST_CASE("label values beyond the limits are replaced by other", "[metrics]")
{
  struct Row
  {
    MetricsLimits limits_;
    std::size_t series_;
    std::uint64_t other_;
  };
  const auto row = GENERATE(values<Row>({
    { { .labelValues_ = 200, .series_ = 2000 }, 100, 0 },
    { { .labelValues_ = 10, .series_ = 2000 }, 11, 90 },
    { { .labelValues_ = 200, .series_ = 5 }, 6, 95 },
  }));
  MetricsRegistry registry(row.limits_);
  for (int tenant = 0; tenant < 100; ++tenant) {
    registry.Counter("c", { { "tenant", std::to_string(tenant) } }).Add(1);
  }
  CHECK(registry.Snapshot().size() == row.series_);
  CHECK(registry.Counter("c", { { "tenant", "other" } }).Value() == row.other_);
}

TEST_CASE("several threads update the same metrics", "[metrics]")
{
  MetricsRegistry registry;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&] {
      for (int round = 0; round < 5000; ++round) {
        const std::string tenant = std::to_string(round % 50);
        registry.Counter("c", { { "tenant", tenant } }).Add(1);
        registry.Histogram("h", { { "tenant", tenant } }).Record(Duration(1));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::uint64_t counted = 0;
  std::uint64_t recorded = 0;
  for (const MetricSnapshot& metric : registry.Snapshot()) {
    if (const auto* count = std::get_if<std::uint64_t>(&metric.value_)) {
      counted += *count;
    } else {
      recorded += std::get<HistogramSnapshot>(metric.value_).count_;
    }
  }
  CHECK(counted == 20000);
  CHECK(recorded == 20000);
}

TEST_CASE("metrics are formatted as Prometheus text", "[metrics]")
{
  MetricsRegistry registry;
  registry.Counter("c_total", { { "group", "a\"\\\n" }, { "x", "1" } }).Add(3);
  registry.Gauge("g").Set(1.5);
  registry.Histogram("h_seconds", { { "group", "a" } })
    .Record(std::chrono::milliseconds(2));
  const std::string text = ToPrometheusText(registry.Snapshot());
  const auto line = GENERATE(values<std::string>({
    "# TYPE c_total counter\nc_total{group=\"a\\\"\\\\\\n\",x=\"1\"} 3\n",
    "# TYPE g gauge\ng 1.5\n",
    "# TYPE h_seconds histogram\n",
    "h_seconds_bucket{group=\"a\",le=\"1e-05\"} 0\n",
    "h_seconds_bucket{group=\"a\",le=\"0.001585\"} 0\n",
    "h_seconds_bucket{group=\"a\",le=\"0.002512\"} 1\n",
    "h_seconds_bucket{group=\"a\",le=\"+Inf\"} 1\n",
    "h_seconds_sum{group=\"a\"} 0.002",
    "h_seconds_count{group=\"a\"} 1\n",
  }));
  CHECK_THAT(text, Catch::Contains(line));
}

} // namespace wigeonlb::foundation
