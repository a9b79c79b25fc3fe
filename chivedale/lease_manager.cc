#include "chivedale/lease_manager.h"

#include <algorithm>

// Each worker has one timer, for its earliest due action, so that a tick costs
// nothing for idle workers.
//
// An unreachable worker with tasks is asked for its task list before it is
// claimed. A claim whose answer is lost would extend the lease and keep the
// worker's tasks running, so while claims are being sent it would never be
// certain that they have ended.
namespace chivedale {
namespace {

constexpr Millis kFirstBackoff{250};
constexpr Millis kLongestBackoff{4'000};
constexpr Millis kClaimRetry{500};
constexpr Millis kReleaseRetry{10};
constexpr Millis kIdleInterval{60'000};

}  // namespace

LeaseManager::LeaseManager(const util::Clock& clock,
                           WorkerPort& port,
                           LeaseListener& listener,
                           MemberId self,
                           Options options)
    : clock_(clock),
      port_(port),
      listener_(listener),
      self_(std::move(self)),
      options_(options),
      alive_(std::make_shared<bool>(true)) {}
LeaseManager::~LeaseManager() = default;

WorkerRecord* LeaseManager::Find(const WorkerId& worker) {
  auto it = workers_.find(worker);
  return it == workers_.end() ? nullptr : it->second.get();
}

void LeaseManager::SetVms(const std::vector<Vm>& endpoints) {
  has_list_ = true;
  for (auto& [id, worker] : workers_) {
    worker->listed = false;
  }
  std::vector<WorkerRecord*> changed;
  for (const Vm& vm : endpoints) {
    auto& worker = workers_[WorkerId(vm.id)];
    if (worker == nullptr) {
      worker = std::make_unique<WorkerRecord>(vm, options_.lease);
      worker->preferred_owner = choice_.PreferredOwner(vm);
      port_.SetAddress(worker->id, vm.address);
    } else if (worker->vm.address != vm.address) {
      port_.SetAddress(worker->id, vm.address);
    }
    worker->listed = true;
    worker->vm = vm;
    changed.push_back(worker.get());
  }
  for (auto it = workers_.begin(); it != workers_.end();) {
    if (CanForget(*it->second)) {
      listener_.OnChange(*it->second);
      timers_.erase({it->second->due, it->first});
      it = workers_.erase(it);
    } else {
      ++it;
    }
  }
  for (WorkerRecord* worker : changed) {
    listener_.OnChange(*worker);
    Service(*worker);
  }
}

bool LeaseManager::CanForget(const WorkerRecord& worker) const {
  const LeaseState state = worker.lease.state();
  return !worker.listed && worker.allocations.empty() && !worker.calling &&
         (state == LeaseState::kUnowned || state == LeaseState::kLost);
}

void LeaseManager::SetMembers(const std::vector<MemberInfo>& members) {
  choice_.SetMembers(members);
  for (auto& [id, worker] : workers_) {
    MemberId best = choice_.PreferredOwner(worker->vm);
    if (best == worker->preferred_owner) {
      continue;
    }
    worker->preferred_owner = std::move(best);
    worker->not_preferred_since = clock_.Now();
    if (!worker->lease.held()) {
      worker->next_try = clock_.Now();
    }
    Service(*worker);
  }
}

void LeaseManager::OnHandover(const std::vector<WorkerId>& workers) {
  for (const WorkerId& id : workers) {
    WorkerRecord* worker = Find(id);
    if (worker != nullptr) {
      worker->keep_until = clock_.Now() + options_.handover_grace;
      worker->next_try = clock_.Now();
      worker->backoff = Millis(0);
      Service(*worker);
    }
  }
}

void LeaseManager::OnTakenElsewhere(const WorkerId& id,
                                    const LeaseToken& token) {
  WorkerRecord* worker = Find(id);
  if (worker == nullptr) {
    return;
  }
  const LeaseToken& own = worker->lease.token();
  if (own.boot_id == token.boot_id) {
    if (own.token >= token.token) {
      return;  // older than the own grant
    }
    worker->lease.Revoke();
    listener_.OnTakenOver(*worker);
    worker->taken_over = true;
  }
  if (!worker->lease.held()) {
    worker->known_boot = token.boot_id;
  }
  Service(*worker);
}

void LeaseManager::Drain() {
  draining_ = true;
  for (auto& [id, worker] : workers_) {
    Service(*worker);
  }
}

void LeaseManager::Tick() {
  const util::TimePoint now = clock_.Now();
  const double elapsed =
      std::chrono::duration<double>(now - credit_at_).count();
  credit_at_ = now;
  rebalance_credit_ = std::min(
      std::max(1.0, options_.rebalances_per_s / 10),
      rebalance_credit_ + std::min(elapsed, 1.0) * options_.rebalances_per_s);
  std::vector<WorkerId> due;
  for (const auto& [time, id] : timers_) {
    if (time > now) {
      break;
    }
    due.push_back(id);
  }
  for (const WorkerId& id : due) {
    WorkerRecord* worker = Find(id);
    if (worker == nullptr) {
      continue;
    }
    if (worker->allocations.ExpireHolds(now)) {
      listener_.OnChange(*worker);
    }
    Service(*worker);
  }
}

bool LeaseManager::ShouldClaim(const WorkerRecord& worker) const {
  if (draining_) {
    return false;
  }
  // A worker is claimed by its preferred owner, by a member that it was handed
  // over to, and by a member that has to learn the outcome of its own starts
  // there.
  return (worker.listed && (worker.preferred_owner == self_ ||
                            clock_.Now() < worker.keep_until)) ||
         !worker.allocations.empty();
}

// The worker's lease runs from the arrival of the last lease message; its tasks
// may run for orphan_ttl after the lease has expired.
util::TimePoint LeaseManager::AllTasksEndedAt(
    const WorkerRecord& worker) const {
  const auto longest = std::chrono::duration_cast<util::Duration>(
      (options_.lease.ttl + options_.orphan_ttl) * (1 + options_.lease.drift));
  return worker.lease_sent + options_.lease.max_message_delay + longest;
}

void LeaseManager::Schedule(WorkerRecord& worker, util::TimePoint due) {
  timers_.erase({worker.due, worker.id});
  worker.due = due;
  timers_.emplace(due, worker.id);
}

void LeaseManager::Service(WorkerRecord& worker) {
  const util::TimePoint now = clock_.Now();
  const LeaseState state = worker.lease.state();
  if ((worker.lease.held() || state == LeaseState::kHandingOver) &&
      now >= worker.lease.valid_until()) {
    LoseLease(worker);
  }
  if (state == LeaseState::kHandingOver &&
      worker.lease.state() == LeaseState::kLost) {
    // The release may have arrived; in either case the lease has ended.
    listener_.OnReleased(worker, worker.release_to);
  }
  switch (worker.lease.state()) {
    case LeaseState::kUnowned:
    case LeaseState::kLost:
      ServiceUnheld(worker);
      break;
    case LeaseState::kClaiming:
    case LeaseState::kHandingOver:
      break;
    case LeaseState::kWaitingOut:
    case LeaseState::kReading:
    case LeaseState::kOwned:
      ServiceHeld(worker);
      break;
  }
  Schedule(worker, std::max(NextDue(worker), now + Millis(1)));
}

util::TimePoint LeaseManager::NextDue(const WorkerRecord& worker) const {
  const util::TimePoint idle = clock_.Now() + kIdleInterval;
  const util::TimePoint lease_due =
      std::min(worker.next_renew, worker.lease.valid_until());
  switch (worker.lease.state()) {
    case LeaseState::kUnowned:
    case LeaseState::kLost: {
      util::TimePoint due = idle;
      if (ShouldClaim(worker) && !worker.calling) {
        due = worker.next_try;
      }
      return worker.allocations.empty()
                 ? due
                 : std::min(due, AllTasksEndedAt(worker));
    }
    case LeaseState::kClaiming:
      return idle;
    case LeaseState::kHandingOver:
      return worker.lease.valid_until();
    case LeaseState::kWaitingOut:
      return std::min(lease_due, worker.lease.waits_until());
    case LeaseState::kReading:
      return worker.reading ? lease_due : std::min(lease_due, worker.next_try);
    case LeaseState::kOwned:
      break;
  }
  util::TimePoint due = lease_due;
  if (!worker.polling) {
    due = std::min(due, worker.next_poll);
  }
  if (draining_) {
    due = std::min(due, clock_.Now() + kReleaseRetry);
  }
  return due;
}

void LeaseManager::ServiceUnheld(WorkerRecord& worker) {
  const util::TimePoint now = clock_.Now();
  if (!worker.allocations.empty() && draining_) {
    listener_.OnTakenOver(worker);
  }
  if (!worker.allocations.empty() && now >= AllTasksEndedAt(worker)) {
    listener_.OnAllTasksEnded(worker);
  }
  if (!ShouldClaim(worker) || worker.calling || now < worker.next_try) {
    return;
  }
  if (worker.allocations.empty()) {
    Claim(worker);
  } else {
    Probe(worker);
  }
}

void LeaseManager::ServiceHeld(WorkerRecord& worker) {
  const util::TimePoint now = clock_.Now();
  if (worker.lease.EndWait(now)) {
    worker.next_try = now;
  }
  if (now >= worker.next_renew) {
    Renew(worker);
  }
  if (worker.lease.state() == LeaseState::kReading && !worker.reading &&
      now >= worker.next_try) {
    Read(worker);
  }
  if (worker.lease.state() != LeaseState::kOwned) {
    return;
  }
  if (worker.needs_reclaim) {
    Claim(worker);
  } else if (!ReleaseIfDue(worker) && !worker.polling &&
             now >= worker.next_poll) {
    Poll(worker);
  }
}

void LeaseManager::Claim(WorkerRecord& worker) {
  const util::TimePoint now = clock_.Now();
  if (!worker.lease.Claim(now)) {
    return;
  }
  ++worker.generation;
  worker.calling = true;
  worker.reading = false;
  worker.polling = false;
  worker.lease_sent = now;
  listener_.OnChange(worker);
  port_.Lease(worker.id, self_, LeaseToken(), options_.lease.ttl,
              Guard<LeaseResult>(worker, [this](WorkerRecord& record,
                                                const LeaseResult& result) {
                record.calling = false;
                OnClaimed(record, result);
              }));
}

void LeaseManager::OnClaimed(WorkerRecord& worker, const LeaseResult& result) {
  const util::TimePoint now = clock_.Now();
  if (result.status == WorkerCallStatus::kOk) {
    worker.backoff = Millis(0);
    worker.needs_reclaim = false;
    worker.next_renew = worker.lease_sent + options_.renew_interval;
    worker.next_try = now;
    worker.after = 0;
    worker.report = result.report;
    worker.allocations.SetReport(result.report, now);
    worker.lease.Granted(result.token, result.report.fencing, now);
    return;
  }
  worker.taken_over = true;
  if (result.status != WorkerCallStatus::kRefused) {
    worker.lease.ClaimFailed();
    BackOff(worker);
    return;
  }
  worker.lease.ClaimRefused();
  worker.next_try = now + std::clamp(result.remaining, Millis(20), kClaimRetry);
  if (!result.holder.empty() && result.holder != self_) {
    listener_.OnTakenOver(worker);
  }
}

void LeaseManager::BackOff(WorkerRecord& worker) {
  worker.backoff =
      std::clamp(worker.backoff * 2, kFirstBackoff, kLongestBackoff);
  worker.next_try = clock_.Now() + worker.backoff;
}

void LeaseManager::Renew(WorkerRecord& worker) {
  const util::TimePoint sent = clock_.Now();
  worker.lease_sent = sent;
  worker.next_renew = sent + options_.renew_interval;
  port_.Lease(
      worker.id, self_, worker.lease.token(), options_.lease.ttl,
      Guard<LeaseResult>(worker, [this, sent](WorkerRecord& record,
                                              const LeaseResult& result) {
        OnRenewed(record, result, sent);
      }));
}

void LeaseManager::OnRenewed(WorkerRecord& worker,
                             const LeaseResult& result,
                             util::TimePoint sent) {
  if (!worker.lease.held()) {
    return;
  }
  if (result.status == WorkerCallStatus::kOk &&
      result.token == worker.lease.token()) {
    worker.lease.Renewed(sent);
    worker.report = result.report;
    worker.allocations.SetReport(result.report, clock_.Now());
    listener_.OnChange(worker);
  } else if (result.status == WorkerCallStatus::kOk ||
             result.status == WorkerCallStatus::kRefused) {
    LoseLease(worker);
    if (!result.holder.empty() && result.holder != self_) {
      listener_.OnTakenOver(worker);
    }
  }
}

void LeaseManager::LoseLease(WorkerRecord& worker) {
  if (!worker.lease.Revoke()) {
    return;
  }
  ++worker.generation;
  worker.calling = false;
  worker.reading = false;
  worker.polling = false;
  worker.taken_over = true;
  worker.next_try = clock_.Now();
  listener_.OnChange(worker);
}

void LeaseManager::OnTokenDenied(WorkerRecord& worker,
                                 const LeaseToken& token) {
  if (worker.lease.held() && worker.lease.token() == token) {
    LoseLease(worker);
    Service(worker);
  }
}

bool LeaseManager::ReleaseIfDue(WorkerRecord& worker) {
  if (worker.allocations.starting() > 0) {
    return false;
  }
  const util::TimePoint now = clock_.Now();
  if (draining_) {
    Release(worker, choice_.PreferredOwner(worker.vm, self_));
    return true;
  }
  if (worker.preferred_owner == self_ || worker.preferred_owner.empty() ||
      now < worker.keep_until ||
      now - worker.not_preferred_since < options_.rebalance_after ||
      rebalance_credit_ < 1) {
    return false;
  }
  rebalance_credit_ -= 1;
  Release(worker, worker.preferred_owner);
  return true;
}

void LeaseManager::Release(WorkerRecord& worker, const MemberId& next) {
  if (!worker.lease.Release()) {
    return;
  }
  ++worker.generation;
  worker.polling = false;
  worker.taken_over = true;
  worker.release_to = next;
  listener_.OnChange(worker);
  port_.Release(
      worker.id, self_, worker.lease.token(),
      Guard<WorkerCallStatus>(
          worker, [this, next](WorkerRecord& record, WorkerCallStatus status) {
            // kRefused: the lease has ended or belongs to another member.
            if (status == WorkerCallStatus::kOk ||
                status == WorkerCallStatus::kRefused) {
              record.lease.Released();
              // Leaves the next owner time to claim the worker.
              record.next_try = clock_.Now() + options_.lease.ttl;
              listener_.OnReleased(record, next);
            }
          }));
}

bool LeaseManager::has_read_all() const {
  return has_list_ &&
         std::all_of(workers_.begin(), workers_.end(), [this](const auto& w) {
           return !ShouldClaim(*w.second) ||
                  w.second->lease.state() == LeaseState::kOwned;
         });
}

bool LeaseManager::idle() const {
  return std::all_of(workers_.begin(), workers_.end(), [](const auto& w) {
    const LeaseState state = w.second->lease.state();
    return state == LeaseState::kUnowned || state == LeaseState::kLost;
  });
}

int64_t LeaseManager::owned() const {
  return std::count_if(workers_.begin(), workers_.end(), [](const auto& w) {
    return w.second->lease.state() == LeaseState::kOwned;
  });
}

}  // namespace chivedale
