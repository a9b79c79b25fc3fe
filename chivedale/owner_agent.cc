#include <algorithm>

#include "chivedale/owner_agent_impl.h"

// Members, dead entries and queries of the owner role. The tasks of an entry
// that dies are adopted here and reported to the holders of their request ids,
// which would otherwise allow the ids to be started again.
namespace chivedale {
namespace {

constexpr Millis kAdoptionCheck{1'000};
constexpr Millis kEntryGoneResend{1'000};
constexpr int kEntryGoneSends = 3;
// EntryGone is not resent after this time; holders free the ids of a dead entry
// by themselves long before.
constexpr Millis kMaxEntryGoneTime{30'000};
// A running attempt that is missing from the worker's list is given up if its
// completion does not arrive within this time.
constexpr Millis kMaxCompletionDelay{10'000};
// Maximum age of a cached summary: visiting 21,000 workers takes up to 1 ms.
constexpr Millis kMaxSummaryAge{20};

LeaseManager::Options LeaseManagerOptions(const OwnerAgent::Options& options) {
  LeaseManager::Options manager;
  manager.lease.ttl = options.lease_ttl;
  manager.lease.drift = options.drift_margin;
  manager.renew_interval = options.renew_interval;
  manager.orphan_ttl = options.orphan_ttl;
  manager.completion_wait = options.completion_wait;
  manager.rebalance_after = options.rebalance_after;
  manager.rebalances_per_s = options.rebalances_per_s;
  return manager;
}

AdoptedTasks::Options AdoptionOptions(const OwnerAgent::Options& options) {
  AdoptedTasks::Options adoption;
  adoption.confirm_timeout = options.orphan_ttl;
  adoption.answer_retention = options.answer_retention;
  return adoption;
}

}  // namespace

OwnerAgent::Impl::Impl(const util::Clock& clock,
                       util::Random& random,
                       WorkerPort& workers,
                       OwnerListener& listener,
                       MemberInfo self,
                       Options options,
                       EventLog* log)
    : clock_(clock),
      random_(random),
      port_(workers),
      listener_(listener),
      self_(std::move(self)),
      options_(options),
      log_(log == nullptr ? null_log_ : *log),
      lease_manager_(clock,
                     workers,
                     *this,
                     self_.id,
                     LeaseManagerOptions(options)),
      placement_(options.placement, random),
      tracker_(clock),
      relay_(clock, options.answer_resend),
      adopted_(clock, self_.id, AdoptionOptions(options)),
      health_(clock),
      last_tick_(clock.Now()) {
  SetMembers({});
}

void OwnerAgent::Impl::Log(Event event, const LogFields& fields) {
  log_.Write(event, fields);
}

void OwnerAgent::Impl::Send(const MemberId& to, Message message) {
  outbox_.emplace_back(to, std::move(message));
}

void OwnerAgent::Impl::SendToAll(const Message& message) {
  Send(self_.id, message);
  for (const MemberId& member : members_) {
    Send(member, message);
  }
}

void OwnerAgent::Impl::Flush() {
  ++depth_;
  while (!outbox_.empty() || !run_times_.empty() || !registers_.empty() ||
         room_freed_) {
    for (const auto& [kind, time] : std::exchange(run_times_, {})) {
      listener_.OnRunTime(kind, time);
    }
    for (const auto& [to, message] : std::exchange(outbox_, {})) {
      listener_.SendToMember(to, message);
    }
    for (const Register& registration : std::exchange(registers_, {})) {
      listener_.SendToHolder(registration);
    }
    if (std::exchange(room_freed_, false)) {
      room_since_summary_ = true;
      listener_.OnCapacityFreed();
    }
  }
  --depth_;
}

void OwnerAgent::Impl::SetMembers(const std::vector<MemberInfo>& owners) {
  std::vector<MemberInfo> candidates;
  members_.clear();
  for (const MemberInfo& member : owners) {
    if (member.id == self_.id) {
      continue;
    }
    members_.insert(member.id);
    candidates.push_back(member);
  }
  MemberInfo self = self_;
  self.state = draining_ ? MemberState::kDraining : MemberState::kLive;
  candidates.push_back(self);
  lease_manager_.SetMembers(candidates);
  for (auto it = gone_entries_.begin(); it != gone_entries_.end();) {
    const MemberId entry = it->first;
    if (members_.count(entry) == 0) {
      ++it;
      continue;
    }
    it = gone_entries_.erase(it);
    OnEntryReturned(entry);
  }
}

// The entry was paused or disconnected and still waits for its answers. Other
// entries that were told to attach here in the meantime get them as well.
void OwnerAgent::Impl::OnEntryReturned(const MemberId& entry) {
  for (const TaskKey& key : KeysOf(entry)) {
    adopted_.ForgetUnconfirmed(key);
    relay_.SetEntry(key, entry);
  }
  SendAnswers();
}

bool OwnerAgent::Impl::IsMember(const MemberId& id) const {
  return id == self_.id || members_.count(id) != 0;
}

void OwnerAgent::Impl::Tick() {
  const util::TimePoint now = clock_.Now();
  const double elapsed =
      std::chrono::duration<double>(now - last_tick_).count();
  last_tick_ = now;
  preemption_credit_ =
      std::min(std::max(1.0, options_.preemptions_per_s),
               preemption_credit_ + elapsed * options_.preemptions_per_s);
  lease_manager_.Tick();
  TickStops();
  for (auto it = holds_.begin(); it != holds_.end();) {
    const uint64_t hold = it->first;
    const bool over = it->second.expires <= now;
    ++it;
    if (over) {
      OnHoldRelease(hold);
    }
  }
  while (!probes_.empty() && probes_.begin()->first <= now) {
    const WorkerId id = probes_.begin()->second;
    probes_.erase(probes_.begin());
    if (WorkerRecord* worker = lease_manager_.Find(id)) {
      Update(*worker);
    }
  }
  for (auto it = announcements_.begin(); it != announcements_.end();) {
    WorkerRecord* worker = lease_manager_.Find(it->first);
    if (worker == nullptr || it->second.left == 0) {
      it = announcements_.erase(it);
      continue;
    }
    if (it->second.next <= now) {
      Announce(*worker, it->second.reboot);
    }
    ++it;
  }
  for (auto it = moved_attempts_.begin(); it != moved_attempts_.end();) {
    it = lease_manager_.Find(it->first) == nullptr ? moved_attempts_.erase(it)
                                                   : std::next(it);
  }
  SendAnswers();
  TickAdopted();
}

void OwnerAgent::Impl::SendAnswers() {
  for (const CompletionRelay::Pending& due : relay_.TakeDue()) {
    Send(due.entry, due.answer);
  }
}

std::vector<TaskKey> OwnerAgent::Impl::KeysOf(const MemberId& entry) const {
  std::vector<TaskKey> keys;
  for (const auto& [key, attempt] : tracker_.attempts()) {
    if (attempt.entry == entry) {
      keys.push_back(key);
    }
  }
  for (const auto& [key, pending] : relay_.pending()) {
    if (pending.entry == entry) {
      keys.push_back(key);
    }
  }
  return keys;
}

void OwnerAgent::Impl::OnMemberDead(const MemberId& member) {
  if (member == self_.id || gone_entries_.count(member) != 0) {
    return;
  }
  GoneEntry& gone = gone_entries_[member];
  gone.since = clock_.Now();
  gone.sends_left = kEntryGoneSends;
  missing_entries_.erase(member);
  for (const TaskKey& key : KeysOf(member)) {
    const Attempt* attempt = tracker_.Find(key);
    AdoptAttempt(key, member, attempt == nullptr || attempt->repeatable);
  }
  SendEntryGone(member);
}

void OwnerAgent::Impl::AdoptAttempt(const TaskKey& key,
                                    const MemberId& entry,
                                    bool repeatable) {
  const RequestId request = AdoptableRequest(key.task);
  if (!request.empty()) {
    adopted_.Adopt(request, key, repeatable);
    Log(Event::kRequestAdopted,
        {{"request", request.str()}, {"entry", entry.str()}});
  }
  KeepAnswer(key);
}

// The answer of a job's task waits for the next manager of the job, which
// dispatches the same attempt again.
void OwnerAgent::Impl::KeepAnswer(const TaskKey& key) {
  relay_.SetAdopted(key);
  SendToAttached(key);
}

void OwnerAgent::Impl::SendToAttached(const TaskKey& key) {
  const CompletionRelay::Pending* pending = relay_.Find(key);
  if (pending == nullptr) {
    return;
  }
  for (const Attach& attach : adopted_.OnAnswer(pending->answer)) {
    Send(attach.sender, MakeAttachAnswer(attach, key, &pending->answer));
  }
}

void OwnerAgent::Impl::SendEntryGone(const MemberId& gone) {
  GoneEntry& state = gone_entries_[gone];
  EntryGone message;
  message.entry = gone;
  message.sender = self_.id;
  // Workers of the dead member that have not been read yet may run further
  // requests.
  message.complete = lease_manager_.has_read_all();
  for (const TaskKey& key : KeysOf(gone)) {
    const RequestId request = AdoptableRequest(key.task);
    if (!request.empty()) {
      message.running.push_back(request);
    }
  }
  state.next = clock_.Now() + kEntryGoneResend;
  state.complete = message.complete;
  // Incomplete reports do not count towards kEntryGoneSends.
  state.sends_left -= message.complete ? 1 : 0;
  if (clock_.Now() - state.since > kMaxEntryGoneTime) {
    state.sends_left = 0;
  }
  SendToAll(message);
}

void OwnerAgent::Impl::TickAdopted() {
  const util::TimePoint now = clock_.Now();
  std::vector<MemberId> due;
  for (const auto& [member, gone] : gone_entries_) {
    // An incomplete list is resent as soon as it can be complete.
    if (gone.sends_left > 0 &&
        (now >= gone.next ||
         (!gone.complete && lease_manager_.has_read_all()))) {
      due.push_back(member);
    }
  }
  for (const MemberId& member : due) {
    SendEntryGone(member);
  }
  if (now < next_adoption_check_) {
    return;
  }
  next_adoption_check_ = now + kAdoptionCheck;
  ExpireJobEpochs();
  EndUnlisted();
  FindMissingEntries();
  AdoptedTasks::Due adopted = adopted_.TakeDue();
  for (Register& registration : adopted.registers) {
    registers_.push_back(std::move(registration));
  }
  for (const TaskKey& key : adopted.to_stop) {
    if (Attempt* attempt = tracker_.Find(key)) {
      tracker_.RequestStop(*attempt, StopReason::kOrphaned, false);
    }
  }
  for (const TaskKey& key : adopted.expired) {
    relay_.OnAck(key);
  }
}

void OwnerAgent::Impl::EndUnlisted() {
  std::vector<TaskKey> lost;
  for (const auto& [key, attempt] : tracker_.attempts()) {
    if (attempt.unlisted != util::TimePoint() &&
        clock_.Now() - attempt.unlisted >= kMaxCompletionDelay) {
      lost.push_back(key);
    }
  }
  for (const TaskKey& key : lost) {
    EndUnknown(key);
  }
}

// Detects entries that died before this member learned of them.
void OwnerAgent::Impl::FindMissingEntries() {
  std::set<MemberId> seen;
  for (const auto& [key, attempt] : tracker_.attempts()) {
    seen.insert(attempt.entry);
  }
  for (const auto& [key, pending] : relay_.pending()) {
    seen.insert(pending.entry);
  }
  std::map<MemberId, util::TimePoint> missing;
  const util::TimePoint now = clock_.Now();
  for (const MemberId& entry : seen) {
    if (IsMember(entry) || gone_entries_.count(entry) != 0) {
      continue;
    }
    auto it = missing_entries_.find(entry);
    missing[entry] = it == missing_entries_.end() ? now : it->second;
  }
  missing_entries_ = std::move(missing);
  std::vector<MemberId> dead;
  for (const auto& [entry, since] : missing_entries_) {
    if (now - since >= options_.orphan_ttl) {
      dead.push_back(entry);
    }
  }
  for (const MemberId& entry : dead) {
    OnMemberDead(entry);
  }
}

void OwnerAgent::Impl::OnAttach(const Attach& attach) {
  const AdoptedTasks::Adopted* adopted = adopted_.Find(attach.request);
  if (adopted == nullptr) {
    AttachAnswer reply;
    reply.request = attach.request;
    reply.mode = attach.mode;
    Send(attach.sender, reply);
    return;
  }
  const Answer* answer = adopted->answer ? &*adopted->answer : nullptr;
  if (answer != nullptr || attach.mode == AttachMode::kStatus) {
    Send(attach.sender, MakeAttachAnswer(attach, adopted->key, answer));
    return;
  }
  if (attach.mode == AttachMode::kCancel) {
    OnCancel({adopted->key, false});
  }
  adopted_.Wait(attach);
}

bool OwnerAgent::Impl::drained() const {
  return draining_ && lease_manager_.idle() && relay_.unstored_count() == 0;
}

Summary OwnerAgent::Impl::CachedSummary() const {
  if (summary_sequence_ == 0 ||
      clock_.Now() - summary_time_ >= kMaxSummaryAge) {
    Summarise();
  }
  summary_.draining = draining_;
  return summary_;
}

Summary OwnerAgent::Impl::LatestSummary() const {
  if (room_since_summary_) {
    Summarise();
  }
  return CachedSummary();
}

void OwnerAgent::Impl::Summarise() const {
  room_since_summary_ = false;
  summary_time_ = clock_.Now();
  summary_.owner = self_.id;
  summary_.sequence = ++summary_sequence_;
  summary_.plain = placement_.Summarise(false);
  summary_.accelerated = placement_.Summarise(true);
}

std::vector<WorkerStatus> OwnerAgent::Impl::Workers() const {
  std::vector<WorkerStatus> all;
  for (const auto& [id, worker] : lease_manager_.workers()) {
    WorkerStatus status;
    status.id = id;
    status.lease = std::string(LeaseStateName(worker->lease.state()));
    status.data_centre = worker->vm.data_centre.str();
    status.rack = worker->vm.rack;
    status.capacity = worker->allocations.capacity();
    status.committed = worker->allocations.committed();
    status.used = worker->allocations.used();
    status.running = worker->allocations.size();
    status.leaving = worker->leaving();
    status.failure_rate = health_.FailureRate(id);
    all.push_back(std::move(status));
  }
  return all;
}

OwnerAgent::OwnerAgent(const util::Clock& clock,
                       util::Random& random,
                       WorkerPort& workers,
                       OwnerListener& listener,
                       MemberInfo self,
                       Options options,
                       EventLog* log)
    : impl_(std::make_unique<Impl>(clock,
                                   random,
                                   workers,
                                   listener,
                                   std::move(self),
                                   options,
                                   log)) {}
OwnerAgent::~OwnerAgent() = default;

void OwnerAgent::SetVms(const std::vector<Vm>& endpoints) {
  Impl::CallScope scope(*impl_);
  impl_->lease_manager_.SetVms(endpoints);
}

void OwnerAgent::SetMembers(const std::vector<MemberInfo>& owners) {
  Impl::CallScope scope(*impl_);
  impl_->SetMembers(owners);
}

void OwnerAgent::OnDispatch(const Dispatch& dispatch) {
  Impl::CallScope scope(*impl_);
  impl_->OnDispatch(dispatch);
}

void OwnerAgent::OnAnswerAck(const AnswerAck& ack) {
  impl_->relay_.OnAck(ack.key);
}

void OwnerAgent::OnCancel(const Cancel& cancel) {
  Impl::CallScope scope(*impl_);
  impl_->OnCancel(cancel);
}

void OwnerAgent::OnHold(const MemberId& from, const Hold& hold) {
  Impl::CallScope scope(*impl_);
  impl_->OnHold(from, hold);
}

void OwnerAgent::OnHoldRelease(const HoldRelease& release) {
  Impl::CallScope scope(*impl_);
  impl_->OnHoldRelease(release.hold);
}

void OwnerAgent::OnHandover(const Handover& handover) {
  Impl::CallScope scope(*impl_);
  impl_->lease_manager_.OnHandover(handover.workers);
}

void OwnerAgent::OnJobQuery(const JobQuery& query) {
  Impl::CallScope scope(*impl_);
  impl_->OnJobQuery(query);
}

void OwnerAgent::OnWorkerTakenOver(const WorkerTaken& taken) {
  Impl::CallScope scope(*impl_);
  if (taken.owner != impl_->self_.id) {
    impl_->lease_manager_.OnTakenElsewhere(taken.worker,
                                           {taken.token, taken.boot_id});
  }
}

void OwnerAgent::OnMemberDead(const MemberId& member) {
  Impl::CallScope scope(*impl_);
  impl_->OnMemberDead(member);
}

void OwnerAgent::OnAttach(const Attach& attach) {
  Impl::CallScope scope(*impl_);
  impl_->OnAttach(attach);
}

void OwnerAgent::OnRegisterReply(const RegisterReply& reply) {
  impl_->adopted_.OnRegisterReply(reply);
}

void OwnerAgent::Tick() {
  Impl::CallScope scope(*impl_);
  impl_->Tick();
}

void OwnerAgent::Drain() {
  Impl::CallScope scope(*impl_);
  impl_->draining_ = true;
  impl_->lease_manager_.Drain();
}

bool OwnerAgent::drained() const {
  return impl_->drained();
}

Summary OwnerAgent::CachedSummary() const {
  return impl_->CachedSummary();
}

Summary OwnerAgent::LatestSummary() const {
  return impl_->LatestSummary();
}

bool OwnerAgent::HasCapacity(const Resources& size) const {
  return !impl_->draining_ && impl_->placement_.HasCapacity(size);
}

bool OwnerAgent::HasAdopted(const RequestId& request) const {
  return impl_->adopted_.Find(request) != nullptr;
}

std::vector<WorkerStatus> OwnerAgent::Workers() const {
  return impl_->Workers();
}

int64_t OwnerAgent::owned_workers() const {
  return impl_->lease_manager_.owned();
}

}  // namespace chivedale
