// An overdue task may be long itself or be on a slow executor. It is moved only
// if there is other evidence that the executor is slow, and only once, since a
// long task would take as long elsewhere.
#include <algorithm>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Ratios to the declared run time, which is off by about a fifth.
constexpr double kOverdueRatio = 2.0;
constexpr double kCopyRatio = 1.6;
constexpr double kMoveRatio = 2.5;
// Overhead of starting, ending and listing a run.
constexpr Millis kOverdueSlack{200};
constexpr Millis kStopRetry{400};
// Interval between two reads of an executor's entry.
constexpr Millis kEntryInterval{900};

// Completed tasks of a step needed to estimate its run time.
constexpr int kMinRunTimeSamples = 2;
bool KnowsRunTime(const Step& step) {
  return step.run_time_ratio_count >= kMinRunTimeSamples;
}

}  // namespace

// A successor may have renewed these leases, unless it was elected after they
// had expired. So the evidence for the authority must be younger than that.
void CellLeader::CheckUnresponsive(Executor& executor) {
  if (executor.runs().empty() || !executor.boot.clock_known()) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  const auto has_passed = [&](TimePoint expired) {
    return now >= expired &&
           context_.authority_end() - kAuthorityTime >= expired;
  };
  if (!has_passed(executor.boot.LeasesExpiredBy())) {
    return;
  }
  std::vector<std::string> lost;
  for (const auto& [name, run] : executor.runs()) {
    if (has_passed(executor.RunExpiredBy(run, options_.longest_lease))) {
      lost.push_back(name);
    }
  }
  if (lost.empty()) {
    return;
  }
  context_.log.Write(
      Event::kExecutorLeasesExpired,
      {{"executor", executor.entry.id},
       {"runs", std::to_string(lost.size())},
       {"left", std::to_string(executor.runs().size() - lost.size())},
       {"clock_ms", std::to_string(executor.boot.ClockAt(now).count())},
       {"clock_age_ms", std::to_string(std::chrono::duration_cast<Millis>(
                                           now - executor.boot.clock_read_at())
                                           .count())},
       {"until_ms", std::to_string(executor.boot.max_deadline().count())}});
  for (const std::string& name : lost) {
    MarkRunLost(executor, name, "unresponsive until its leases expired");
  }
  executor.boot.adopted = false;
  executor.missed_holds = std::max(executor.missed_holds, 1);
}

void CellLeader::CheckOverdue(Executor& executor) {
  const TimePoint now = context_.clock.Now();
  const auto exceeds = [&](const Run& run, double ratio) {
    const Step& step = *run.step;
    const double typical_ratio =
        KnowsRunTime(step)
            ? std::max(1.0, step.run_time_ratio_sum / step.run_time_ratio_count)
            : 1.0;
    const auto allowed = std::chrono::duration_cast<Duration>(
        step.spec->estimate * (typical_ratio * ratio) + kOverdueSlack);
    return now - run.running_since > allowed;
  };
  int overdue = 0;
  int signals = 0;
  std::set<const Job*> jobs;
  int runs = 0;
  for (const auto& [name, run] : executor.runs()) {
    if (run.step == nullptr || run.phase != RunPhase::kRunning ||
        run.step->spec->long_running || run.step->spec->estimate == Millis(0)) {
      continue;
    }
    ++runs;
    if (exceeds(run, kOverdueRatio)) {
      ++overdue;
      // If the step's run time is known, each overdue run is independent
      // evidence; otherwise all runs of a job count once.
      if (KnowsRunTime(*run.step) || jobs.insert(run.step->job).second) {
        ++signals;
      }
    }
  }
  executor.boot.health.SetOverdue(overdue, signals, runs, now);
  if (runs == 0) {
    return;
  }
  for (auto& [name, run] : executor.runs()) {
    if (run.step == nullptr || run.phase != RunPhase::kRunning ||
        run.step->spec->long_running || run.step->spec->estimate == Millis(0)) {
      continue;
    }
    const StepSpec& spec = *run.step->spec;
    if (spec.copies_allowed && !spec.gang && exceeds(run, kCopyRatio)) {
      overdue_copies_.emplace(run.step, run.name.index);
      RequestSchedulingPass();
    }
    const Task& task = run.step->tasks[static_cast<size_t>(run.name.index)];
    if (executor.boot.health.suspect() && exceeds(run, kMoveRatio) &&
        task.relocations == 0 && (!spec.gang || spec.checkpoints)) {
      RestartElsewhere(executor, run, "overdue on a slow executor");
    }
  }
}

