// In-memory state of an accepted job on the leader: which tasks wait, run or
// are done, and the progress that is stored.
//
//   Job job("5c0e...", record);
//   job.OpenDueOccurrences(wall_now, now);
//   Step* step = job.FindStep(occurrence, step_index);
//   if (step->ready && step->Waiting() > 0) ...  // has tasks to start
//   job.OnDone(*step, task_index);
//   std::string progress = job.EncodeProgress();
//
// A task has at most one live run unless the step allows copies.
#ifndef CELL_JOB_H_
#define CELL_JOB_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "cell/job_failures.h"
#include "cell/ports.h"
#include "cell/step_advice.h"
#include "cell/step_wait.h"
#include "cell/types.h"

namespace chivedale::cell {

// Stored when a job is accepted. Includes the queue's row, so that the job can
// be completed after the row has been removed from the table.
struct JobRecord {
  QueuePolicy queue;
  JobSpec spec;
  WallTime accepted{};
  // Who submitted it. The policy is used after the account was removed from the
  // table.
  Caller owner;
};

std::string EncodeJobRecord(const JobRecord& record);
// Throws std::runtime_error if the bytes are not a valid record.
JobRecord DecodeJobRecord(const std::string& bytes);

// Returns the owner in a stored record; nobody if the record cannot be read.
Caller StoredOwner(const std::string& bytes);

// Returns the state in a job's stored progress; nullopt if it is malformed.
std::optional<JobState> StoredState(const std::string& progress);

// A long-running task that waits for longer to be started again goes before
// more urgent steps and uses what is reserved for others.
inline constexpr Millis kMaxRestartWait{4'000};

struct Task {
  // Whether the task, of a long-running step, waits to be started again for
  // longer than this.
  bool HasWaitedForRestart(Duration time, TimePoint now) const;

  bool done = false;              // never true for a long-running task
  std::set<int64_t> failed_runs;  // a set, as ends may be listed repeatedly
  int live = 0;          // runs that may be active, including unanswered starts
  int64_t last_run = 0;  // highest run number known to be in use
  std::string checkpoint;
  std::set<ExecutorId> failed_on;
  TimePoint retry_at{};  // earliest next start
  int relocations = 0;   // moves off a slow executor
  int preemptions = 0;   // by this leader
  TimePoint started{};   // of the latest run
  // Scheduling passes find it waiting since then; not set while it does not,
  // and only if it is long-running.
  TimePoint waiting_since{};
};

class Job;
struct AccountUse;

struct Step {
  Job* job = nullptr;
  const StepSpec* spec = nullptr;
  int occurrence = 0;
  int index = 0;
  std::vector<Task> tasks;
  int done = 0;
  std::map<ExecutorId, int> live_on;  // live runs per executor
  // Time by which the job, or its occurrence, should complete; set by the
  // leader.
  TimePoint objective{};
  // Ratios of actual to declared run time of completed tasks.
  double run_time_ratio_sum = 0;
  int run_time_ratio_count = 0;
  int64_t gang_run = 0;  // latest run number of a gang
  StepAdvice advice;
  TimePoint ready_since{};  // when its dependencies completed
  bool ready = false;
  TimePoint retry_at{};  // earliest next start of a gang
  StepWait wait;
  int gang_running = 0;  // members of the latest run that are known to run

  TaskName NameOf(int task) const;
  bool Finished() const { return done == static_cast<int>(tasks.size()); }
  // Number of tasks that are not done and have no live run.
  int Waiting() const;
  // Whether one of them may be started now.
  bool HasTaskToStart(TimePoint now) const;
  // Whether a long-running task has waited for its restart for longer than
  // this.
  bool HasWaitedForRestart(Duration time, TimePoint now) const;
  // Sets Task::waiting_since.
  void NoteWaitingTasks(TimePoint now);
};

struct Occurrence {
  int number = 0;
  WallTime due{};
  std::vector<Step> steps;
  bool Finished() const;
  bool HasRuns() const;
};

// Open occurrences of a recurring job with as many tasks that are not done keep
// later ones from being opened: neither the leader's memory nor the stored
// progress grows with the number that is due.
inline constexpr int kMaxOpenTasks = 2'000;

class Job {
 public:
  // `revision`: store revision at which the job was accepted.
  Job(JobId id, JobRecord record, int64_t revision = 0);
  Job(const Job&) = delete;
  Job& operator=(const Job&) = delete;

  // Commands.
  // Creates the occurrences that are due, as long as the open ones have fewer
  // than kMaxOpenTasks tasks to do. Returns true if any was created.
  bool OpenDueOccurrences(WallTime wall_now, TimePoint now);
  // Creates an occurrence that a predecessor has started: its clock may have
  // been ahead, or its progress not be stored. Returns true if it was created.
  bool OpenStartedOccurrence(int number, WallTime wall_now, TimePoint now);
  // Forgets a finished occurrence. Requires that no run refers to its steps.
  void RemoveOccurrence(int number);
  // Marks steps whose dependencies are done as ready.
  void UpdateReady(TimePoint now);
  // Marks the task, or all tasks of a gang, as done. Returns false if it
  // already was, or if the step is long-running: such a task is never done.
  bool OnDone(Step& step, int task);
  // Records a failed run. Returns true if the job fails as a result.
  bool OnFailed(Step& step, int task, int64_t run, const ExecutorId& executor);
  JobFailures& failures() { return failures_; }
  void Cancel();
  // Restores progress stored by an earlier leader. Throws std::runtime_error
  // if the bytes are malformed.
  void DecodeProgress(const std::string& bytes,
                      WallTime wall_now,
                      TimePoint now);
  // Records that the state has been stored.
  void MarkStored(JobState state) { stored_state_ = state; }
  void set_any_started() { any_started_ = true; }
  // Entry of the owner in the AccountLedger; null: none.
  void set_account(AccountUse* account) { account_ = account; }
  // The account has submitted more than its share; see AccountLedger.
  void set_over_share(bool over_share) { over_share_ = over_share; }
  void set_ended(TimePoint now) { ended_ = now; }
  // Caches the queue's row. `table` is the table's sequence number rather than
  // its address, because a later table may be allocated at the same address.
  void set_policy(const QueuePolicy* policy, uint64_t table) const {
    policy_ = policy;
    policy_table_ = table;
  }

  // Queries.
  const JobId& id() const { return id_; }
  const JobRecord& record() const { return record_; }
  int64_t revision() const { return revision_; }
  const QueuePolicy& queue() const { return record_.queue; }
  // Null if no row is cached for this table.
  const QueuePolicy* policy(uint64_t table) const {
    return policy_table_ == table ? policy_ : nullptr;
  }
  JobState state() const { return state_; }
  // State shown to callers; completed or failed only once that is stored.
  JobState visible_state() const;
  bool terminal() const;
  bool recurring() const { return record_.spec.occurrences > 0; }
  // Whether a run is known to have begun. A start order alone does not count:
  // the executor may reject it.
  bool any_started() const { return any_started_; }
  AccountUse* account() const { return account_; }
  bool over_share() const { return over_share_; }
  TimePoint ended() const { return ended_; }
  std::map<int, Occurrence>& open() { return open_; }
  const std::map<int, Occurrence>& open() const { return open_; }
  // Null if the occurrence is not open.
  Step* FindStep(int occurrence, int step);
  // Returns the progress to store, in at most `max_bytes` if possible: without
  // the checkpoints, then without the failed runs if there are too many.
  std::string EncodeProgress(size_t max_bytes = kDefaultMaxValueBytes) const;
  // Upper bound of the size without both.
  static size_t MaxBareProgressBytes(const JobSpec& spec);
  // Finished occurrences of a recurring job without runs.
  std::vector<int> RemovableOccurrences() const;
  // Due time of the next occurrence; WallTime::max() if there is none.
  WallTime NextDue() const;
  // Declared run time of the critical path of steps.
  Millis ChainEstimate() const { return chain_estimate_; }
  // Likewise of the steps from this one on.
  Millis ChainEstimateFrom(int step) const {
    return chains_from_[static_cast<size_t>(step)];
  }
  // Declared work of an occurrence, see DeclaredWork().
  double work() const { return work_; }

 private:
  enum class ProgressDetail { kAll, kNoCheckpoints, kDoneOnly };

  Occurrence& Open(int number, TimePoint now);
  // Whether not even a predecessor whose clock was ahead can have opened it.
  bool IsFarFromDue(int number, WallTime wall_now) const;
  // Whether the progress lists the occurrences that are finished.
  bool ListsFinished() const;
  std::string Encode(ProgressDetail detail) const;
  void DecodeOccurrence(const nlohmann::json& stored,
                        WallTime wall_now,
                        TimePoint now);

  const JobId id_;
  const JobRecord record_;
  const int64_t revision_;
  // Cached because a lookup by name in each scheduling pass is too slow.
  mutable const QueuePolicy* policy_ = nullptr;
  mutable uint64_t policy_table_ = 0;
  JobState state_ = JobState::kQueued;
  JobState stored_state_ = JobState::kQueued;
  bool any_started_ = false;
  AccountUse* account_ = nullptr;
  bool over_share_ = false;
  JobFailures failures_;
  // Those below were opened; they are finished if they are not in open_.
  int next_occurrence_ = 0;
  std::map<int, Occurrence> open_;  // by occurrence number
  int open_tasks_ = 0;              // tasks in open_ that are not done
  Millis chain_estimate_{0};
  std::vector<Millis> chains_from_;  // by step
  double work_ = 0;
  TimePoint ended_{};
};

}  // namespace chivedale::cell

#endif  // CELL_JOB_H_
