// The scheduling pass over all steps with tasks to start, in order of priority.
// A step that does not fit reserves the executors it needs, so that large tasks
// and gangs are not starved by smaller, less urgent ones.
#include <algorithm>
#include <tuple>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Delay before a pass, to batch events.
constexpr Millis kPassDelay{2};
// Minimum idle time between passes, as a multiple of the time that the last one
// spent without starting anything.
constexpr int kPassIdleFactor = 3;

// A task that was preempted before runs at least this long before it is
// preempted again, so that it makes progress.
constexpr Millis kMinRunAfterPreemption{2'000};
// Why tasks of a step still wait after all that could be started were.
WaitReason ReasonOfRest(const Step& step, TimePoint now) {
  if (step.spec->gang) {
    return WaitReason::kEarlierGangRun;
  }
  bool delayed = false;
  for (const Task& task : step.tasks) {
    if (task.done || task.live > 0) {
      continue;
    }
    if (task.retry_at <= now) {
      return WaitReason::kHeadroom;
    }
    delayed = true;
  }
  return delayed ? WaitReason::kRetryTime : WaitReason::kNextPass;
}

bool HasEligibleExecutor(const Step& step,
                         const std::vector<Executor*>& executors) {
  return std::any_of(
      executors.begin(), executors.end(),
      [&](const Executor* executor) { return IsEligible(step, *executor); });
}

// Why the step runs on none of the candidates.
WaitReason ReasonOfNoPlace(const Step& step,
                           const PoolState& pool,
                           const std::vector<Executor*>& candidates) {
  if (HasEligibleExecutor(step, pool.usable)) {
    return candidates.empty() ? WaitReason::kAdvice : WaitReason::kRoom;
  }
  return HasEligibleExecutor(step, pool.avoided)
             ? WaitReason::kAvoidedExecutors
             : WaitReason::kNoMatchingExecutor;
}

// Whether no task of the step can be started before its first advice arrives.
bool WaitsForFirstAdvice(const Step& step, const QueuePolicy& policy) {
  return policy.advice && !step.advice.answered && step.advice.call_in_flight;
}

}  // namespace

void CellLeader::RequestSchedulingPass() {
  if (pass_requested_ || fenced_) {
    return;
  }
  pass_requested_ = true;
  const auto rest =
      std::chrono::duration_cast<Millis>(next_pass_ - context_.clock.Now());
  context_.run_after(std::max(kPassDelay, rest), Guard([this] {
                       pass_requested_ = false;
                       RunSchedulingPass();
                     }));
}

void CellLeader::AddIfWaiting(Step& step) {
  if (step.ready && !step.job->terminal() && step.Waiting() > 0) {
    if (waiting_.insert(&step).second) {
      step.wait.OnQueued(context_.clock.Now());
    }
  }
}

void CellLeader::RunSchedulingPass() {
  if (!may_start()) {
    return;
  }
  ++counts_.passes;
  const TimePoint now = context_.clock.Now();
  ReportUnreadExecutorsEnd();
  std::vector<PassKey> orders;
  orders.reserve(waiting_.size());
  size_t late = 0;
  double work = 0;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    Step& step = **it;
    if (step.job->terminal() || step.Waiting() == 0) {
      it = waiting_.erase(it);
      continue;
    }
    if (step.objective == TimePoint()) {
      step.objective = ObjectiveOf(*step.job, step.occurrence);
    }
    step.NoteWaitingTasks(now);
    const QueuePolicy& policy = PolicyOf(*step.job);
    late += step.objective < now ? 1 : 0;
    if (!WaitsForFirstAdvice(step, policy)) {
      const WaitingStep waiting = DescribeWaiting(step, now);
      work += waiting.job_work;
      orders.push_back(pass_order_.KeyOf(waiting, mean_waiting_work_, now));
    }
    ++it;
  }
  std::sort(orders.begin(), orders.end());
  // The next pass uses the mean of this one: it changes little between them.
  mean_waiting_work_ =
      orders.empty() ? 0 : work / static_cast<double>(orders.size());
  reserved_.Clear();
  pool_states_.clear();
  MeasureUrgentUse();
  MeasurePossibleUse();
  Duration starting{0};
  TimePoint step_begin = context_.clock.Now();
  for (const PassKey& order : orders) {
    const int64_t starts_before = counts_.starts;
    ScheduleStep(*order.step);
    const TimePoint step_end = context_.clock.Now();
    if (counts_.starts > starts_before) {
      starting += step_end - step_begin;
    }
    step_begin = step_end;
  }
  StartCopies();
  SendAdviceCalls();
  // The pause batches looks at steps that cannot be started. Starts do not
  // count for it: a leader with much to start would be idle for most of the
  // time.
  const TimePoint end = context_.clock.Now();
  context_.metrics.Observe(Timer::kDecision, "pass", end - now);
  next_pass_ = end + kPassIdleFactor * (end - now - starting);
  load_.OnPass(now, end, {waiting_.size(), late});
}

