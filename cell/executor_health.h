// Health of an executor, estimated from the results of its runs and from
// overdue runs. The executor's own health report is not used: it can be wrong
// either way.
//
//   ExecutorHealth health;
//   health.OnDone(took, declared, now);
//   if (health.OnFailed(now)) ...        // gets no tasks for a while
//   health.SetOverdue(count, signals, runs, now);
//   double factor = health.TimeFactor();  // 1: runs take as long as declared
#ifndef CELL_EXECUTOR_HEALTH_H_
#define CELL_EXECUTOR_HEALTH_H_

#include "cell/types.h"

namespace chivedale::cell {

class ExecutorHealth {
 public:
  // Commands.
  // Records a successful run; `declared` is zero if it is not known.
  void OnDone(Duration took, Duration declared, TimePoint now);
  // Records a failed run. Returns true if the executor is to be avoided now.
  bool OnFailed(TimePoint now);
  void AvoidUntil(TimePoint until);
  // Sets the number of overdue runs, how many of them are independent evidence
  // against the executor (all tasks of one job may be declared too short), and
  // the number of all runs.
  void SetOverdue(int overdue, int signals, int runs, TimePoint now);

  // Queries.
  bool avoided(TimePoint now) const { return avoid_until_ > now; }
  // Ratio of expected to declared run time.
  double TimeFactor() const;
  // Smoothed share of runs that fail.
  double failure_rate() const { return failure_rate_; }
  // No run completes and several are overdue, or one on an executor that has
  // been slow before, so the executor rather than a single task or job is slow
  // or hangs.
  bool suspect() const { return suspect_; }

 private:
  double slowness_ = 1.0;
  double failure_rate_ = 0;
  int samples_ = 0;
  int failures_in_row_ = 0;
  int overdue_ = 0;
  bool suspect_ = false;
  TimePoint last_done_{};
  TimePoint avoid_until_{};
  Duration avoid_duration_{0};
};

}  // namespace chivedale::cell

#endif  // CELL_EXECUTOR_HEALTH_H_
