// What the leader knows of one executor: its room, what runs there, its clock,
// and how much of what it reports is stored.
//
//   Executor executor(entry);
//   Run& run = executor.AddRun(name, number, step, now);
//   if (size.FitsIn(executor.Free())) ...
//
// Room counts from the start order until the end is listed, whether the order
// was answered or not, so that an executor is never given more than it holds.
#ifndef CELL_EXECUTOR_H_
#define CELL_EXECUTOR_H_

#include <cstdint>
#include <map>
#include <string>

#include "cell/executor_health.h"
#include "cell/job.h"
#include "cell/ports.h"
#include "cell/types.h"

namespace chivedale::cell {

enum class RunPhase {
  kOrdered,     // the start was sent
  kUnanswered,  // no answer came; it may begin until its time has passed
  kAtWork,
  kStopping,
};

struct Run {
  TaskName name;
  int64_t number = 0;
  Step* step = nullptr;  // null: of no known job; being stopped
  Resources size;        // committed for it
  RunPhase phase = RunPhase::kOrdered;
  TimePoint ordered{};
  TimePoint confirmed{};  // since when it is known to be at work
  Millis start_until{0};  // on the executor's clock; no start after it
  bool start_answered = true;
  bool start_pending = false;  // its start call has not returned
  std::string checkpoint;
  int percent = 100;
  int64_t figure = 0;
  int wanted_percent = 100;  // as last ordered
  TimePoint paced{};
  // Of a stop.
  bool stop_confirmed = false;
  TimePoint stop_confirmed_at{};
  TimePoint next_stop{};
  bool stop_in_flight = false;
};

class Executor {
 public:
  // `number` is its own among the executors of one leader.
  explicit Executor(ExecutorEntry entry, size_t number = 0);

  // Commands.
  Run& AddRun(const TaskName& name, int64_t number, Step* step, TimePoint now);
  // Frees its room and takes it off its step's counts.
  void RemoveRun(const std::string& task);
  void OnClock(Millis clock, TimePoint now);
  // A lease or a start with this end was sent.
  void OnUntilSent(Millis until);
  // Forgets what belongs to an earlier life. Runs are the caller's to remove.
  void OnNewLife(int64_t born);

  // Queries.
  Resources Free() const { return entry.capacity - committed_; }
  const Resources& committed() const { return committed_; }
  std::map<std::string, Run>& runs() { return runs_; }
  const std::map<std::string, Run>& runs() const { return runs_; }
  Run* FindRun(const std::string& task);
  // Something of unknown size runs there.
  bool has_unknown_run() const { return unknown_runs_ > 0; }
  bool clock_known() const { return clock_known_; }
  // The executor's clock now, as far as it is known.
  Millis ClockAt(TimePoint now) const;
  // By then every lease and every start that was sent has run out, even on the
  // slowest clock allowed.
  TimePoint LapsedBy() const;
  bool HasLabel(const std::string& label) const;

  const size_t number;
  ExecutorEntry entry;
  ExecutorHealth health;
  int64_t born = 0;
  bool listed = true;  // in the store
  TimePoint unlisted_since{};
  bool adopted = false;   // has answered a hold of this leader
  bool stored = false;    // a successor would find it in the store
  int64_t ends_read = 0;  // highest end taken in
  int64_t ends_stored = 0;
  int64_t ends_confirmed = 0;  // highest that the executor was told of
  int misses = 0;              // holds in a row without an answer
  bool hold_in_flight = false;
  TimePoint hold_sent{};
  TimePoint last_answer{};  // of a hold
  TimePoint next_hold{};
  bool cordoned = false;  // gets no new task: its VM is due for upkeep

 private:
  Resources committed_;
  int unknown_runs_ = 0;
  std::map<std::string, Run> runs_;  // by task
  bool clock_known_ = false;
  Millis clock_{0};
  TimePoint clock_at_{};
  Millis max_until_{0};
};

}  // namespace chivedale::cell

#endif  // CELL_EXECUTOR_H_
