// Where runs of a job have failed and completed, to distinguish a job that
// fails by itself from an executor that fails what runs there.
//
//   JobFailures failures;
//   failures.OnFailed(executor.boot.number, now);
//   if (failures.FailsAnywhere(ended, now)) ...  // through its own fault
//   if (failures.FailsOnlyOn(boot, now)) ...
#ifndef CELL_JOB_FAILURES_H_
#define CELL_JOB_FAILURES_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "cell/types.h"

namespace chivedale::cell {

// Time for which a failed run is evidence against its job or its executor.
inline constexpr std::chrono::seconds kFailureEvidenceTime{30};

class JobFailures {
 public:
  // Commands. Boots are named by their numbers.
  void OnFailed(size_t boot, TimePoint now);
  void OnDone(size_t boot);

  // Queries.
  // Whether runs have failed on several executors, and completed on none. Fewer
  // are needed if the job has ended, as its attempts are used up.
  bool FailsAnywhere(bool ended, TimePoint now) const;
  // Whether runs have failed on no other executor than this one.
  bool FailsOnlyOn(size_t boot, TimePoint now) const;
  bool HasCompletedElsewhere(size_t boot) const;
  // Boots on which runs have failed.
  std::vector<size_t> FailedOn(TimePoint now) const;

 private:
  std::map<size_t, TimePoint> failed_on_;  // the latest failure
  // Two different boots at most: enough to know whether runs have completed on
  // another one than a given boot.
  std::optional<size_t> done_on_;
  std::optional<size_t> also_done_on_;
};

}  // namespace chivedale::cell

#endif  // CELL_JOB_FAILURES_H_
