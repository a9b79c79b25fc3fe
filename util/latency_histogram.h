// A mergeable histogram of latencies with logarithmic buckets. Quantiles are at
// most 5% too high from 1 us to 1 h; count, maximum and mean are exact.
//
//   LatencyHistogram waits;
//   waits.Add(std::chrono::milliseconds(3));
//   waits.QuantileMs(0.99);
#ifndef UTIL_LATENCY_HISTOGRAM_H_
#define UTIL_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>

#include "util/clock.h"

namespace chivedale::util {

class LatencyHistogram {
 public:
  LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram& operator=(const LatencyHistogram& other);
  ~LatencyHistogram();

  void Add(Duration value);
  void Merge(const LatencyHistogram& other);

  // 0 if there are no samples.
  int64_t count() const;
  double QuantileMs(double quantile) const;
  double MaxMs() const;
  double MeanMs() const;
  // Fraction of the samples that are at most `bound`; 1 if there are none.
  // Counts the whole bucket of `bound`, so samples up to 5% above it may be
  // included.
  double FractionAtMost(Duration bound) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::util

#endif  // UTIL_LATENCY_HISTOGRAM_H_
