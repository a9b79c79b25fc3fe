// Learns, per kind of work, the ratio of the usage that the platform reports to
// the declared size, and corrects the size that an attempt is accounted with.
//
//   Resources size = model.Corrected(dispatch.kind, dispatch.size);
//   model.Observe(kind, declared, completion.peak_used, run_time, lag);
#ifndef CHIVEDALE_USAGE_MODEL_H_
#define CHIVEDALE_USAGE_MODEL_H_

#include <string>
#include <unordered_map>

#include "chivedale/resources.h"
#include "chivedale/work.h"

namespace chivedale {

class UsageModel {
 public:
  struct Options {
    // Sizes are corrected by at most this factor in either direction.
    double max_factor = 4;
    // How far one lower sample moves the factor towards it, as a fraction of
    // the difference.
    double decrease_rate = 0.05;
    // Number of samples before a size is corrected downward.
    int min_samples_to_decrease = 20;
  };

  explicit UsageModel(Options options);
  UsageModel() : UsageModel(Options()) {}

  // Commands.
  // `declared` is the requested size, `peak` the highest reported usage. A run
  // no longer than `lag` may have ended before its peak was measured, so it
  // corrects upward only.
  void Observe(const std::string& kind,
               const Resources& declared,
               const Resources& peak,
               Millis run_time,
               Millis lag);

  // Queries.
  // Corrects processors and memory; slots and accelerators are whole devices
  // and stay as declared.
  Resources Corrected(const std::string& kind, const Resources& declared) const;

 private:
  struct Factor {
    double value = 1;
    int samples = 0;
  };
  struct Kind {
    Factor cpu;
    Factor memory;
    // Highest usage reported for this kind, decaying like the factors.
    double cpu_peak = 0;
    double memory_peak = 0;
  };

  void Learn(Factor* factor,
             double* recent_peak,
             int64_t declared,
             int64_t peak,
             bool may_lower) const;
  int64_t Apply(const Factor& factor,
                double recent_peak,
                int64_t declared) const;

  const Options options_;
  std::unordered_map<std::string, Kind> kinds_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_USAGE_MODEL_H_
