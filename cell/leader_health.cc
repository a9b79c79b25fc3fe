// A task that takes long may be long by itself or be on a slow executor. It is
// taken off only when the executor has other signs of being slow, and once:
// what is long by itself would be as long elsewhere.
#include <algorithm>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Against the declared run time, which is off by a fifth or so.
constexpr double kOverdueRatio = 2.0;
constexpr double kCopyRatio = 1.6;
constexpr double kMoveRatio = 2.5;
// Start, end and hold take this long beside the work.
constexpr Millis kOverdueSlack{200};
constexpr Millis kStopRetry{400};
// Between two looks at an executor's entry.
constexpr Millis kEntryInterval{900};

// Enough tasks of the step are done to say how long they take.
constexpr int kKnownRunTimes = 2;
bool KnowsRunTime(const Step& step) {
  return step.ratio_count >= kKnownRunTimes;
}

}  // namespace

void CellLeader::CheckSilent(Executor& executor) {
  if (executor.runs().empty() || !executor.clock_known() ||
      context_.clock.Now() < executor.LapsedBy()) {
    return;
  }
  LoseRuns(executor, "silent until its leases ran out");
  executor.adopted = false;
  executor.misses = std::max(executor.misses, 1);
}

void CellLeader::CheckOverdue(Executor& executor) {
  const TimePoint now = context_.clock.Now();
  const auto over = [&](const Run& run, double ratio) {
    const Step& step = *run.step;
    const double usual = KnowsRunTime(step)
                             ? std::max(1.0, step.ratio_sum / step.ratio_count)
                             : 1.0;
    const auto allowed = std::chrono::duration_cast<Duration>(
        step.spec->estimate * (usual * ratio) + kOverdueSlack);
    return now - run.confirmed > allowed;
  };
  int overdue = 0;
  int signals = 0;
  std::set<const Job*> jobs;
  int runs = 0;
  for (const auto& [name, run] : executor.runs()) {
    if (run.step == nullptr || run.phase != RunPhase::kAtWork ||
        run.step->spec->lasting || run.step->spec->estimate == Millis(0)) {
      continue;
    }
    ++runs;
    if (over(run, kOverdueRatio)) {
      ++overdue;
      // Against others of its step it counts by itself.
      if (KnowsRunTime(*run.step) || jobs.insert(run.step->job).second) {
        ++signals;
      }
    }
  }
  executor.health.SetOverdue(overdue, signals, runs, now);
  if (runs == 0) {
    return;
  }
  for (auto& [name, run] : executor.runs()) {
    if (run.step == nullptr || run.phase != RunPhase::kAtWork ||
        run.step->spec->lasting || run.step->spec->estimate == Millis(0)) {
      continue;
    }
    const StepSpec& spec = *run.step->spec;
    if (spec.copies_allowed && !spec.gang && over(run, kCopyRatio)) {
      overdue_copies_.emplace(run.step, run.name.index);
      RequestPass();
    }
    const Task& task = run.step->tasks[static_cast<size_t>(run.name.index)];
    if (executor.health.suspect() && over(run, kMoveRatio) && task.moved == 0 &&
        (!spec.gang || spec.checkpoints)) {
      MoveAway(executor, run, "overdue on a slow executor");
    }
  }
}

void CellLeader::MoveAway(Executor& executor, Run& run, const char* reason) {
  Step& step = *run.step;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.spec->gang || static_cast<int>(i) == run.name.index) {
      ++step.tasks[i].moved;
      step.tasks[i].failed_on.insert(executor.entry.id);
    }
  }
  if (step.spec->gang) {
    StopGang(step, run.number, reason);
  } else {
    StopRun(executor, run, reason);
  }
}

void CellLeader::RetryStops(Executor& executor) {
  const TimePoint now = context_.clock.Now();
  for (auto& [name, run] : executor.runs()) {
    const bool ask =
        run.phase == RunPhase::kStopping || run.phase == RunPhase::kUnanswered;
    if (ask && !run.stop_confirmed && !run.stop_in_flight &&
        now >= run.next_stop) {
      run.next_stop = now + kStopRetry;
      run.stop_in_flight = true;
      ++counts_.stops;
      context_.executors.Stop(
          executor.entry.address, executor.entry.id, name, run.number,
          leadership_.fence,
          Guard([this, id = executor.entry.id, task = name,
                 number = run.number](const OrderReply& reply) {
            OnStopped(id, task, number, reply);
          }));
    }
  }
}

// Lasting tasks go at once. Others go when they can't end in time: those that
// write checkpoints at the last moment, the others as soon as it is clear.
void CellLeader::LeaveDraining(Executor& executor) {
  const TimePoint now = context_.clock.Now();
  for (auto& [name, run] : executor.runs()) {
    if (run.step == nullptr || run.phase != RunPhase::kAtWork) {
      continue;
    }
    const StepSpec& spec = *run.step->spec;
    if (spec.lasting) {
      StopRun(executor, run, "executor draining");
      continue;
    }
    if (!executor.entry.leaves_in || spec.estimate == Millis(0)) {
      continue;
    }
    const auto expected = std::chrono::duration_cast<Duration>(
        spec.estimate * std::max(1.0, executor.health.TimeFactor()));
    const Duration left = expected - (now - run.confirmed);
    const Duration leaves = *executor.entry.leaves_in;
    const bool last_moment = leaves < kEntryInterval + options_.stop_time;
    if (left > leaves && (!spec.checkpoints || last_moment)) {
      if (spec.gang) {
        StopGang(*run.step, run.number, "executor about to leave");
      } else {
        StopRun(executor, run, "executor about to leave");
      }
    }
  }
}

}  // namespace chivedale::cell
