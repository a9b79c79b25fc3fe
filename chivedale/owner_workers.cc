#include <set>

#include "chivedale/owner_agent_impl.h"

// Events from workers. The worker's state is authoritative: a task that it
// lists is running, and a task with a completion has ended. A task in neither
// may have ended with a completion that is still to come.
namespace chivedale {
namespace {

// WorkerTaken is not acknowledged, so it is sent this many times.
constexpr int kAnnouncementCount = 3;
constexpr Millis kAnnounceInterval{1'000};

}  // namespace

void OwnerAgent::Impl::OnRead(WorkerRecord& worker,
                              const std::vector<RunningTask>& tasks,
                              const std::vector<Completion>& completions,
                              bool reboot) {
  CallScope scope(*this);
  Log(Event::kWorkerClaimed,
      {{"worker", worker.id.str()},
       {"token", std::to_string(worker.lease.token().token)}});
  for (const Completion& completion : completions) {
    OnCompletion(worker, completion);
  }
  for (const RunningTask& task : tasks) {
    OnListedTask(worker, task);
  }
  SettleUnlisted(worker, tasks, reboot);
  SettleMoved(worker);
  if (worker.taken_over || reboot) {
    announcements_[worker.id] = {
        kAnnouncementCount, reboot, worker.lease.token().token, {}};
    Announce(worker, reboot);
  }
  SendAnswers();
}

void OwnerAgent::Impl::OnListedTask(WorkerRecord& worker,
                                    const RunningTask& task) {
  if (relay_.Find(task.key) != nullptr) {
    return;  // it ended between the reads of the list and the completions
  }
  const util::TimePoint started = clock_.Now() - task.running_for;
  if (Attempt* attempt = tracker_.Find(task.key)) {
    if (attempt->state != AttemptState::kRunning) {
      Log(Event::kStartResolved,
          {{"task", task.key.task.str()}, {"ran", "yes"}});
      SetRunning(*attempt, started);
    }
    attempt = tracker_.Find(task.key);
    if (attempt != nullptr) {
      attempt->unlisted = util::TimePoint();
    }
    return;
  }
  Attempt attempt;
  attempt.key = task.key;
  attempt.entry = task.entry;
  attempt.kind = task.kind;
  attempt.declared = task.size;
  attempt.size = task.size;
  attempt.worker = worker.id;
  attempt.token = worker.lease.token();
  attempt.state = AttemptState::kRunning;
  attempt.inherited = true;
  attempt.repeatable = task.repeatable;
  attempt.started = started;
  tracker_.Add(std::move(attempt));
  worker.allocations.Add(task.key,
                         {task.size, AttemptState::kRunning, started});
  health_.OnStart(worker.id);
  if (gone_entries_.count(task.entry) != 0) {
    AdoptAttempt(task.key, task.entry, task.repeatable);
  }
}

void OwnerAgent::Impl::SettleUnlisted(WorkerRecord& worker,
                                      const std::vector<RunningTask>& tasks,
                                      bool reboot) {
  std::set<TaskKey> listed;
  for (const RunningTask& task : tasks) {
    listed.insert(task.key);
  }
  const util::TimePoint now = clock_.Now();
  std::vector<TaskKey> unlisted;
  for (const auto& [key, item] : worker.allocations.items()) {
    if (listed.count(key) == 0) {
      unlisted.push_back(key);
    }
  }
  for (const TaskKey& key : unlisted) {
    Attempt* attempt = tracker_.Find(key);
    if (attempt == nullptr) {
      worker.allocations.Remove(key);
    } else if (reboot) {
      EndUnknown(key);
    } else if (attempt->state == AttemptState::kRunning) {
      attempt->unlisted =
          attempt->unlisted == util::TimePoint() ? now : attempt->unlisted;
    } else if (attempt->state == AttemptState::kUnknown) {
      // If the lease was lost in between, the entry may have started the task
      // elsewhere, so the start is not resent.
      if (worker.taken_over || attempt->stop != StopReason::kNone) {
        EndUnknown(key);
      } else {
        StartAgain(*attempt, worker.lease.token());
      }
    }
    // A start whose call is still in flight is settled when the call ends.
  }
}

void OwnerAgent::Impl::OnCompletions(
    WorkerRecord& worker,
    const std::vector<Completion>& completions) {
  CallScope scope(*this);
  for (const Completion& completion : completions) {
    OnCompletion(worker, completion);
  }
  Update(worker);
  SendAnswers();
}

void OwnerAgent::Impl::OnCompletion(WorkerRecord& worker,
                                    const Completion& completion) {
  const CompletionRelay::Origin origin{worker.id, worker.lease.token().boot_id,
                                       completion.sequence};
  if (relay_.IsAcknowledged(origin)) {
    return;
  }
  Answer answer;
  answer.key = completion.key;
  answer.worker = worker.id;
  answer.ok = completion.ok;
  answer.error = completion.error;
  answer.ran = completion.ran;
  answer.checkpointed = completion.checkpointed;
  answer.run_time = completion.run_time;
  answer.payload = completion.payload;
  MemberId entry = completion.entry;
  bool repeatable = completion.repeatable;
  if (Attempt* found = tracker_.Find(completion.key)) {
    if (found->state != AttemptState::kRunning) {
      Reply(*found, DispatchOutcome::kAccepted);
    }
    const Attempt attempt = *found;
    entry = attempt.entry;
    repeatable = attempt.repeatable;
    if (!answer.ok && attempt.stop == StopReason::kTimedOut &&
        answer.error == ErrorKind::kCancelledRunning) {
      answer.error = ErrorKind::kTimedOut;
    }
    worker.allocations.Remove(attempt.key);
    ObserveEnd(worker, attempt, completion);
    tracker_.Decide(attempt.key,
                    {entry, attempt.sequence, DispatchOutcome::kAccepted,
                     worker.id, attempt.token, false});
  }
  relay_.Add(answer, entry, origin);
  if (gone_entries_.count(entry) != 0) {
    AdoptAttempt(completion.key, entry, repeatable);
  } else {
    SendToAttached(completion.key);
  }
}

void OwnerAgent::Impl::ObserveEnd(WorkerRecord& worker,
                                  const Attempt& attempt,
                                  const Completion& completion) {
  if (completion.ok) {
    run_times_.emplace_back(attempt.kind, completion.run_time);
  }
  // The size listed for an earlier owner's attempt is the corrected one, not
  // the declared one.
  if (!attempt.inherited) {
    // A run that was cut short gives a lower bound on the usage.
    usage_.Observe(attempt.kind, attempt.declared, completion.peak_used,
                   completion.ok ? completion.run_time : Millis(0),
                   worker.report.lag);
  }
  if (completion.ok || completion.error == ErrorKind::kTaskFailed) {
    const bool failing = health_.failing(worker.id);
    health_.OnEnd(worker.id, attempt.kind, completion.ok);
    if (failing != health_.failing(worker.id)) {
      Log(failing ? Event::kWorkerRecovered : Event::kWorkerFailing,
          {{"worker", worker.id.str()}});
    }
  } else {
    health_.OnNotStarted(worker.id);
  }
}

void OwnerAgent::Impl::OnChange(WorkerRecord& worker) {
  CallScope scope(*this);
  Update(worker);
}

// Attempts that have ended are included until their entry has acknowledged the
// answer, so that it does not consider them lost.
void OwnerAgent::Impl::Announce(WorkerRecord& worker, bool reboot) {
  Announcement& announcement = announcements_[worker.id];
  --announcement.left;
  announcement.next = clock_.Now() + kAnnounceInterval;
  if (worker.lease.state() != LeaseState::kOwned) {
    return;
  }
  WorkerTaken taken;
  taken.worker = worker.id;
  taken.owner = self_.id;
  taken.token = worker.lease.token().token;
  taken.boot_id = worker.lease.token().boot_id;
  taken.reboot = reboot;
  std::set<MemberId> entries;
  for (const auto& [key, item] : worker.allocations.items()) {
    const Attempt* attempt = tracker_.Find(key);
    // An own start without an outcome must not be reported as running.
    if (attempt != nullptr && attempt->state == AttemptState::kRunning) {
      taken.running.push_back(key);
      entries.insert(attempt->entry);
    }
  }
  for (const TaskKey& key : relay_.KeysOf(worker.id)) {
    taken.running.push_back(key);
    entries.insert(relay_.Find(key)->entry);
  }
  SendToAll(taken);
  for (const MemberId& entry : entries) {
    if (!IsMember(entry) && gone_entries_.count(entry) == 0) {
      Send(entry, taken);
    }
  }
}

void OwnerAgent::Impl::OnTakenOver(WorkerRecord& worker) {
  CallScope scope(*this);
  Log(Event::kWorkerLost, {{"worker", worker.id.str()}});
  Forget(worker);
}

void OwnerAgent::Impl::OnReleased(WorkerRecord& worker, const MemberId& next) {
  CallScope scope(*this);
  Log(Event::kWorkerReleased,
      {{"worker", worker.id.str()}, {"next", next.str()}});
  Forget(worker);
  if (!next.empty() && next != self_.id) {
    Send(next, Handover{{worker.id}});
  }
}

// A start whose call is in flight is kept until the call ends. For the other
// attempts the decision is kept, so that a delayed copy of a dispatch starts
// nothing.
void OwnerAgent::Impl::Forget(WorkerRecord& worker) {
  std::vector<TaskKey> keys;
  for (const auto& [key, item] : worker.allocations.items()) {
    keys.push_back(key);
  }
  worker.allocations.Clear();
  for (const TaskKey& key : keys) {
    adopted_.Forget(key);
    const Attempt* attempt = tracker_.Find(key);
    if (attempt == nullptr || attempt->state == AttemptState::kStarting) {
      continue;
    }
    const auto outcome = attempt->state == AttemptState::kRunning
                             ? DispatchOutcome::kAccepted
                             : DispatchOutcome::kUnknown;
    moved_attempts_[worker.id].push_back(*attempt);
    tracker_.Decide(key, {attempt->entry, attempt->sequence, outcome, worker.id,
                          attempt->token, false});
  }
  for (const TaskKey& key : relay_.KeysOf(worker.id)) {
    adopted_.Forget(key);
  }
  relay_.ForgetWorker(worker.id);
  health_.Forget(worker.id);
  announcements_.erase(worker.id);
  Update(worker);
}

// The owner in between may have died before it notified the entries.
void OwnerAgent::Impl::SettleMoved(WorkerRecord& worker) {
  auto it = moved_attempts_.find(worker.id);
  if (it == moved_attempts_.end()) {
    return;
  }
  const std::vector<Attempt> moved = std::move(it->second);
  moved_attempts_.erase(it);
  for (const Attempt& attempt : moved) {
    if (tracker_.Find(attempt.key) == nullptr &&
        relay_.Find(attempt.key) == nullptr) {
      AnswerUnknown(attempt);
    }
  }
}

void OwnerAgent::Impl::OnAllTasksEnded(WorkerRecord& worker) {
  CallScope scope(*this);
  Log(Event::kWorkerLost, {{"worker", worker.id.str()}});
  std::vector<TaskKey> keys;
  for (const auto& [key, item] : worker.allocations.items()) {
    keys.push_back(key);
  }
  for (const TaskKey& key : keys) {
    if (tracker_.Find(key) != nullptr) {
      EndUnknown(key);
    }
  }
  worker.allocations.Clear();
  SendAnswers();
}

std::vector<uint64_t> OwnerAgent::Impl::AcksFor(
    const WorkerRecord& worker) const {
  return relay_.AcksFor(worker.id, worker.lease.token().boot_id);
}

void OwnerAgent::Impl::OnAcksDelivered(WorkerRecord& worker,
                                       const std::vector<uint64_t>& acks) {
  relay_.OnAcksDelivered(worker.id, worker.lease.token().boot_id, acks);
}

}  // namespace chivedale
