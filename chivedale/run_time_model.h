// Learned run time per kind of work, from completions. Declared run times are
// used until enough samples are in.
#ifndef CHIVEDALE_RUN_TIME_MODEL_H_
#define CHIVEDALE_RUN_TIME_MODEL_H_

#include <memory>
#include <string>

#include "chivedale/resources.h"
#include "chivedale/work.h"

namespace chivedale {

// The worker in whose time a cost is counted.
inline constexpr Resources kReferenceWorker{32'000, 131'072, 8, 8};

class RunTimeModel {
 public:
  RunTimeModel();
  ~RunTimeModel();

  // Command. `run_time` of one finished attempt.
  void Learn(const std::string& kind, Millis run_time);

  // Queries. Seconds; `row` gives the declared value and the upper bound.
  double MeanSeconds(const WorkRow& row) const;
  // quantile in (0, 1).
  double QuantileSeconds(const WorkRow& row, double quantile) const;
  // Fairness cost of one item of the row: mean run time times its dominant
  // share of a reference worker of 32 cores, 128 GB, 8 accelerators, 8 slots.
  double Cost(const WorkRow& row, const Resources& size) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_RUN_TIME_MODEL_H_
