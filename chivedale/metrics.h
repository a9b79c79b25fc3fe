// Counters, gauges and latency histograms of this process, exported in the
// Prometheus text format. Thread-safe.
#ifndef CHIVEDALE_METRICS_H_
#define CHIVEDALE_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "util/clock.h"

namespace chivedale {

enum class Counter {
  kRequestsAccepted,
  kRequestsRefused,
  kRequestsSucceeded,
  kRequestsFailed,
  kRequestsUnknown,
  kRequestsCancelled,
  kRequestsRepeated,  // repeated send of a known id
  kAttempts,
  kRetries,
  kLateAnswers,
  kDispatchesRemote,
  kDispatchesCrossRegion,
  kDispatchesRefused,
  kStartsUnknown,
  kPreemptions,
  kPeerMessagesSent,
  kPeerBytesSent,
  kPeerBytesCrossRegion,
  kStoreReads,
  kStoreWrites,
  kStoreFailures,
  kWorkerCalls,
  kEventsShed,
};

enum class Gauge {
  kQueued,
  kRunning,
  kOwnedWorkers,
  kMembers,
  kTableRevision,
  kOpenRequests,
  kRetainedBytes,
  kControlQueue,
};

// Latency histograms, labelled by kind of work.
enum class Timer { kWait, kRun, kTotal, kDecision, kControlDelay };

class Metrics {
 public:
  Metrics();
  ~Metrics();

  void Count(Counter counter, int64_t by = 1);
  void Set(Gauge gauge, int64_t value);
  void Observe(Timer timer, const std::string& kind, util::Duration value);

  int64_t Value(Counter counter) const;
  // 0 if there are no samples.
  double QuantileSeconds(Timer timer,
                         const std::string& kind,
                         double quantile) const;
  std::string PrometheusText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_METRICS_H_
