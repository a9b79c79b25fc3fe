// Case 9: one of twenty jobs can never be done; its tasks fail by the job's own
// fault. The leader counts each failure against the executor, and the time for
// which it avoids an executor doubles with each of them, also of tasks that
// failed at the same time. So it avoids all executors at once. A task of a job
// that lasts, which fails by itself meanwhile, is not started again.
#include <algorithm>
#include <chrono>
#include <string>

#include "review/6/harness/review_cell.h"

namespace chivedale::review {
namespace {

using cell::Millis;
using Clock = std::chrono::steady_clock;

constexpr int kExecutors = 4;
constexpr int64_t kExecutorCpu = 32'000;
constexpr Resources kServiceSize = {1'000, 1'000, 0, 0};
constexpr Resources kBatchSize = {3'000, 1'000, 0, 0};
constexpr Millis kBatchTime{400};
// `poison` in the site file: a share of 0.05, for 3 s.
constexpr int kJobs = 20;
constexpr Millis kJobInterval{130};
// The greatest width of a step of this kind of request.
constexpr int kWidth = 36;
constexpr int kMaxPerExecutor = 9;
constexpr Millis kStartTimeout{5'000};
constexpr Millis kSettleTime{3'000};
// No job comes any more. The executors are avoided for 12 s after the first
// failures of the hopeless job, and again after the second ones. What the rule
// asks for `finish_s`, 14 s, after the end of the traffic is observed from 6 s
// after the task's last run.
constexpr Millis kTimeAfterTraffic{13'800};
// The rule: from 6 s after its last run, nothing of the task runs for 3 s.
constexpr Millis kTimeAfterRun{6'000};
constexpr Millis kIdleTime{3'000};
constexpr Millis kObservedTime{20'000};
constexpr char kServiceJob[] = "00000000000000a1";
constexpr char kHopelessJob[] = "00000000000000c1";

cell::JobSpec OneStep(int count, const Resources& size, Millis estimate) {
  cell::JobSpec spec;
  spec.payload = "review";
  cell::StepSpec step;
  step.count = count;
  step.size = size;
  step.estimate = estimate;
  spec.steps.push_back(step);
  return spec;
}

// Whether two executors at least have room for the task twice over, and less
// than half of the service is in use.
bool HasRoom(ReviewCell& cell) {
  int with_room = 0;
  int64_t used = 0;
  for (const auto& [entry, use] : cell.executors().Use()) {
    used += use.cpu_milli;
    const Resources free = entry->capacity - use;
    with_room += free.cpu_milli >= 2 * kServiceSize.cpu_milli &&
                         free.memory_mb >= 2 * kServiceSize.memory_mb
                     ? 1
                     : 0;
  }
  return with_room >= 2 && 2 * used < kExecutors * kExecutorCpu;
}

int Play(const ReviewCellOptions& options) {
  const bool trouble = Trouble() != "0";
  ReviewCell cell(options);
  for (int i = 1; i <= kExecutors; ++i) {
    cell.AddExecutor("e" + std::to_string(i), {kExecutorCpu, 64'000, 0, 0},
                     {"a", "r" + std::to_string(i)});
  }
  cell.executors().fails = [](const cell::TaskName& name,
                              const cell::ExecutorId&) {
    return name.job == kHopelessJob;
  };
  cell.Start();
  cell::JobSpec service = OneStep(2, kServiceSize, Millis(1'000));
  service.steps[0].long_running = true;
  const cell::TaskName task{kServiceJob, 0, 0, 0};
  if (!cell.Submit(Queue::kService, kServiceJob, service) ||
      !cell.RunUntil([&] { return !cell.Running(task).empty(); },
                     kStartTimeout)) {
    cell.Record("the service could not be started");
    return kCouldNotRun;
  }
  cell.RunFor(kSettleTime);
  for (int i = 1; i < kJobs; ++i) {
    const std::string number = std::to_string(100 + i);
    if (!cell.Submit(Queue::kUrgent, "0000000000000" + number,
                     OneStep(6, kBatchSize, kBatchTime))) {
      cell.Record("a job was not accepted");
      return kCouldNotRun;
    }
    cell.RunFor(kJobInterval);
  }
  // The last of them has ended.
  cell.RunFor(kBatchTime + kJobInterval);
  if (trouble) {
    cell::JobSpec hopeless = OneStep(kWidth, kBatchSize, kBatchTime);
    hopeless.steps[0].max_per_executor = kMaxPerExecutor;
    cell.Record("DISRUPTION a job comes that can never be done");
    if (!cell.Submit(Queue::kUrgent, kHopelessJob, hopeless)) {
      cell.Record("the hopeless job was not accepted");
      return kCouldNotRun;
    }
  }
  // Each of its tasks has failed twice, or none was started.
  cell.RunFor(kTimeAfterTraffic);
  cell.executors().EndRun(task, cell::RunEnd::kFailed);
  cell.Record("task " + task.Text() + " fails by itself");
  const Clock::time_point ended = Clock::now();
  Clock::time_point idle_since = ended + kTimeAfterRun;
  bool broken = false;
  cell.SetObserver([&] {
    const Clock::time_point now = Clock::now();
    if (!cell.Running(task).empty() || !HasRoom(cell)) {
      idle_since = std::max(now, ended + kTimeAfterRun);
    }
    if (!broken && now - idle_since > kIdleTime) {
      broken = true;
      cell.Record("BROKEN LOST: task " + task.Text() +
                  " has nothing running for 3 s, from 6 s after its last run");
    }
  });
  const bool again =
      cell.RunUntil([&] { return !cell.Running(task).empty(); }, kObservedTime);
  const auto waited =
      std::chrono::duration_cast<Millis>(Clock::now() - ended).count();
  cell.Record("task " + task.Text() +
              (again ? " runs again" : " does not run") + " after " +
              std::to_string(waited) + " ms");
  cell.SetObserver(nullptr);
  return broken ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace chivedale::review

int main(int argc, char** argv) {
  return chivedale::review::RunCase([&] {
    return chivedale::review::Play(chivedale::review::ParseOptions(argc, argv));
  });
}
