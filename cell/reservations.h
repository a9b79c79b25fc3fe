// Executors that are kept for steps which do not fit yet, in one scheduling
// pass, and who may use them all the same.
//
// A reservation takes from other steps only what its own step needs to begin
// sooner. Another task may run on a reserved executor if it ends before the
// step can begin, or if the step fits beside it at that time.
//
//   Reservations reservations;
//   reservations.Reserve({executors}, size, count, max_per_executor, now);
//   if (!reservations.Contains(executor) ||
//       reservations.Allows(executor, other_size, ExpectedEnd(...))) ...
#ifndef CELL_RESERVATIONS_H_
#define CELL_RESERVATIONS_H_

#include <map>
#include <vector>

#include "cell/executor.h"
#include "cell/types.h"

namespace chivedale::cell {

// Declared end of the run; at the latest TimePoint::max(), for a run that lasts
// until its job is cancelled. After now: the run may be overdue.
TimePoint ExpectedEnd(const Run& run, TimePoint now);

class Reservations {
 public:
  // Commands.
  void Clear() { by_executor_.clear(); }
  // Keeps the executors for `count` tasks of this size, which begin together.
  void Reserve(const std::vector<const Executor*>& executors,
               const Resources& size,
               int count,
               int max_per_executor,
               TimePoint now);
  // Keeps all that is free, or is being freed, there.
  void ReserveWhole(const Executor& executor);
  // A task has been started on the executor, which may be reserved.
  void OnStarted(const Executor& executor, const Resources& size);

  // Queries.
  bool empty() const { return by_executor_.empty(); }
  bool Contains(const Executor& executor) const {
    return by_executor_.count(&executor) > 0;
  }
  // Whether a task of this size that ends by `end` may run on the reserved
  // executor.
  bool Allows(const Executor& executor,
              const Resources& size,
              TimePoint end) const;

 private:
  struct Reservation {
    bool whole = false;
    TimePoint begin{};  // earliest time at which all tasks can begin
    Resources beside;   // what they leave free there then
  };
  std::map<const Executor*, Reservation> by_executor_;
};

}  // namespace chivedale::cell

#endif  // CELL_RESERVATIONS_H_
