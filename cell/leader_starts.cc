// The pass over all steps with tasks to start, most urgent first. A step that
// finds no room keeps the executors it needs from less urgent steps, so that
// wide tasks and gangs are not passed by narrow ones for ever.
#include <algorithm>
#include <tuple>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Events within this time share a pass.
constexpr Millis kPassDelay{2};
// Time between passes against the time that one takes.
constexpr int kPassRest = 3;
// A start is not carried out later than this on the executor's clock. One that
// is not answered holds up its task for about as long.
constexpr Millis kStartValidity{800};
constexpr Millis kRetryRejected{100};
constexpr Millis kAvoidUnhealthy{1'000};
// Steps of one pass that may keep executors from less urgent ones.
constexpr int kMaxReserving = 4;
// Run numbers of one term, so that a new leader's are higher than all before.
constexpr int64_t kRunsPerTerm = 1'000;

}  // namespace

void CellLeader::RequestPass() {
  if (pass_requested_ || fenced_) {
    return;
  }
  pass_requested_ = true;
  const auto rest =
      std::chrono::duration_cast<Millis>(next_pass_ - context_.clock.Now());
  context_.defer(std::max(kPassDelay, rest), Guard([this] {
                   pass_requested_ = false;
                   Pass();
                 }));
}

void CellLeader::MarkWaiting(Step& step) {
  if (step.ready && !step.job->over() && step.Waiting() > 0) {
    waiting_.insert(&step);
  }
}

void CellLeader::Pass() {
  if (!may_start()) {
    return;
  }
  ++counts_.passes;
  const TimePoint now = context_.clock.Now();
  std::vector<StepOrder> orders;
  orders.reserve(waiting_.size());
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    Step& step = **it;
    if (step.job->over() || step.Waiting() == 0) {
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
  pass_rooms_.clear();
  MeasureUrgentUse();
  for (const StepOrder& order : orders) {
    PassStep(*order.step);
  }
  StartCopies();
  PumpAdvice();
  // Under load a pass takes long; events meanwhile share the next one.
  const Duration took = context_.clock.Now() - now;
  context_.metrics.Observe(Timer::kDecision, "pass", took);
  next_pass_ = context_.clock.Now() + kPassRest * took;
}

CellLeader::PoolRoom& CellLeader::RoomOf(const std::string& name) {
  const auto [found, added] = pass_rooms_.try_emplace(name);
  PoolRoom& pool = found->second;
  if (added) {
    const TimePoint now = context_.clock.Now();
    for (const auto& [id, executor] : executors_) {
      if (executor->entry.pool == name && Usable(*executor) &&
          !executor->health.avoided(now) && !executor->has_unknown_run()) {
        pool.usable.push_back(executor.get());
        pool.capacity += executor->entry.capacity;
      }
    }
    UpdateMostFree(pool);
  }
  return pool;
}

void CellLeader::UpdateMostFree(PoolRoom& pool) {
  pool.most_free = Resources();
  pool.free = Resources();
  for (const Executor* executor : pool.usable) {
    const Resources free = executor->Free();
    pool.free += free;
    Resources& most = pool.most_free;
    most.cpu_milli = std::max(most.cpu_milli, free.cpu_milli);
    most.memory_mb = std::max(most.memory_mb, free.memory_mb);
    most.accelerators = std::max(most.accelerators, free.accelerators);
  }
}

std::vector<Executor*> CellLeader::EligibleFor(const Step& step,
                                               const PoolRoom& pool) {
  const StepSpec& spec = *step.spec;
  const Resources size = RoomFor(spec);
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

void CellLeader::PassStep(Step& step) {
  const TimePoint now = context_.clock.Now();
  const QueuePolicy& policy = PolicyOf(*step.job);
  PoolRoom& pool = RoomOf(policy.pool);
  // Without room, and behind steps that keep all that becomes free, nothing
  // changes for this step but its first advice.
  const bool hopeless = pool.reserving >= kMaxReserving &&
                        !RoomFor(*step.spec).FitsIn(pool.most_free) &&
                        (!policy.advice || step.advice.answered);
  if (hopeless || step.retry_at > now) {
    step.waits_for = hopeless ? "room, behind more urgent steps"
                              : "the time of its next try";
    return;
  }
  std::vector<Executor*> eligible = EligibleFor(step, pool);
  if (MayRunUnseen(step)) {
    step.waits_for = "executors that this leader has not read yet";
    // Its first advice is there when it may start.
    if (!step.advice.answered) {
      Advised(step, eligible);
    }
    return;
  }
  std::vector<Executor*> candidates = Advised(step, eligible);
  const auto drop_taken = [&](std::vector<Executor*>& executors) {
    executors.erase(std::remove_if(executors.begin(), executors.end(),
                                   [&](const Executor* executor) {
                                     return reserved_.count(executor) > 0;
                                   }),
                    executors.end());
  };
  const bool overlooked = IsOverlooked(step, pool);
  if (!reserved_.empty() && !overlooked) {
    drop_taken(candidates);
  }
  const int most = TasksBesideHeadroom(step, pool);
  if (most == 0 || (step.spec->gang && most < step.spec->count)) {
    step.waits_for = "room beside what is kept for urgent work";
    return;
  }
  const bool placed = step.spec->gang ? PlaceGang(step, candidates)
                                      : PlaceTasks(step, candidates, most);
  UpdateMostFree(pool);
  if (placed) {
    step.waits_for = "the next pass";
    return;
  }
  step.waits_for = eligible.empty()     ? "a usable executor of its kind"
                   : candidates.empty() ? "advice, or executors it allows"
                                        : "room";
  if (!candidates.empty()) {
    Preempt(step, candidates);
  }
  // Room stays reserved while a new ticket for it is on its way.
  if (policy.advice) {
    eligible.erase(
        std::remove_if(eligible.begin(), eligible.end(),
                       [&](const Executor* executor) {
                         return step.advice.Of(executor->number).kind !=
                                ExecutorAdvice::Kind::kGood;
                       }),
        eligible.end());
  }
  drop_taken(eligible);
  Reserve(step, eligible, pool);
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
                      Start(executor, step, index, NextRun(task));
                    });
  return placed == tasks.size();
}

