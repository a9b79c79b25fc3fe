// One accepted job in the memory of the leader: which of its tasks wait, run
// and are done, and what of that must last.
//
//   Job job("5c0e...", record);
//   job.OpenDue(wall_now);                   // creates the occurrences due
//   for (Step* step : job.ReadySteps()) ...  // those with tasks to start
//   job.OnDone(*step, index);
//   store.Put(key, job.EncodeProgress());
//
// A task has at most one live run, except where the step allows copies.
#ifndef CELL_JOB_H_
#define CELL_JOB_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cell/types.h"

namespace chivedale::cell {

// What is stored when a job is accepted. The queue's row is kept with it, so
// that the job can be done after the row is gone from the table.
struct JobRecord {
  QueuePolicy queue;
  JobSpec spec;
  WallTime accepted{};
};

std::string EncodeJobRecord(const JobRecord& record);
// Throws std::runtime_error when the bytes are no record.
JobRecord DecodeJobRecord(const std::string& bytes);

// The state in a job's stored progress; nothing when it cannot be read.
std::optional<JobState> StoredState(const std::string& progress);

struct Task {
  bool done = false;
  std::set<int64_t> failed_runs;  // an end may be listed more than once
  int live = 0;  // runs that may be at work, unanswered starts included
  int64_t last_run = 0;
  std::string checkpoint;
  std::set<ExecutorId> failed_on;
  TimePoint retry_at{};  // no start before
  int moved = 0;         // times it was taken off a slow executor
  TimePoint started{};   // of the latest run
};

class Job;

// Whether an executor may run a step, and the ticket for it.
struct ExecutorAdvice {
  enum class Kind { kUnknown, kBad, kGood };
  Kind kind = Kind::kUnknown;
  std::string ticket;
  TimePoint expires{};
};

// What is known of the executors that may run a step, by executor number.
class StepAdvice {
 public:
  const ExecutorAdvice& Of(size_t executor) const {
    static const ExecutorAdvice none;
    return executor < entries_.size() ? entries_[executor] : none;
  }
  ExecutorAdvice& At(size_t executor) {
    if (executor >= entries_.size()) {
      entries_.resize(executor + 1);
    }
    return entries_[executor];
  }

  bool asked = false;  // a call is under way
  bool answered = false;
  TimePoint ask_again{};  // after a failed call

 private:
  std::vector<ExecutorAdvice> entries_;
};

struct Step {
  Job* job = nullptr;
  const StepSpec* spec = nullptr;
  int occurrence = 0;
  int index = 0;
  std::vector<Task> tasks;
  int done = 0;
  std::map<ExecutorId, int> live_on;  // live runs by executor
  // By when the job should be done for its objective; set by the leader.
  TimePoint objective{};
  // Run times of its tasks that are done, against the declared one.
  double ratio_sum = 0;
  int ratio_count = 0;
  int64_t gang_run = 0;  // latest run of a gang
  StepAdvice advice;
  TimePoint ready_since{};  // when its turn came
  bool ready = false;
  TimePoint retry_at{};  // of a gang
  // Why its waiting tasks did not start in the last pass, for operators.
  const char* waits_for = "the next pass";

  TaskName NameOf(int task) const;
  bool Finished() const { return done == static_cast<int>(tasks.size()); }
  // Tasks that are neither done nor at work.
  int Waiting() const;
};

struct Occurrence {
  int number = 0;
  WallTime due{};
  std::vector<Step> steps;
  bool Finished() const;
};

class Job {
 public:
  // `revision` is that of its acceptance in the store.
  Job(JobId id, JobRecord record, int64_t revision = 0);
  Job(const Job&) = delete;
  Job& operator=(const Job&) = delete;

  // Commands.
  // Creates the occurrences that are due; true when there is a new one.
  bool OpenDue(WallTime wall_now, TimePoint now);
  // Marks steps whose earlier steps are done as ready.
  void UpdateReady(TimePoint now);
  // Marks the task done, or all tasks of a gang. False when it was already.
  bool OnDone(Step& step, int task);
  // Counts a failed run. True when the job has failed with it.
  bool OnFailed(Step& step, int task, int64_t run, const ExecutorId& executor);
  void Cancel();
  // Takes the progress of an earlier leader. Throws std::runtime_error when
  // the bytes cannot be read.
  void DecodeProgress(const std::string& bytes,
                      WallTime wall_now,
                      TimePoint now);
  // The stored state has caught up with the present one.
  void MarkStored(JobState state) { stored_state_ = state; }
  void set_any_started() { any_started_ = true; }
  void set_ended(TimePoint now) { ended_ = now; }
  // The queue's row in the table that `table` counts. Not its address: a later
  // table may be at the same one.
  void set_policy(const QueuePolicy* policy, uint64_t table) const {
    policy_ = policy;
    policy_table_ = table;
  }

  // Queries.
  const JobId& id() const { return id_; }
  const JobRecord& record() const { return record_; }
  int64_t revision() const { return revision_; }
  const QueuePolicy& queue() const { return record_.queue; }
  // Null when the table was not asked yet.
  const QueuePolicy* policy(uint64_t table) const {
    return policy_table_ == table ? policy_ : nullptr;
  }
  JobState state() const { return state_; }
  // What may be shown: an end only once it is stored.
  JobState shown_state() const;
  bool over() const;
  bool timed() const { return record_.spec.occurrences > 0; }
  bool any_started() const { return any_started_; }
  TimePoint ended() const { return ended_; }
  std::map<int, Occurrence>& open() { return open_; }
  const std::map<int, Occurrence>& open() const { return open_; }
  // Null when it is not open.
  Step* FindStep(int occurrence, int step);
  std::string EncodeProgress() const;
  // When the next occurrence is due; WallTime::max() when there is none.
  WallTime NextDue() const;
  // Declared run time of the longest chain of steps.
  Millis Chain() const { return chain_; }

 private:
  Occurrence& Open(int number, TimePoint now);

  const JobId id_;
  const JobRecord record_;
  const int64_t revision_;
  // A cache: looking a row up by name on each pass is too slow.
  mutable const QueuePolicy* policy_ = nullptr;
  mutable uint64_t policy_table_ = 0;
  JobState state_ = JobState::kQueued;
  JobState stored_state_ = JobState::kQueued;
  bool any_started_ = false;
  int next_occurrence_ = 0;
  std::map<int, Occurrence> open_;  // by number; finished ones are dropped
  Millis chain_{0};
  TimePoint ended_{};
};

}  // namespace chivedale::cell

#endif  // CELL_JOB_H_
