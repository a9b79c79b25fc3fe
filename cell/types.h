// Value types of the cell: job specifications, queue and pool policies, and the
// names of tasks and executors.
//
//   JobSpec spec; spec.steps.push_back({.count = 4, .size = {500, 256, 0, 0}});
#ifndef CELL_TYPES_H_
#define CELL_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cell/accounts.h"
#include "chivedale/resources.h"
#include "util/clock.h"

namespace chivedale::cell {

using Millis = std::chrono::milliseconds;
using util::Clock;
using util::Duration;
using util::TimePoint;
using util::WallTime;

using ExecutorId = std::string;
using JobId = std::string;

// A step of a job: `count` identical tasks.
struct StepSpec {
  int count = 1;
  Resources size;
  Millis estimate{0};           // declared run time of a task; often inaccurate
  std::vector<int> depends_on;  // indexes of steps that must complete first
  bool checkpoints = false;     // a restart can resume from its checkpoint
  bool gang = false;            // all tasks run at the same time or none does
  bool same_rack = false;
  std::string label;           // required of the executor; empty: none
  std::string preferred_rack;  // rack of the input data; empty: any
  int max_per_executor = 0;    // 0: unlimited
  bool copies_allowed = false;
  bool long_running = false;  // runs until the job is cancelled
  std::string image;
  Millis tail_latency_target{0};  // of a serving task; 0: none
  bool fills = false;  // best effort: uses CPU that other tasks leave idle
  // Number of tasks that planned actions may interrupt at a time; 0: unlimited.
  int max_unavailable = 0;
};

struct JobSpec {
  std::string payload;
  std::vector<StepSpec> steps;
  int occurrences = 0;  // 0: the steps run once, immediately
  WallTime first_start{};
  Millis interval{0};
};

// Expected duration of an advice call (call_time + time_per_executor x
// executors) and the validity of its tickets.
struct AdvicePolicy {
  Duration call_time{0};          // fixed part of a call
  Duration time_per_executor{0};  // additional time per executor in the call
  Millis validity{0};
};

// A row of the queue table.
struct QueuePolicy {
  std::string name;
  std::string host;
  std::string prefix;
  std::string pool;  // whose executors run its tasks
  int priority = 0;  // 0 is the most urgent
  int max_attempts = 1;
  double objective_factor = 1;
  Millis objective_slack{0};  // objective: factor x critical path + slack
  std::optional<AdvicePolicy> advice;
  bool is_public = false;  // calls need no API key
};

struct PoolPolicy {
  std::string name;
  bool rejects_overload = false;
  bool powered_off = false;  // its VMs are switched off
};

// In which order steps of one priority get resources that do not suffice.
enum class ShortageOrder {
  kObjective,  // by the time by which they should complete
  kCost,       // so that delays cost callers least; see pass_order.h
};

// What becomes of submissions while the store fails.
enum class OutageAdmission {
  kHold,    // kept for a fixed time, then refused
  kRefuse,  // refused as soon as it is known that they cannot be stored
};

struct QueueTable {
  int64_t version = 0;
  std::vector<QueuePolicy> queues;
  std::vector<PoolPolicy> pools;
  AccountTable accounts;  // empty: callers are not identified

  const QueuePolicy* FindQueue(std::string_view name) const;
  // Returns the queue of `host` whose prefix is the longest match for `path`;
  // null if there is none.
  const QueuePolicy* Match(std::string_view host, std::string_view path) const;
  const PoolPolicy* FindPool(std::string_view name) const;
};

// A set of VMs due for upkeep, of which a limited number is down at a time.
struct UpkeepWave {
  int64_t number = 0;
  std::vector<std::string> vms;
  // Time allowed for the wave, counted from when the leader learns of it.
  Millis deadline{0};
  int max_concurrent = 1;
};

// JOB.OCCURRENCE.STEP.INDEX
struct TaskName {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  std::string Text() const;
  // JOB.OCCURRENCE.STEP
  std::string StepText() const;
  // Returns nullopt if malformed.
  static std::optional<TaskName> Parse(std::string_view text);
};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
std::string_view JobStateName(JobState state);
std::optional<JobState> ParseJobState(std::string_view name);

// How a run ended.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,  // the lease ran out
  kGangEnded,     // another member of the gang has ended
  kGangTimeout,   // the other members of the gang did not start
};
std::string_view RunEndName(RunEnd end);

}  // namespace chivedale::cell

#endif  // CELL_TYPES_H_
