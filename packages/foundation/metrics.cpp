#include "foundation/metrics.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <shared_mutex>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/histogram.hpp>
#include <tbb/concurrent_unordered_map.h>
#include <tbb/spin_mutex.h>

namespace wigeonlb::foundation {

namespace accumulators = boost::accumulators;
namespace histogram = boost::histogram;

namespace {

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100;
constexpr unsigned kBuckets = 70;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Buckets = histogram::histogram<std::tuple<Axis>,
                                     histogram::dense_storage<std::uint64_t>>;
using Statistics =
  accumulators::accumulator_set<double,
                                accumulators::stats<accumulators::tag::count,
                                                    accumulators::tag::sum,
                                                    accumulators::tag::mean,
                                                    accumulators::tag::variance,
                                                    accumulators::tag::min,
                                                    accumulators::tag::max>>;

} // namespace

struct HistogramMetric::Data
{
  mutable tbb::spin_mutex mutex_;
  Buckets buckets_ = histogram::make_histogram_with(
    histogram::dense_storage<std::uint64_t>(),
    Axis(kBuckets, kLowestSeconds, kHighestSeconds));
  Statistics statistics_;
};

HistogramMetric::HistogramMetric()
  : data_(std::make_unique<Data>())
{
}

HistogramMetric::~HistogramMetric() = default;

void
HistogramMetric::Record(Duration aDuration)
{
  const double seconds = std::chrono::duration<double>(aDuration).count();
  const tbb::spin_mutex::scoped_lock lock(data_->mutex_);
  // The logarithm of zero or less would be counted in the overflow bucket.
  data_->buckets_(std::max(seconds, kLowestSeconds / 2));
  data_->statistics_(seconds);
}

HistogramSnapshot
HistogramMetric::Snapshot() const
{
  HistogramSnapshot snapshot;
  const tbb::spin_mutex::scoped_lock lock(data_->mutex_);
  const Statistics& statistics = data_->statistics_;
  snapshot.count_ = accumulators::count(statistics);
  if (snapshot.count_ > 0) {
    snapshot.sumSeconds_ = accumulators::sum(statistics);
    snapshot.meanSeconds_ = accumulators::mean(statistics);
    snapshot.varianceSeconds_ = accumulators::variance(statistics);
    snapshot.minSeconds_ = accumulators::min(statistics);
    snapshot.maxSeconds_ = accumulators::max(statistics);
  }
  for (auto&& bucket :
       histogram::indexed(data_->buckets_, histogram::coverage::all)) {
    snapshot.buckets_.push_back({ bucket.bin().upper(), *bucket });
  }
  return snapshot;
}

namespace {

//! One metric with its labels.
struct Series
{
  std::string name_;
  std::vector<std::pair<std::string, std::string>> labels_;
  CounterMetric counter_;
  GaugeMetric gauge_;
  std::unique_ptr<HistogramMetric> histogram_;
  bool isGauge_ = false;
};

//! State for enforcing the limits of one metric name.
struct Family
{
  std::map<std::string, std::set<std::string, std::less<>>, std::less<>>
    labelValues_;
  std::size_t series_ = 0;
};

enum class MetricKind
{
  Counter,
  Gauge,
  Histogram,
};

using LabelList = std::vector<MetricLabel>;

constexpr char kKeySeparator = '\x1f';

void
AppendKey(std::string& aKey, std::string_view aText)
{
  aKey += aText;
  aKey += kKeySeparator;
}

//! Builds the key in a reused buffer, so that a look-up does not allocate.
const std::string&
MakeKey(std::string_view aName, std::span<const MetricLabel> aLabels)
{
  thread_local std::string key;
  key.clear();
  AppendKey(key, aName);
  for (const MetricLabel& label : aLabels) {
    AppendKey(key, label.name_);
    AppendKey(key, label.value_);
  }
  return key;
}

bool
IsKnownValue(const Family& aFamily, const MetricLabel& aLabel)
{
  const auto values = aFamily.labelValues_.find(aLabel.name_);
  return values != aFamily.labelValues_.end() &&
         values->second.contains(aLabel.value_);
}

} // namespace

struct MetricsRegistry::Data
{
  Series& Find(std::string_view aName, Labels aLabels, MetricKind aKind);
  LabelList BoundLabels(std::string_view aName, Labels aLabels);
  Series& Create(std::string_view aName,
                 const LabelList& aLabels,
                 MetricKind aKind);

