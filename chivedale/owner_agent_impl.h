// Joins the parts of the owner role. The methods are in owner_agent.cc
// (members and queries), owner_starts.cc (dispatches and their outcomes) and
// owner_workers.cc (what the workers tell).
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
#include "chivedale/lease_keeper.h"
#include "chivedale/owner_agent.h"
#include "chivedale/placement.h"
#include "chivedale/start_tracker.h"
#include "chivedale/usage_model.h"
#include "chivedale/worker_health.h"

namespace chivedale {

struct OwnerAgent::Impl final : LeaseEvents {
  Impl(const util::Clock& clock,
       util::Random& random,
       WorkerPort& workers,
       OwnerListener& listener,
       MemberInfo self,
       Options options,
       EventLog* log);

  // Sends and room notices are made when the outermost call ends: the
  // listener may call back into this object.
  class Turn {
   public:
    explicit Turn(Impl& impl) : impl_(impl) { ++impl_.depth_; }
    ~Turn() {
      if (--impl_.depth_ == 0) {
        impl_.Flush();
      }
    }
    Turn(const Turn&) = delete;
    Turn& operator=(const Turn&) = delete;

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
  void TellAttached(const TaskKey& key);
  void OnEntryBack(const MemberId& entry);
  std::vector<TaskKey> KeysOf(const MemberId& entry) const;
  void SendAnswers();
  bool IsMember(const MemberId& id) const;
  bool drained() const;
  Summary CurrentSummary() const;
  Summary LatestSummary() const;
  void Summarise() const;
  std::vector<WorkerStatus> Workers() const;

  // owner_starts.cc
  void OnDispatch(const Dispatch& dispatch);
  // True when the dispatch was answered as an earlier one.
  bool AnswerAsFirst(const Dispatch& dispatch);
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
  // Sends the start of an unresolved attempt again under the present token.
  void StartAgain(Attempt& attempt, const LeaseToken& token);
  void OnStartUnknown(Attempt& attempt);
  void SetRunning(Attempt& attempt, util::TimePoint started);
  // The attempt certainly did not start.
  void EndNotRun(const TaskKey& key, DispatchOutcome outcome);
  // The attempt has ended, and nothing more is known of it.
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

  // owner_workers.cc: LeaseEvents
  void OnRead(WorkerRecord& worker,
              const std::vector<RunningTask>& tasks,
              const std::vector<Completion>& completions,
              bool reboot) override;
  void OnCompletions(WorkerRecord& worker,
                     const std::vector<Completion>& completions) override;
  void OnChange(WorkerRecord& worker) override;
  void OnTaken(WorkerRecord& worker) override;
  void OnReleased(WorkerRecord& worker, const MemberId& next) override;
  void OnAllEnded(WorkerRecord& worker) override;
  std::vector<uint64_t> AcksFor(const WorkerRecord& worker) const override;
  void OnAcksDelivered(WorkerRecord& worker,
                       const std::vector<uint64_t>& acks) override;
  void OnCompletion(WorkerRecord& worker, const Completion& completion);
  void OnListedTask(WorkerRecord& worker, const RunningTask& task);
  void SettleUnlisted(WorkerRecord& worker,
                      const std::vector<RunningTask>& tasks,
                      bool reboot);
  void LearnFrom(WorkerRecord& worker,
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

  // The highest epoch of a job's managers that was heard of.
  struct JobEpoch {
    uint64_t epoch = 0;
    util::TimePoint heard{};
  };
  // Longer than a dispatch can be on its way.
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
  LeaseKeeper keeper_;
  Placement placement_;
  StartTracker tracker_;
  CompletionRelay relay_;
  AdoptedTasks adopted_;
  UsageModel usage_;
  WorkerHealth health_;
  std::map<uint64_t, HeldWorkers> holds_;
  std::unordered_map<WorkerId, Announcement> announcements_;
  std::map<MemberId, GoneEntry> gone_;
  std::unordered_map<JobId, JobEpoch> job_epochs_;
  // Attempts on workers that went to another owner. Their entries may still
  // take this member for the owner, and are told when it owns the worker again.
  std::unordered_map<WorkerId, std::vector<Attempt>> moved_;
  std::set<std::pair<util::TimePoint, WorkerId>> probes_;
  // The running attempt that was stopped to make room for an urgent task.
  std::map<TaskId, TaskKey> preempted_for_;
  // Entries of work here that are no members, since when.
  std::map<MemberId, util::TimePoint> missing_;
  util::TimePoint next_adoption_check_{};
  double preemption_credit_ = 1;
  util::TimePoint ticked_{};
  mutable uint64_t summary_sequence_ = 0;
  bool draining_ = false;

  std::vector<std::pair<MemberId, Message>> outbox_;
  std::vector<std::pair<std::string, Millis>> run_times_;
  std::vector<Register> registers_;
  bool room_ = false;
  int depth_ = 0;
  // Room of the last Update per worker; more room is worth a notice.
  std::unordered_map<WorkerId, Resources> indexed_;
  mutable Summary summary_;
  mutable util::TimePoint summarised_{};
  mutable bool room_since_summary_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace chivedale

#endif  // CHIVEDALE_OWNER_AGENT_IMPL_H_
