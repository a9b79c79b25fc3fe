// Latencies on a logarithmic scale (5% precision from 1 us to 1 h), mergeable.
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

  // Commands.
  void Add(Duration value);
  void Merge(const LatencyHistogram& other);

  // Queries; 0 without samples.
  int64_t count() const;
  double QuantileMs(double quantile) const;
  double MaxMs() const;
  double MeanMs() const;
  // Part of the samples at most this long; 1 without samples.
  double ShareWithin(Duration bound) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::util

#endif  // UTIL_LATENCY_HISTOGRAM_H_