JobDeadlines CellLeader::DeadlinesOf(const Step& step) const {
  const TimePoint objective = step.objective == TimePoint()
                                  ? ObjectiveOf(*step.job, step.occurrence)
                                  : step.objective;
  return JobDeadlines::Of(objective, TimeAllowed(*step.job));
}

WaitingStep CellLeader::DescribeWaiting(Step& step, TimePoint now) const {
  const Job& job = *step.job;
  WaitingStep waiting;
  waiting.step = &step;
  waiting.restart_due = step.HasWaitedForRestart(kMaxRestartWait, now);
  waiting.over_share = job.over_share();
  waiting.priority = PolicyOf(job).priority;
  if (!pass_order_.UsesCosts()) {
    waiting.deadlines.objective = step.objective;
    return waiting;
  }
  waiting.deadlines = DeadlinesOf(step);
  waiting.remaining_time = job.ChainEstimateFrom(step.index);
  waiting.remaining_work =
      DeclaredWork(*step.spec, step.spec->count - step.done);
  waiting.job_work = job.work();
  return waiting;
}

PoolState& CellLeader::PoolStateOf(const std::string& name) {
  const auto [found, added] = pool_states_.try_emplace(name);
  PoolState& pool = found->second;
  const auto executors = by_pool_.find(name);
  if (added && executors != by_pool_.end()) {
    const TimePoint now = context_.clock.Now();
    pool.usable.reserve(executors->second.size());
    for (Executor* executor : executors->second) {
      if (!IsUsable(*executor) || executor->boot.health.rejects(now) ||
          executor->has_unknown_run()) {
        continue;
      }
      if (!IsSameIncarnation(*executor, now)) {
        RequestCheck(*executor);
      } else if (executor->boot.health.avoided(now) ||
                 !executor->boot.health.MayStart(now)) {
        pool.avoided.push_back(executor);
      } else {
        executor->usable_in_pass = counts_.passes;
        pool.usable.push_back(executor);
        pool.capacity += executor->entry.capacity;
      }
    }
    std::sort(pool.avoided.begin(), pool.avoided.end(),
              [](const Executor* a, const Executor* b) {
                const ExecutorHealth& first = a->boot.health;
                const ExecutorHealth& second = b->boot.health;
                return std::make_tuple(first.avoid_duration(),
                                       first.failure_rate(), a->boot.number) <
                       std::make_tuple(second.avoid_duration(),
                                       second.failure_rate(), b->boot.number);
              });
    MeasureFree(pool);
  }
  return pool;
}

void CellLeader::MeasureFree(PoolState& pool) {
  pool.max_free = Resources();
  pool.max_free_stale = false;
  pool.free = Resources();
  for (const Executor* executor : pool.usable) {
    const Resources free = executor->Free();
    pool.free += free;
    Resources& most = pool.max_free;
    most.cpu_milli = std::max(most.cpu_milli, free.cpu_milli);
    most.memory_mb = std::max(most.memory_mb, free.memory_mb);
    most.accelerators = std::max(most.accelerators, free.accelerators);
  }
}

// A step with advice may run on about a hundred executors, so the others of its
// pool are not looked at.
std::vector<Executor*> CellLeader::EligibleFor(const Step& step,
                                               const PoolState& pool) {
  const QueuePolicy& policy = PolicyOf(*step.job);
  std::vector<Executor*> eligible;
  if (!policy.advice) {
    eligible.reserve(pool.usable.size());
    for (Executor* executor : pool.usable) {
      if (IsEligible(step, *executor)) {
        eligible.push_back(executor);
      }
    }
    return eligible;
  }
  eligible.reserve(step.advice.good().size());
  for (const StepTicket& ticket : step.advice.good()) {
    Executor* executor = by_number_[ticket.executor];
    if (executor != nullptr && executor->usable_in_pass == counts_.passes &&
        executor->entry.pool == policy.pool && IsEligible(step, *executor)) {
      eligible.push_back(executor);
    }
  }
  return eligible;
}

