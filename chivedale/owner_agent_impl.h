// Combines the components of the owner role. The methods are in owner_agent.cc
// (members and queries), owner_starts.cc (dispatches and their outcomes),
// owner_jobs.cc (queries of job managers) and owner_workers.cc (events from
// workers).
#ifndef CHIVEDALE_OWNER_AGENT_IMPL_H_
#define CHIVEDALE_OWNER_AGENT_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chivedale/adopted_tasks.h"
#include "chivedale/completion_relay.h"
#include "chivedale/lease_manager.h"
#include "chivedale/owner_agent.h"
#include "chivedale/placement.h"
#include "chivedale/start_tracker.h"
#include "chivedale/usage_model.h"
#include "chivedale/worker_health.h"

namespace chivedale {

struct OwnerAgent::Impl final : LeaseListener {
  Impl(const util::Clock& clock,
       util::Random& random,
       WorkerPort& workers,
       OwnerListener& listener,
       MemberInfo self,
       Options options,
       EventLog* log);

  // Defers messages and notifications until the outermost call returns, because
  // the listener may call back into this object.
  class CallScope {
   public:
    explicit CallScope(Impl& impl) : impl_(impl) { ++impl_.depth_; }
    ~CallScope() {
      if (--impl_.depth_ == 0) {
        impl_.Flush();
      }
    }
    CallScope(const CallScope&) = delete;
    CallScope& operator=(const CallScope&) = delete;

   private:
    Impl& impl_;
  };

  // owner_agent.cc
  void SetMembers(const std::vector<MemberInfo>& owners);
  void Tick();
  void Flush();
  void Send(const MemberId& to, Message message);
  void SendToAll(const Message& message);
  void Log(Event event, const LogFields& fields);
  void OnMemberDead(const MemberId& member);
  void OnAttach(const Attach& attach);
  void AdoptAttempt(const TaskKey& key, const MemberId& entry, bool repeatable);
  void SendEntryGone(const MemberId& gone);
  void TickAdopted();
  void FindMissingEntries();
  void EndUnlisted();
  void KeepAnswer(const TaskKey& key);
  // Sends the answer to those that attached to the adopted request.
  void SendToAttached(const TaskKey& key);
  void OnEntryReturned(const MemberId& entry);
  std::vector<TaskKey> KeysOf(const MemberId& entry) const;
  void SendAnswers();
  bool IsMember(const MemberId& id) const;
  bool drained() const;
  Summary CachedSummary() const;
  Summary LatestSummary() const;
  void Summarise() const;
  std::vector<WorkerStatus> Workers() const;

  // owner_starts.cc
  void OnDispatch(const Dispatch& dispatch);
  // Answers a repeated dispatch as before; returns false if it is new.
  bool RepeatDecision(const Dispatch& dispatch);
  WorkerRecord* Place(const Dispatch& dispatch, Resources* size);
  WorkerRecord* PlaceOnHold(const Dispatch& dispatch, Resources* size);
  bool CanStart(const WorkerRecord& worker) const;
  void Start(const Dispatch& dispatch,
             WorkerRecord& worker,
             const Resources& size);
  void OnStarted(const TaskKey& key,
                 const LeaseToken& token,
                 StartOutcome outcome);
  void SendStart(const Attempt& attempt);
  // Resends the start of an unresolved attempt under the current token.
  void StartAgain(Attempt& attempt, const LeaseToken& token);
  void OnStartUnknown(Attempt& attempt);
  void SetRunning(Attempt& attempt, util::TimePoint started);
  // The attempt is known not to have started.
  void EndNotStarted(const TaskKey& key, DispatchOutcome outcome);
  // The attempt has ended with an unknown outcome.
  void EndUnknown(const TaskKey& key);
  void AnswerUnknown(const Attempt& attempt);
  void Reply(const Attempt& attempt, DispatchOutcome outcome);
  void Refuse(const Dispatch& dispatch, DispatchOutcome outcome);
  void ReplyWith(const Dispatch& dispatch, const Decision& decision);
  void Preempt(const Dispatch& dispatch);
  void OnCancel(const Cancel& cancel);
  void TickStops();
  void OnHold(const MemberId& from, const Hold& hold);
  std::vector<WorkerId> RenewHold(uint64_t hold, util::TimePoint expires);
  void OnHoldRelease(uint64_t hold);
  void Update(WorkerRecord& worker);

