// Starting and stopping of runs, and the answers to these orders.
#include <algorithm>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Time after which an executor does not execute a start any more, on its own
// clock. An unanswered start blocks its task for about as long.
constexpr Millis kStartValidity{800};
constexpr Millis kRejectedRetryDelay{100};
constexpr Millis kUnhealthyAvoidTime{1'000};
// Run numbers per term, so that those of a new leader exceed all earlier ones.
constexpr int64_t kRunsPerTerm = 1'000;

}  // namespace

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
  run.start_until = executor.boot.ClockAt(GrantTime(now)) + kStartValidity;
  run.start_pending = true;
  run.checkpoint = task.checkpoint;
  executor.boot.OnDeadlineSent(run.start_until);
  executor.deadline_sent = now;
  // An executor without runs is not called.
  if (!executor.hold_in_flight) {
    ScheduleHold(executor, std::max(now, executor.next_hold));
  }
  if (executor.boot.health.on_probation(now)) {
    executor.boot.health.OnProbed(now);
    ++counts_.probes;
    context_.log.Write(Event::kExecutorProbed, {{"executor", executor.entry.id},
                                                {"task", name.Text()}});
  }
  reserved_.OnStarted(executor, run.size);
  task.started = now;
  task.waiting_since = TimePoint();
  if (task.live == 1) {
    step.wait.OnStartSent();
  }
  StartOrder order;
  order.address = executor.entry.address;
  order.executor = executor.entry.id;
  order.task = name.Text();
  order.run = number;
  order.payload = step.job->record().spec.payload;
  order.start_deadline = run.start_until;
  order.fence = executor.fence;
  order.checkpoint = task.checkpoint;
  run.incarnation = executor.boot.incarnation;
  run.start_executed_by = now + kMaxCallDelay;
  if (const StepTicket* ticket = step.advice.TicketOf(executor.boot.number)) {
    order.ticket = ticket->ticket;
    run.ticket_received = ticket->received;
    run.start_executed_by =
        std::min(run.start_executed_by, ticket->accepted_until);
  }
  ++counts_.starts;
  context_.log.Write(Event::kTaskStarted,
                     {{"task", order.task},
                      {"run", std::to_string(number)},
                      {"executor", order.executor},
                      {"queue", step.job->queue().name},
                      {"fence", std::to_string(order.fence)}});
  context_.executors.Start(
      order, Guard([this, id = order.executor, text = order.task, number,
                    fence = order.fence](const OrderReply& reply) {
        OnStarted(id, text, number, fence, reply);
      }));
}

