// Value types of the cell: what a job asks for, what a queue of the table
// allows, and how tasks and executors are named.
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

// A part of a job: `count` tasks of the same shape.
struct StepSpec {
  int count = 1;
  Resources size;
  Millis estimate{0};  // declared run time of a task; often far off
  std::vector<int> after;
  bool checkpoints = false;  // writes checkpoints a restart can resume from
  bool gang = false;         // all tasks run at once or none does
  bool same_rack = false;
  std::string label;         // an executor must have it; empty: any
  std::string near_rack;     // where the data is; empty: anywhere
  int max_per_executor = 0;  // 0: no bound
  bool copies_allowed = false;
  bool lasting = false;  // runs until the job is cancelled
  std::string image;
  Millis tail_target{0};  // of the response times a lasting task serves
  bool fills = false;     // uses processors that other tasks leave idle
  int may_miss = 0;       // tasks that planned actions may take away at once
};

struct JobSpec {
  std::string payload;
  std::vector<StepSpec> steps;
  int occurrences = 0;  // 0: the steps run once, at once
  WallTime first_due{};
  Millis interval{0};
};

// Time that a call for advice takes and how long its tickets hold.
struct AdvicePolicy {
  Duration decision{0};
  Duration each{0};
  Millis validity{0};
};

// A row of the table: a kind of work.
struct QueuePolicy {
  std::string name;
  std::string host;
  std::string prefix;
  std::string pool;  // the executors that run its tasks
  int priority = 0;  // 0 is the most urgent
  int max_attempts = 1;
  double stretch = 1;
  Millis target{0};  // objective: stretch x chain of work + target
  std::optional<AdvicePolicy> advice;
};

struct PoolPolicy {
  std::string name;
  bool rejects_overload = false;
  bool standby = false;  // its VMs are off
};

struct QueueTable {
  int64_t version = 0;
  std::vector<QueuePolicy> queues;
  std::vector<PoolPolicy> pools;

  const QueuePolicy* FindQueue(std::string_view name) const;
  // The queue of `host` with the longest prefix of `path`; null when none.
  const QueuePolicy* Match(std::string_view host, std::string_view path) const;
  const PoolPolicy* FindPool(std::string_view name) const;
};

// VMs that are due for upkeep, a few at a time.
struct UpkeepWave {
  int64_t number = 0;
  std::vector<std::string> vms;
  Millis deadline{0};  // from its announcement
  int max_at_once = 1;
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
  // Nothing when malformed.
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
  kLapsed,  // the lease ran out
  kBroken,  // another member of the gang ended
  kAlone,   // the other members of the gang did not come
};
std::string_view RunEndName(RunEnd end);

}  // namespace chivedale::cell

#endif  // CELL_TYPES_H_