  MetricsLimits limits_;
  tbb::concurrent_unordered_map<std::string, std::unique_ptr<Series>> series_;
  std::shared_mutex mutex_; //!< guards families_ and insertions into series_
  std::map<std::string, Family, std::less<>> families_;
};

Series&
MetricsRegistry::Data::Find(std::string_view aName,
                            Labels aLabels,
                            MetricKind aKind)
{
  const auto found =
    series_.find(MakeKey(aName, { aLabels.begin(), aLabels.size() }));
  if (found != series_.end()) {
    return *found->second;
  }
  const LabelList labels = BoundLabels(aName, aLabels);
  const auto bounded = series_.find(MakeKey(aName, labels));
  if (bounded != series_.end()) {
    return *bounded->second;
  }
  return Create(aName, labels, aKind);
}

//! Returns the labels with `other` in place of the values beyond the limit.
LabelList
MetricsRegistry::Data::BoundLabels(std::string_view aName, Labels aLabels)
{
  LabelList labels(aLabels);
  {
    const std::shared_lock lock(mutex_);
    const auto family = families_.find(aName);
    if (family != families_.end() &&
        family->second.series_ >= limits_.series_) {
      for (MetricLabel& label : labels) {
        label.value_ = kOtherLabelValue;
      }
      return labels;
    }
  }
  const std::unique_lock lock(mutex_);
  Family& family = families_[std::string(aName)];
  for (MetricLabel& label : labels) {
    if (IsKnownValue(family, label)) {
      continue;
    }
    auto& values = family.labelValues_[std::string(label.name_)];
    if (values.size() >= limits_.labelValues_) {
      label.value_ = kOtherLabelValue;
    } else {
      values.emplace(label.value_);
    }
  }
  return labels;
}

Series&
MetricsRegistry::Data::Create(std::string_view aName,
                              const LabelList& aLabels,
                              MetricKind aKind)
{
  auto series = std::make_unique<Series>();
  series->name_ = aName;
  for (const MetricLabel& label : aLabels) {
    series->labels_.emplace_back(label.name_, label.value_);
  }
  series->isGauge_ = aKind == MetricKind::Gauge;
  if (aKind == MetricKind::Histogram) {
    series->histogram_ = std::make_unique<HistogramMetric>();
  }
  const std::unique_lock lock(mutex_);
  const auto [entry, added] =
    series_.emplace(MakeKey(aName, aLabels), std::move(series));
  families_[std::string(aName)].series_ += added ? 1 : 0;
  return *entry->second;
}

MetricsRegistry::MetricsRegistry(MetricsLimits aLimits)
  : data_(std::make_unique<Data>())
{
  data_->limits_ = aLimits;
}

MetricsRegistry::~MetricsRegistry() = default;

CounterMetric&
MetricsRegistry::Counter(std::string_view aName, Labels aLabels)
{
  return data_->Find(aName, aLabels, MetricKind::Counter).counter_;
}

GaugeMetric&
MetricsRegistry::Gauge(std::string_view aName, Labels aLabels)
{
  return data_->Find(aName, aLabels, MetricKind::Gauge).gauge_;
}

HistogramMetric&
MetricsRegistry::Histogram(std::string_view aName, Labels aLabels)
{
  return *data_->Find(aName, aLabels, MetricKind::Histogram).histogram_;
}

std::vector<MetricSnapshot>
MetricsRegistry::Snapshot() const
{
  std::vector<MetricSnapshot> metrics;
  for (const auto& [key, series] : data_->series_) {
    MetricSnapshot metric{ series->name_, series->labels_, {} };
    if (series->histogram_) {
      metric.value_ = series->histogram_->Snapshot();
    } else if (series->isGauge_) {
      metric.value_ = series->gauge_.Value();
    } else {
      metric.value_ = series->counter_.Value();
    }
    metrics.push_back(std::move(metric));
  }
  std::sort(
    metrics.begin(), metrics.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.name_, aLeft.labels_) <
             std::tie(aRight.name_, aRight.labels_);
    });
  return metrics;
}

} // namespace wigeonlb::foundation