bool CellLeader::PlaceGang(Step& step,
                           const std::vector<Executor*>& candidates) {
  int64_t number = 0;
  for (const Task& task : step.tasks) {
    if (task.live > 0) {
      return true;  // an earlier run is still ending
    }
    number = std::max(number, NextRun(task));
  }
  const std::vector<Executor*> members = placer_.ForGang(step, candidates);
  if (members.empty()) {
    return false;
  }
  step.gang_run = number;
  for (size_t i = 0; i < members.size(); ++i) {
    Start(*members[i], step, static_cast<int>(i), number);
  }
  return true;
}

bool CellLeader::CouldFit(const Step& step,
                          const std::vector<Executor*>& candidates) const {
  const StepSpec& spec = *step.spec;
  const Resources size = RoomFor(spec);
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

void CellLeader::Reserve(const Step& step,
                         const std::vector<Executor*>& candidates,
                         PoolRoom& pool) {
  if (pool.reserving >= kMaxReserving || !CouldFit(step, candidates)) {
    return;
  }
  ++pool.reserving;
  // The ones with most room already are likely to have enough first.
  std::vector<Executor*> sorted;
  const Resources size = RoomFor(*step.spec);
  for (Executor* executor : candidates) {
    if (size.FitsIn(executor->entry.capacity)) {
      sorted.push_back(executor);
    }
  }
  const auto lacking = [&](const Executor* executor) {
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
  std::sort(sorted.begin(), sorted.end(),
            [&](Executor* a, Executor* b) { return lacking(a) < lacking(b); });
  const size_t wanted =
      step.spec->gang ? static_cast<size_t>(step.spec->count) : 1;
  for (size_t i = 0; i < sorted.size() && i < wanted; ++i) {
    reserved_.insert(sorted[i]);
  }
}

void CellLeader::Preempt(Step& step, const std::vector<Executor*>& candidates) {
  const int priority = PolicyOf(*step.job).priority;
  const Resources size = RoomFor(*step.spec);
  const TimePoint now = context_.clock.Now();
  int wanted = step.Waiting();
  // Room that is already being freed counts.
  for (Executor* executor : candidates) {
    Resources coming = executor->Free();
    bool stopping = false;
    for (const auto& [name, run] : executor->runs()) {
      if (run.phase == RunPhase::kStopping) {
        coming += run.size;
        stopping = true;
      }
    }
    while (stopping && wanted > 0 && size.FitsIn(coming)) {
      coming -= size;
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
      if (run.step == nullptr || run.phase != RunPhase::kAtWork ||
          !run.step->spec->checkpoints || run.step->spec->gang ||
          run.step->spec->lasting ||
          PolicyOf(*run.step->job).priority <= priority) {
        continue;
      }
      stoppable.push_back(&run);
    }
    // The least urgent first; among those the one that began last.
    std::sort(stoppable.begin(), stoppable.end(), [&](Run* a, Run* b) {
      return std::make_tuple(-PolicyOf(*a->step->job).priority,
                             now - a->confirmed) <
             std::make_tuple(-PolicyOf(*b->step->job).priority,
                             now - b->confirmed);
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

int64_t CellLeader::NextRun(const Task& task) const {
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
  executor.OnUntilSent(run.start_until);
  task.started = now;
  if (!step.job->any_started() && !step.job->timed()) {
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
  order.until = run.start_until;
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
    Fenced("executor " + id + " has seen a newer leader");
    return;
  }
  const auto found = executors_.find(id);
  if (found == executors_.end()) {
    return;
  }
  Executor& executor = *found->second;
  const TimePoint now = context_.clock.Now();
  if (reply.clock) {
    executor.OnClock(*reply.clock, now);
  }
  Run* run = executor.FindRun(task);
  if (run == nullptr || run->number != number) {
    return;
  }
  run->start_pending = false;
  if (reply.result == OrderResult::kOk) {
    run->confirmed = run->confirmed == TimePoint() ? now : run->confirmed;
    if (run->phase != RunPhase::kStopping) {
      run->phase = RunPhase::kAtWork;
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
    // Listed meanwhile: it is known to be at work.
    if (run->phase == RunPhase::kOrdered) {
      run->phase = RunPhase::kUnanswered;
      run->next_stop = now;
    }
    if (step.spec->gang) {
      StopGang(step, number, "a member's start was not answered");
    }
    return;
  }
  executor.RemoveRun(task);
  Task& record = step.tasks[static_cast<size_t>(index)];
  record.retry_at = now + kRetryRejected;
  switch (reply.result) {
    case OrderResult::kUnhealthy:
      executor.health.AvoidUntil(now + kAvoidUnhealthy);
      record.retry_at = now;
      break;
    case OrderResult::kNoRoom:
      executor.health.AvoidUntil(now + kRetryRejected);
      break;
    case OrderResult::kBadTicket:
      // A new life of the executor, perhaps: it is asked for anew.
      step.advice.At(executor.number) = ExecutorAdvice();
      break;
    case OrderResult::kOldRun:
      ++record.last_run;
      break;
    case OrderResult::kOtherLife:
    case OrderResult::kNotSent:
      executor.misses = std::max(executor.misses, 1);
      ScheduleHold(executor, now);
      record.retry_at = now;
      break;
    default:
      break;
  }
  if (step.spec->gang) {
    StopGang(step, number, "a member was not started");
  }
  MarkWaiting(step);
  RequestPass();
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
    Fenced("executor " + id + " has seen a newer leader");
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
  } else if (reply.result == OrderResult::kOtherLife) {
    executor.misses = std::max(executor.misses, 1);
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
  // The members of a gang end together.
  if (step.spec->gang || step.tasks[static_cast<size_t>(index)].live == 0) {
    return;
  }
  const std::string text = step.NameOf(index).Text();
  const std::map<ExecutorId, int> live = step.live_on;
  for (const auto& [id, count] : live) {
    Executor& executor = *executors_.at(id);
    Run* run = executor.FindRun(text);
    if (run != nullptr) {
      StopRun(executor, *run, "another copy is done");
    }
  }
}

void CellLeader::StartCopies() {
  const TimePoint now = context_.clock.Now();
  for (const auto& [step, index] : overdue_copies_) {
    const Task& task = step->tasks[static_cast<size_t>(index)];
    if (task.done || task.live != 1 || step->job->over()) {
      continue;
    }
    const std::vector<Executor*> eligible =
        EligibleFor(*step, RoomOf(PolicyOf(*step->job).pool));
    std::vector<Executor*> candidates = Advised(*step, eligible);
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [&](const Executor* executor) {
                                      return reserved_.count(executor) > 0 ||
                                             executor->health.suspect();
                                    }),
                     candidates.end());
    placer_.PlaceEach(*step, {index}, candidates, now,
                      [&, at = step, i = index](int, Executor& executor) {
                        Start(executor, *at, i,
                              NextRun(at->tasks[static_cast<size_t>(i)]));
                      });
  }
  overdue_copies_.clear();
}

Executor* CellLeader::FindExecutor(const ExecutorId& id) {
  const auto found = executors_.find(id);
  return found == executors_.end() ? nullptr : found->second.get();
}

}  // namespace chivedale::cell
