// A random history of a cell under faults, for property tests: killed, paused
// and partitioned members, a store that is down, loses answers, delays writes
// or compacts its history, and executors that crash or answer late or not at
// all. The fake executors check each order.
//
//   RandomHistory history(seed);
//   history.Run(12, true);
//   history.Check();
#ifndef CELL_TESTING_RANDOM_HISTORY_H_
#define CELL_TESTING_RANDOM_HISTORY_H_

#include <set>

#include "cell/testing/fake_cell.h"
#include "cell/testing/history_check.h"
#include "cell/testing/liveness_check.h"
#include "util/random.h"

namespace chivedale::cell::testing {

class RandomHistory {
 public:
  explicit RandomHistory(uint64_t seed)
      : cell_(seed), random_(seed ^ 0x5bd1e995) {}

  void Run(int faults, bool fail_sometimes);

  // A longer history on a pool of two kinds of executors, followed by a time
  // with jobs and no faults in which no job that could run may wait.
  // `cut_regions`: also cut one member and some executors off the others.
  void RunWide(bool cut_regions);

  // Fails the property if an executor saw a violation, or an accepted job did
  // not end as it should.
  void Check();

  FakeCell& cell() { return cell_; }

 private:
  void SubmitWide(bool narrow);

  // Submits jobs at a rate that leaves most of the pool free.
  void Quiet(Duration time, bool narrow, LivenessCheck* check);

  void InjectWideFault(bool cut_regions);

  FakeCell cell_;
  util::Random random_;
  bool wide_ = false;  // RunWide() was used
  int jobs_ = 0;
  RandomWaves waves_{cell_};
  std::set<ExecutorId> failing_;  // executors on which all runs fail
  bool faulty_ = true;            // some runs fail on all executors
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_RANDOM_HISTORY_H_
