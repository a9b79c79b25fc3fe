// How well an executor does its work, from the ends of its runs and from runs
// that take longer than they should. What an executor says of its own health is
// not asked: it may be false either way.
//
//   ExecutorHealth health;
//   health.OnDone(took, declared, now);
//   if (health.OnFailed(now)) ...        // it is left alone for a while
//   health.SetOverdue(count, signals, runs, now);
//   double cost = health.TimeFactor();   // 1: as declared
#ifndef CELL_EXECUTOR_HEALTH_H_
#define CELL_EXECUTOR_HEALTH_H_

#include "cell/types.h"

namespace chivedale::cell {

class ExecutorHealth {
 public:
  // Commands.
  // A run ended well; `declared` is zero when it is not known.
  void OnDone(Duration took, Duration declared, TimePoint now);
  // A run failed. True when the executor is to be left alone from now on.
  bool OnFailed(TimePoint now);
  void AvoidUntil(TimePoint until);
  // Runs that take much longer than they should now, how many of them say
  // something of the executor (the tasks of one job may all be declared too
  // short), and all that run.
  void SetOverdue(int overdue, int signals, int runs, TimePoint now);

  // Queries.
  bool avoided(TimePoint now) const { return avoid_until_ > now; }
  // Expected run time against the declared one.
  double TimeFactor() const;
  // Share of runs that fail, smoothed.
  double failing() const { return failing_; }
  // Several runs take too long and none ends: the executor is slow or hangs,
  // not one task or job.
  bool suspect() const { return suspect_; }

 private:
  double slowness_ = 1.0;
  double failing_ = 0;
  int samples_ = 0;
  int failures_in_row_ = 0;
  int overdue_ = 0;
  bool suspect_ = false;
  TimePoint last_done_{};
  TimePoint avoid_until_{};
  Duration avoid_for_{0};
};

}  // namespace chivedale::cell

#endif  // CELL_EXECUTOR_HEALTH_H_
