// Owners have no queue: an attempt is sent only when some owner reports room,
// and a refused attempt returns to its position in the queue of this entry. The
// loss of an owner therefore loses no waiting work, and the order of service is
// decided in one place. A message may be lost with its connection, so each
// attempt is resent under the same sequence number until the owner answers.
#include "chivedale/dispatcher.h"

#include <utility>
#include <vector>

namespace chivedale {

Dispatcher::Dispatcher(Deps deps, MemberId self, Options options)
    : deps_(deps), self_(std::move(self)), options_(options) {}

QueuedItem Dispatcher::ItemOf(const DispatchTask& task) {
  QueuedItem item;
  item.task = task.dispatch.key.task;
  item.kind = task.dispatch.kind;
  item.urgency = task.dispatch.urgency;
  item.size = task.dispatch.size;
  item.cost = task.cost;
  item.enqueued = task.enqueued;
  item.deadline = task.deadline;
  item.not_before = task.not_before;
  return item;
}

void Dispatcher::Enqueue(DispatchTask task, AttemptListener& listener) {
  Insert(std::move(task), listener, /*requeue=*/false);
}

void Dispatcher::Requeue(DispatchTask task, AttemptListener& listener) {
  Insert(std::move(task), listener, /*requeue=*/true);
}

void Dispatcher::Insert(DispatchTask task,
                        AttemptListener& listener,
                        bool requeue) {
  task.dispatch.entry = self_;
  const QueuedItem item = ItemOf(task);
  if (requeue) {
    deps_.queue.PutBack(item);
  } else {
    deps_.queue.Push(item);
  }
  Attempt& attempt = attempts_[item.task];
  attempt = Attempt();
  attempt.task = std::move(task);
  attempt.listener = &listener;
}

bool Dispatcher::Withdraw(const TaskId& task) {
  auto it = attempts_.find(task);
  if (it == attempts_.end() || it->second.phase != Phase::kQueued) {
    return false;
  }
  deps_.queue.Remove(task);
  attempts_.erase(it);
  return true;
}

void Dispatcher::Forget(const TaskId& task) {
  auto it = attempts_.find(task);
  if (it == attempts_.end() || Withdraw(task)) {
    return;
  }
  const Dispatch& dispatch = it->second.task.dispatch;
  deps_.limits.OnEnd(dispatch.kind, dispatch.size);
  sent_.erase(task);
  attempts_.erase(it);
}

bool Dispatcher::Stop(const TaskId& task, bool checkpoint) {
  auto it = attempts_.find(task);
  if (it == attempts_.end() || it->second.phase == Phase::kQueued) {
    return false;
  }
  Attempt& attempt = it->second;
  attempt.cancelled = !checkpoint;
  deps_.sender.SendToMember(attempt.owner,
                            Cancel{attempt.task.dispatch.key, checkpoint});
  return true;
}

void Dispatcher::DispatchQueued() {
  if (dispatching_) {
    return;
  }
  dispatching_ = true;
  for (int i = 0; i < options_.max_pops_per_call; ++i) {
    const util::TimePoint begin = deps_.clock.Now();
    std::optional<MemberId> target;
    std::optional<QueuedItem> item =
        deps_.queue.PopFirst([&](const QueuedItem& candidate) {
          target = ChooseOwner(candidate);
          return target.has_value();
        });
    if (!item) {
      break;
    }
    auto it = attempts_.find(item->task);
    if (it == attempts_.end()) {
      continue;
    }
    it->second.item = *item;
    SendTo(*target, it->second);
    deps_.metrics.Observe(Timer::kDecision, item->kind,
                          deps_.clock.Now() - begin);
  }
  dispatching_ = false;
}

std::optional<MemberId> Dispatcher::ChooseOwner(const QueuedItem& item) {
  if (!deps_.limits.MayStart(item.kind, item.size)) {
    return std::nullopt;
  }
  auto it = attempts_.find(item.task);
  if (it != attempts_.end() && !it->second.listener->MayStart(item.task)) {
    return std::nullopt;
  }
  if (deps_.owner.HasCapacity(item.size)) {
    return self_;
  }
  const RegionRule region =
      it == attempts_.end() ? RegionRule::kHome : it->second.task.region;
  if (!deps_.routing.HasRoom(item.size, region)) {
    return std::nullopt;
  }
  const auto waited =
      std::chrono::duration_cast<Millis>(deps_.clock.Now() - item.enqueued);
  return deps_.routing.Pick(item.size, region, waited);
}

void Dispatcher::SendTo(const MemberId& owner, Attempt& attempt) {
  Dispatch& dispatch = attempt.task.dispatch;
  const TaskId task = dispatch.key.task;
  dispatch.key.attempt = attempt.listener->NextAttempt(task);
  dispatch.sequence = ++sequence_;
  attempt.phase = Phase::kSent;
  attempt.owner = owner;
  attempt.worker = WorkerId();
  attempt.sent_at = deps_.clock.Now();
  attempt.owner_lost_at = util::TimePoint();
  sent_[task] = true;
  deps_.limits.OnStart(dispatch.kind, dispatch.size);
  deps_.metrics.Count(Counter::kAttempts);
  if (owner == self_) {
    deps_.owner.OnDispatch(dispatch);
    return;
  }
  deps_.metrics.Count(Counter::kDispatchesRemote);
  if (deps_.routing.IsRemoteRegion(owner)) {
    deps_.metrics.Count(Counter::kDispatchesCrossRegion);
  }
  deps_.routing.OnDispatched(owner, dispatch.size);
  if (!deps_.sender.SendToMember(owner, dispatch)) {
    deps_.routing.OnNoRoom(owner, dispatch.size);
    ReturnToQueue(attempt);
  }
}

void Dispatcher::ReturnToQueue(Attempt& attempt) {
  const Dispatch& dispatch = attempt.task.dispatch;
  deps_.limits.OnEnd(dispatch.kind, dispatch.size);
  deps_.routing.OnEnded(attempt.owner, dispatch.size);
  sent_.erase(dispatch.key.task);
  attempt.phase = Phase::kQueued;
  attempt.owner = MemberId();
  deps_.queue.PutBack(std::move(attempt.item));
}

void Dispatcher::EndNotStarted(Attempt& attempt) {
  if (!attempt.cancelled) {
    ReturnToQueue(attempt);
    return;
  }
  Answer answer;
  answer.key = attempt.task.dispatch.key;
  answer.error = ErrorKind::kCancelled;
  answer.ran = Ran::kNo;
  End(attempt.owner, answer);
}

Dispatcher::Attempt* Dispatcher::FindSent(const TaskKey& key) {
  return IsSent(key) ? &attempts_.at(key.task) : nullptr;
}

void Dispatcher::OnDispatchReply(const MemberId& owner,
                                 const DispatchReply& reply) {
  if (reply.summary) {
    deps_.routing.OnSummary(*reply.summary);
  }
  Attempt* attempt = FindSent(reply.key);
  if (attempt == nullptr || attempt->owner != owner ||
      attempt->task.dispatch.sequence != reply.sequence ||
      attempt->phase != Phase::kSent) {
    return;
  }
  switch (reply.outcome) {
    case DispatchOutcome::kAccepted:
      attempt->phase = Phase::kRunning;
      attempt->worker = reply.worker;
      attempt->token = reply.token;
      attempt->boot_id = reply.boot_id;
      attempt->listener->OnAttemptStarted(owner, reply);
      return;
    case DispatchOutcome::kUnknown:
      // The owner resolves the start and then sends an Answer or another reply.
      attempt->worker = reply.worker;
      attempt->token = reply.token;
      attempt->boot_id = reply.boot_id;
      attempt->sent_at = deps_.clock.Now();
      deps_.metrics.Count(Counter::kStartsUnknown);
      return;
    case DispatchOutcome::kInsufficientCapacity:
    case DispatchOutcome::kRefused:
      break;
  }
  deps_.metrics.Count(Counter::kDispatchesRefused);
  deps_.routing.OnNoRoom(owner, attempt->task.dispatch.size);
  EndNotStarted(*attempt);
}

void Dispatcher::OnAnswer(const MemberId& owner, const Answer& answer) {
  const Attempt* attempt = FindSent(answer.key);
  // A previous owner does not know the outcome of an attempt that the current
  // owner has, so from it only a definite end (a result, or Ran::kYes) is
  // accepted.
  const bool from_previous_owner = attempt != nullptr && !answer.ok &&
                                   answer.ran != Ran::kYes &&
                                   attempt->owner != owner;
  bool acknowledge = true;
  if (attempt == nullptr || from_previous_owner) {
    deps_.metrics.Count(Counter::kLateAnswers);
  } else {
    acknowledge = End(owner, answer);
  }
  // Acknowledged only after the result has been accepted, so that the worker
  // keeps the completion until then.
  if (acknowledge) {
    deps_.sender.SendToMember(owner, AnswerAck{answer.key});
  }
}

bool Dispatcher::End(const MemberId& owner, const Answer& answer) {
  auto it = attempts_.find(answer.key.task);
  AttemptListener* listener = it->second.listener;
  const DispatchTask task = std::move(it->second.task);
  deps_.routing.OnEnded(it->second.owner, task.dispatch.size);
  attempts_.erase(it);
  sent_.erase(answer.key.task);
  deps_.limits.OnEnd(task.dispatch.kind, task.dispatch.size);
  if (answer.run_time > Millis(0)) {
    const double expected_s =
        std::chrono::duration<double>(task.dispatch.expected_run).count();
    const double actual_s =
        std::chrono::duration<double>(answer.run_time).count();
    if (expected_s > 0) {
      deps_.queue.SettleCost(task.dispatch.kind, task.cost,
                             task.cost * actual_s / expected_s);
    }
    if (answer.ok) {
      deps_.run_times.Learn(task.dispatch.kind, answer.run_time);
      deps_.metrics.Observe(Timer::kRun, task.dispatch.kind, answer.run_time);
    }
  }
  return listener->OnAttemptEnded(owner, answer);
}

void Dispatcher::EndLostAttempt(const TaskId& task) {
  const Attempt& attempt = attempts_.at(task);
  Answer answer;
  answer.key = attempt.task.dispatch.key;
  answer.worker = attempt.worker;
  answer.error = ErrorKind::kOutcomeUnknown;
  answer.ran = Ran::kUnknown;
  End(attempt.owner, answer);
}

void Dispatcher::OnWorkerTakenOver(const WorkerTaken& taken) {
  for (const TaskKey& key : taken.running) {
    Attempt* attempt = FindSent(key);
    if (attempt == nullptr) {
      continue;
    }
    const bool newly_accepted = attempt->phase == Phase::kSent;
    attempt->phase = Phase::kRunning;
    attempt->owner = taken.owner;
    attempt->worker = taken.worker;
    attempt->token = taken.token;
    attempt->boot_id = taken.boot_id;
    attempt->owner_lost_at = util::TimePoint();
    if (newly_accepted) {
      DispatchReply reply;
      reply.key = key;
      reply.outcome = DispatchOutcome::kAccepted;
      reply.worker = taken.worker;
      reply.token = taken.token;
      reply.boot_id = taken.boot_id;
      attempt->listener->OnAttemptStarted(taken.owner, reply);
    }
  }
  std::vector<TaskId> ended;
  std::vector<TaskId> not_started;
  for (const auto& [task, sent] : sent_) {
    Attempt& attempt = attempts_.at(task);
    if (attempt.worker != taken.worker || attempt.owner == taken.owner) {
      continue;
    }
    if (attempt.boot_id != taken.boot_id) {
      // Boot ids are not ordered, so this list may be the older one. The
      // attempt is given up only if nothing is heard of it in time.
      MarkOwnerLost(attempt);
    } else if (attempt.token < taken.token) {
      // Only attempts started under an earlier token can be missing from this
      // list: a delayed list does not include later starts. If such an attempt
      // was accepted, it has ended; if not, the new token fences its start, so
      // it cannot start any more.
      const bool accepted = attempt.phase == Phase::kRunning;
      (accepted ? ended : not_started).push_back(task);
    }
  }
  for (const TaskId& task : ended) {
    EndLostAttempt(task);
  }
  for (const TaskId& task : not_started) {
    EndNotStarted(attempts_.at(task));
  }
}

void Dispatcher::OnMemberDead(const MemberId& member) {
  for (const auto& [task, sent] : sent_) {
    Attempt& attempt = attempts_.at(task);
    if (attempt.owner == member) {
      MarkOwnerLost(attempt);
    } else if (attempt.owner_lost_at != util::TimePoint()) {
      // This member may have been the next owner of the worker, so the wait
      // restarts.
      attempt.owner_lost_at = deps_.clock.Now();
      attempt.queried = false;
    }
  }
}

void Dispatcher::SetMembers(const std::vector<MemberInfo>& members) {
  members_.clear();
  for (const MemberInfo& member : members) {
    members_.insert(member.id);
  }
}

// The next owner of the worker may be unable to reach this entry, or its
// WorkerTaken message may have been lost, so silence during the orphan timeout
// proves nothing. Each member is queried; one that has not listed its workers
// yet does not reply.
bool Dispatcher::IsSettled(Attempt& attempt) {
  const util::TimePoint now = deps_.clock.Now();
  if (now >= attempt.task.deadline) {
    return true;  // reported as outcome unknown
  }
  if (now - attempt.owner_lost_at < options_.orphan_timeout) {
    return false;
  }
  if (!attempt.queried) {
    attempt.queried = true;
    attempt.awaited_replies = members_;
    attempt.query_at = now;
  }
  if (now >= attempt.query_at) {
    attempt.query_at = now + options_.resend_interval;
    JobQuery query;
    query.manager = self_;
    query.attempts.push_back({attempt.task.dispatch.key, attempt.worker});
    for (const MemberId& member : attempt.awaited_replies) {
      deps_.sender.SendToMember(member, query);
    }
  }
  return attempt.awaited_replies.empty();
}

void Dispatcher::OnQueryReply(const MemberId& member,
                              const JobQueryReply& reply) {
  for (const JobAttempt& found : reply.present) {
    Attempt* attempt = FindSent(found.key);
    if (attempt == nullptr || attempt->owner_lost_at == util::TimePoint()) {
      continue;
    }
    attempt->owner = member;
    attempt->worker = found.worker;
    attempt->phase = Phase::kRunning;
    attempt->owner_lost_at = util::TimePoint();
    attempt->queried = false;
  }
  for (const TaskKey& key : reply.absent) {
    if (Attempt* attempt = FindSent(key)) {
      attempt->awaited_replies.erase(member);
    }
  }
}

void Dispatcher::MarkOwnerLost(Attempt& attempt) {
  if (attempt.owner_lost_at == util::TimePoint()) {
    attempt.owner_lost_at = deps_.clock.Now();
    attempt.queried = false;
  }
}

void Dispatcher::Tick() {
  for (const QueuedItem& item : deps_.queue.TakeExpired()) {
    auto it = attempts_.find(item.task);
    if (it == attempts_.end()) {
      continue;
    }
    AttemptListener* listener = it->second.listener;
    attempts_.erase(it);
    listener->OnExpired(item.task);
  }
  const util::TimePoint now = deps_.clock.Now();
  std::vector<TaskId> lost;
  for (const auto& [task, sent] : sent_) {
    Attempt& attempt = attempts_.at(task);
    if (attempt.owner_lost_at != util::TimePoint()) {
      if (IsSettled(attempt)) {
        lost.push_back(task);
      }
      continue;
    }
    if (attempt.phase == Phase::kSent &&
        now - attempt.sent_at >= options_.resend_interval) {
      attempt.sent_at = now;
      Deliver(attempt.owner, attempt.task.dispatch);
    }
  }
  for (const TaskId& task : lost) {
    EndLostAttempt(task);
  }
}

void Dispatcher::Deliver(const MemberId& owner, const Dispatch& dispatch) {
  if (owner == self_) {
    deps_.owner.OnDispatch(dispatch);
  } else {
    deps_.sender.SendToMember(owner, dispatch);
  }
}

int64_t Dispatcher::sent() const {
  return static_cast<int64_t>(sent_.size());
}

bool Dispatcher::IsSent(const TaskKey& key) const {
  auto it = attempts_.find(key.task);
  return it != attempts_.end() && it->second.phase != Phase::kQueued &&
         it->second.task.dispatch.key == key;
}

bool Dispatcher::IsOpen(const TaskId& task) const {
  return attempts_.count(task) > 0;
}

}  // namespace chivedale
