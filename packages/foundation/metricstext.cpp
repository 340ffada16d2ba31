#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>

#include "foundation/metrics.h"

namespace wigeonlb::foundation {

namespace {

//! Only every second bucket is exported as a Prometheus bucket.
constexpr std::size_t kBucketsPerBoundary = 2;

//! In the order of the alternatives of MetricSnapshot::value_.
constexpr const char* kTypeNames[] = { "counter", "gauge", "histogram" };

std::string
Escape(std::string_view aValue)
{
  std::string escaped;
  for (const char character : aValue) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

//! Formats the labels in braces; aBoundary is the value of `le`, or empty.
std::string
FormatLabels(const MetricSnapshot& aMetric, const std::string& aBoundary = {})
{
  std::string text;
  for (const auto& [name, value] : aMetric.labels_) {
    text += (text.empty() ? "" : ",") + name + "=\"" + Escape(value) + "\"";
  }
  if (!aBoundary.empty()) {
    text += std::string(text.empty() ? "" : ",") + "le=\"" + aBoundary + "\"";
  }
  return text.empty() ? text : "{" + text + "}";
}

std::string
FormatNumber(double aNumber)
{
  if (std::isinf(aNumber)) {
    return "+Inf";
  }
  std::ostringstream text;
  text.precision(4);
  text << aNumber;
  return text.str();
}

void
PrintHistogram(std::ostream& aOut,
               const MetricSnapshot& aMetric,
               const HistogramSnapshot& aHistogram)
{
  std::uint64_t below = 0;
  const std::size_t last = aHistogram.buckets_.size() - 1;
  for (std::size_t index = 0; index <= last; ++index) {
    below += aHistogram.buckets_[index].count_;
    if (index % kBucketsPerBoundary == 0 || index == last) {
      const std::string boundary =
        FormatNumber(aHistogram.buckets_[index].upperSeconds_);
      aOut << aMetric.name_ << "_bucket" << FormatLabels(aMetric, boundary)
           << ' ' << below << '\n';
    }
  }
  aOut << aMetric.name_ << "_sum" << FormatLabels(aMetric) << ' '
       << aHistogram.sumSeconds_ << '\n';
  aOut << aMetric.name_ << "_count" << FormatLabels(aMetric) << ' '
       << aHistogram.count_ << '\n';
}

const char*
TypeName(const MetricSnapshot& aMetric)
{
  return kTypeNames[aMetric.value_.index()];
}

} // namespace

double
QuantileSeconds(const HistogramSnapshot& aHistogram, double aShare)
{
  const double wanted = aShare * static_cast<double>(aHistogram.count_);
  double below = 0;
  double lower = aHistogram.minSeconds_;
  for (const HistogramBucket& bucket : aHistogram.buckets_) {
    const auto count = static_cast<double>(bucket.count_);
    const double upper = std::min(bucket.upperSeconds_, aHistogram.maxSeconds_);
    if (count > 0 && below + count >= wanted) {
      lower = std::max(lower, aHistogram.minSeconds_);
      return lower + (upper - lower) * (wanted - below) / count;
    }
    below += count;
    lower = bucket.upperSeconds_;
  }
  return aHistogram.maxSeconds_;
}

std::string
ToPrometheusText(std::span<const MetricSnapshot> aMetrics)
{
  std::ostringstream out;
  out.precision(std::numeric_limits<double>::max_digits10);
  std::string_view family;
  for (const MetricSnapshot& metric : aMetrics) {
    if (metric.name_ != family) {
      family = metric.name_;
      out << "# TYPE " << family << ' ' << TypeName(metric) << '\n';
    }
    if (const auto* histogram =
          std::get_if<HistogramSnapshot>(&metric.value_)) {
      PrintHistogram(out, metric, *histogram);
      continue;
    }
    out << metric.name_ << FormatLabels(metric) << ' ';
    if (const auto* counter = std::get_if<std::uint64_t>(&metric.value_)) {
      out << *counter << '\n';
    } else {
      out << std::get<double>(metric.value_) << '\n';
    }
  }
  return out.str();
}

} // namespace wigeonlb::foundation
