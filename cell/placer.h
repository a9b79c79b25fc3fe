// Chooses the executors that tasks start on.
//
//   Placer placer;
//   placer.PlaceEach(step, tasks, candidates, now, [](int task, Executor& e)
//   {}); std::vector<Executor*> members = placer.ForGang(step, candidates);
//
// Candidates are those that may run the step; the placer looks at room, racks,
// spread, earlier failures and how fast each has been.
#ifndef CELL_PLACER_H_
#define CELL_PLACER_H_

#include <functional>
#include <vector>

#include "cell/executor.h"
#include "cell/job.h"
#include "cell/types.h"

namespace chivedale::cell {

// Run time on another rack than the data's, or on more than one rack for tasks
// that belong together, against that on the right one.
struct PlacerOptions {
  double far_factor = 3;
};

class Placer {
 public:
  explicit Placer(const PlacerOptions& options) : options_(options) {}

  // Calls `start` for each task that finds room, which commits that room.
  void PlaceEach(const Step& step,
                 const std::vector<int>& tasks,
                 const std::vector<Executor*>& candidates,
                 TimePoint now,
                 const std::function<void(int, Executor&)>& start) const;
  // One executor for each task, in order; empty when they do not all fit.
  std::vector<Executor*> ForGang(
      const Step& step,
      const std::vector<Executor*>& candidates) const;

  // Lower is better.
  double Cost(const Step& step, const Executor& executor) const;

 private:
  const PlacerOptions options_;
};

// What a task takes of an executor's room.
Resources RoomFor(const StepSpec& spec);

}  // namespace chivedale::cell

#endif  // CELL_PLACER_H_