  // owner_jobs.cc
  void OnJobQuery(const JobQuery& query);
  void OnRequestQuery(const JobQuery& query);
  bool IsOfEarlierManager(const Dispatch& dispatch) const;
  bool HasRead(const WorkerId& id);
  void ExpireJobEpochs();

  // owner_workers.cc: LeaseListener
  void OnRead(WorkerRecord& worker,
              const std::vector<RunningTask>& tasks,
              const std::vector<Completion>& completions,
              bool reboot) override;
  void OnCompletions(WorkerRecord& worker,
                     const std::vector<Completion>& completions) override;
  void OnChange(WorkerRecord& worker) override;
  void OnTakenOver(WorkerRecord& worker) override;
  void OnReleased(WorkerRecord& worker, const MemberId& next) override;
  void OnAllTasksEnded(WorkerRecord& worker) override;
  std::vector<uint64_t> AcksFor(const WorkerRecord& worker) const override;
  void OnAcksDelivered(WorkerRecord& worker,
                       const std::vector<uint64_t>& acks) override;
  void OnCompletion(WorkerRecord& worker, const Completion& completion);
  void OnListedTask(WorkerRecord& worker, const RunningTask& task);
  void SettleUnlisted(WorkerRecord& worker,
                      const std::vector<RunningTask>& tasks,
                      bool reboot);
  void ObserveEnd(WorkerRecord& worker,
                  const Attempt& attempt,
                  const Completion& completion);
  void Announce(WorkerRecord& worker, bool reboot);
  void Forget(WorkerRecord& worker);
  void SettleMoved(WorkerRecord& worker);

  struct HeldWorkers {
    MemberId from;
    HoldReply reply;
    util::TimePoint expires{};
  };
  struct Announcement {
    int left = 0;
    bool reboot = false;
    uint64_t token = 0;
    util::TimePoint next{};
  };
  struct GoneEntry {
    bool complete = false;
    int sends_left = 0;
    util::TimePoint next{};
    util::TimePoint since{};
  };

  // The highest manager epoch seen for a job.
  struct JobEpoch {
    uint64_t epoch = 0;
    util::TimePoint last_seen{};
  };
  // Longer than a dispatch can be in transit.
  static constexpr Millis kJobEpochRetention{3'600'000};

  const util::Clock& clock_;
  util::Random& random_;
  WorkerPort& port_;
  OwnerListener& listener_;
  MemberInfo self_;
  const Options options_;
  NullEventLog null_log_;
  EventLog& log_;

  std::set<MemberId> members_;
  LeaseManager lease_manager_;
  Placement placement_;
  StartTracker tracker_;
  CompletionRelay relay_;
  AdoptedTasks adopted_;
  UsageModel usage_;
  WorkerHealth health_;
  std::map<uint64_t, HeldWorkers> holds_;
  std::unordered_map<WorkerId, Announcement> announcements_;
  std::map<MemberId, GoneEntry> gone_entries_;
  std::unordered_map<JobId, JobEpoch> job_epochs_;
  // Attempts on workers that another owner took over. Their entries may still
  // consider this member the owner, and are notified when it owns the worker
  // again.
  std::unordered_map<WorkerId, std::vector<Attempt>> moved_attempts_;
  std::set<std::pair<util::TimePoint, WorkerId>> probes_;
  // By urgent task: the running attempt that was stopped to free capacity for
  // it.
  std::map<TaskId, TaskKey> preempted_for_;
  // Entries of local tasks that are not members, with the time of the first
  // check that found them missing.
  std::map<MemberId, util::TimePoint> missing_entries_;
  util::TimePoint next_adoption_check_{};
  double preemption_credit_ = 1;
  util::TimePoint last_tick_{};
  mutable uint64_t summary_sequence_ = 0;
  bool draining_ = false;

  std::vector<std::pair<MemberId, Message>> outbox_;
  std::vector<std::pair<std::string, Millis>> run_times_;
  std::vector<Register> registers_;
  bool room_freed_ = false;
  int depth_ = 0;
  // Workers in `placement_`, with their free capacity at the last Update; an
  // increase is reported by OnCapacityFreed.
  std::unordered_map<WorkerId, Resources> indexed_;
  mutable Summary summary_;
  mutable util::TimePoint summary_time_{};
  mutable bool room_since_summary_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace chivedale

#endif  // CHIVEDALE_OWNER_AGENT_IMPL_H_
