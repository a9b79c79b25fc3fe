#include <algorithm>

#include "chivedale/owner_agent_impl.h"

// Members, gone entries and queries of the owner role. An entry that dies
// leaves its work behind: it is adopted here and reported to the holders of
// the request ids, which would otherwise let the ids be started again.
namespace chivedale {
namespace {

constexpr Millis kAdoptionCheck{1'000};
constexpr Millis kEntryGoneResend{1'000};
constexpr int kEntryGoneSends = 3;
// Holders free the ids of a gone entry on their own long before this.
constexpr Millis kEntryGoneLongest{30'000};
// A worker's completion that comes later than this is given up.
constexpr Millis kLatestCompletion{10'000};
// Walking over 21,000 workers for a summary takes up to a millisecond.
constexpr Millis kSummaryAge{20};

LeaseKeeper::Options KeeperOptions(const OwnerAgent::Options& options) {
  LeaseKeeper::Options keeper;
  keeper.lease.ttl = options.lease_ttl;
  keeper.lease.drift = options.drift_margin;
  keeper.renew_interval = options.renew_interval;
  keeper.orphan_ttl = options.orphan_ttl;
  keeper.completion_wait = options.completion_wait;
  keeper.rebalance_after = options.rebalance_after;
  keeper.rebalances_per_s = options.rebalances_per_s;
  return keeper;
}

AdoptedTasks::Options AdoptionOptions(const OwnerAgent::Options& options) {
  AdoptedTasks::Options adoption;
  adoption.confirm_within = options.orphan_ttl;
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
      keeper_(clock, workers, *this, self_.id, KeeperOptions(options)),
      placement_(options.placement, random),
      tracker_(clock),
      relay_(clock, options.answer_resend),
      adopted_(clock, self_.id, AdoptionOptions(options)),
      health_(clock),
      ticked_(clock.Now()) {
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
         room_) {
    for (const auto& [kind, time] : std::exchange(run_times_, {})) {
      listener_.OnRunTime(kind, time);
    }
    for (const auto& [to, message] : std::exchange(outbox_, {})) {
      listener_.SendToMember(to, message);
    }
    for (const Register& ask : std::exchange(registers_, {})) {
      listener_.SendToHolder(ask);
    }
    if (std::exchange(room_, false)) {
      room_since_summary_ = true;
      listener_.OnRoom();
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
  keeper_.SetMembers(candidates);
  for (auto it = gone_.begin(); it != gone_.end();) {
    const MemberId entry = it->first;
    if (members_.count(entry) == 0) {
      ++it;
      continue;
    }
    it = gone_.erase(it);
    OnEntryBack(entry);
  }
}

// The entry was paused or cut off and still waits for its answers. Who was
// told meanwhile to attach here gets them as well.
void OwnerAgent::Impl::OnEntryBack(const MemberId& entry) {
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
  const double elapsed = std::chrono::duration<double>(now - ticked_).count();
  ticked_ = now;
  preemption_credit_ =
      std::min(std::max(1.0, options_.preemptions_per_s),
               preemption_credit_ + elapsed * options_.preemptions_per_s);
  keeper_.Tick();
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
    if (WorkerRecord* worker = keeper_.Find(id)) {
      Update(*worker);
    }
  }
  for (auto it = announcements_.begin(); it != announcements_.end();) {
    WorkerRecord* worker = keeper_.Find(it->first);
    if (worker == nullptr || it->second.left == 0) {
      it = announcements_.erase(it);
      continue;
    }
    if (it->second.next <= now) {
      Announce(*worker, it->second.reboot);
    }
    ++it;
  }
  for (auto it = moved_.begin(); it != moved_.end();) {
    it = keeper_.Find(it->first) == nullptr ? moved_.erase(it) : std::next(it);
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
  if (member == self_.id || gone_.count(member) != 0) {
    return;
  }
  GoneEntry& gone = gone_[member];
  gone.since = clock_.Now();
  gone.sends_left = kEntryGoneSends;
  missing_.erase(member);
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

// The task of a job waits for the job's next manager, which dispatches the
// same attempt again.
void OwnerAgent::Impl::KeepAnswer(const TaskKey& key) {
  relay_.SetAdopted(key);
  TellAttached(key);
}

void OwnerAgent::Impl::TellAttached(const TaskKey& key) {
  const CompletionRelay::Pending* pending = relay_.Find(key);
  if (pending == nullptr) {
    return;
  }
  for (const Attach& attach : adopted_.OnAnswer(pending->answer)) {
    Send(attach.sender, MakeAttachAnswer(attach, key, &pending->answer));
  }
}

void OwnerAgent::Impl::SendEntryGone(const MemberId& gone) {
  GoneEntry& state = gone_[gone];
  EntryGone message;
  message.gone = gone;
  message.sender = self_.id;
  // Workers of the gone member that nobody has read yet may run more.
  message.complete = keeper_.settled();
  for (const TaskKey& key : KeysOf(gone)) {
    const RequestId request = AdoptableRequest(key.task);
    if (!request.empty()) {
      message.running.push_back(request);
    }
  }
  state.next = clock_.Now() + kEntryGoneResend;
  state.complete = message.complete;
  state.sends_left -= message.complete ? 1 : 0;
  if (clock_.Now() - state.since > kEntryGoneLongest) {
    state.sends_left = 0;
  }
  SendToAll(message);
}

void OwnerAgent::Impl::TickAdopted() {
  const util::TimePoint now = clock_.Now();
  std::vector<MemberId> due;
  for (const auto& [member, gone] : gone_) {
    // An incomplete list is completed as soon as it can be.
    if (gone.sends_left > 0 &&
        (now >= gone.next || (!gone.complete && keeper_.settled()))) {
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
  for (Register& ask : adopted.registers) {
    registers_.push_back(std::move(ask));
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
        clock_.Now() - attempt.unlisted >= kLatestCompletion) {
      lost.push_back(key);
    }
  }
  for (const TaskKey& key : lost) {
    EndUnknown(key);
  }
}

// An entry may have died before this member knew of it.
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
    if (IsMember(entry) || gone_.count(entry) != 0) {
      continue;
    }
    auto it = missing_.find(entry);
    missing[entry] = it == missing_.end() ? now : it->second;
  }
  missing_ = std::move(missing);
  std::vector<MemberId> dead;
  for (const auto& [entry, since] : missing_) {
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
  return draining_ && keeper_.idle() && relay_.unkept() == 0;
}

Summary OwnerAgent::Impl::CurrentSummary() const {
  if (summary_sequence_ == 0 || clock_.Now() - summarised_ >= kSummaryAge) {
    Summarise();
  }
  summary_.draining = draining_;
  return summary_;
}

Summary OwnerAgent::Impl::LatestSummary() const {
  if (room_since_summary_) {
    Summarise();
  }
  return CurrentSummary();
}

void OwnerAgent::Impl::Summarise() const {
  room_since_summary_ = false;
  summarised_ = clock_.Now();
  summary_.owner = self_.id;
  summary_.sequence = ++summary_sequence_;
  summary_.plain = placement_.Summarise(false);
  summary_.accelerated = placement_.Summarise(true);
}

std::vector<WorkerStatus> OwnerAgent::Impl::Workers() const {
  std::vector<WorkerStatus> all;
  for (const auto& [id, worker] : keeper_.workers()) {
    WorkerStatus status;
    status.id = id;
    status.lease = std::string(LeaseStateName(worker->lease.state()));
    status.data_centre = worker->vm.data_centre.str();
    status.rack = worker->vm.rack;
    status.capacity = worker->books.capacity();
    status.committed = worker->books.committed();
    status.used = worker->books.used();
    status.running = worker->books.size();
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
  Impl::Turn turn(*impl_);
  impl_->keeper_.SetVms(endpoints);
}

void OwnerAgent::SetMembers(const std::vector<MemberInfo>& owners) {
  Impl::Turn turn(*impl_);
  impl_->SetMembers(owners);
}

void OwnerAgent::OnDispatch(const Dispatch& dispatch) {
  Impl::Turn turn(*impl_);
  impl_->OnDispatch(dispatch);
}

void OwnerAgent::OnAnswerAck(const AnswerAck& ack) {
  impl_->relay_.OnAck(ack.key);
}

void OwnerAgent::OnCancel(const Cancel& cancel) {
  Impl::Turn turn(*impl_);
  impl_->OnCancel(cancel);
}

void OwnerAgent::OnHold(const MemberId& from, const Hold& hold) {
  Impl::Turn turn(*impl_);
  impl_->OnHold(from, hold);
}

void OwnerAgent::OnHoldRelease(const HoldRelease& release) {
  Impl::Turn turn(*impl_);
  impl_->OnHoldRelease(release.hold);
}

void OwnerAgent::OnHandover(const Handover& handover) {
  Impl::Turn turn(*impl_);
  impl_->keeper_.OnHandover(handover.workers);
}

void OwnerAgent::OnJobQuery(const JobQuery& query) {
  Impl::Turn turn(*impl_);
  impl_->OnJobQuery(query);
}

void OwnerAgent::OnWorkerTaken(const WorkerTaken& taken) {
  Impl::Turn turn(*impl_);
  if (taken.owner != impl_->self_.id) {
    impl_->keeper_.OnTakenElsewhere(taken.worker, {taken.token, taken.boot_id});
  }
}

void OwnerAgent::OnMemberDead(const MemberId& member) {
  Impl::Turn turn(*impl_);
  impl_->OnMemberDead(member);
}

void OwnerAgent::OnAttach(const Attach& attach) {
  Impl::Turn turn(*impl_);
  impl_->OnAttach(attach);
}

void OwnerAgent::OnRegisterReply(const RegisterReply& reply) {
  impl_->adopted_.OnRegisterReply(reply);
}

void OwnerAgent::Tick() {
  Impl::Turn turn(*impl_);
  impl_->Tick();
}

void OwnerAgent::Drain() {
  Impl::Turn turn(*impl_);
  impl_->draining_ = true;
  impl_->keeper_.Drain();
}

bool OwnerAgent::drained() const {
  return impl_->drained();
}

Summary OwnerAgent::CurrentSummary() const {
  return impl_->CurrentSummary();
}

Summary OwnerAgent::LatestSummary() const {
  return impl_->LatestSummary();
}

bool OwnerAgent::HasRoom(const Resources& size) const {
  return !impl_->draining_ && impl_->placement_.HasRoom(size);
}

bool OwnerAgent::HasAdopted(const RequestId& request) const {
  return impl_->adopted_.Find(request) != nullptr;
}

std::vector<WorkerStatus> OwnerAgent::Workers() const {
  return impl_->Workers();
}

int64_t OwnerAgent::owned_workers() const {
  return impl_->keeper_.owned();
}

}  // namespace chivedale
