// State of one executor as known to the leader: free resources and runs. What
// ends with a restart of the executor is in ExecutorBoot.
//
//   Executor executor(entry);
//   Run& run = executor.AddRun(name, number, step, now);
//   if (size.FitsIn(executor.Free())) ...
//
// Resources are committed from the start order until the run's end is listed,
// or until it is known to have ended, whether or not the order was answered, so
// that an executor is never overcommitted.
#ifndef CELL_EXECUTOR_H_
#define CELL_EXECUTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cell/executor_boot.h"
#include "cell/job.h"
#include "cell/ports.h"
#include "cell/types.h"

namespace chivedale::cell {

enum class RunPhase {
  kStartSent,         // start order sent
  kStartUnconfirmed,  // no answer; may begin until start_until
  kRunning,
  kStopping,
  // Not running any more; the executor has not listed its end yet. Its task
  // waits for that end, but its resources are free.
  kEndUnread,
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
  int64_t incarnation = 0;    // of the boot on whose clock that is
  // The start is for the boot that ran when its ticket arrived, or for an
  // earlier one, and not executed by any other. Zero: it has no ticket.
  TimePoint ticket_received{};
  // The start is not executed later, by any boot.
  TimePoint start_executed_by{};
  bool on_unknown_boot = false;  // by the answer to the start
  bool start_answered = true;
  bool start_pending = false;  // the start call has not returned
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

class Executor {
 public:
  // `boot_number`: see ExecutorBoot.
  explicit Executor(ExecutorEntry entry, size_t boot_number = 0);

  // Commands.
  Run& AddRun(const TaskName& name, int64_t number, Step* step, TimePoint now);
  // Assigns the step of a run whose job was unknown.
  void SetStep(Run& run, Step& step);
  // The run has ended, but not been listed. Releases its resources; its task
  // stays live. Requires a step.
  void ReleaseResources(Run& run);
  // Releases the run's resources and updates the counts of its step.
  void RemoveRun(const std::string& task);
  // Queries.
  Resources Free() const { return entry.capacity - committed_; }
  const Resources& committed() const { return committed_; }
  std::map<std::string, Run>& runs() { return runs_; }
  const std::map<std::string, Run>& runs() const { return runs_; }
  Run* FindRun(const std::string& task);
  // True if a run of unknown size is on the executor.
  bool has_unknown_run() const { return unknown_runs_ > 0; }
  // Time by which the run has ended if nothing more is heard of the executor,
  // which grants leases of up to `longest`. Not before boot.LeasesExpiredBy().
  TimePoint RunExpiredBy(const Run& run, Millis longest) const;
  bool HasLabel(const std::string& label) const;
  ExecutorEntry entry;
  ExecutorBoot boot;
  TimePoint deadline_sent{};  // when a call with a deadline was last sent
  // Of calls to it: not lower than the fence of the leadership. It is raised
  // after a restart, so that the new boot rejects calls sent before.
  int64_t fence = 0;
  // Only answers to calls with a higher fence than this confirm a boot.
  int64_t superseded_fence = 0;
  // The boot that rejects all calls to earlier boots, as this leader has seen
  // or a predecessor has stored; 0: none.
  int64_t confirmed_incarnation = 0;
  // Until then leases may be left on that boot that are longer than those of a
  // leader's own calls. Grows only with another boot.
  TimePoint long_leases_end{};
  // Latest deadline, on the clock of any boot, of calls that an earlier leader
  // sent or that were sent to an earlier boot. Zero: there are no such calls.
  Millis earlier_deadline = Millis::max();
  bool listed = true;  // has an entry in the store
  TimePoint unlisted_since{};
  bool stored = false;  // is listed at kExecutorsKey, which a new leader reads
  bool stored_as_retired = false;
  // As in that list; see CellLeader::ExecutorRow.
  std::string stored_pool;
  int64_t stored_incarnation = 0;
  Millis stored_long_leases{0};
  // Consecutive unanswered holds. Also set to at least 1 where the executor
  // must answer a hold before it gets another start.
  int missed_holds = 0;
  // Must be called before it gets a start, as it may have restarted.
  bool check_requested = false;
  bool hold_in_flight = false;
  TimePoint hold_sent{};
  TimePoint next_hold{};
  std::string predecessor_pool;  // in the predecessor's list
  int64_t usable_in_pass = 0;    // latest scheduling pass that could use it
  bool cordoned = false;  // gets no new task because its VM is due for upkeep

 private:
  Resources committed_;
  int unknown_runs_ = 0;
  std::map<std::string, Run> runs_;  // by task name
};

}  // namespace chivedale::cell

#endif  // CELL_EXECUTOR_H_
