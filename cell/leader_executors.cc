// One call a second to each executor that runs something renews its leases,
// lists what runs and returns at once when something ends. An idle executor is
// not called.
//
// Leases end on the executor's own clock, and only the first unanswered hold
// carries a new end: an executor that hears but is not heard must not be kept
// at work while its tasks wait to start elsewhere.
#include <algorithm>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Between two holds of one executor, so that ends share a hold.
constexpr Millis kHoldGap{30};
// Beyond the time of an unanswered start, so that its list settles it.
constexpr Millis kSettle{20};
// While ends wait to be stored, the next hold would return at once.
constexpr Millis kUnstoredHold{500};
constexpr Millis kMissRetry{150};
constexpr Millis kMaxMissRetry{1'000};
// An executor does not crash and start again within this time.
constexpr Millis kSameLife{1'500};
// How often stops are repeated and silent executors looked for.
constexpr Millis kCheckInterval{50};
// An executor lists at most this many ends in one answer.
constexpr size_t kEndsPage = 500;

Millis Backoff(Millis first, Millis most, int tries) {
  Millis wait = first;
  for (int i = 1; i < tries && wait < most; ++i) {
    wait *= 2;
  }
  return std::min(wait, most);
}

}  // namespace

void CellLeader::ScheduleHold(Executor& executor, TimePoint at) {
  executor.next_hold = at;
}

void CellLeader::HoldDue() {
  if (!loaded_) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  const bool check = now >= next_check_;
  if (check) {
    next_check_ = now + kCheckInterval;
  }
  for (auto& [id, executor] : executors_) {
    if (check) {
      RetryStops(*executor);
      CheckSilent(*executor);
      CheckOverdue(*executor);
    }
    // One that missed a call is not used before it has answered another.
    const bool needed = !executor->adopted || executor->misses > 0 ||
                        !executor->runs().empty() ||
                        executor->ends_read > executor->ends_confirmed;
    if (needed && !executor->hold_in_flight && now >= executor->next_hold) {
      Hold(*executor);
    }
  }
}

void CellLeader::Hold(Executor& executor) {
  const TimePoint now = context_.clock.Now();
  HoldOrder order;
  order.address = executor.entry.address;
  order.executor = executor.entry.id;
  order.fence = leadership_.fence;
  // A restarted executor keeps its id and counts its ends anew: told of the
  // earlier life's ends it would forget its own. So after any silence it is
  // asked who it is first.
  const bool same_life = executor.adopted && executor.misses == 0 &&
                         now - executor.last_answer < kSameLife;
  order.ends_stored = same_life ? executor.ends_stored : 0;
  if (executor.clock_known() && executor.misses == 0) {
    order.until = executor.ClockAt(now) + options_.lease;
    executor.OnUntilSent(*order.until);
  }
  const bool quiet =
      executor.adopted && executor.clock_known() && executor.misses == 0 &&
      executor.ends_read == executor.ends_stored && !executor.runs().empty();
  order.wait = quiet ? options_.hold_wait : Millis(0);
  // A start without an answer is settled by the first list after its time.
  for (const auto& [name, run] : executor.runs()) {
    if (run.phase == RunPhase::kUnanswered) {
      const Millis left = run.start_until - executor.ClockAt(now) + kSettle;
      order.wait = std::clamp(left, Millis(0), order.wait);
    }
  }
  executor.hold_in_flight = true;
  executor.hold_sent = now;
  ++counts_.holds;
  context_.executors.Hold(
      order,
      Guard([this, id = executor.entry.id, now, ends = order.ends_stored](
                const HoldReply& reply) { OnHold(id, now, ends, reply); }));
}

void CellLeader::OnHold(const ExecutorId& id,
                        TimePoint sent,
                        int64_t ends_sent,
                        const HoldReply& reply) {
  const auto found = executors_.find(id);
  if (found == executors_.end()) {
    return;
  }
  Executor& executor = *found->second;
  executor.hold_in_flight = false;
  const TimePoint now = context_.clock.Now();
  if (reply.result == OrderResult::kFenced) {
    Fenced("executor " + id + " has seen a newer leader");
    return;
  }
  if (reply.result == OrderResult::kOtherLife) {
    LoseRuns(executor, "another executor answers at its address");
    executor.OnNewLife(executor.born);
    unread_.erase(id);
    ScheduleHold(executor, now + kMaxMissRetry);
    RequestPass();
    return;
  }
  if (reply.result != OrderResult::kOk) {
    ++executor.misses;
    if (executor.misses == 2) {
      context_.log.Write(
          Event::kExecutorSilent,
          {{"executor", id}, {"runs", std::to_string(executor.runs().size())}});
    }
    ScheduleHold(executor,
                 now + Backoff(kMissRetry, kMaxMissRetry, executor.misses));
    return;
  }
  if (reply.born != 0 && executor.born != 0 && reply.born != executor.born) {
    // What the new life lists was started by this leader after its start.
    std::set<std::string> listed;
    for (const RunningTask& row : reply.running) {
      listed.insert(row.task);
    }
    std::vector<std::string> lost;
    for (const auto& [name, run] : executor.runs()) {
      const bool after_look =
          run.confirmed != TimePoint() && run.confirmed >= sent;
      if (listed.count(name) == 0 && !run.start_pending && !after_look) {
        lost.push_back(name);
      }
    }
    for (const std::string& name : lost) {
      LoseRun(executor, name, "new life of its executor");
    }
    executor.OnNewLife(reply.born);
    context_.log.Write(
        Event::kExecutorNewLife,
        {{"executor", id}, {"born", std::to_string(reply.born)}});
  }
  if (reply.born != 0) {
    executor.born = reply.born;
  }
  executor.misses = 0;
  executor.last_answer = now;
  executor.OnClock(reply.clock, now);
  executor.ends_confirmed = std::max(executor.ends_confirmed,
                                     std::min(ends_sent, executor.ends_read));
  if (!executor.adopted) {
    executor.adopted = true;
    unread_.erase(id);
    // A predecessor may have leased up to now plus a whole lease.
    executor.OnUntilSent(reply.clock + options_.lease);
    context_.log.Write(Event::kExecutorAdopted,
                       {{"executor", id},
                        {"running", std::to_string(reply.running.size())},
                        {"ended", std::to_string(reply.ended.size())},
                        {"fence", std::to_string(leadership_.fence)}});
  }
  TakeEnds(executor, reply.ended);
  TakeRunning(executor, reply, sent);
  if (executor.ends_read > executor.ends_stored) {
    ScheduleHold(executor, now + kUnstoredHold);
    Flush();
  } else {
    ScheduleHold(executor, now + kHoldGap);
  }
  RequestPass();
}

void CellLeader::TakeEnds(Executor& executor,
                          const std::vector<EndedTask>& ends) {
  for (const EndedTask& end : ends) {
    if (end.number <= executor.ends_read) {
      continue;
    }
    executor.ends_read = end.number;
    ++counts_.ends;
    TakeEnd(executor, end);
  }
}

void CellLeader::TakeEnd(Executor& executor, const EndedTask& end) {
  const TimePoint now = context_.clock.Now();
  const std::optional<TaskName> name = TaskName::Parse(end.task);
  Run* run = executor.FindRun(end.task);
  Duration took{0};
  if (run != nullptr && run->number == end.run) {
    took =
        now - (run->confirmed == TimePoint() ? run->ordered : run->confirmed);
    executor.RemoveRun(end.task);
  }
  context_.log.Write(Event::kTaskEnded,
                     {{"task", end.task},
                      {"run", std::to_string(end.run)},
                      {"executor", executor.entry.id},
                      {"end", std::string(RunEndName(end.end))}});
  Step* step = name ? StepOf(*name) : nullptr;
  if (step == nullptr) {
    return;
  }
  Job& job = *step->job;
  Task& task = step->tasks[static_cast<size_t>(name->index)];
  task.last_run = std::max(task.last_run, end.run);
  job.set_any_started();
  if (!end.checkpoint.empty() && step->spec->checkpoints && !task.done) {
    if (step->spec->gang) {
      for (Task& member : step->tasks) {
        member.checkpoint = end.checkpoint;
      }
    } else {
      task.checkpoint = end.checkpoint;
    }
    MarkDirty(job);
  }
  if (end.end == RunEnd::kDone) {
    // A resumed run is shorter than declared.
    const Duration whole = task.checkpoint.empty() ? took : Duration(0);
    executor.health.OnDone(whole, step->spec->estimate, now);
    if (took > Duration(0)) {
      context_.metrics.Observe(Timer::kRun, job.queue().name, took);
    }
    if (whole > Duration(0) && step->spec->estimate > Millis(0)) {
      step->ratio_sum += std::chrono::duration<double>(whole) /
                         std::chrono::duration<double>(step->spec->estimate);
      ++step->ratio_count;
    }
    if (job.OnDone(*step, name->index)) {
      MarkDirty(job);
      StopCopies(*step, name->index);
      if (job.over()) {
        EndJob(job);
      } else if (step->Finished()) {
        job.UpdateReady(now);
        for (auto& [number, occurrence] : job.open()) {
          for (Step& next : occurrence.steps) {
            MarkWaiting(next);
          }
        }
      }
    }
    return;
  }
  if (end.end == RunEnd::kFailed) {
    if (executor.health.OnFailed(now)) {
      context_.log.Write(Event::kExecutorAvoided,
                         {{"executor", executor.entry.id}});
    }
    MarkDirty(job);
    if (job.OnFailed(*step, name->index, end.run, executor.entry.id)) {
      EndJob(job);
    }
  }
  if (step->spec->gang) {
    StopGang(*step, end.run, "another member ended");
  }
  MarkWaiting(*step);
}

void CellLeader::TakeRunning(Executor& executor,
                             const HoldReply& reply,
                             TimePoint sent) {
  for (const RunningTask& row : reply.running) {
    Run* run = executor.FindRun(row.task);
    if (run == nullptr || run->number != row.run) {
      AdoptRun(executor, row);
      continue;
    }
    if (run->phase == RunPhase::kOrdered ||
        run->phase == RunPhase::kUnanswered) {
      run->phase = RunPhase::kAtWork;
      run->confirmed = context_.clock.Now();
    }
    run->checkpoint = row.checkpoint;
    run->percent = row.percent;
    run->figure = row.figure;
  }
  DropMissingRuns(executor, reply, sent);
  PaceFills(executor);
}

void CellLeader::AdoptRun(Executor& executor, const RunningTask& row) {
  const TimePoint now = context_.clock.Now();
  const std::optional<TaskName> name = TaskName::Parse(row.task);
  Step* step = name ? StepOf(*name) : nullptr;
  if (!name || executor.FindRun(row.task) != nullptr) {
    // No task of ours, or another run beside the one ordered: given up before.
    context_.executors.Stop(executor.entry.address, executor.entry.id, row.task,
                            row.run, leadership_.fence, [](OrderReply) {});
    return;
  }
  Run& run = executor.AddRun(*name, row.run, step, now);
  run.phase = RunPhase::kAtWork;
  run.confirmed = now;
  run.checkpoint = row.checkpoint;
  run.percent = row.percent;
  bool wanted = step != nullptr && !step->job->over() &&
                !step->tasks[static_cast<size_t>(name->index)].done;
  if (wanted) {
    step->job->set_any_started();
    step->gang_run = std::max(step->gang_run, row.run);
    const Task& task = step->tasks[static_cast<size_t>(name->index)];
    wanted = task.live <= 1 || step->spec->copies_allowed;
  }
  if (!wanted) {
    StopRun(executor, run, "not wanted");
  }
}

void CellLeader::DropMissingRuns(Executor& executor,
                                 const HoldReply& reply,
                                 TimePoint sent) {
  // Ends beyond the first page may name the runs that are missing here.
  if (reply.ended.size() >= kEndsPage) {
    return;
  }
  std::set<std::string> listed;
  for (const RunningTask& row : reply.running) {
    listed.insert(row.task);
  }
  std::vector<std::string> missing;
  for (const auto& [name, run] : executor.runs()) {
    if (listed.count(name) > 0 || run.start_pending) {
      continue;
    }
    const bool was_there = run.confirmed != TimePoint() && run.confirmed < sent;
    const bool stopped = run.stop_confirmed && run.stop_confirmed_at < sent;
    // A start that has not been carried out by its time never will be.
    const bool too_late = run.phase != RunPhase::kAtWork &&
                          run.confirmed == TimePoint() &&
                          reply.clock > run.start_until;
    if (was_there || stopped || too_late) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    LoseRun(executor, name, "not listed");
  }
}

void CellLeader::LoseRuns(Executor& executor, const char* reason) {
  std::vector<std::string> names;
  for (const auto& [name, run] : executor.runs()) {
    names.push_back(name);
  }
  for (const std::string& name : names) {
    LoseRun(executor, name, reason);
  }
}

void CellLeader::LoseRun(Executor& executor,
                         const std::string& task,
                         const char* reason) {
  const Run run = executor.runs().at(task);
  context_.log.Write(Event::kTaskRunLost, {{"task", task},
                                           {"run", std::to_string(run.number)},
                                           {"executor", executor.entry.id},
                                           {"reason", reason}});
  executor.RemoveRun(task);
  if (run.step == nullptr) {
    return;
  }
  Step& step = *run.step;
  if (!run.checkpoint.empty() && step.spec->checkpoints) {
    for (size_t i = 0; i < step.tasks.size(); ++i) {
      if (step.spec->gang || static_cast<int>(i) == run.name.index) {
        step.tasks[i].checkpoint = run.checkpoint;
      }
    }
  }
  if (step.spec->gang) {
    StopGang(step, run.number, "another member was lost");
  }
  MarkWaiting(step);
  RequestPass();
}

bool CellLeader::Usable(const Executor& executor) const {
  return executor.adopted && executor.listed && executor.stored &&
         !executor.entry.draining && !executor.cordoned &&
         executor.misses == 0 && executor.clock_known();
}

}  // namespace chivedale::cell
