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
// Minimum idle time between passes, as a multiple of the last pass's duration.
constexpr int kPassIdleFactor = 3;
// Time after which an executor does not execute a start any more, on its own
// clock. An unanswered start blocks its task for about as long.
constexpr Millis kStartValidity{800};
constexpr Millis kRejectedRetryDelay{100};
constexpr Millis kUnhealthyAvoidTime{1'000};
// Number of steps that may reserve executors in one pass.
constexpr int kMaxReservingSteps = 4;
// Run numbers per term, so that those of a new leader exceed all earlier ones.
constexpr int64_t kRunsPerTerm = 1'000;

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
    waiting_.insert(&step);
  }
}

void CellLeader::RunSchedulingPass() {
  if (!may_start()) {
    return;
  }
  ++counts_.passes;
  const TimePoint now = context_.clock.Now();
  std::vector<StepOrder> orders;
  orders.reserve(waiting_.size());
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    Step& step = **it;
    if (step.job->terminal() || step.Waiting() == 0) {
      it = waiting_.erase(it);
      continue;
    }
    if (step.objective == TimePoint()) {
      step.objective = ObjectiveOf(step);
    }
    orders.push_back({PolicyOf(*step.job).priority, step.objective < now,
                      step.objective, &step});
    ++it;
  }
  std::sort(orders.begin(), orders.end(),
            [](const StepOrder& a, const StepOrder& b) {
              return std::tie(a.priority, a.late, a.objective, a.step) <
                     std::tie(b.priority, b.late, b.objective, b.step);
            });
  reserved_.clear();
  pool_states_.clear();
  MeasureUrgentUse();
  for (const StepOrder& order : orders) {
    ScheduleStep(*order.step);
  }
  StartCopies();
  SendAdviceCalls();
  // Passes are slow under load, so events are batched into the next one.
  const Duration took = context_.clock.Now() - now;
  context_.metrics.Observe(Timer::kDecision, "pass", took);
  next_pass_ = context_.clock.Now() + kPassIdleFactor * took;
}

CellLeader::PoolState& CellLeader::PoolStateOf(const std::string& name) {
  const auto [found, added] = pool_states_.try_emplace(name);
  PoolState& pool = found->second;
  if (added) {
    const TimePoint now = context_.clock.Now();
    for (const auto& [id, executor] : executors_) {
      if (executor->entry.pool == name && IsUsable(*executor) &&
          !executor->health.avoided(now) && !executor->has_unknown_run()) {
        pool.usable.push_back(executor.get());
        pool.capacity += executor->entry.capacity;
      }
    }
    UpdateFreeResources(pool);
  }
  return pool;
}

