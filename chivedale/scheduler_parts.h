// Modules of one Scheduler, in construction order, and the dispatch of messages
// to them. Included only by scheduler.cc and scheduler_parts.cc.
#ifndef CHIVEDALE_SCHEDULER_PARTS_H_
#define CHIVEDALE_SCHEDULER_PARTS_H_

#include <unordered_map>

#include "chivedale/counted_store.h"
#include "chivedale/scheduler.h"

namespace chivedale {

// Receives events of the owner role.
class Scheduler::OwnerEvents final : public OwnerListener {
 public:
  explicit OwnerEvents(Scheduler& scheduler) : scheduler_(scheduler) {}

  void SendToMember(const MemberId& to, const Message& message) override;
  void OnCapacityFreed() override;
  void OnRunTime(const std::string& kind, Millis run_time) override;
  void SendToHolder(const Register& message) override;

 private:
  Scheduler& scheduler_;
};

// Connects the job manager to the dispatcher.
class Scheduler::JobEvents final : public JobListener, public AttemptListener {
 public:
  explicit JobEvents(Scheduler& scheduler) : scheduler_(scheduler) {}

  // JobListener:
  void Enqueue(const Dispatch& dispatch, util::TimePoint not_before) override;
  void CancelAttempt(const TaskKey& key, const MemberId& owner) override;
  void RemoveFromQueue(const TaskKey& key) override;
  void SendToMember(const MemberId& to, const Message& message) override;
  const WorkRow* FindRow(const std::string& kind) const override;
  std::vector<Summary> Summaries() const override;

  // AttemptListener:
  uint32_t NextAttempt(const TaskId& task) override;
  void OnAttemptStarted(const MemberId& owner,
                        const DispatchReply& reply) override;
  bool OnAttemptEnded(const MemberId& owner, const Answer& answer) override;
  void OnExpired(const TaskId& task) override;

 private:
  Scheduler& scheduler_;
  std::unordered_map<TaskId, uint32_t> attempts_;
};

struct Scheduler::Parts {
  explicit Parts(Scheduler& scheduler);

  void Handle(const MemberId& from, const Message& message);

  Scheduler& scheduler;
  OwnerEvents owner_events;
  JobEvents job_events;
  CountedStore store;
  BurnTracker burn;
  FairQueue queue;
  RunTimeModel run_times;
  LimitShare limits;
  Routing routing;
  Admission admission;
  RetryPolicy retries;
  RequestLedger ledger;
  RecordLog records;
  RequestDirectory directory;
  Registrar registrar;
  OwnerAgent owner;
  Dispatcher dispatcher;
  EntryAgent entry;
  JobManager jobs;
  TableEditor editor;
  TableReplica replica;
  Lifecycle lifecycle;
  Membership membership;
  VmList vm_list;
  bool vm_fetch_pending = false;
  bool vms_changed = false;
  bool vms_doubted = false;
};

}  // namespace chivedale

#endif  // CHIVEDALE_SCHEDULER_PARTS_H_