void CellLeader::RestartElsewhere(Executor& executor,
                                  Run& run,
                                  const char* reason) {
  Step& step = *run.step;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.spec->gang || static_cast<int>(i) == run.name.index) {
      ++step.tasks[i].relocations;
      step.tasks[i].failed_on.insert(executor.entry.id);
    }
  }
  if (step.spec->gang) {
    StopGang(step, run.number, reason);
  } else {
    StopRun(executor, run, reason);
  }
}

// Whether a run of the job is known to have run for longer than `ran` on
// another executor.
bool CellLeader::HasOutlastedElsewhere(const Job& job,
                                       const Executor& executor,
                                       Duration ran) const {
  for (const auto& [number, occurrence] : job.open()) {
    for (const Step& step : occurrence.steps) {
      for (const auto& [id, count] : step.live_on) {
        const Executor& other = *executors_.at(id);
        if (&other == &executor) {
          continue;
        }
        for (const auto& [name, run] : other.runs()) {
          if (run.step == &step && run.phase == RunPhase::kRunning &&
              other.boot.answered_hold_sent - run.running_since > ran) {
            return true;
          }
        }
      }
    }
  }
  return false;
}

// That a job fails by itself shows only with its failure on the last of several
// executors. So its failures on the first ones are discounted then.
void CellLeader::OnRunFailed(Executor& executor, Job& job, TimePoint begin) {
  const TimePoint now = context_.clock.Now();
  const size_t boot = executor.boot.number;
  JobFailures& failures = job.failures();
  failures.OnFailed(boot, now);
  if (failures.FailsAnywhere(job.state() == JobState::kFailed, now)) {
    for (const size_t number : failures.FailedOn(now)) {
      if (Executor* const other = by_number_[number]) {
        other->boot.health.DiscountFailuresOf(job.id(), now);
      }
    }
    return;
  }
  const bool runs_elsewhere =
      failures.FailsOnlyOn(boot, now) &&
      (failures.HasCompletedElsewhere(boot) ||
       HasOutlastedElsewhere(job, executor, now - begin));
  ExecutorHealth& health = executor.boot.health;
  if (health.OnFailed({job.id(), begin, runs_elsewhere}, now)) {
    ++counts_.avoided;
    context_.log.Write(
        Event::kExecutorAvoided,
        {{"executor", executor.entry.id},
         {"ms", std::to_string(
                    std::chrono::duration_cast<Millis>(health.avoid_duration())
                        .count())}});
    RequestSchedulingPass();
  }
}

void CellLeader::RetryStops(Executor& executor) {
  const TimePoint now = context_.clock.Now();
  for (auto& [name, run] : executor.runs()) {
    if (run.phase == RunPhase::kStopping && !run.stop_confirmed &&
        !run.stop_in_flight && now >= run.next_stop) {
      run.next_stop = now + kStopRetry;
      run.stop_in_flight = true;
      ++counts_.stops;
      context_.executors.Stop(
          executor.entry.address, executor.entry.id, name, run.number,
          executor.fence,
          Guard([this, id = executor.entry.id, task = name, number = run.number,
                 fence = executor.fence](const OrderReply& reply) {
            OnStopped(id, task, number, fence, reply);
          }));
    }
  }
}

// Stops long-running tasks immediately. Other tasks are stopped if they cannot
// complete in time: those with checkpoints at the last moment, the others as
// soon as that is known.
void CellLeader::StopRunsOnDraining(Executor& executor) {
  const TimePoint now = context_.clock.Now();
  for (auto& [name, run] : executor.runs()) {
    if (run.step == nullptr || run.phase != RunPhase::kRunning) {
      continue;
    }
    const StepSpec& spec = *run.step->spec;
    if (spec.long_running) {
      StopRun(executor, run, "executor draining");
      continue;
    }
    if (!executor.entry.min_time_to_leave || spec.estimate == Millis(0)) {
      continue;
    }
    const auto expected = std::chrono::duration_cast<Duration>(
        spec.estimate * std::max(1.0, executor.boot.health.TimeFactor()));
    const Duration left = expected - (now - run.running_since);
    const Duration leaves = *executor.entry.min_time_to_leave;
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
