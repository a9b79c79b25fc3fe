// Manages the leases of workers through the WorkerPort: claims and renews them,
// waits for earlier leases to expire, reads task lists, polls for completions,
// and releases. Reports the results through LeaseListener.
#ifndef CHIVEDALE_LEASE_MANAGER_H_
#define CHIVEDALE_LEASE_MANAGER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/ownership.h"
#include "chivedale/ports.h"
#include "chivedale/worker_allocations.h"
#include "util/clock.h"

namespace chivedale {

struct WorkerRecord {
  WorkerRecord(Vm worker_vm, WorkerLease::Options options)
      : vm(std::move(worker_vm)), id(vm.id), lease(options) {}

  bool leaving() const {
    return report.leaving || refused_leaving || vm.state == VmState::kLeaving;
  }

  Vm vm;
  WorkerId id;
  bool listed = true;
  WorkerLease lease;
  WorkerAllocations allocations;
  WorkerReport report;
  // The worker refused a start because it is leaving; reset at its next boot.
  bool refused_leaving = false;
  // Boot in which the worker was last known to have an owner, whichever it was.
  std::string known_boot;
  // Another owner may have had the worker since the last read, or it was never
  // read: the next read is a takeover.
  bool taken_over = true;
  // The lease is to be claimed again, which fences this owner's earlier starts.
  bool needs_reclaim = false;
  // No new starts before this time: the worker refused a start for lack of
  // capacity that `allocations` showed as free.
  util::TimePoint no_starts_until{};
  MemberId preferred_owner;

  // The fields below are for LeaseManager only.

