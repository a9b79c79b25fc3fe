// Selects the executors on which tasks are started.
//
//   Placer placer(options);
//   placer.PlaceEach(step, tasks, candidates, now,
//                    [](int task, Executor& executor) { ... });
//   std::vector<Executor*> members = placer.ForGang(step, candidates);
//
// Candidates are the executors that may run the step. The placer considers free
// resources, racks, spread, earlier failures and the speed of each executor.
#ifndef CELL_PLACER_H_
#define CELL_PLACER_H_

#include <functional>
#include <vector>

#include "cell/executor.h"
#include "cell/job.h"
#include "cell/types.h"

namespace chivedale::cell {

struct PlacerOptions {
  // Run time far from the input data's rack, or spread over several racks for
  // same_rack steps, as a multiple of that on the preferred rack.
  double remote_rack_factor = 3;
};

class Placer {
 public:
  explicit Placer(const PlacerOptions& options) : options_(options) {}

  // Calls `start` for each task that fits. `start` must commit the resources.
  void PlaceEach(const Step& step,
                 const std::vector<int>& tasks,
                 const std::vector<Executor*>& candidates,
                 TimePoint now,
                 const std::function<void(int, Executor&)>& start) const;
  // Returns one executor per task, in order; empty if not all of them fit.
  std::vector<Executor*> ForGang(const Step& step,
                                 const std::vector<Executor*>& candidates,
                                 TimePoint now) const;

  // Lower is better.
  double Cost(const Step& step, const Executor& executor) const;

 private:
  // Longest time for which the step waits for room on its preferred rack, or
  // for its tasks to share one.
  Duration MaxRackWait(const Step& step) const;
  const PlacerOptions options_;
};

// Resources that a task commits on its executor.
Resources ResourcesFor(const StepSpec& spec);
// Whether the executor has the step's label and is large enough for a task.
bool IsEligible(const Step& step, const Executor& executor);

}  // namespace chivedale::cell

#endif  // CELL_PLACER_H_
