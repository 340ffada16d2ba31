#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "foundation/clock.h"

namespace wigeonlb::foundation {

//! One label of a metric, as in `group="orders-db/2"`.
struct MetricLabel
{
  std::string_view name_;
  std::string_view value_;
};

//! Label value that replaces all values beyond the limit.
inline constexpr std::string_view kOtherLabelValue = "other";

//! A monotonically increasing total.
class CounterMetric
{
public:
  void Add(std::uint64_t aAmount)
  {
    value_.fetch_add(aAmount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value_{ 0 };
};

//! A current value.
class GaugeMetric
{
public:
  void Set(double aValue) { value_.store(aValue, std::memory_order_relaxed); }
  double Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<double> value_{ 0 };
};

//! One bucket of a histogram.
struct HistogramBucket
{
  double upperSeconds_ = 0; //!< infinity in the last bucket
  std::uint64_t count_ = 0; //!< not cumulative
};

//! Content of a histogram at one moment.
struct HistogramSnapshot
{
  std::uint64_t count_ = 0;
  double sumSeconds_ = 0;
  double meanSeconds_ = 0;
  double varianceSeconds_ = 0; //!< seconds squared
  double minSeconds_ = 0;
  double maxSeconds_ = 0;
  std::vector<HistogramBucket> buckets_;
};

//! Histogram of durations with logarithmic buckets from 10 us to 100 s, ten per
//! decade, plus an underflow and an overflow bucket.
class HistogramMetric
{
public:
  HistogramMetric();
  ~HistogramMetric();
  HistogramMetric(const HistogramMetric&) = delete;
  HistogramMetric& operator=(const HistogramMetric&) = delete;

  //! Thread-safe; holds a spin lock during the update.
  void Record(Duration aDuration);
  HistogramSnapshot Snapshot() const;

private:
  struct Data;
  std::unique_ptr<Data> data_;
};

//! Value of one metric at one moment.
struct MetricSnapshot
{
  std::string name_;
  std::vector<std::pair<std::string, std::string>> labels_;
  //! A counter, a gauge, or a histogram.
  std::variant<std::uint64_t, double, HistogramSnapshot> value_;
};

//! Limits on a registry's memory use.
struct MetricsLimits
{
  std::size_t labelValues_ = 200; //!< per metric name and label name
  std::size_t series_ = 2000;     //!< per metric name
};

//! The metrics of a process, by name and labels. All functions are thread-safe;
//! looking up an existing metric takes no lock. A returned reference stays
//! valid for the lifetime of the registry.
//! NOTE The order of the labels is part of the key: use one order and one kind
//! of metric for each name. Label values beyond the limits are replaced by
//! `other`.
class MetricsRegistry
{
public:
  using Labels = std::initializer_list<MetricLabel>;

  explicit MetricsRegistry(MetricsLimits aLimits = {});
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  CounterMetric& Counter(std::string_view aName, Labels aLabels = {});
  GaugeMetric& Gauge(std::string_view aName, Labels aLabels = {});
  HistogramMetric& Histogram(std::string_view aName, Labels aLabels = {});

  //! All metrics, sorted by name, then by labels.
  std::vector<MetricSnapshot> Snapshot() const;

private:
  struct Data;
  std::unique_ptr<Data> data_;
};

//! Quantile of the recorded durations, interpolated within its bucket; 0 when
//! the histogram is empty. aShare is between 0 and 1.
double
QuantileSeconds(const HistogramSnapshot& aHistogram, double aShare);

//! The metrics in the Prometheus text format.
std::string
ToPrometheusText(std::span<const MetricSnapshot> aMetrics);

} // namespace wigeonlb::foundation
