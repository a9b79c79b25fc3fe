// The scheduler of one daemon. Combines the entry role, the owner role, the
// shared state and the job manager on one thread. Events arrive through
// OnMessage, Tick and the two API base classes; calls go out through the ports.
//
//   Scheduler scheduler(deps, settings, self);
//   scheduler.Start();
//   // every 5 ms:
//   scheduler.Tick();
#ifndef CHIVEDALE_SCHEDULER_H_
#define CHIVEDALE_SCHEDULER_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chivedale/dispatcher.h"
#include "chivedale/entry_agent.h"
#include "chivedale/event_log.h"
#include "chivedale/job_manager.h"
#include "chivedale/lifecycle.h"
#include "chivedale/membership.h"
#include "chivedale/metrics.h"
#include "chivedale/owner_agent.h"
#include "chivedale/ports.h"
#include "chivedale/record_log.h"
#include "chivedale/request_directory.h"
#include "chivedale/scheduler_api.h"
#include "chivedale/settings.h"
#include "chivedale/table_editor.h"
#include "chivedale/table_replica.h"
#include "chivedale/vm_list.h"

namespace chivedale {

class Scheduler final : public SchedulerCommands,
                        public SchedulerQueries,
                        public MemberSender {
 public:
  struct Deps {
    const util::Clock& clock;
    util::Random& random;
    StorePort& store;
    WorkerPort& workers;
    PeerPort& peers;
    VmListPort& vms;
    Metrics& metrics;
    EventLog& log;
  };

  Scheduler(Deps deps, const Settings& settings, MemberId self);
  ~Scheduler() override;

  // Commands.
  void Start();
  void OnMessage(const MemberId& from, const Message& message);
  void Tick();

  // Queries.
  bool stopped() const;

  // SchedulerCommands:
  void Submit(const CallerSubmission& submission,
              ResultCallback accepted,
              ResultCallback finished) override;
  void Cancel(const RequestId& id, ResultCallback done) override;
  void SubmitJob(const JobSpec& spec, JobCallback done) override;
  void CancelJob(const JobId& id, JobCallback done) override;
  void SetJobCount(const JobId& id, int64_t count, JobCallback done) override;
  void EditTable(const TableEdit& edit,
                 std::function<void(EditResult)> done) override;
  void Drain() override;

  // SchedulerQueries:
  void FindRequest(
      const RequestId& id,
      std::function<void(std::optional<RequestView>)> done) override;
  void FindJob(const JobId& id, JobCallback done) override;
  void TableHistory(
      int limit,
      std::function<void(StoreStatus, std::vector<Table>)> done) override;
  const Table& CurrentTable() const override;
  StatusReport Status() const override;
  std::vector<WorkerStatus> Workers() const override;
  std::vector<RowQueueState> Queue() const override;
  BurnSnapshot Burn() const override;
  bool Ready() const override;

  // MemberSender:
  bool SendToMember(const MemberId& to, const Message& message) override;

 private:
  class OwnerEvents;
  class JobEvents;
  class MessageHandler;
  struct Parts;

  void OnMemberChanged(const MemberInfo& member);
  void RefreshMembers();
  void OnTableApplied(const Table& table);
  void OnLifecycle(LifecycleState state);
  void FetchVms();
  void ApplyVms();
  void SendSummaries();
  void AdvanceDrain();
  void SetGauges();
  // Called at the end of each event: delivers messages to this member, then
  // dispatches.
  void Flush();

  const Deps deps_;
  const Settings settings_;
  const MemberInfo self_;
  std::unique_ptr<Parts> parts_;
  std::deque<std::pair<MemberId, Message>> local_messages_;
  bool flushing_ = false;
  bool members_changed_ = false;
  bool room_changed_ = false;
  uint64_t vm_version_ = 0;
  util::TimePoint next_summary_{};
  util::TimePoint next_remote_summary_{};
  util::TimePoint next_slow_tick_{};
  util::TimePoint next_room_summary_{};
  util::TimePoint next_vm_fetch_{};
};

}  // namespace chivedale

#endif  // CHIVEDALE_SCHEDULER_H_
