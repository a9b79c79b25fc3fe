// Hold calls: a long poll to each executor with runs, about once a second,
// renews its leases, lists its runs and returns immediately when a run ends.
// Idle executors are not called.
//
// Leases expire on the executor's own clock. After an unanswered hold the lease
// is not extended further: an executor whose answers do not arrive must not
// keep running tasks that wait to be started elsewhere.
#include <algorithm>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Minimum time between two holds of an executor, to batch ends.
constexpr Millis kMinHoldInterval{30};
// A hold for an unanswered start waits until this long after its deadline; a
// run that is not listed then will not begin.
constexpr Millis kStartResolveMargin{20};
// Delay while ends wait to be stored, as a hold would return immediately.
constexpr Millis kUnstoredEndsHoldDelay{500};
constexpr Millis kMissedHoldRetry{150};
constexpr Millis kMaxMissedHoldRetry{1'000};
// An idle executor is called after this time, as the estimate of its clock gets
// ahead of a slow one; a start would then be valid for too long.
constexpr Millis kMaxClockAge{60'000};
// Interval of the checks for stops to retry and unresponsive or slow executors.
constexpr Millis kCheckInterval{50};
// Ends that can be acknowledged are within this time.
constexpr Millis kFullEndsReportDelay{1'000};
// Maximum number of ends that an executor lists in one answer.
constexpr size_t kMaxEndsPerReply = 500;

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
  due_holds_.emplace(at, executor.boot.number);
}

void CellLeader::SendDueHolds() {
  if (!loaded_) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  while (!due_holds_.empty() && due_holds_.top().first <= now) {
    Executor* executor = by_number_[due_holds_.top().second];
    due_holds_.pop();
    if (executor != nullptr) {
      HoldIfDue(*executor, now);
    }
  }
  if (now >= next_check_) {
    next_check_ = now + kCheckInterval;
    CheckExecutors();
  }
}

void CellLeader::CheckExecutors() {
  const TimePoint now = context_.clock.Now();
  for (Executor* executor : by_number_) {
    if (executor != nullptr) {
      RetryStops(*executor);
      CheckUnresponsive(*executor);
      CheckOverdue(*executor);
      HoldIfDue(*executor, now);
    }
  }
}

void CellLeader::HoldIfDue(Executor& executor, TimePoint now) {
  if (!executor.listed && IsRetired(executor)) {
    return;  // Is only kept as calls to it may be under way.
  }
  // An executor that missed a call is called until it answers; it gets no
  // starts before that.
  const bool needed = !executor.boot.adopted || MayConfirm(executor) ||
                      executor.missed_holds > 0 || !executor.runs().empty() ||
                      executor.boot.ends_read > executor.boot.ends_confirmed ||
                      executor.check_requested ||
                      now - executor.boot.clock_read_at() > kMaxClockAge;
  if (needed && !executor.hold_in_flight && now >= executor.next_hold) {
    Hold(executor);
  }
}

void CellLeader::Hold(Executor& executor) {
  const TimePoint now = context_.clock.Now();
  HoldRequest request;
  request.address = executor.entry.address;
  request.executor = executor.entry.id;
  request.fence = executor.fence;
  // A restarted executor keeps its ID and restarts its end numbers. If it were
  // sent the acknowledgement of the earlier incarnation, it would discard its
  // own ends. So after a gap without answers its incarnation is checked first.
  const bool same_incarnation =
      executor.boot.adopted && executor.missed_holds == 0 &&
      now - executor.boot.last_answer < kFreshAnswerTime;
  request.ends_stored = same_incarnation ? executor.boot.ends_stored : 0;
  // A predecessor that need not ask this member may start what runs on an
  // executor out of its reach again, once its own leases there have expired.
  const bool may_be_restarted =
      predecessor_authority_end_ - begin_time_ > kFencingDelay &&
      PredecessorMayRestartRunsOn(executor);
  // The clock of an earlier incarnation may be far ahead, and a lease on it
  // long. A successor takes executors that are not stored as not called.
  const bool may_grant = executor.boot.adopted && executor.boot.confirmed &&
                         executor.boot.clock_known() && executor.stored &&
                         executor.missed_holds == 0 &&
                         IsSameIncarnation(executor, now) && !may_be_restarted;
  if (may_grant) {
    request.lease_until =
        executor.boot.EarliestClockAt(GrantTime(now)) + options_.lease;
    executor.boot.OnDeadlineSent(*request.lease_until);
    executor.deadline_sent = now;
  }
  const bool may_wait = may_grant &&
                        executor.boot.ends_read == executor.boot.ends_stored &&
                        !executor.runs().empty();
  request.wait = may_wait ? options_.hold_wait : Millis(0);
  // The first list after its deadline resolves an unanswered start.
  for (const auto& [name, run] : executor.runs()) {
    if (run.phase == RunPhase::kStartUnconfirmed) {
      const Millis left =
          run.start_until - executor.boot.ClockAt(now) + kStartResolveMargin;
      request.wait = std::clamp(left, Millis(0), request.wait);
    }
  }
  executor.check_requested = false;
  executor.hold_in_flight = true;
  executor.hold_sent = now;
  ++counts_.holds;
  context_.executors.Hold(
      request, Guard([this, id = executor.entry.id,
                      call = SentHold{now, request.address, request.fence,
                                      request.ends_stored}](
                         const HoldReply& reply) { OnHold(id, call, reply); }));
}

void CellLeader::OnHold(const ExecutorId& id,
                        const SentHold& call,
                        const HoldReply& reply) {
  Executor* const found = FindExecutor(id);
  if (found == nullptr) {
    return;
  }
  Executor& executor = *found;
  executor.hold_in_flight = false;
  const TimePoint now = context_.clock.Now();
  if (reply.result == OrderResult::kFenced) {
    if (ExpectsFence(id, call.fence)) {
      OnFenced("executor " + id + " has seen a newer leader");
    } else {
      ScheduleHold(executor, now);
    }
    return;
  }
  if (reply.result == OrderResult::kWrongIncarnation &&
      call.address != executor.entry.address) {
    ScheduleHold(executor, now);  // at its new address
    return;
  }
  if (reply.result == OrderResult::kWrongIncarnation) {
    OnFenceSeen(id);
    MarkAllRunsLost(executor, "another executor answers at its address");
    if (executor.boot.adopted) {
      SetBoot(executor, executor.boot.incarnation);
    }
    unread_executors_.erase(id);
    ScheduleHold(executor, now + kMaxMissedHoldRetry);
    RequestSchedulingPass();
    return;
  }
  if (reply.result == OrderResult::kOk) {
    OnFenceSeen(id);
  }
  if (reply.result == OrderResult::kOk &&
      reply.unreadable_row != executor.boot.unreadable_row) {
    executor.boot.unreadable_row = reply.unreadable_row;
    if (!reply.unreadable_row.empty()) {
      context_.log.Write(Event::kExecutorRowRejected,
                         {{"executor", id}, {"row", reply.unreadable_row}});
    }
  }
  if (reply.result != OrderResult::kOk || MayHideRun(executor, reply)) {
    ++executor.missed_holds;
    if (executor.missed_holds == 2) {
      context_.log.Write(
          Event::kExecutorSilent,
          {{"executor", id}, {"runs", std::to_string(executor.runs().size())}});
    }
    ScheduleHold(executor, now + Backoff(kMissedHoldRetry, kMaxMissedHoldRetry,
                                         executor.missed_holds));
    return;
  }
  if (reply.incarnation != 0 && executor.boot.incarnation != 0 &&
      reply.incarnation != executor.boot.incarnation) {
    OnRestarted(executor, call, reply);
  }
  ExecutorBoot& boot = executor.boot;
  if (reply.incarnation != 0) {
    boot.incarnation = reply.incarnation;
  }
  executor.missed_holds = 0;
  boot.last_answer = now;
  boot.answered_hold_sent = call.sent;
  boot.OnClock(reply.executor_clock, call.sent, now);
  boot.ends_confirmed =
      std::max(boot.ends_confirmed, std::min(call.ends_stored, boot.ends_read));
  if (!boot.confirmed) {
    ConfirmBoot(executor, call);
  }
  if (!boot.adopted) {
    boot.adopted = true;
    context_.log.Write(
        Event::kExecutorAdopted,
        {{"executor", id},
         {"running", std::to_string(reply.running.size())},
         {"ended", std::to_string(reply.ended.size())},
         {"fence", std::to_string(call.fence)},
         {"born", std::to_string(reply.incarnation)},
         {"clock_ms", std::to_string(reply.executor_clock.count())},
         {"until_ms", std::to_string(boot.max_deadline().count())}});
  }
  // A task whose end is not listed yet must not be started again.
  if (reply.ended.size() < kMaxEndsPerReply) {
    unread_executors_.erase(id);
  }
  ApplyEnds(executor, reply.ended);
  ApplyRunning(executor, reply, call.sent);
  ReportFullEnds(executor, reply);
  if (executor.boot.ends_read > executor.boot.ends_stored) {
    ScheduleHold(executor, now + kUnstoredEndsHoldDelay);
    Flush();
  } else {
    // An end without a number is never acknowledged, and a boot that is not
    // confirmed gets no lease to wait for, so that the next call also returns
    // immediately. A new fence is sent at once.
    const bool may_wait = reply.unreadable_row.empty() && boot.confirmed;
    ScheduleHold(executor,
                 now + (may_wait ? kMinHoldInterval : kUnstoredEndsHoldDelay));
  }
  RequestSchedulingPass();
}

void CellLeader::OnFenceSeen(const ExecutorId& id) {
  if (unfenced_executors_.erase(id) > 0) {
    last_fenced_ = context_.clock.Now();
  }
}

// Whether the executor may run a task that is neither in the answer nor among
// the runs that this leader keeps for it. The answer is then treated as
// missing, so that the leases there are not renewed and expire.
bool CellLeader::MayHideRun(const Executor& executor,
                            const HoldReply& reply) const {
  const bool new_incarnation = reply.incarnation != 0 &&
                               executor.boot.incarnation != 0 &&
                               reply.incarnation != executor.boot.incarnation;
  return !reply.running_complete &&
         ((new_incarnation && !executor.runs().empty()) ||
          (!executor.boot.adopted && !PredecessorLeasesExpired(executor)));
}

void CellLeader::ApplyEnds(Executor& executor,
                           const std::vector<EndedTask>& ends) {
  for (const EndedTask& end : ends) {
    if (end.number <= executor.boot.ends_read) {
      continue;
    }
    executor.boot.ends_read = end.number;
    UnstoredEnd& unstored = executor.boot.unstored_ends.emplace_back();
    unstored.number = end.number;
    if (!end.task.empty()) {
      ++counts_.ends;
      ApplyEnd(executor, end, unstored);
    }
  }
  // Ends that changed no job need no write.
  AcknowledgeEnds(executor);
  if (!executor.boot.unstored_ends.empty()) {
    executors_with_unstored_ends_.insert(executor.boot.number);
  }
}

void CellLeader::ApplyEnd(Executor& executor,
                          const EndedTask& end,
                          UnstoredEnd& unstored) {
  const std::optional<TaskName> name = TaskName::Parse(end.task);
  Run* run = executor.FindRun(end.task);
  Duration took{0};
  if (run != nullptr && run->number == end.run) {
    took = context_.clock.Now() - (run->running_since == TimePoint()
                                       ? run->start_sent
                                       : run->running_since);
    if (run->IsStartUnconfirmed()) {
      OnRunBegan(*run, executor);
    }
    executor.RemoveRun(end.task);
  }
  context_.log.Write(Event::kTaskEnded,
                     {{"task", end.task},
                      {"run", std::to_string(end.run)},
                      {"executor", executor.entry.id},
                      {"end", std::string(RunEndName(end.end))}});
  if (!name) {
    return;
  }
  unstored.job = name->job;
  if (IsUnread(name->job)) {
    AddUnreadJob(name->job).ends.push_back(
        {executor.entry.id, executor.boot.incarnation, end});
    return;
  }
  ApplyEndToTask(executor, end, *name, took);
  unstored.change = progress_queue_.LastChangeOf(name->job);
}

void CellLeader::ApplyEndToTask(Executor& executor,
                                const EndedTask& end,
                                const TaskName& name,
                                Duration took) {
  const TimePoint now = context_.clock.Now();
  Step* step = OpenStepOf(name);
  if (step == nullptr) {
    return;
  }
  Job& job = *step->job;
  Task& task = step->tasks[static_cast<size_t>(name.index)];
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
  // A long-running task is started again however its run ends.
  if (end.end == RunEnd::kDone && !step->spec->long_running) {
    // Run times of resumed runs are not comparable to the declared one.
    const Duration whole = task.checkpoint.empty() ? took : Duration(0);
    executor.boot.health.OnDone(now - took, whole, step->spec->estimate, now);
    job.failures().OnDone(executor.boot.number);
    if (took > Duration(0)) {
      context_.metrics.Observe(Timer::kRun, job.queue().name, took);
    }
    if (whole > Duration(0) && step->spec->estimate > Millis(0)) {
      step->run_time_ratio_sum +=
          std::chrono::duration<double>(whole) /
          std::chrono::duration<double>(step->spec->estimate);
      ++step->run_time_ratio_count;
    }
    if (job.OnDone(*step, name.index)) {
      MarkDirty(job);
      StopCopies(*step, name.index);
      if (job.terminal()) {
        EndJob(job);
      } else if (step->Finished()) {
        job.UpdateReady(now);
        QueueWaitingSteps(job);
      }
    }
    return;
  }
  if (end.end == RunEnd::kFailed) {
    MarkDirty(job);
    const bool job_failed =
        job.OnFailed(*step, name.index, end.run, executor.entry.id);
    OnRunFailed(executor, job, now - took);
    if (job_failed) {
      EndJob(job);
    }
  }
  if (step->spec->gang) {
    StopGang(*step, end.run, "another gang member ended");
  }
  AddIfWaiting(*step);
}

void CellLeader::ApplyRunning(Executor& executor,
                              const HoldReply& reply,
                              TimePoint sent) {
  for (const RunningTask& row : reply.running) {
    Run* run = executor.FindRun(row.task);
    if (run == nullptr || run->number != row.run) {
      AdoptRun(executor, row);
      continue;
    }
    if (run->IsStartUnconfirmed()) {
      run->phase = RunPhase::kRunning;
      run->running_since = context_.clock.Now();
      OnRunBegan(*run, executor);
    }
    run->checkpoint = row.checkpoint;
    run->pace_percent = row.pace_percent;
    run->load_figure = row.load_figure;
  }
  DropMissingRuns(executor, reply, sent);
  PaceFillTasks(executor);
}

void CellLeader::AdoptRun(Executor& executor, const RunningTask& row) {
  const TimePoint now = context_.clock.Now();
  const std::optional<TaskName> name = TaskName::Parse(row.task);
  if (!name || executor.FindRun(row.task) != nullptr) {
    // Not a task of this cell, or a run that was given up before the current
    // one was ordered.
    context_.executors.Stop(executor.entry.address, executor.entry.id, row.task,
                            row.run, executor.fence, [](OrderReply) {});
    return;
  }
  Run& run = executor.AddRun(*name, row.run, OpenStepOf(*name), now);
  run.incarnation = executor.boot.incarnation;
  run.phase = RunPhase::kRunning;
  run.running_since = now;
  run.checkpoint = row.checkpoint;
  run.pace_percent = row.pace_percent;
  run.load_figure = row.load_figure;
  run.ordered_percent = row.pace_percent;
  run.last_pace_order = now;  // perhaps by a predecessor
  if (IsUnread(name->job)) {
    AddUnreadJob(name->job).executors.insert(executor.entry.id);
  } else {
    StopUnlessWanted(executor, run);
  }
}

void CellLeader::StopUnlessWanted(Executor& executor, Run& run) {
  Step* step = run.step;
  const auto index = static_cast<size_t>(run.name.index);
  bool wanted =
      step != nullptr && !step->job->terminal() && !step->tasks[index].done;
  if (wanted) {
    step->job->set_any_started();
    step->gang_run = std::max(step->gang_run, run.number);
    const Task& task = step->tasks[index];
    wanted = task.live <= 1 || step->spec->copies_allowed;
  }
  if (!wanted) {
    StopRun(executor, run, "run not needed");
  } else {
    OnRunBegan(run, executor);
  }
}

void CellLeader::DropMissingRuns(Executor& executor,
                                 const HoldReply& reply,
                                 TimePoint sent) {
  // The missing runs may be in the rows that could not be read.
  if (!reply.running_complete) {
    return;
  }
  // Or they have ended and their ends are beyond the first page.
  const bool end_may_be_unread = reply.ended.size() >= kMaxEndsPerReply;
  std::set<std::string> listed;
  for (const RunningTask& row : reply.running) {
    listed.insert(row.task);
  }
  std::vector<std::string> missing;
  for (const auto& [name, run] : executor.runs()) {
    // Orders to earlier boots are not executed once this one is confirmed.
    const bool superseded = run.incarnation != executor.boot.incarnation &&
                            run.running_since == TimePoint() &&
                            executor.boot.confirmed;
    if (listed.count(name) > 0 || (run.start_pending && !superseded)) {
      continue;
    }
    const bool was_running =
        run.running_since != TimePoint() && run.running_since < sent;
    const bool stopped = run.stop_confirmed && run.stop_confirmed_at < sent;
    // A start that was not executed by its deadline never will be by this
    // boot, on whose clock that is.
    const bool too_late = run.phase != RunPhase::kRunning &&
                          run.incarnation == executor.boot.incarnation &&
                          run.running_since == TimePoint() &&
                          reply.executor_clock > run.start_until;
    if (was_running || stopped || too_late || superseded) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    if (!end_may_be_unread) {
      MarkRunLost(executor, name, "not listed by the executor");
      continue;
    }
    Run& run = executor.runs().at(name);
    if (run.step != nullptr && run.phase != RunPhase::kEndUnread) {
      executor.ReleaseResources(run);
    }
  }
}

// The later ends are read only once the earlier ones are acknowledged, so that
// no job with such an end can be completed.
void CellLeader::ReportFullEnds(Executor& executor, const HoldReply& reply) {
  ExecutorBoot& boot = executor.boot;
  const TimePoint now = context_.clock.Now();
  if (reply.ended.size() < kMaxEndsPerReply) {
    boot.ends_full_since = TimePoint();
    boot.ends_full_reported = false;
    return;
  }
  if (boot.ends_full_since == TimePoint()) {
    boot.ends_full_since = now;
  }
  if (boot.ends_full_reported || boot.unstored_ends.empty() ||
      now - boot.ends_full_since < kFullEndsReportDelay) {
    return;
  }
  boot.ends_full_reported = true;
  const auto unread = std::count_if(
      executor.runs().begin(), executor.runs().end(), [](const auto& entry) {
        return entry.second.phase == RunPhase::kEndUnread;
      });
  const UnstoredEnd& oldest = boot.unstored_ends.front();
  context_.log.Write(Event::kExecutorEndsFull,
                     {{"executor", executor.entry.id},
                      {"ends", std::to_string(reply.ended.size())},
                      {"unread_runs", std::to_string(unread)},
                      {"oldest_job", oldest.job},
                      {"waits_for", std::string(ReasonOfUnstoredEnd(oldest))}});
}

void CellLeader::MarkAllRunsLost(Executor& executor, const char* reason) {
  std::vector<std::string> names;
  for (const auto& [name, run] : executor.runs()) {
    names.push_back(name);
  }
  for (const std::string& name : names) {
    MarkRunLost(executor, name, reason);
  }
}

void CellLeader::MarkRunLost(Executor& executor,
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
    StopGang(step, run.number, "another gang member was lost");
  }
  AddIfWaiting(step);
  RequestSchedulingPass();
}

bool CellLeader::IsSameIncarnation(const Executor& executor,
                                   TimePoint now) const {
  return now - executor.boot.last_answer < kFreshAnswerTime ||
         now - entries_begin_ < kMaxEntryAge;
}

void CellLeader::RequestCheck(Executor& executor) {
  executor.check_requested = true;
  if (!executor.hold_in_flight) {
    ScheduleHold(executor, std::max(context_.clock.Now(), executor.next_hold));
  }
}

bool CellLeader::IsUsable(const Executor& executor) const {
  const ExecutorBoot& boot = executor.boot;
  // The kind of a new boot is known once its own entry has been read.
  const bool kind_known = boot.incarnation == executor.entry.incarnation ||
                          executor.entry.incarnation == 0;
  // The stored list names this boot, so that a successor need not allow for
  // late calls to another one.
  const bool stored =
      executor.stored && executor.stored_incarnation == boot.incarnation;
  return boot.adopted && boot.confirmed && kind_known && executor.listed &&
         stored && !executor.entry.draining && !executor.cordoned &&
         executor.missed_holds == 0 && boot.clock_known();
}

}  // namespace chivedale::cell
