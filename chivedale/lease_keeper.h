// Holds the leases of workers: claims, renews, waits out, reads, polls for
// completions, and releases, each through the WorkerPort. Says through
// LeaseEvents what was learned.
#ifndef CHIVEDALE_LEASE_KEEPER_H_
#define CHIVEDALE_LEASE_KEEPER_H_

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
#include "chivedale/worker_books.h"
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
  WorkerBooks books;
  WorkerReport report;
  // The worker refused a start because it leaves; until its next boot.
  bool refused_leaving = false;
  // Boot in which the worker was last known to be owned, by any member.
  std::string known_boot;
  // Since the last read, or never read: its next read is a takeover.
  bool taken_over = true;
  // Its own lease is to be claimed again, which fences earlier starts.
  bool resolve = false;
  // No new work before this: the worker found no room where the books did.
  util::TimePoint closed_until{};
  MemberId best_owner;

  // For LeaseKeeper only.
  // Grows with each claim and release; answers to earlier calls are dropped.
  uint64_t generation = 0;
  bool calling = false;
  bool reading = false;
  bool polling = false;
  uint64_t after = 0;
  Millis backoff{0};
  util::TimePoint next_try{};
  util::TimePoint next_renew{};
  util::TimePoint next_poll{};
  util::TimePoint next_full_poll{};
  util::TimePoint poll_sent{};
  // The last lease message that may have reached the worker.
  util::TimePoint lease_sent{};
  util::TimePoint misplaced_since{};
  util::TimePoint handed_until{};
  MemberId release_to;
  util::TimePoint due{};
};

class LeaseEvents {
 public:
  virtual ~LeaseEvents() = default;
  // The list and all unacknowledged completions were read under a new token;
  // the list is the older of the two. `reboot`: another boot than known_boot.
  virtual void OnRead(WorkerRecord& worker,
                      const std::vector<RunningTask>& tasks,
                      const std::vector<Completion>& completions,
                      bool reboot) = 0;
  virtual void OnCompletions(WorkerRecord& worker,
                             const std::vector<Completion>& completions) = 0;
  // Room, leaving state or lease state changed.
  virtual void OnChange(WorkerRecord& worker) = 0;
  // Another member has the lease now and answers for the worker's work.
  virtual void OnTaken(WorkerRecord& worker) = 0;
  // Released by this member; `next` should claim it.
  virtual void OnReleased(WorkerRecord& worker, const MemberId& next) = 0;
  // No answer for so long that the worker has stopped all its tasks.
  virtual void OnAllEnded(WorkerRecord& worker) = 0;
  virtual std::vector<uint64_t> AcksFor(const WorkerRecord& worker) const = 0;
  virtual void OnAcksDelivered(WorkerRecord& worker,
                               const std::vector<uint64_t>& acks) = 0;
};

class LeaseKeeper {
 public:
  struct Options {
    WorkerLease::Options lease;
    Millis renew_interval{500};
    Millis orphan_ttl{6'000};
    Millis completion_wait{1'000};
    // A worker whose best owner is another member is released after this.
    Millis rebalance_after{10'000};
    double rebalances_per_s = 50;
    // A worker that was handed over is kept at least this long, also while
    // the hashing still names the member that left it.
    Millis handover_grace{10'000};
  };

  LeaseKeeper(const util::Clock& clock,
              WorkerPort& port,
              LeaseEvents& events,
              MemberId self,
              Options options);
  ~LeaseKeeper();

  // Commands.
  void SetVms(const std::vector<Vm>& endpoints);
  void SetMembers(const std::vector<MemberInfo>& members);
  void OnHandover(const std::vector<WorkerId>& workers);
  // Another member says that it was granted this token.
  void OnTakenElsewhere(const WorkerId& worker, const LeaseToken& token);
  void Drain();
  void Tick();
  // Does what is due for a worker now, after a change to it.
  void Service(WorkerRecord& worker);
  // Revokes a token that the worker denied.
  void OnTokenDenied(WorkerRecord& worker, const LeaseToken& token);

  // Queries.
  WorkerRecord* Find(const WorkerId& worker);
  const std::map<WorkerId, std::unique_ptr<WorkerRecord>>& workers() const {
    return workers_;
  }
  // Whether each worker that this member should own has been read.
  bool settled() const;
  // No lease is held or asked for.
  bool idle() const;
  int64_t owned() const;

 private:
  bool Wanted(const WorkerRecord& worker) const;
  util::TimePoint AllEndedAt(const WorkerRecord& worker) const;
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
  void Lose(WorkerRecord& worker);
  void BackOff(WorkerRecord& worker);
  bool Forgettable(const WorkerRecord& worker) const;
  // Runs `run` with the worker unless it is gone, a later generation began, or
  // this object is gone.
  template <typename Result, typename Run>
  std::function<void(Result)> Guard(WorkerRecord& worker, Run run);

  const util::Clock& clock_;
  WorkerPort& port_;
  LeaseEvents& events_;
  const MemberId self_;
  const Options options_;
  OwnerChoice choice_;
  std::map<WorkerId, std::unique_ptr<WorkerRecord>> workers_;
  std::set<std::pair<util::TimePoint, WorkerId>> timers_;
  // Before the first list of VMs it is not known which workers to read.
  bool has_list_ = false;
  bool draining_ = false;
  double rebalance_credit_ = 0;
  util::TimePoint credit_at_{};
  std::shared_ptr<bool> alive_;
};

template <typename Result, typename Run>
std::function<void(Result)> LeaseKeeper::Guard(WorkerRecord& worker, Run run) {
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

#endif  // CHIVEDALE_LEASE_KEEPER_H_
