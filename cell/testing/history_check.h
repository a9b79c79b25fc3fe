// Checks of a random history of a cell once its faults are over. They fail the
// property that runs.
#ifndef CELL_TESTING_HISTORY_CHECK_H_
#define CELL_TESTING_HISTORY_CHECK_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cell/testing/fake_cell.h"

namespace chivedale::cell::testing {

inline constexpr Millis kLongestFault{12'000};

// Time until the effects of the last fault are over, as a sum of bounds: an
// election with one unanswered write, the leases of the predecessor, the
// longest run (1.5 x the longest estimate), and the longest time for which the
// leader avoids an executor. Upkeep waves end within it too.
Millis SettleTime();

struct SeenJob {
  JobState state = JobState::kQueued;
  bool cancellation_stored = false;
};

// Fails if an executor saw a violation, an accepted job did not end as it
// should, a refused job was started, or anything still runs. `may_not_fit`:
// jobs that do not fit on the empty pool need not end. `forgotten`: the states
// in which jobs were seen whose status is no longer kept.
void CheckHistory(FakeCell& cell,
                  bool may_not_fit,
                  const std::map<JobId, SeenJob>& forgotten = {});

// Upkeep waves of a few VMs that were in no earlier wave.
class RandomWaves {
 public:
  explicit RandomWaves(FakeCell& cell) : cell_(cell) {}
  void Announce();
  // Fails if a wave has not completed.
  void Check() const;

 private:
  FakeCell& cell_;
  int64_t waves_ = 0;
  std::set<std::string> announced_;  // VMs of the waves
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_HISTORY_CHECK_H_
