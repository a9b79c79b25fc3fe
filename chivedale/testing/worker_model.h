// Model of one worker without transport or threads: owner lease with fencing
// tokens, task lease, capacity, completions kept until acknowledged, faults.
// Used by FakeWorker and WorkerStandin, which call Tick() at NextEvent().
//
// The payload of a task may be a JSON object with `run_ms`, `fail` (true),
// `used_cpu_milli`, `used_memory_mb` and `answer_bytes`.
#ifndef CHIVEDALE_TESTING_WORKER_MODEL_H_
#define CHIVEDALE_TESTING_WORKER_MODEL_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "chivedale/ports.h"
#include "chivedale/testing/task_run_log.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale::testing {

// The answer of a successful task, for comparison with the one received. It
// depends on all bytes of the payload and on the task id.
std::string ExpectedAnswer(const TaskId& task, const std::string& payload);

enum class LeavingMode {
  kStaying,
  kAccepting,  // reports that it is leaving but still accepts work
  kRefusing,   // reports that it is leaving and refuses work
};

struct WorkerFaults {
  // Calls get no answer; tasks run until their lease expires.
  bool dead = false;
  // Calls are delayed until the end of the pause; tasks make no progress.
  bool paused = false;
  // Each task fails immediately.
  bool fail_all = false;
  // Factor on the run time of tasks that start from now on.
  double straggle = 1;
  // Delay until a completion becomes visible.
  Millis late{0};
  // Each completion is delivered a second time.
  bool duplicate = false;
  // Completions become visible after a random fraction of `late`, and each list
  // is in random order.
  bool reorder = false;
  // Number of next starts that take effect but whose response is lost.
  int lose_starts = 0;
  // Number of next completion lists whose response is lost.
  int lose_completions = 0;
};

struct WorkerOptions {
  WorkerId id;
  Resources capacity{32'000, 131'072, 0, 8};
  Millis orphan_ttl{6'000};
  Millis usage_lag{2'000};
  // If false, starts are accepted with any token.
  bool fencing = true;
};

class WorkerModel {
 public:
  WorkerModel(const util::Clock& clock,
              util::Random& random,
              TaskRunLog& task_runs,
              WorkerOptions options);

  // Commands: the protocol. Each first processes due events.
  LeaseResult Lease(const MemberId& owner, const LeaseToken& token, Millis ttl);
  WorkerCallStatus Release(const MemberId& owner, const LeaseToken& token);
  TaskList List();
  StartOutcome Start(const StartRequest& request);
  // Drops the completions named in `request.acks`.
  void Acknowledge(const CompletionsRequest& request);
  // Acknowledges, and returns immediately what is visible above `after`.
  CompletionsResult Completions(const CompletionsRequest& request);
  WorkerCallStatus Control(const LeaseToken& token,
                           const TaskKey& key,
                           TaskControl control);
  // Ends tasks and leases that are due.
  void Tick();

  // Commands: faults.
  WorkerFaults& faults() { return faults_; }
  void Reboot();
  void SetLeaving(LeavingMode mode);
  void Resume();

  // Queries.
  // Earliest time at which Tick() has something to do; max() if never.
  util::TimePoint NextEvent() const;
  // Whether a completions call with this `after` would return something.
  bool HasCompletions(uint64_t after) const;
  bool HasCurrentToken(const LeaseToken& token) const;
  // Whether calls with this token are accepted.
  bool Accepts(const LeaseToken& token) const;
  const WorkerId& id() const { return options_.id; }
  const std::string& boot_id() const { return boot_id_; }
  const WorkerOptions& options() const { return options_; }
  Resources committed() const { return committed_; }
  size_t running() const { return running_.size(); }
  size_t unacknowledged() const {
    return unacknowledged_.size() + delayed_.size();
  }

 private:
  struct Running {
    StartRequest request;
    util::TimePoint start;
    util::TimePoint end;
    bool times_out = false;
    bool fails = false;
    Resources used;
  };
  struct DelayedCompletion {
    util::TimePoint visible;
    Completion completion;
  };

  bool LeaseIsValid() const;
  util::TimePoint OrphanDeadline() const;
  // `key` is copied because it may be part of the entry that this removes.
  void Finish(TaskKey key,
              Completion completion,
              util::TimePoint at,
              const std::string& outcome);
  void EndDue(util::TimePoint now);
  void StopOrphans(util::TimePoint now);
  void PublishDue(util::TimePoint now);
  void SampleUse(util::TimePoint at);
  WorkerReport Report() const;
  void CountOverload(const StartRequest& request);

  const util::Clock& clock_;
  util::Random& random_;
  TaskRunLog& task_runs_;
  const WorkerOptions options_;
  WorkerFaults faults_;
  LeavingMode leaving_ = LeavingMode::kStaying;
  util::TimePoint leaving_since_{};

  std::string boot_id_;
  uint64_t token_ = 0;
  MemberId owner_;
  util::TimePoint lease_end_{};
  // The owner with the current token has read the task list.
  bool owner_has_list_ = false;

  std::map<TaskKey, Running> running_;
  Resources committed_;
  // Attempts that ended here since the last boot; a repeated start is refused.
  std::map<TaskKey, util::TimePoint> ended_;
  // In order of their ends.
  std::deque<std::pair<util::TimePoint, TaskKey>> ended_order_;
  std::vector<DelayedCompletion> delayed_;
  std::map<uint64_t, Completion> unacknowledged_;
  std::vector<Completion> duplicates_;
  uint64_t sequence_ = 0;
  std::deque<std::pair<util::TimePoint, Resources>> use_samples_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_WORKER_MODEL_H_
