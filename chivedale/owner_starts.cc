#include "chivedale/owner_agent_impl.h"

// Dispatches and their outcomes. A refusal is definite: a start that may have
// reached the worker is first resolved by claiming the worker again, which
// fences the start, and by reading the worker's tasks. If neither the list nor
// the completions show the attempt, its start is sent again: if the attempt has
// ended with a delayed completion, the worker replies kAttemptKnown; otherwise
// it starts now, as its entry expects.
namespace chivedale {
namespace {

// Number of placement attempts. A picked worker whose lease is about to expire
// is removed from the index and the next best one is tried.
constexpr int kMaxPlacementAttempts = 4;
// Maximum number of running attempts examined per preemption.
constexpr int kPreemptionCandidates = 64;
// Time for which a worker gets no starts after it refused one for lack of
// capacity or could not be connected.
constexpr Millis kRefusalPause{1'000};

}  // namespace

void OwnerAgent::Impl::OnDispatch(const Dispatch& dispatch) {
  if (RepeatDecision(dispatch)) {
    return;
  }
  // The request ids of an entry that was reported gone may have been freed
  // since.
  const bool entry_gone = gone_entries_.count(dispatch.entry) != 0;
  if (draining_ || entry_gone || tracker_.HasOtherAttempt(dispatch.key) ||
      IsOfEarlierManager(dispatch)) {
    Refuse(dispatch, DispatchOutcome::kRefused);
    return;
  }
  Resources size = usage_.Corrected(dispatch.kind, dispatch.size);
  WorkerRecord* worker = dispatch.worker.empty() ? Place(dispatch, &size)
                                                 : PlaceOnHold(dispatch, &size);
  if (worker == nullptr) {
    Preempt(dispatch);
    Refuse(dispatch, DispatchOutcome::kInsufficientCapacity);
    return;
  }
  Start(dispatch, *worker, size);
}

bool OwnerAgent::Impl::RepeatDecision(const Dispatch& dispatch) {
  if (Attempt* attempt = tracker_.Find(dispatch.key)) {
    const bool same_entry = attempt->entry == dispatch.entry;
    if (same_entry && !attempt->inherited &&
        dispatch.sequence < attempt->sequence) {
      return true;
    }
    // The next manager of a job takes over the attempt by dispatching it again.
    attempt->entry = dispatch.entry;
    attempt->sequence = dispatch.sequence;
    if (attempt->state != AttemptState::kStarting) {
      Reply(*attempt, attempt->state == AttemptState::kRunning
                          ? DispatchOutcome::kAccepted
                          : DispatchOutcome::kUnknown);
    }
    return true;
  }
  const Decision* found = tracker_.FindDecision(dispatch.key);
  if (const auto* pending = relay_.Find(dispatch.key)) {
    Decision decision;
    decision.outcome = DispatchOutcome::kAccepted;
    decision.worker = pending->answer.worker;
    if (found != nullptr) {
      decision.token = found->token;
    }
    ReplyWith(dispatch, decision);
    relay_.SetEntry(dispatch.key, dispatch.entry);
    SendAnswers();
    return true;
  }
  if (found == nullptr) {
    return false;
  }
  Decision decision = *found;
  const bool repeated = decision.entry == dispatch.entry &&
                        dispatch.sequence <= decision.sequence;
  const bool not_run =
      decision.outcome == DispatchOutcome::kInsufficientCapacity ||
      decision.outcome == DispatchOutcome::kRefused;
  if (!repeated && not_run && !decision.cancelled) {
    return false;
  }
  if (!repeated) {
    decision.outcome = DispatchOutcome::kRefused;
  }
  // Restarts the retention period, which must outlast the sender's retries.
  tracker_.Decide(dispatch.key, Decision(*found));
  ReplyWith(dispatch, decision);
  return true;
}

void OwnerAgent::Impl::ReplyWith(const Dispatch& dispatch,
                                 const Decision& decision) {
  DispatchReply reply;
  reply.key = dispatch.key;
  reply.sequence = dispatch.sequence;
  reply.outcome = decision.outcome;
  reply.worker = decision.worker;
  reply.token = decision.token.token;
  reply.boot_id = decision.token.boot_id;
  if (const WorkerRecord* worker = lease_manager_.Find(decision.worker)) {
    reply.rack = worker->vm.rack;
    reply.data_centre = worker->vm.data_centre.str();
  }
  if (decision.outcome == DispatchOutcome::kInsufficientCapacity ||
      decision.outcome == DispatchOutcome::kRefused) {
    reply.summary = CachedSummary();
  }
  Send(dispatch.entry, std::move(reply));
}

void OwnerAgent::Impl::Reply(const Attempt& attempt, DispatchOutcome outcome) {
  Dispatch dispatch;
  dispatch.key = attempt.key;
  dispatch.entry = attempt.entry;
  dispatch.sequence = attempt.sequence;
  Decision decision;
  decision.outcome = outcome;
  decision.worker = attempt.worker;
  decision.token = attempt.token;
  // An attempt inherited from an earlier owner has no dispatch to reply to,
  // unless it was dispatched here again.
  if (!attempt.inherited || attempt.sequence != 0) {
    ReplyWith(dispatch, decision);
  }
}

void OwnerAgent::Impl::Refuse(const Dispatch& dispatch,
                              DispatchOutcome outcome) {
  Decision decision;
  decision.entry = dispatch.entry;
  decision.sequence = dispatch.sequence;
  decision.outcome = outcome;
  ReplyWith(dispatch, decision);
  tracker_.Decide(dispatch.key, decision);
}

bool OwnerAgent::Impl::CanStart(const WorkerRecord& worker) const {
  const util::TimePoint now = clock_.Now();
  return worker.lease.CanStart(now) && !worker.leaving() &&
         !worker.needs_reclaim && now >= worker.no_starts_until;
}

WorkerRecord* OwnerAgent::Impl::Place(const Dispatch& dispatch,
                                      Resources* size) {
  for (int i = 0; i < kMaxPlacementAttempts; ++i) {
    const auto picked = placement_.Pick(*size, dispatch.avoid);
    if (!picked) {
      return nullptr;
    }
    WorkerRecord* worker = lease_manager_.Find(*picked);
    if (worker != nullptr && CanStart(*worker) &&
        size->FitsIn(worker->allocations.Free())) {
      return worker;
    }
    placement_.Remove(*picked);
    indexed_.erase(*picked);
  }
  return nullptr;
}

WorkerRecord* OwnerAgent::Impl::PlaceOnHold(const Dispatch& dispatch,
                                            Resources* size) {
  WorkerRecord* worker = lease_manager_.Find(dispatch.worker);
  if (worker == nullptr || !CanStart(*worker)) {
    return nullptr;
  }
  // Holds carry no kind, so they reserve the declared size and not the
  // corrected one.
  if (worker->allocations.TakeFromHold(dispatch.hold)) {
    *size = dispatch.size;
  }
  if (size->FitsIn(worker->allocations.Free())) {
    return worker;
  }
  Update(*worker);
  return nullptr;
}

void OwnerAgent::Impl::Start(const Dispatch& dispatch,
                             WorkerRecord& worker,
                             const Resources& size) {
  const util::TimePoint now = clock_.Now();
  Attempt attempt;
  attempt.key = dispatch.key;
  attempt.entry = dispatch.entry;
  attempt.sequence = dispatch.sequence;
  attempt.kind = dispatch.kind;
  attempt.declared = dispatch.size;
  attempt.size = size;
  attempt.worker = worker.id;
  attempt.token = worker.lease.token();
  attempt.urgency = dispatch.urgency;
  attempt.checkpoint = dispatch.checkpoint;
  attempt.repeatable = dispatch.repeatable;
  attempt.longest_run = dispatch.longest_run;
  attempt.started = now;

  attempt.payload = dispatch.payload;
  tracker_.Add(std::move(attempt));
  worker.allocations.Add(dispatch.key, {size, AttemptState::kStarting, now});
  health_.OnStart(worker.id);
  Update(worker);
  SendStart(*tracker_.Find(dispatch.key));
}

void OwnerAgent::Impl::SendStart(const Attempt& attempt) {
  StartRequest request;
  request.key = attempt.key;
  request.token = attempt.token;
  request.kind = attempt.kind;
  request.size = attempt.size;
  request.entry = attempt.entry;
  request.repeatable = attempt.repeatable;
  request.longest_run = attempt.longest_run;
  request.payload = attempt.payload;
  port_.Start(attempt.worker, request,
              [this, alive = std::weak_ptr<bool>(alive_), key = request.key,
               token = request.token](StartOutcome outcome) {
                if (!alive.expired()) {
                  CallScope scope(*this);
                  OnStarted(key, token, outcome);
                }
              });
}

void OwnerAgent::Impl::StartAgain(Attempt& attempt, const LeaseToken& token) {
  attempt.maybe_started = true;
  attempt.state = AttemptState::kStarting;
  attempt.token = token;
  lease_manager_.Find(attempt.worker)
      ->allocations.SetState(attempt.key, AttemptState::kStarting);
  SendStart(attempt);
}

void OwnerAgent::Impl::OnStarted(const TaskKey& key,
                                 const LeaseToken& token,
                                 StartOutcome outcome) {
  Attempt* attempt = tracker_.Find(key);
  // The attempt was settled meanwhile by a list, a completion or an expiry.
  if (attempt == nullptr || attempt->state != AttemptState::kStarting ||
      !(attempt->token == token)) {
    return;
  }
  WorkerRecord* worker = lease_manager_.Find(attempt->worker);
  const util::TimePoint now = clock_.Now();
  if (outcome == StartOutcome::kLeaving && worker != nullptr) {
    worker->refused_leaving = true;
  }
  const bool no_room = outcome == StartOutcome::kInsufficientCapacity;
  // These replies show that the worker does not have the attempt.
  const bool attempt_absent = no_room || outcome == StartOutcome::kLeaving;
  if ((no_room || outcome == StartOutcome::kNotSent) && worker != nullptr) {
    worker->no_starts_until = now + kRefusalPause;
    // The allocations are inaccurate or the capacity has changed, so the worker
    // is claimed and read again.
    worker->needs_reclaim = worker->needs_reclaim || no_room;
  }
  if (outcome == StartOutcome::kAccepted ||
      outcome == StartOutcome::kAttemptKnown) {
    SetRunning(*attempt, now);
  } else if (outcome == StartOutcome::kUnknown ||
             (attempt->maybe_started && !attempt_absent)) {
    // This send had no effect, but an earlier one may have had.
    OnStartUnknown(*attempt);
  } else {
    EndNotStarted(key, no_room ? DispatchOutcome::kInsufficientCapacity
                               : DispatchOutcome::kRefused);
  }
  // Done last because losing the lease may end further attempts.
  if (outcome == StartOutcome::kStaleToken && worker != nullptr) {
    lease_manager_.OnTokenDenied(*worker, token);
  }
  if (worker != nullptr) {
    Update(*worker);
    lease_manager_.Service(*worker);
  }
}

void OwnerAgent::Impl::OnStartUnknown(Attempt& attempt) {
  Log(Event::kStartUnknown,
      {{"task", attempt.key.task.str()}, {"worker", attempt.worker.str()}});
  attempt.state = AttemptState::kUnknown;
  Reply(attempt, DispatchOutcome::kUnknown);
  WorkerRecord* worker = lease_manager_.Find(attempt.worker);
  if (worker == nullptr || !worker->allocations.Has(attempt.key)) {
    // The worker's next owner reads the attempt there and notifies the entry.
    Decision decision{attempt.entry, attempt.sequence,
                      DispatchOutcome::kUnknown, attempt.worker, attempt.token};
    tracker_.Decide(attempt.key, decision);
    return;
  }
  worker->allocations.SetState(attempt.key, AttemptState::kUnknown);
  worker->needs_reclaim = true;
}

void OwnerAgent::Impl::SetRunning(Attempt& attempt, util::TimePoint started) {
  tracker_.SetRunning(attempt, started);
  Reply(attempt, DispatchOutcome::kAccepted);
  WorkerRecord* worker = lease_manager_.Find(attempt.worker);
  if (worker != nullptr && worker->allocations.Has(attempt.key)) {
    worker->allocations.SetState(attempt.key, AttemptState::kRunning);
    return;
  }
  Decision decision{attempt.entry, attempt.sequence, DispatchOutcome::kAccepted,
                    attempt.worker, attempt.token};
  tracker_.Decide(attempt.key, decision);
}

void OwnerAgent::Impl::EndNotStarted(const TaskKey& key,
                                     DispatchOutcome outcome) {
  const Attempt attempt = *tracker_.Find(key);
  if (WorkerRecord* worker = lease_manager_.Find(attempt.worker)) {
    worker->allocations.Remove(attempt.key);
    health_.OnNotStarted(attempt.worker);
    Update(*worker);
  }
  Decision decision;
  decision.entry = attempt.entry;
  decision.sequence = attempt.sequence;
  decision.outcome = outcome;
  tracker_.Decide(attempt.key, decision);
  Reply(attempt, outcome);
}

void OwnerAgent::Impl::EndUnknown(const TaskKey& key) {
  const Attempt attempt = *tracker_.Find(key);
  if (WorkerRecord* worker = lease_manager_.Find(attempt.worker)) {
    worker->allocations.Remove(attempt.key);
    health_.OnNotStarted(attempt.worker);
  }
  AnswerUnknown(attempt);
}

void OwnerAgent::Impl::AnswerUnknown(const Attempt& attempt) {
  Decision decision{attempt.entry, attempt.sequence, DispatchOutcome::kAccepted,
                    attempt.worker, attempt.token};
  tracker_.Decide(attempt.key, decision);
  Answer answer;
  answer.key = attempt.key;
  answer.worker = attempt.worker;
  answer.error = ErrorKind::kOutcomeUnknown;
  answer.ran = Ran::kUnknown;
  relay_.Add(answer, attempt.entry, {attempt.worker, "", 0});
  if (gone_entries_.count(attempt.entry) != 0) {
    AdoptAttempt(attempt.key, attempt.entry, attempt.repeatable);
  } else {
    SendToAttached(attempt.key);
  }
  SendAnswers();
}

void OwnerAgent::Impl::Preempt(const Dispatch& dispatch) {
  if (dispatch.urgency != Urgency::kUrgent || preemption_credit_ < 1) {
    return;
  }
  auto earlier = preempted_for_.find(dispatch.key.task);
  if (earlier != preempted_for_.end()) {
    if (tracker_.Find(earlier->second) != nullptr) {
      return;  // its capacity is being freed
    }
    preempted_for_.erase(earlier);
  }
  const Resources size = usage_.Corrected(dispatch.kind, dispatch.size);
  int left = kPreemptionCandidates;
  for (const auto& rank : tracker_.preemptible()) {
    Attempt* attempt = tracker_.Find(std::get<TaskKey>(rank));
    if (left-- == 0 || attempt->urgency <= dispatch.urgency) {
      return;
    }
    const WorkerRecord* worker = lease_manager_.Find(attempt->worker);
    if (worker == nullptr || !CanStart(*worker) ||
        !size.FitsIn(worker->allocations.Free() + attempt->size)) {
      continue;
    }
    preemption_credit_ -= 1;
    preempted_for_[dispatch.key.task] = attempt->key;
    tracker_.RequestStop(*attempt, StopReason::kPreempted, true);
    TickStops();
    return;
  }
}

void OwnerAgent::Impl::OnCancel(const Cancel& cancel) {
  if (Attempt* attempt = tracker_.Find(cancel.key)) {
    tracker_.RequestStop(*attempt, StopReason::kCancelled, cancel.checkpoint);
    TickStops();
    return;
  }
  if (relay_.Find(cancel.key) == nullptr &&
      tracker_.FindDecision(cancel.key) == nullptr) {
    Decision decision;
    decision.cancelled = true;
    tracker_.Decide(cancel.key, decision);
  }
}

void OwnerAgent::Impl::TickStops() {
  for (const TaskKey& key : tracker_.TakeDue()) {
    const Attempt* attempt = tracker_.Find(key);
    WorkerRecord* worker = lease_manager_.Find(attempt->worker);
    if (attempt->state != AttemptState::kRunning || worker == nullptr ||
        !worker->lease.held()) {
      continue;
    }
    port_.Control(worker->id, worker->lease.token(), key,
                  attempt->stop_by_checkpoint ? TaskControl::kCheckpoint
                                              : TaskControl::kStop,
                  [](WorkerCallStatus) {});
  }
}

// A repeated hold is renewed and may grow, because the planner counts its
// lifetime from the last request. Capacity on a worker that currently accepts
// no starts is released and replaced on other workers.
void OwnerAgent::Impl::OnHold(const MemberId& from, const Hold& hold) {
  HoldReply reply;
  reply.hold = hold.hold;
  reply.job = hold.job;
  if (draining_) {
    OnHoldRelease(hold.hold);
    Send(from, std::move(reply));
    return;
  }
  const util::TimePoint expires = clock_.Now() + hold.ttl;
  reply.workers = RenewHold(hold.hold, expires);
  Dispatch dispatch;
  Resources size = hold.size;
  while (static_cast<int64_t>(reply.workers.size()) < hold.count) {
    WorkerRecord* worker = Place(dispatch, &size);
    if (worker == nullptr) {
      break;
    }
    worker->allocations.AddHold(hold.hold, size, 1, expires);
    reply.workers.push_back(worker->id);
    Update(*worker);
  }
  if (reply.workers.empty()) {
    holds_.erase(hold.hold);
  } else {
    holds_[hold.hold] = {from, reply, expires};
  }
  Send(from, std::move(reply));
}

// Returns the workers that still hold capacity, each once per task.
std::vector<WorkerId> OwnerAgent::Impl::RenewHold(uint64_t hold,
                                                  util::TimePoint expires) {
  std::vector<WorkerId> held;
  auto it = holds_.find(hold);
  if (it == holds_.end()) {
    return held;
  }
  const std::set<WorkerId> workers(it->second.reply.workers.begin(),
                                   it->second.reply.workers.end());
  for (const WorkerId& id : workers) {
    WorkerRecord* worker = lease_manager_.Find(id);
    if (worker == nullptr) {
      continue;
    }
    if (!CanStart(*worker)) {
      worker->allocations.ReleaseHold(hold);
      Update(*worker);
      continue;
    }
    const int64_t count = worker->allocations.RenewHold(hold, expires);
    held.insert(held.end(), static_cast<size_t>(count), id);
  }
  return held;
}

void OwnerAgent::Impl::OnHoldRelease(uint64_t hold) {
  auto it = holds_.find(hold);
  if (it == holds_.end()) {
    return;
  }
  const std::vector<WorkerId> workers = it->second.reply.workers;
  holds_.erase(it);
  for (const WorkerId& id : workers) {
    if (WorkerRecord* worker = lease_manager_.Find(id)) {
      worker->allocations.ReleaseHold(hold);
      Update(*worker);
    }
  }
}

void OwnerAgent::Impl::Update(WorkerRecord& worker) {
  const bool may_start = health_.MayStart(worker.id);
  const bool accepts_starts =
      worker.lease.state() == LeaseState::kOwned && !draining_ &&
      !worker.leaving() && !worker.needs_reclaim &&
      clock_.Now() >= worker.no_starts_until && may_start;
  auto it = indexed_.find(worker.id);
  if (!accepts_starts) {
    if (it != indexed_.end()) {
      placement_.Remove(worker.id);
      indexed_.erase(it);
    }
    const util::TimePoint probe = health_.NextProbe(worker.id);
    if (!may_start && probe != util::TimePoint::max()) {
      probes_.emplace(probe, worker.id);
    }
    return;
  }
  const Resources free = worker.allocations.Free();
  placement_.Update(worker.id, {worker.vm.rack, worker.vm.data_centre.str(),
                                worker.allocations.capacity(), free});
  if (it == indexed_.end()) {
    room_freed_ = room_freed_ || free.slots > 0;
    indexed_.emplace(worker.id, free);
    return;
  }
  room_freed_ = room_freed_ || !free.FitsIn(it->second);
  it->second = free;
}

}  // namespace chivedale
