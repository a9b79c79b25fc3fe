// The executors of a pool and their resources in one scheduling pass.
#ifndef CELL_POOL_STATE_H_
#define CELL_POOL_STATE_H_

#include <vector>

#include "cell/executor.h"
#include "cell/types.h"

namespace chivedale::cell {

struct PoolState {
  // Number of steps that may reserve executors in one pass.
  static constexpr int kMaxReservingSteps = 4;
  bool MayReserve() const { return reserving_steps < kMaxReservingSteps; }

  std::vector<Executor*> usable;
  // Would be usable, but have failed, or got a task on probation just now; the
  // least suspect first.
  std::vector<Executor*> avoided;
  Resources capacity;  // of all usable executors
  Resources free;
  // Maximum free amount of each resource on any single executor. An upper bound
  // if it is stale.
  Resources max_free;
  bool max_free_stale = false;
  int reserving_steps = 0;  // steps with reserved executors
};

}  // namespace chivedale::cell

#endif  // CELL_POOL_STATE_H_