  // Incremented by each claim and release; answers to earlier calls are
  // dropped.
  uint64_t generation = 0;
  bool calling = false;
  bool reading = false;
  bool polling = false;
  // Highest completion sequence received; polls ask for later ones.
  uint64_t after = 0;
  Millis backoff{0};
  util::TimePoint next_try{};
  util::TimePoint next_renew{};
  util::TimePoint next_poll{};
  util::TimePoint next_full_poll{};
  util::TimePoint poll_sent{};
  // Send time of the last lease message that may have reached the worker.
  util::TimePoint lease_sent{};
  util::TimePoint not_preferred_since{};
  // End of handover_grace after a handover to this member.
  util::TimePoint keep_until{};
  MemberId release_to;
  // Time of this worker in the manager's timers.
  util::TimePoint due{};
};

class LeaseListener {
 public:
  virtual ~LeaseListener() = default;
  // The task list and all unacknowledged completions have been read under a new
  // token; the list was read before the completions. `reboot`: the worker has
  // booted since known_boot.
  virtual void OnRead(WorkerRecord& worker,
                      const std::vector<RunningTask>& tasks,
                      const std::vector<Completion>& completions,
                      bool reboot) = 0;
  virtual void OnCompletions(WorkerRecord& worker,
                             const std::vector<Completion>& completions) = 0;
  // Free capacity, leaving state or lease state has changed.
  virtual void OnChange(WorkerRecord& worker) = 0;
  // Another member holds the lease and is responsible for the worker's tasks.
  virtual void OnTakenOver(WorkerRecord& worker) = 0;
  // This member has released the lease; `next` should claim it.
  virtual void OnReleased(WorkerRecord& worker, const MemberId& next) = 0;
  // The worker has been unreachable for so long that it has stopped all its
  // tasks.
  virtual void OnAllTasksEnded(WorkerRecord& worker) = 0;
  virtual std::vector<uint64_t> AcksFor(const WorkerRecord& worker) const = 0;
  virtual void OnAcksDelivered(WorkerRecord& worker,
                               const std::vector<uint64_t>& acks) = 0;
};

class LeaseManager {
 public:
  struct Options {
    WorkerLease::Options lease;
    Millis renew_interval{500};
    Millis orphan_ttl{6'000};
    Millis completion_wait{1'000};
    // A worker whose preferred owner is another member is released after this.
    Millis rebalance_after{10'000};
    double rebalances_per_s = 50;
    // A worker that was handed over is kept at least this long, even if the
    // hashing still prefers the member that left it.
    Millis handover_grace{10'000};
  };

  LeaseManager(const util::Clock& clock,
               WorkerPort& port,
               LeaseListener& listener,
               MemberId self,
               Options options);
  ~LeaseManager();

  // Commands.
  void SetVms(const std::vector<Vm>& endpoints);
  void SetMembers(const std::vector<MemberInfo>& members);
  void OnHandover(const std::vector<WorkerId>& workers);
  // Another member reports that it was granted this token.
  void OnTakenElsewhere(const WorkerId& worker, const LeaseToken& token);
  void Drain();
  void Tick();
  // Performs what is due for a worker now, after a change to it.
  void Service(WorkerRecord& worker);
  // Revokes a token that the worker has rejected.
  void OnTokenDenied(WorkerRecord& worker, const LeaseToken& token);

  // Queries.
  WorkerRecord* Find(const WorkerId& worker);
  const std::map<WorkerId, std::unique_ptr<WorkerRecord>>& workers() const {
    return workers_;
  }
  // Whether every worker that this member should own has been read.
  bool has_read_all() const;
  // Whether no lease is held or requested.
  bool idle() const;
  int64_t owned() const;

 private:
  bool ShouldClaim(const WorkerRecord& worker) const;
  util::TimePoint AllTasksEndedAt(const WorkerRecord& worker) const;
  void Schedule(WorkerRecord& worker, util::TimePoint due);
  util::TimePoint NextDue(const WorkerRecord& worker) const;
  void ServiceUnheld(WorkerRecord& worker);
  void ServiceHeld(WorkerRecord& worker);
  void Claim(WorkerRecord& worker);
  void OnClaimed(WorkerRecord& worker, const LeaseResult& result);
  void Renew(WorkerRecord& worker);
  void OnRenewed(WorkerRecord& worker,
                 const LeaseResult& result,
                 util::TimePoint sent);
  void Probe(WorkerRecord& worker);
  void Read(WorkerRecord& worker);
  void OnListed(WorkerRecord& worker, const TaskList& list);
  void Poll(WorkerRecord& worker);
  void OnPolled(WorkerRecord& worker,
                const CompletionsResult& result,
                const std::vector<uint64_t>& acks,
                bool full);
  bool ReleaseIfDue(WorkerRecord& worker);
  void Release(WorkerRecord& worker, const MemberId& next);
  void LoseLease(WorkerRecord& worker);
  void BackOff(WorkerRecord& worker);
  bool CanForget(const WorkerRecord& worker) const;
  // Wraps `run` so that it is skipped if the worker is gone, its generation has
  // changed, or this object is destroyed.
  template <typename Result, typename Run>
  std::function<void(Result)> Guard(WorkerRecord& worker, Run run);

  const util::Clock& clock_;
  WorkerPort& port_;
  LeaseListener& listener_;
  const MemberId self_;
  const Options options_;
  OwnerChoice choice_;
  std::map<WorkerId, std::unique_ptr<WorkerRecord>> workers_;
  std::set<std::pair<util::TimePoint, WorkerId>> timers_;
  // Until the first VM list arrives it is not known which workers to read.
  bool has_list_ = false;
  bool draining_ = false;
  double rebalance_credit_ = 0;
  util::TimePoint credit_at_{};
  std::shared_ptr<bool> alive_;
};

template <typename Result, typename Run>
std::function<void(Result)> LeaseManager::Guard(WorkerRecord& worker, Run run) {
  return [this, alive = std::weak_ptr<bool>(alive_), id = worker.id,
          generation = worker.generation, run](Result result) {
    if (alive.expired()) {
      return;
    }
    WorkerRecord* record = Find(id);
    if (record != nullptr && record->generation == generation) {
      run(*record, result);
      Service(*record);
    }
  };
}

}  // namespace chivedale

#endif  // CHIVEDALE_LEASE_MANAGER_H_
