// Run time per kind of work, learned from completions. Declared run times are
// used until there are enough samples.
#ifndef CHIVEDALE_RUN_TIME_MODEL_H_
#define CHIVEDALE_RUN_TIME_MODEL_H_

#include <memory>
#include <string>

#include "chivedale/resources.h"
#include "chivedale/work.h"

namespace chivedale {

// Reference worker; costs are fractions of its time.
inline constexpr Resources kReferenceWorker{32'000, 131'072, 8, 8};

class RunTimeModel {
 public:
  RunTimeModel();
  ~RunTimeModel();

  // Command. Records the run time of one finished attempt.
  void Learn(const std::string& kind, Millis run_time);

  // Queries. Results are in seconds; `row` gives the declared value and the
  // upper bound.
  double MeanSeconds(const WorkRow& row) const;
  // `quantile` is in (0, 1).
  double QuantileSeconds(const WorkRow& row, double quantile) const;
  // Fairness cost of one item of the row: its mean run time times its dominant
  // share of a reference worker with 32 cores, 128 GB, 8 accelerators and 8
  // slots.
  double Cost(const WorkRow& row, const Resources& size) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_RUN_TIME_MODEL_H_