void CellLeader::ScheduleStep(Step& step) {
  const TimePoint now = context_.clock.Now();
  const QueuePolicy& policy = PolicyOf(*step.job);
  const Resources size = ResourcesFor(*step.spec);
  PoolState& pool = PoolStateOf(policy.pool);
  if (step.wait.pass() == 0) {
    load_.OnFirstConsidered(policy.priority, now - step.ready_since);
  }
  step.wait.OnConsidered(counts_.passes, now);
  ++counts_.looks;
  // Skip a step that fits on no executor once no more steps may reserve
  // executors, unless it still needs its first advice call.
  const bool may_be_blocked =
      !pool.MayReserve() && (!policy.advice || step.advice.answered);
  if (may_be_blocked && pool.max_free_stale) {
    MeasureFree(pool);
  }
  const bool blocked = may_be_blocked && !size.FitsIn(pool.max_free);
  if (blocked || step.retry_at > now) {
    step.wait.SetReason(
        blocked ? WaitReason::kMoreUrgentSteps : WaitReason::kRetryTime, now);
    return;
  }
  const int account_most = MaxStartsOfAccount(step);
  if (account_most == 0) {
    step.job->account()->limited_at = now;
    step.wait.SetReason(WaitReason::kAccountLimit, now);
    return;
  }
  if (MayRunOnUnreadExecutor(step)) {
    step.wait.SetReason(WaitReason::kUnreadExecutors, now);
    ReportUnreadExecutors();
    // Request the first advice already, so that it is there when the step may
    // start.
    if (!step.advice.answered) {
      RenewAdvice(step, pool, false);
    }
    return;
  }
  std::vector<Executor*> eligible = EligibleFor(step, pool);
  std::vector<Executor*> candidates = WithValidTicket(step, eligible, pool);
  const auto remove_reserved = [&](std::vector<Executor*>& executors) {
    executors.erase(std::remove_if(executors.begin(), executors.end(),
                                   [&](const Executor* executor) {
                                     return reserved_.Contains(*executor);
                                   }),
                    executors.end());
  };
  const bool starved = IsStarved(step, pool);
  std::vector<Executor*> reserved;
  if (!reserved_.empty() && !starved) {
    std::copy_if(candidates.begin(), candidates.end(),
                 std::back_inserter(reserved), [&](const Executor* executor) {
                   return reserved_.Contains(*executor);
                 });
    remove_reserved(candidates);
  }
  const int most = std::min(MaxStartsWithinHeadroom(step, pool), account_most);
  if (most == 0 || (step.spec->gang && most < step.spec->count)) {
    step.wait.SetReason(WaitReason::kHeadroom, now);
    return;
  }
  const int64_t starts_before = counts_.starts;
  bool placed = step.spec->gang ? PlaceGang(step, candidates)
                                : PlaceTasks(step, candidates, most);
  if (!placed && !reserved.empty() && !step.spec->gang) {
    PlaceOnReserved(step, reserved, most - StartsSince(starts_before));
    placed = !step.HasTaskToStart(now);
  }
  const int started = StartsSince(starts_before);
  for (int i = 0; i < started; ++i) {
    pool.free -= size;
    pool.max_free_stale = true;
  }
  if (!placed && !pool.avoided.empty()) {
    placed = PlaceOnProbes(step, pool, candidates, most - started);
  }
  if (placed) {
    step.wait.SetReason(ReasonOfRest(step, now), now);
    return;
  }
  step.wait.SetReason(ReasonOfNoPlace(step, pool, candidates), now);
  // What is over its account's share takes nothing from others.
  if (step.job->over_share()) {
    return;
  }
  if (!candidates.empty()) {
    Preempt(step, candidates, MaxStartsOfAccount(step));
  }
  // Executors stay reserved while their ticket is being renewed.
  remove_reserved(eligible);
  ReserveExecutors(step, eligible, pool);
}

bool CellLeader::PlaceTasks(Step& step,
                            const std::vector<Executor*>& candidates,
                            int most) {
  const TimePoint now = context_.clock.Now();
  // Only those that are due go before more urgent steps.
  const bool only_due = step.HasWaitedForRestart(kMaxRestartWait, now);
  std::vector<int> tasks;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    const Task& task = step.tasks[i];
    const bool due =
        !only_due || task.HasWaitedForRestart(kMaxRestartWait, now);
    if (due && !task.done && task.live == 0 && task.retry_at <= now) {
      tasks.push_back(static_cast<int>(i));
    }
  }
  if (tasks.size() > static_cast<size_t>(most)) {
    tasks.resize(static_cast<size_t>(most));
  }
  size_t placed = 0;
  placer_.PlaceEach(step, tasks, candidates, now,
                    [&](int index, Executor& executor) {
                      ++placed;
                      const Task& task = step.tasks[static_cast<size_t>(index)];
                      Start(executor, step, index, NextRunNumber(task));
                    });
  return placed == tasks.size();
}