void CellLeader::OnStarted(const ExecutorId& id,
                           const std::string& task,
                           int64_t number,
                           int64_t fence,
                           const OrderReply& reply) {
  if (reply.result == OrderResult::kFenced && ExpectsFence(id, fence)) {
    OnFenced("executor " + id + " has seen a newer leader");
    return;
  }
  Executor* const found = FindExecutor(id);
  if (found == nullptr) {
    return;
  }
  Executor& executor = *found;
  const TimePoint now = context_.clock.Now();
  Run* run = executor.FindRun(task);
  if (run == nullptr || run->number != number) {
    return;
  }
  run->start_pending = false;
  if (reply.executor_clock &&
      !executor.boot.MayShow(*reply.executor_clock, run->start_sent, now)) {
    OnUnknownBoot(executor, *run, reply);
    if (reply.result == OrderResult::kOk) {
      return;
    }
  } else if (reply.executor_clock) {
    executor.boot.OnClock(*reply.executor_clock, run->start_sent, now);
  }
  if (reply.result == OrderResult::kOk) {
    run->running_since =
        run->running_since == TimePoint() ? now : run->running_since;
    if (run->IsStartUnconfirmed()) {
      run->phase = RunPhase::kRunning;
      OnRunBegan(*run, executor);
    }
    if (!executor.hold_in_flight) {
      ScheduleHold(executor, now);
    }
    return;
  }
  Step& step = *run->step;
  const int index = run->name.index;
  ++(reply.result == OrderResult::kUnknown ? counts_.unanswered
                                           : counts_.rejected);
  context_.log.Write(Event::kStartRejected,
                     {{"task", task},
                      {"run", std::to_string(number)},
                      {"executor", id},
                      {"result", std::string(OrderResultName(reply.result))}});
  Task& record = step.tasks[static_cast<size_t>(index)];
  if (record.live == 1) {
    step.wait.OnStartFailed(reply.result, id);
  }
  if (reply.result == OrderResult::kUnknown) {
    // In any other phase a hold has already listed the run as running, or it is
    // being stopped. It is not stopped here: the executor may be running it,
    // and does not begin it after its deadline. The next hold shows which.
    if (run->phase == RunPhase::kStartSent) {
      run->phase = RunPhase::kStartUnconfirmed;
    }
    if (!executor.hold_in_flight) {
      ScheduleHold(executor, now);
    }
    if (step.spec->gang) {
      StopGang(step, number, "a gang member's start was not answered");
    }
    return;
  }
  executor.RemoveRun(task);
  record.retry_at = now + kRejectedRetryDelay;
  switch (reply.result) {
    case OrderResult::kUnhealthy:
      executor.boot.health.OnRejected(now + kUnhealthyAvoidTime);
      record.retry_at = now;
      break;
    case OrderResult::kInsufficientCapacity:
      executor.boot.health.OnRejected(now + kRejectedRetryDelay);
      break;
    case OrderResult::kBadTicket:
      // The executor may have restarted; request new advice on it.
      step.advice.Forget(executor.boot.number);
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
  if (run.phase == RunPhase::kStopping || run.phase == RunPhase::kEndUnread) {
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

// The order was executed by a boot that no hold call has shown yet, or by an
// earlier one.
void CellLeader::OnUnknownBoot(Executor& executor,
                               Run& run,
                               const OrderReply& reply) {
  const TimePoint now = context_.clock.Now();
  context_.log.Write(
      Event::kExecutorOtherBoot,
      {{"executor", executor.entry.id},
       {"task", run.name.Text()},
       {"run", std::to_string(run.number)},
       {"result", std::string(OrderResultName(reply.result))},
       {"clock_ms", std::to_string(reply.executor_clock->count())},
       {"expected_ms", std::to_string(executor.boot.ClockAt(now).count())}});
  run.on_unknown_boot = true;
  if (run.phase == RunPhase::kStartSent) {
    run.phase = RunPhase::kStartUnconfirmed;
  }
  executor.missed_holds = std::max(executor.missed_holds, 1);
  if (!executor.hold_in_flight) {
    ScheduleHold(executor, now);
  }
}

void CellLeader::OnStopped(const ExecutorId& id,
                           const std::string& task,
                           int64_t number,
                           int64_t fence,
                           const OrderReply& reply) {
  if (reply.result == OrderResult::kFenced && ExpectsFence(id, fence)) {
    OnFenced("executor " + id + " has seen a newer leader");
    return;
  }
  Executor* const found = FindExecutor(id);
  if (found == nullptr) {
    return;
  }
  Executor& executor = *found;
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
    if (task.done || task.live != 1 || step->job->terminal() ||
        MaxStartsOfAccount(*step) == 0) {
      continue;
    }
    const PoolState& pool = PoolStateOf(PolicyOf(*step->job).pool);
    std::vector<Executor*> candidates =
        WithValidTicket(*step, EligibleFor(*step, pool), pool);
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [&](const Executor* executor) {
                                      return reserved_.Contains(*executor) ||
                                             executor->boot.health.suspect();
                                    }),
                     candidates.end());
    placer_.PlaceEach(*step, {index}, candidates, now,
                      [&, at = step, i = index](int, Executor& executor) {
                        ++counts_.copies;
                        Start(executor, *at, i,
                              NextRunNumber(at->tasks[static_cast<size_t>(i)]));
                      });
  }
  overdue_copies_.clear();
}

}  // namespace chivedale::cell
