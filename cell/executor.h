// State of one executor as known to the leader: free resources, runs, clock,
// and how many of the reported ends are stored.
//
//   Executor executor(entry);
//   Run& run = executor.AddRun(name, number, step, now);
//   if (size.FitsIn(executor.Free())) ...
//
// Resources are committed from the start order until the run's end is listed,
// whether or not the order was answered, so that an executor is never
// overcommitted.
#ifndef CELL_EXECUTOR_H_
#define CELL_EXECUTOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "cell/executor_health.h"
#include "cell/job.h"
#include "cell/ports.h"
#include "cell/types.h"

namespace chivedale::cell {

enum class RunPhase {
  kStartSent,         // start order sent
  kStartUnconfirmed,  // no answer; may begin until start_until
  kRunning,
  kStopping,
};

struct Run {
  // Whether it is not known yet that the run has begun.
  bool IsStartUnconfirmed() const {
    return phase == RunPhase::kStartSent ||
           phase == RunPhase::kStartUnconfirmed;
  }

  TaskName name;
  int64_t number = 0;
  // Null if the job is not known; the run is then stopped, unless the job may
  // only not have been read yet.
  Step* step = nullptr;
  Resources size;  // committed on the executor
  RunPhase phase = RunPhase::kStartSent;
  TimePoint start_sent{};
  TimePoint running_since{};  // first confirmation that it runs
  Millis start_until{0};      // executor clock; not started later
  bool start_answered = true;
  bool start_pending = false;  // the start call has not returned
  // The executor restarted since the order. `start_until` was on its earlier
  // clock, so that it may begin the run at any time until it is stopped.
  bool may_start_late = false;
  std::string checkpoint;
  // Speed reported by the executor; a long-running task is at work at 100.
  // Not set before it lists the run.
  std::optional<int> pace_percent;
  int64_t load_figure = 0;    // see RunningTask
  int ordered_percent = 100;  // last ordered pace
  TimePoint last_pace_order{};
  // State of a stop order.
  bool stop_confirmed = false;
  TimePoint stop_confirmed_at{};
  TimePoint next_stop{};  // earliest next stop order
  bool stop_in_flight = false;
};

// An end that must not be acknowledged before its effect on its job's progress
// is stored.
struct UnstoredEnd {
  int64_t number = 0;
  JobId job;           // empty: no effect
  int64_t change = 0;  // see ProgressQueue
};

class Executor {
 public:
  // `number` is unique among the executors of one leader.
  explicit Executor(ExecutorEntry entry, size_t number = 0);

  // Commands.
  Run& AddRun(const TaskName& name, int64_t number, Step* step, TimePoint now);
  // Assigns the step of a run whose job was unknown.
  void SetStep(Run& run, Step& step);
  // Releases the run's resources and updates the counts of its step.
  void RemoveRun(const std::string& task);
  void OnClock(Millis clock, TimePoint now);
  // Records that a lease or start order with this deadline, on the executor's
  // clock, was sent.
  void OnDeadlineSent(Millis until);
  // Resets the state after the executor process was restarted. `incarnation`
  // identifies the new process. The caller removes the runs.
  void OnNewIncarnation(int64_t incarnation);

  // Queries.
  Resources Free() const { return entry.capacity - committed_; }
  const Resources& committed() const { return committed_; }
  std::map<std::string, Run>& runs() { return runs_; }
  const std::map<std::string, Run>& runs() const { return runs_; }
  Run* FindRun(const std::string& task);
  // True if a run of unknown size is on the executor.
  bool has_unknown_run() const { return unknown_runs_ > 0; }
  bool clock_known() const { return clock_known_; }
  // Estimate of the executor's clock.
  Millis ClockAt(TimePoint now) const;
  // Likewise on the slowest permitted clock.
  Millis EarliestClockAt(TimePoint now) const;
  // When an answer last showed the clock.
  TimePoint clock_read_at() const { return clock_at_; }
  // Latest deadline sent, on the executor's clock.
  Millis max_deadline() const { return max_deadline_; }
  // Time by which every lease and start order sent has expired, even on the
  // slowest permitted clock.
  TimePoint LeasesExpiredBy() const;
  bool HasLabel(const std::string& label) const;
  const size_t number;
  ExecutorEntry entry;
  ExecutorHealth health;
  int64_t incarnation = 0;
  bool listed = true;  // has an entry in the store
  TimePoint unlisted_since{};
  // Its runs are known to this leader: it has answered a hold call since it was
  // last new, restarted or unresponsive.
  bool adopted = false;
  bool stored = false;  // is listed at kExecutorsKey, which a new leader reads
  int64_t ends_read = 0;  // highest end number processed
  // Highest end number whose effect on job progress is stored.
  int64_t ends_stored = 0;
  // Ends that have been processed and whose effect may not be stored, in order.
  std::deque<UnstoredEnd> unstored_ends;
  // Highest end number whose acknowledgement the executor has received.
  int64_t ends_confirmed = 0;
  // Consecutive unanswered holds. Also set to at least 1 where the executor
  // must answer a hold before it gets another start.
  int missed_holds = 0;
  // Must be called before it gets a start, as it may have restarted.
  bool check_requested = false;
  bool hold_in_flight = false;
  TimePoint hold_sent{};
  TimePoint last_answer{};         // to a hold call
  TimePoint answered_hold_sent{};  // when that call was sent
  TimePoint next_hold{};
  std::string unreadable_row;  // of its last answer, already logged
  int64_t usable_in_pass = 0;  // latest scheduling pass that could use it
  bool cordoned = false;  // gets no new task because its VM is due for upkeep

 private:
  Resources committed_;
  int unknown_runs_ = 0;
  std::map<std::string, Run> runs_;  // by task name
  bool clock_known_ = false;
  Millis clock_{0};
  TimePoint clock_at_{};
  Millis max_deadline_{0};
};

}  // namespace chivedale::cell

#endif  // CELL_EXECUTOR_H_