void CellLeader::UpdateFreeResources(PoolState& pool) {
  pool.max_free = Resources();
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

std::vector<Executor*> CellLeader::EligibleFor(const Step& step,
                                               const PoolState& pool) {
  const StepSpec& spec = *step.spec;
  const Resources size = ResourcesFor(spec);
  std::vector<Executor*> eligible;
  eligible.reserve(pool.usable.size());
  for (Executor* executor : pool.usable) {
    if ((spec.label.empty() || executor->HasLabel(spec.label)) &&
        size.FitsIn(executor->entry.capacity)) {
      eligible.push_back(executor);
    }
  }
  return eligible;
}

void CellLeader::ScheduleStep(Step& step) {
  const TimePoint now = context_.clock.Now();
  const QueuePolicy& policy = PolicyOf(*step.job);
  PoolState& pool = PoolStateOf(policy.pool);
  // Skip a step that fits on no executor once kMaxReservingSteps earlier steps
  // have reserved executors, unless it still needs its first advice call.
  const bool blocked = pool.reserving_steps >= kMaxReservingSteps &&
                       !ResourcesFor(*step.spec).FitsIn(pool.max_free) &&
                       (!policy.advice || step.advice.answered);
  if (blocked || step.retry_at > now) {
    step.waits_for =
        blocked ? "room, behind more urgent steps" : "its retry time";
    return;
  }
  std::vector<Executor*> eligible = EligibleFor(step, pool);
  if (MayRunOnUnreadExecutor(step)) {
    step.waits_for = "executors whose runs this leader does not know yet";
    // Request the first advice already, so that it is there when the step may
    // start.
    if (!step.advice.answered) {
      FilterByAdvice(step, eligible);
    }
    return;
  }
  std::vector<Executor*> candidates = FilterByAdvice(step, eligible);
  const auto remove_reserved = [&](std::vector<Executor*>& executors) {
    executors.erase(std::remove_if(executors.begin(), executors.end(),
                                   [&](const Executor* executor) {
                                     return reserved_.count(executor) > 0;
                                   }),
                    executors.end());
  };
  const bool starved = IsStarved(step, pool);
  if (!reserved_.empty() && !starved) {
    remove_reserved(candidates);
  }
  const int most = MaxStartsWithinHeadroom(step, pool);
  if (most == 0 || (step.spec->gang && most < step.spec->count)) {
    step.waits_for = "room beyond the headroom for urgent jobs";
    return;
  }
  const bool placed = step.spec->gang ? PlaceGang(step, candidates)
                                      : PlaceTasks(step, candidates, most);
  UpdateFreeResources(pool);
  if (placed) {
    step.waits_for = "the next scheduling pass";
    return;
  }
  step.waits_for = eligible.empty()
                       ? "a usable executor that matches its label and size"
                   : candidates.empty() ? "advice, or executors it allows"
                                        : "room";
  if (!candidates.empty()) {
    Preempt(step, candidates);
  }
  // Executors stay reserved while their ticket is being renewed.
  if (policy.advice) {
    eligible.erase(
        std::remove_if(eligible.begin(), eligible.end(),
                       [&](const Executor* executor) {
                         return step.advice.Of(executor->number).kind !=
                                ExecutorAdvice::Kind::kGood;
                       }),
        eligible.end());
  }
  remove_reserved(eligible);
  ReserveExecutors(step, eligible, pool);
}

bool CellLeader::PlaceTasks(Step& step,
                            const std::vector<Executor*>& candidates,
                            int most) {
  const TimePoint now = context_.clock.Now();
  std::vector<int> tasks;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    const Task& task = step.tasks[i];
    if (!task.done && task.live == 0 && task.retry_at <= now) {
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
  for (size_t i = 0; i < members.size(); ++i) {
    Start(*members[i], step, static_cast<int>(i), number);
  }
  return true;
}

bool CellLeader::WouldFitIfEmpty(
    const Step& step,
    const std::vector<Executor*>& candidates) const {
  const StepSpec& spec = *step.spec;
  const Resources size = ResourcesFor(spec);
  int places = 0;
  const int wanted = spec.gang ? spec.count : 1;
  for (const Executor* executor : candidates) {
    Resources room = executor->entry.capacity;
    for (int here = 0;
         places < wanted && size.FitsIn(room) &&
         (spec.max_per_executor == 0 || here < spec.max_per_executor);
         ++here) {
      room -= size;
      ++places;
    }
  }
  return places >= wanted;
}

void CellLeader::ReserveExecutors(const Step& step,
                                  const std::vector<Executor*>& candidates,
                                  PoolState& pool) {
  if (pool.reserving_steps >= kMaxReservingSteps ||
      !WouldFitIfEmpty(step, candidates)) {
    return;
  }
  ++pool.reserving_steps;
  // Executors with the smallest shortage are likely to fit the step first.
  std::vector<Executor*> sorted;
  const Resources size = ResourcesFor(*step.spec);
  for (Executor* executor : candidates) {
    if (size.FitsIn(executor->entry.capacity)) {
      sorted.push_back(executor);
    }
  }
  const auto shortage = [&](const Executor* executor) {
    const Resources free = executor->Free();
    const auto part = [](int64_t want, int64_t have) {
      return want <= have || want <= 0
                 ? 0.0
                 : static_cast<double>(want - have) / static_cast<double>(want);
    };
    return std::max({part(size.cpu_milli, free.cpu_milli),
                     part(size.memory_mb, free.memory_mb),
                     part(size.accelerators, free.accelerators)});
  };
  std::sort(sorted.begin(), sorted.end(), [&](Executor* a, Executor* b) {
    return shortage(a) < shortage(b);
  });
  const size_t wanted =
      step.spec->gang ? static_cast<size_t>(step.spec->count) : 1;
  for (size_t i = 0; i < sorted.size() && i < wanted; ++i) {
    reserved_.insert(sorted[i]);
  }
}

void CellLeader::Preempt(Step& step, const std::vector<Executor*>& candidates) {
  const int priority = PolicyOf(*step.job).priority;
  const Resources size = ResourcesFor(*step.spec);
  const TimePoint now = context_.clock.Now();
  int wanted = step.Waiting();
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
    std::vector<Run*> stoppable;
    for (auto& [name, run] : executor->runs()) {
      if (run.step == nullptr || run.phase != RunPhase::kRunning ||
          !run.step->spec->checkpoints || run.step->spec->gang ||
          run.step->spec->long_running ||
          PolicyOf(*run.step->job).priority <= priority) {
        continue;
      }
      stoppable.push_back(&run);
    }
    // The least urgent first, then the most recently started.
    std::sort(stoppable.begin(), stoppable.end(), [&](Run* a, Run* b) {
      return std::make_tuple(-PolicyOf(*a->step->job).priority,
                             now - a->running_since) <
             std::make_tuple(-PolicyOf(*b->step->job).priority,
                             now - b->running_since);
    });
    for (Run* run : stoppable) {
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
      StopRun(*executor, *run, "preempted");
    }
    while (wanted > 0 && size.FitsIn(room)) {
      room -= size;
      --wanted;
    }
    reserved_.insert(executor);
  }
}

int64_t CellLeader::NextRunNumber(const Task& task) const {
  return std::max(task.last_run, (leadership_.term - 1) * kRunsPerTerm) + 1;
}

void CellLeader::Start(Executor& executor,
                       Step& step,
                       int index,
                       int64_t number) {
  const TimePoint now = context_.clock.Now();
  Task& task = step.tasks[static_cast<size_t>(index)];
  const TaskName name = step.NameOf(index);
  Run& run = executor.AddRun(name, number, &step, now);
  run.start_until = executor.ClockAt(now) + kStartValidity;
  run.start_pending = true;
  run.checkpoint = task.checkpoint;
  executor.OnDeadlineSent(run.start_until);
  task.started = now;
  if (!step.job->any_started() && !step.job->recurring()) {
    context_.metrics.Observe(Timer::kWait, step.job->queue().name,
                             AgeOf(*step.job));
  }
  step.job->set_any_started();
  StartOrder order;
  order.address = executor.entry.address;
  order.executor = executor.entry.id;
  order.task = name.Text();
  order.run = number;
  order.payload = step.job->record().spec.payload;
  order.start_deadline = run.start_until;
  order.fence = leadership_.fence;
  order.checkpoint = task.checkpoint;
  order.ticket = step.advice.Of(executor.number).ticket;
  ++counts_.starts;
  context_.log.Write(Event::kTaskStarted,
                     {{"task", order.task},
                      {"run", std::to_string(number)},
                      {"executor", order.executor},
                      {"queue", step.job->queue().name},
                      {"fence", std::to_string(order.fence)}});
  context_.executors.Start(order,
                           Guard([this, id = order.executor, text = order.task,
                                  number](const OrderReply& reply) {
                             OnStarted(id, text, number, reply);
                           }));
}

void CellLeader::OnStarted(const ExecutorId& id,
                           const std::string& task,
                           int64_t number,
                           const OrderReply& reply) {
  if (reply.result == OrderResult::kFenced) {
    OnFenced("executor " + id + " has seen a newer leader");
    return;
  }
  const auto found = executors_.find(id);
  if (found == executors_.end()) {
    return;
  }
  Executor& executor = *found->second;
  const TimePoint now = context_.clock.Now();
  if (reply.executor_clock) {
    executor.OnClock(*reply.executor_clock, now);
  }
  Run* run = executor.FindRun(task);
  if (run == nullptr || run->number != number) {
    return;
  }
  run->start_pending = false;
  if (reply.result == OrderResult::kOk) {
    run->running_since =
        run->running_since == TimePoint() ? now : run->running_since;
    if (run->phase != RunPhase::kStopping) {
      run->phase = RunPhase::kRunning;
    }
    if (!executor.hold_in_flight) {
      ScheduleHold(executor, now);
    }
    return;
  }
  Step& step = *run->step;
  const int index = run->name.index;
  context_.log.Write(Event::kStartRejected,
                     {{"task", task},
                      {"run", std::to_string(number)},
                      {"executor", id},
                      {"result", std::string(OrderResultName(reply.result))}});
  if (reply.result == OrderResult::kUnknown) {
    // In any other phase a hold has already listed the run as running, or it is
    // being stopped.
    if (run->phase == RunPhase::kStartSent) {
      run->phase = RunPhase::kStartUnconfirmed;
      run->next_stop = now;
    }
    if (step.spec->gang) {
      StopGang(step, number, "a gang member's start was not answered");
    }
    return;
  }
  executor.RemoveRun(task);
  Task& record = step.tasks[static_cast<size_t>(index)];
  record.retry_at = now + kRejectedRetryDelay;
  switch (reply.result) {
    case OrderResult::kUnhealthy:
      executor.health.AvoidUntil(now + kUnhealthyAvoidTime);
      record.retry_at = now;
      break;
    case OrderResult::kInsufficientCapacity:
      executor.health.AvoidUntil(now + kRejectedRetryDelay);
      break;
    case OrderResult::kBadTicket:
      // The executor may have restarted; request new advice on it.
      step.advice.At(executor.number) = ExecutorAdvice();
      break;
    case OrderResult::kStaleRun:
      ++record.last_run;
      break;
    case OrderResult::kWrongIncarnation:
    case OrderResult::kNotSent:
      executor.missed_holds = std::max(executor.missed_holds, 1);
      ScheduleHold(executor, now);
      record.retry_at = now;
      break;
    default:
      break;
  }
  if (step.spec->gang) {
    StopGang(step, number, "a gang member was not started");
  }
  AddIfWaiting(step);
  RequestSchedulingPass();
}

void CellLeader::StopRun(Executor& executor, Run& run, const char* reason) {
  if (run.phase == RunPhase::kStopping) {
    return;
  }
  run.phase = RunPhase::kStopping;
  run.next_stop = context_.clock.Now();
  context_.log.Write(Event::kTaskStopOrdered,
                     {{"task", run.name.Text()},
                      {"run", std::to_string(run.number)},
                      {"executor", executor.entry.id},
                      {"reason", reason}});
  RetryStops(executor);
}

void CellLeader::OnStopped(const ExecutorId& id,
                           const std::string& task,
                           int64_t number,
                           const OrderReply& reply) {
  if (reply.result == OrderResult::kFenced) {
    OnFenced("executor " + id + " has seen a newer leader");
    return;
  }
  const auto found = executors_.find(id);
  if (found == executors_.end()) {
    return;
  }
  Executor& executor = *found->second;
  Run* run = executor.FindRun(task);
  if (run == nullptr || run->number != number) {
    return;
  }
  run->stop_in_flight = false;
  const TimePoint now = context_.clock.Now();
  if (reply.result == OrderResult::kOk) {
    run->stop_confirmed = true;
    run->stop_confirmed_at = now;
    if (!executor.hold_in_flight) {
      ScheduleHold(executor, now);
    }
  } else if (reply.result == OrderResult::kWrongIncarnation) {
    executor.missed_holds = std::max(executor.missed_holds, 1);
    ScheduleHold(executor, now);
  }
}

void CellLeader::StopGang(Step& step, int64_t number, const char* reason) {
  const std::map<ExecutorId, int> live = step.live_on;
  for (const auto& [id, count] : live) {
    Executor& executor = *executors_.at(id);
    for (auto& [name, run] : executor.runs()) {
      if (run.step == &step && run.number == number) {
        StopRun(executor, run, reason);
      }
    }
  }
}

void CellLeader::StopCopies(Step& step, int index) {
  // The members of a gang end together and are not copied, so there is nothing
  // to stop.
  if (step.spec->gang || step.tasks[static_cast<size_t>(index)].live == 0) {
    return;
  }
  const std::string text = step.NameOf(index).Text();
  const std::map<ExecutorId, int> live = step.live_on;
  for (const auto& [id, count] : live) {
    Executor& executor = *executors_.at(id);
    Run* run = executor.FindRun(text);
    if (run != nullptr) {
      StopRun(executor, *run, "another copy completed");
    }
  }
}

void CellLeader::StartCopies() {
  const TimePoint now = context_.clock.Now();
  for (const auto& [step, index] : overdue_copies_) {
    const Task& task = step->tasks[static_cast<size_t>(index)];
    if (task.done || task.live != 1 || step->job->terminal()) {
      continue;
    }
    const std::vector<Executor*> eligible =
        EligibleFor(*step, PoolStateOf(PolicyOf(*step->job).pool));
    std::vector<Executor*> candidates = FilterByAdvice(*step, eligible);
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [&](const Executor* executor) {
                                      return reserved_.count(executor) > 0 ||
                                             executor->health.suspect();
                                    }),
                     candidates.end());
    placer_.PlaceEach(*step, {index}, candidates, now,
                      [&, at = step, i = index](int, Executor& executor) {
                        Start(executor, *at, i,
                              NextRunNumber(at->tasks[static_cast<size_t>(i)]));
                      });
  }
  overdue_copies_.clear();
}

Executor* CellLeader::FindExecutor(const ExecutorId& id) {
  const auto found = executors_.find(id);
  return found == executors_.end() ? nullptr : found->second.get();
}

}  // namespace chivedale::cell
