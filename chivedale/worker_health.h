// Detects workers on which tasks fail. A failing worker ends its tasks quickly,
// so that placement by free capacity alone would prefer it.
//
//   health.OnEnd(worker, kind, ok);
//   if (health.MayStart(worker)) ... health.OnStart(worker);
#ifndef CHIVEDALE_WORKER_HEALTH_H_
#define CHIVEDALE_WORKER_HEALTH_H_

#include <string>
#include <unordered_map>

#include "chivedale/ids.h"
#include "chivedale/work.h"
#include "util/clock.h"

namespace chivedale {

class WorkerHealth {
 public:
  struct Options {
    // Above this failure rate a worker gets one attempt at a time.
    double suspect_rate = 0.5;
    // Above this failure rate it gets single probes with growing pauses in
    // between.
    double failing_rate = 0.8;
    double min_samples = 3;
    Millis first_pause{1'000};
    Millis longest_pause{60'000};
    // Effective number of samples kept per worker and kind.
    double sample_window = 20;
  };

  WorkerHealth(const util::Clock& clock, Options options);
  explicit WorkerHealth(const util::Clock& clock)
      : WorkerHealth(clock, Options()) {}

  // Commands.
  void OnStart(const WorkerId& worker);
  // The attempt is known not to have started, so it is not a sample.
  void OnNotStarted(const WorkerId& worker);
  void OnEnd(const WorkerId& worker, const std::string& kind, bool ok);
  void Forget(const WorkerId& worker);

  // Queries.
  bool MayStart(const WorkerId& worker) const;
  // When MayStart may change without an event; the maximum time point if it
  // cannot.
  util::TimePoint NextProbe(const WorkerId& worker) const;
  // Between 0 and 1; excludes failures of kinds that also fail on other
  // workers.
  double FailureRate(const WorkerId& worker) const;
  bool failing(const WorkerId& worker) const;

 private:
  struct Samples {
    double ok = 0;
    double failed = 0;
    double total() const { return ok + failed; }
  };
  struct Worker {
    std::unordered_map<std::string, Samples> kinds;
    int64_t in_flight = 0;
    Millis pause{0};
    util::TimePoint next_probe{};
  };

  // Fraction of the failures of `kind` on a worker that is attributed to the
  // worker.
  double Attribution(const std::string& kind, const Samples& own) const;
  Samples Attributed(const Worker& worker) const;
  double Rate(const Worker& worker) const;

  const util::Clock& clock_;
  const Options options_;
  std::unordered_map<WorkerId, Worker> workers_;
  std::unordered_map<std::string, Samples> kinds_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_WORKER_HEALTH_H_
