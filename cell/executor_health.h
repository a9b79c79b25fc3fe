// Health of an executor, estimated from the results of its runs and from
// overdue runs. The executor's own health report is not used: it can be wrong
// either way.
//
// A failed run is evidence about its job first. The executor is avoided after
// failures of two jobs, or of two runs of a job that does not fail elsewhere.
//
//   ExecutorHealth health;
//   health.OnDone(begin, took, declared, now);
//   if (health.OnFailed({job, begin, runs_elsewhere}, now)) ...
//   if (!health.avoided(now) && health.MayStart(now)) ...
//   health.SetOverdue(count, signals, runs, now);
//   double factor = health.TimeFactor();  // 1: runs take as long as declared
#ifndef CELL_EXECUTOR_HEALTH_H_
#define CELL_EXECUTOR_HEALTH_H_

#include <map>

#include "cell/types.h"

namespace chivedale::cell {

struct FailedRun {
  JobId job;
  TimePoint begin{};                // of the run
  bool job_runs_elsewhere = false;  // without failures
};

class ExecutorHealth {
 public:
  // Commands.
  // Records a successful run; `declared` is zero if it is not known.
  void OnDone(TimePoint begin, Duration took, Duration declared, TimePoint now);
  // Records a failed run. Returns true if the executor is to be avoided because
  // of it.
  bool OnFailed(const FailedRun& run, TimePoint now);
  // The job fails on other executors as well, so its failures are no evidence.
  void DiscountFailuresOf(const JobId& job, TimePoint now);
  // The executor has rejected a start, and would reject another one before
  // this time.
  void OnRejected(TimePoint until);
  // A task is started there on probation.
  void OnProbed(TimePoint now);
  // Sets the number of overdue runs, how many of them are independent evidence
  // against the executor (all tasks of one job may be declared too short), and
  // the number of all runs.
  void SetOverdue(int overdue, int signals, int runs, TimePoint now);

  // Queries.
  // Because of failures.
  bool avoided(TimePoint now) const { return avoid_until_ > now; }
  // It is avoided, or has been until recently and no run has completed since.
  bool on_probation(TimePoint now) const;
  // Whether it may be given a task; on probation, one at a time.
  bool MayStart(TimePoint now) const {
    return !on_probation(now) || next_probe_ <= now;
  }
  bool rejects(TimePoint now) const { return rejects_until_ > now; }
  // For how long it is avoided; grows with the evidence against it.
  Duration avoid_duration() const { return avoid_duration_; }
  // Ratio of expected to declared run time.
  double TimeFactor() const;
  // Smoothed share of runs that fail.
  double failure_rate() const { return failure_rate_; }
  // No run completes and several are overdue, or one on an executor that has
  // been slow before, so the executor rather than a single task or job is slow
  // or hangs.
  bool suspect() const { return suspect_; }

 private:
  // Failures of a job since a run last completed.
  struct Doubt {
    int failures = 0;
    bool job_runs_elsewhere = false;
    TimePoint latest{};
  };
  int Evidence() const;
  void ForgetOldDoubts(TimePoint now);
  void EndAvoidance();

  double slowness_ = 1.0;
  double failure_rate_ = 0;
  int samples_ = 0;
  std::map<JobId, Doubt> doubts_;
  int overdue_ = 0;
  bool suspect_ = false;
  TimePoint last_done_{};
  TimePoint avoided_since_{};
  TimePoint avoid_until_{};
  Duration avoid_duration_{0};
  TimePoint next_probe_{};
  TimePoint rejects_until_{};
};

}  // namespace chivedale::cell

#endif  // CELL_EXECUTOR_HEALTH_H_
