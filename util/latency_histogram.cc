#include "util/latency_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace chivedale::util {
namespace {

namespace bh = boost::histogram;

constexpr double kMinMs = 1e-3;
constexpr double kMaxMs = 3.6e6;
// 47 buckets per decade, so that adjacent bounds differ by 5%.
constexpr int kBins = 450;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts = bh::histogram<std::tuple<Axis>, bh::default_storage>;

double ToMs(Duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace

struct LatencyHistogram::Impl {
  Counts counts = bh::make_histogram(Axis(kBins, kMinMs, kMaxMs));
  int64_t total = 0;
  double sum_ms = 0;
  double max_ms = 0;
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}
LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : impl_(std::make_unique<Impl>(*other.impl_)) {}
LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& other) {
  *impl_ = *other.impl_;
  return *this;
}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Add(Duration value) {
  const double ms = std::max(0.0, ToMs(value));
  impl_->counts(ms);
  ++impl_->total;
  impl_->sum_ms += ms;
  impl_->max_ms = std::max(impl_->max_ms, ms);
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  impl_->counts += other.impl_->counts;
  impl_->total += other.impl_->total;
  impl_->sum_ms += other.impl_->sum_ms;
  impl_->max_ms = std::max(impl_->max_ms, other.impl_->max_ms);
}

int64_t LatencyHistogram::count() const {
  return impl_->total;
}

double LatencyHistogram::QuantileMs(double quantile) const {
  if (impl_->total == 0) {
    return 0;
  }
  const double rank = quantile * static_cast<double>(impl_->total);
  double cumulative = 0;
  for (int i = -1; i <= kBins; ++i) {
    cumulative += static_cast<double>(impl_->counts.at(i));
    if (cumulative >= rank && i >= 0 && i < kBins) {
      return std::min(impl_->counts.axis().bin(i).upper(), impl_->max_ms);
    }
    if (cumulative >= rank) {
      return i < 0 ? kMinMs : impl_->max_ms;
    }
  }
  return impl_->max_ms;
}

double LatencyHistogram::MaxMs() const {
  return impl_->max_ms;
}

double LatencyHistogram::MeanMs() const {
  return impl_->total == 0 ? 0
                           : impl_->sum_ms / static_cast<double>(impl_->total);
}

double LatencyHistogram::FractionAtMost(Duration bound) const {
  if (impl_->total == 0) {
    return 1;
  }
  const int last = impl_->counts.axis().index(ToMs(bound));
  double within = 0;
  for (int i = -1; i <= std::min(last, kBins); ++i) {
    within += static_cast<double>(impl_->counts.at(i));
  }
  return within / static_cast<double>(impl_->total);
}

}  // namespace chivedale::util