bool CellLeader::PlaceGang(Step& step,
                           const std::vector<Executor*>& candidates) {
  int64_t number = 0;
  for (const Task& task : step.tasks) {
    if (task.live > 0) {
      return true;  // an earlier run has not ended yet
    }
    number = std::max(number, NextRunNumber(task));
  }
  const std::vector<Executor*> members =
      placer_.ForGang(step, candidates, context_.clock.Now());
  if (members.empty()) {
    return false;
  }
  step.gang_run = number;
  step.gang_running = 0;
  for (size_t i = 0; i < members.size(); ++i) {
    Start(*members[i], step, static_cast<int>(i), number);
  }
  return true;
}

// A run that is about to end frees its resources about as soon as a stop would.
bool CellLeader::IsWorthPreempting(const Run& run) const {
  const StepSpec& spec = *run.step->spec;
  if (run.phase != RunPhase::kRunning || !spec.checkpoints || spec.gang ||
      spec.long_running) {
    return false;
  }
  const Task& task = run.step->tasks[static_cast<size_t>(run.name.index)];
  const Duration ran = context_.clock.Now() - run.running_since;
  const Duration left = spec.estimate - ran;
  const bool ends_soon = left > Duration(0) && left <= options_.stop_time;
  return !ends_soon && (task.preemptions == 0 || ran >= kMinRunAfterPreemption);
}

PreemptionLoss CellLeader::LossOf(const Run& run, TimePoint now) const {
  const Step& step = *run.step;
  const Duration ran = now - run.running_since;
  const Duration remaining = step.job->ChainEstimateFrom(step.index) -
                             std::min<Duration>(ran, step.spec->estimate);
  return pass_order_.LossOf(DeadlinesOf(step), remaining,
                            options_.stop_time + options_.restore_time, now);
}

void CellLeader::Preempt(Step& step,
                         const std::vector<Executor*>& candidates,
                         int most) {
  const int priority = PolicyOf(*step.job).priority;
  const Resources size = ResourcesFor(*step.spec);
  const TimePoint now = context_.clock.Now();
  const WaitingStep waiting = DescribeWaiting(step, now);
  int wanted = std::min(step.Waiting(), most);
  // Count the resources that stops in progress will free.
  for (Executor* executor : candidates) {
    Resources free_after_stops = executor->Free();
    bool stopping = false;
    for (const auto& [name, run] : executor->runs()) {
      if (run.phase == RunPhase::kStopping) {
        free_after_stops += run.size;
        stopping = true;
      }
    }
    while (stopping && wanted > 0 && size.FitsIn(free_after_stops)) {
      free_after_stops -= size;
      --wanted;
    }
  }
  for (Executor* executor : candidates) {
    if (wanted <= 0) {
      return;
    }
    Resources room = executor->Free();
    std::vector<Run*> victims;
    std::vector<std::pair<PreemptionLoss, Run*>> stoppable;
    for (auto& [name, run] : executor->runs()) {
      if (run.step == nullptr ||
          PolicyOf(*run.step->job).priority <= priority ||
          !IsWorthPreempting(run)) {
        continue;
      }
      const PreemptionLoss loss =
          pass_order_.UsesCosts() ? LossOf(run, now) : PreemptionLoss::kNone;
      if (pass_order_.MayCause(waiting, loss, options_.stop_time, now)) {
        stoppable.emplace_back(loss, &run);
      }
    }
    // Where least is lost first, then the least urgent, then the most recently
    // started.
    const auto key = [&](const std::pair<PreemptionLoss, Run*>& entry) {
      return std::make_tuple(entry.first,
                             -PolicyOf(*entry.second->step->job).priority,
                             now - entry.second->running_since);
    };
    std::sort(stoppable.begin(), stoppable.end(),
              [&](const auto& a, const auto& b) { return key(a) < key(b); });
    for (const auto& [loss, run] : stoppable) {
      if (size.FitsIn(room)) {
        break;
      }
      room += run->size;
      victims.push_back(run);
    }
    if (!size.FitsIn(room)) {
      continue;
    }
    for (Run* run : victims) {
      ++counts_.preempted;
      ++run->step->tasks[static_cast<size_t>(run->name.index)].preemptions;
      StopRun(*executor, *run, "preempted");
    }
    while (wanted > 0 && size.FitsIn(room)) {
      room -= size;
      --wanted;
    }
    reserved_.ReserveWhole(*executor);
  }
}

}  // namespace chivedale::cell
