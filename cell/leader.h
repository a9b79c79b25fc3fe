// Schedules jobs on the cell's executors. Created when this member wins an
// election and destroyed when a newer leader is known; only what it writes to
// the store outlives it.
//
//   CellLeader leader(context, options, {term, fence});
//   leader.Begin();                    // reads jobs, progress and executors
//   leader.SetTable(table);
//   leader.Tick();                     // every few milliseconds
//   leader.Find(job_id);               // for callers
//
// Orders carry the fencing token issued by the store with the election; an
// executor that has seen a higher one rejects them. Starting a task needs no
// store call.
#ifndef CELL_LEADER_H_
#define CELL_LEADER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/account_ledger.h"
#include "cell/advice_dispatcher.h"
#include "cell/executor.h"
#include "cell/job.h"
#include "cell/leader_authority.h"
#include "cell/leader_context.h"
#include "cell/leader_load.h"
#include "cell/pass_order.h"
#include "cell/placer.h"
#include "cell/pool_state.h"
#include "cell/ports.h"
#include "cell/progress_queue.h"
#include "cell/reservations.h"
#include "cell/tombstone.h"
#include "cell/types.h"
#include "chivedale/event_log.h"
#include "chivedale/metrics.h"
#include "util/read_limit.h"

namespace chivedale::cell {

namespace testing {
class CellLeaderPeer;
}

class CellLeader {
 public:
  CellLeader(const LeaderContext& context,
             const LeaderOptions& options,
             const Leadership& leadership);
  ~CellLeader();
  CellLeader(const CellLeader&) = delete;
  CellLeader& operator=(const CellLeader&) = delete;

  // Commands.
  void Begin();
  void Tick();
  void SetTable(std::shared_ptr<const QueueTable> table);
  void SetMembers(const std::set<std::string>& members);
  // Job or cancellation just stored by a member, ahead of the watch. Ignored if
  // already known, or if the jobs have not been loaded yet.
  void OnJobStored(const JobId& id,
                   const std::string& record,
                   int64_t revision);
  void OnCancelStored(const JobId& id);
  // Adds a wave, or updates one that was announced before.
  void AddWave(const UpkeepWave& wave);
  // Stops giving orders, without authority or once fenced.
  void Suspend();
  void Resume();
  // The authority of earlier leaders ends at this time at the latest. Without
  // this call it ends kUnlistedFencingDelay after Begin().
  void LimitPredecessorAuthority(TimePoint end);

  // Queries.
  bool loaded() const { return loaded_; }
  // Returns nullopt if there is no such job.
  std::optional<JobState> Find(const JobId& id) const;
  // Null if there is no such job.
  const Caller* OwnerOf(const JobId& id) const;
  // Progress of a step and what it waits for, shown to operators.
  struct StepView {
    int occurrence = 0;
    int step = 0;
    int tasks = 0;
    int done = 0;
    int running = 0;  // tasks with a live run
    int waiting = 0;
    int unconfirmed = 0;  // live runs whose start is not confirmed
    int stopping = 0;     // live runs that are being stopped
    bool queued = false;  // scheduling passes consider it
    // Empty if no task waits. The rest applies only if it is set.
    std::string waits_for;
    Duration waits_for_time{0};  // since this reason applies
    Duration waiting_time{0};    // since a task was last known to run
    int64_t last_pass = 0;       // that considered the step; 0: none
    Duration last_pass_age{0};
    // Starts since a task was last known to run.
    int starts = 0;
    int rejected = 0;
    int unanswered = 0;
    std::string last_result;  // of the last start that failed
    ExecutorId last_executor;
  };
  std::vector<StepView> DescribeSteps(const JobId& id) const;
  // Number of accepted jobs without a started task, by queue.
  std::map<std::string, int64_t> Pending() const;
  // Whether every executor that an earlier leader may use rejects its calls,
  // also if it has restarted since it last answered that leader.
  bool predecessor_fenced() const;
  // False if jobs that were accepted a while ago may not have been read, so
  // that Pending() may be too low.
  bool pending_known() const;
  const Leadership& leadership() const { return leadership_; }
  const LeaderCounts& counts() const { return counts_; }
  const WaitCounts& wait_counts() const { return wait_counts_; }
  const AccountLedger& account_ledger() const { return account_ledger_; }
  size_t jobs() const { return jobs_.size(); }
  // Jobs of which an executor lists runs or ends and whose record is being
  // read.
  size_t unread_jobs() const { return unread_jobs_.size(); }
  const std::map<ExecutorId, std::unique_ptr<Executor>>& executors() const {
    return executors_;
  }
  // True once everything a start depends on has been read, except executors
  // that are unreachable, and the leader has authority.
  bool may_start() const;

 private:
  friend class testing::CellLeaderPeer;

  // leader_jobs.cc
  void LoadJobs();
  // Reads the jobs again after a failed read.
  void LoadJobsLater();
  void LoadProgress(const StoreRead& jobs);
  // Reads the revisions of the lanes' sequence keys.
  void ReadSequences(const std::vector<StoreItem>& items);
  void OnJobsListed(const StoreRead& jobs, const StoreRead& progress);
  void WatchJobs();
  void OnJobEvents(const StoreRead& read);
  void ApplyJobItem(const StoreItem& item);
  void ApplyCancel(const JobId& id);
  void ApplyRecord(const JobId& id,
                   const std::string& record,
                   int64_t revision);
  void OpenJob(Job& job);
  void QueueWaitingSteps(Job& job);
  void AddJob(const JobId& id, const JobRecord& record, int64_t revision);
  void CancelJob(Job& job);
  void EndJob(Job& job);
  // Removes the step from the scheduling passes.
  void ForgetStep(Step& step);
  void StopAll(Job& job);
  void OpenDueRecurringJobs();
  void RemoveFinishedOccurrences();
  void RemoveExpiredJobs();
  void RemoveExpiredTombstones();
  // Forgets the removed jobs that no later read of the watch can show.
  void ForgetRemovedJobs();
  const QueuePolicy& PolicyOf(const Job& job) const;
  // Time since acceptance, by the VMs' wall clocks.
  Duration AgeOf(const Job& job) const;
  TimePoint ObjectiveOf(const Job& job, int occurrence) const;
  // Time from acceptance to the objective.
  static Duration TimeAllowed(const Job& job);
  JobDeadlines DeadlinesOf(const Step& step) const;
  WaitingStep DescribeWaiting(Step& step, TimePoint now) const;
  // Null if there is none.
  Step* StepOf(const TaskName& name);
  // Likewise, for a task that a predecessor may have started: opens its
  // occurrence if that is not open yet.
  Step* OpenStepOf(const TaskName& name);
  Executor* FindExecutor(const ExecutorId& id);

  // leader_entries.cc: discovery of executors.
  // What the list at kExecutorsKey says of an executor.
  struct ExecutorRow {
    ExecutorId id;
    std::string address;
    std::string pool;
    // See Executor::confirmed_incarnation.
    int64_t incarnation = 0;
    // Upper bound of the time until Executor::long_leases_end, as of the write.
    Millis long_leases{0};
    // A successor need not wait for it, but calls to it may be under way.
    bool retired = false;
  };
  Executor& AddExecutor(const ExecutorEntry& entry);
  // `row`: of the predecessor's list.
  void AddKnownExecutor(const ExecutorRow& row);
  // Updates by_pool_ after a change of the executors or of their pools.
  void IndexExecutors();
  void PollExecutors();
  // `begin`: when the list began; the entries may be as old as that.
  void OnEntries(TimePoint begin,
                 StoreStatus status,
                 std::vector<ExecutorEntry> entries);
  // Has the list at kExecutorsKey written soon if it has changed.
  void RequestExecutorsWrite();
  void StoreExecutorsIfChanged();
  void StoreExecutors();
  void OnExecutorsStored(const StoreWriteReply& reply,
                         const std::vector<ExecutorRow>& rows);
  void LoadKnownExecutors(const std::function<void()>& done);
  // Rows that cannot be read are logged and skipped, see
  // executor_rows_skipped_.
  std::vector<ExecutorRow> DecodeKnownExecutors(const std::string& bytes);
  bool IsRetired(const Executor& executor) const;
  // Whether the list must name the executor.
  bool BelongsInList(const Executor& executor) const;
  ExecutorRow RowOf(const Executor& executor, TimePoint now) const;

  // leader_executors.cc: hold calls and the runs and ends they list.
  void SendDueHolds();
  void CheckExecutors();
  void HoldIfDue(Executor& executor, TimePoint now);
  void Hold(Executor& executor);
  struct SentHold {
    TimePoint sent{};
    std::string address;
    int64_t fence = 0;
    int64_t ends_stored = 0;
  };
  void OnHold(const ExecutorId& id,
              const SentHold& call,
              const HoldReply& reply);
  bool MayHideRun(const Executor& executor, const HoldReply& reply) const;
  // The executor rejects the calls of earlier leaders from now on, or is gone.
  void OnFenceSeen(const ExecutorId& id);
  void ApplyEnds(Executor& executor, const std::vector<EndedTask>& ends);
  void ApplyEnd(Executor& executor,
                const EndedTask& end,
                UnstoredEnd& unstored);
  // `took`: run time, 0 if unknown.
  void ApplyEndToTask(Executor& executor,
                      const EndedTask& end,
                      const TaskName& name,
                      Duration took);
  void ApplyRunning(Executor& executor, const HoldReply& reply, TimePoint sent);
  void AdoptRun(Executor& executor, const RunningTask& row);
  void StopUnlessWanted(Executor& executor, Run& run);
  void DropMissingRuns(Executor& executor,
                       const HoldReply& reply,
                       TimePoint sent);
  // Logs an executor whose list of ends stays full.
  void ReportFullEnds(Executor& executor, const HoldReply& reply);
  void MarkAllRunsLost(Executor& executor, const char* reason);
  void MarkRunLost(Executor& executor,
                   const std::string& task,
                   const char* reason);
  // Sets the earliest time of the executor's next hold call.
  void ScheduleHold(Executor& executor, TimePoint at);
  bool IsUsable(const Executor& executor) const;
  // Whether the executor cannot have restarted unnoticed.
  bool IsSameIncarnation(const Executor& executor, TimePoint now) const;
  // Has the executor called, to notice a restart.
  void RequestCheck(Executor& executor);

  // leader_boots.cc: restarts of executors.
  // The answer is of another boot than the known one.
  void OnRestarted(Executor& executor,
                   const SentHold& call,
                   const HoldReply& reply);
  // Forgets all that is known of the executor's boot and raises its fence.
  void SetBoot(Executor& executor, int64_t incarnation);
  // Whether an answer to the next hold call confirms the boot.
  static bool MayConfirm(const Executor& executor);
  // Counts the leases that calls of earlier leaders, or to earlier boots, may
  // have granted before the answer to this call.
  void ConfirmBoot(Executor& executor, const SentHold& call);
  // Whether calls of earlier leaders with deadlines may be under way to
  // executors that are not in the list that this leader has read.
  bool MayMeetEarlierCalls() const;
  // Whether calls with deadlines, of this or an earlier leader, may be under
  // way to the executor.
  bool MayGetLateCalls(const Executor& executor) const;
  // Gets fences from the store for executors whose boot cannot be confirmed
  // with the present one.
  void RaiseFences();
  void OnFencesRaised(const StoreWriteReply& reply);
  // Whether a call with this fence is rejected only if the executor has seen a
  // newer leader, not a newer fence of this one.
  bool ExpectsFence(const ExecutorId& id, int64_t fence) const;

  // leader_unread_jobs.cc: runs and ends of jobs that were not read yet.
  struct WithheldEnd {
    ExecutorId executor;
    int64_t incarnation = 0;
    EndedTask end;
  };
  struct UnreadJob {
    TimePoint since{};
    std::set<ExecutorId> executors;  // with runs of the job
    std::vector<WithheldEnd> ends;   // in the order they were listed
  };
  // Whether the job may be stored although this leader has not read it.
  bool IsUnread(const JobId& id) const;
  // Returns the entry of the job. A new one has its record read.
  UnreadJob& AddUnreadJob(const JobId& id);
  void ReadUnreadJobs();
  void OnUnreadJobRead(const JobId& id, const StoreRead& read);
  // Applies the runs and ends of a job that has been read, or that is not
  // stored. No effect if the job was not an unread one.
  void SettleUnreadJob(const JobId& id);

  // leader_health.cc: unresponsive, slow and draining executors.
  void CheckUnresponsive(Executor& executor);
  void CheckOverdue(Executor& executor);
  void RetryStops(Executor& executor);
  void StopRunsOnDraining(Executor& executor);
  bool HasOutlastedElsewhere(const Job& job,
                             const Executor& executor,
                             Duration ran) const;
  // `begin`: of the run.
  void OnRunFailed(Executor& executor, Job& job, TimePoint begin);
  void RestartElsewhere(Executor& executor, Run& run, const char* reason);

  // leader_pace.cc: throttling of filling tasks beside serving tasks.
  void PaceFillTasks(Executor& executor);

  // leader_waves.cc: upkeep of the executors' VMs.
  enum class VmPhase { kClearing, kStoringOrder, kOrdering, kDown };
  struct VmUpkeep {
    VmPhase phase = VmPhase::kClearing;
    // The stored progress names the VM as one that may have been ordered down.
    bool order_stored = false;
    TimePoint since{};
    ExecutorId executor;  // on the VM before the upkeep
    // Orders that were not answered are executed by then or not at all.
    TimePoint orders_executed_by{};
  };
  struct WaveState {
    UpkeepWave wave;
    TimePoint announced{};  // when this leader learned of the wave
    TimePoint vms_named{};  // likewise, of the present wave.vms
    // VMs that were ordered down, or whose order was rejected for good.
    std::set<std::string> started_vms;
    // VMs that a predecessor may have ordered down, or whose order may be
    // executed late.
    std::set<std::string> inherited_orders;
    std::map<std::string, VmUpkeep> upkeeps;
    int64_t progress_revision = 0;  // of the stored progress
    bool progress_write_in_flight = false;
    bool progress_changed = false;  // since that write was sent
    bool loaded = false;            // a predecessor's progress has been read
    bool running_reported = false;
    bool completed = false;
  };
  void LoadWave(int64_t number);
  void RunWaves();
  void RunWave(WaveState& state);
  void ListVms();
  // Begins the upkeep again of VMs that a predecessor may have ordered down.
  void ResumeInheritedOrders(WaveState& state);
  // Number of the wave's VMs that are down, or that may be ordered down.
  int OccupiedSlots(const WaveState& state) const;
  bool IsDownWithoutUpkeep(const std::string& vm) const;
  bool PickVm(WaveState& state);
  // Whether the VM, named by the wave, is listed and has not been ordered down.
  bool NeedsUpkeep(const WaveState& state, const std::string& vm) const;
  // Applies what a VM that was ordered down and its executor show. Returns true
  // if the VM is up again, or was never taken down.
  bool ObserveUpkeep(const std::string& vm, const VmUpkeep& upkeep);
  // Whether runs that a predecessor started may be on the VM and have not been
  // read.
  bool MayHaveUnreadRuns(const std::string& vm,
                         const ExecutorId& executor) const;
  void ClearVm(WaveState& state, const std::string& vm, VmUpkeep& upkeep);
  void OrderUpkeep(int64_t number, const std::string& vm);
  void OnUpkeep(int64_t number, const std::string& vm, VmOrderResult result);
  void StoreWave(WaveState& state);
  // `orders`: VMs that the written progress names as ordered.
  void OnWaveStored(int64_t number,
                    const std::vector<std::string>& orders,
                    const StoreWriteReply& reply);
  // Whether a planned action may interrupt a task of the step now.
  bool MayInterrupt(const Step& step, int task) const;
  Duration GracePeriodOf(const WaveState& state) const;

  // leader_advice.cc
  // Returns the executors of `eligible` that hold a valid ticket for the step;
  // all of them if its queue needs none. Renews advice if needed.
  std::vector<Executor*> WithValidTicket(Step& step,
                                         const std::vector<Executor*>& eligible,
                                         const PoolState& pool);
  static bool HasValidTicket(const Step& step,
                             const Executor& executor,
                             TimePoint now);
  // Requests advice on executors of the pool if the step needs it now.
  // `room_expired`: an executor with room for it has an expired ticket.
  void RenewAdvice(Step& step, const PoolState& pool, bool room_expired);
  void RequestAdvice(Step& step, const std::vector<Executor*>& executors);
  // `asked`: the numbers of the executors in the call.
  void OnAdvice(const TaskName& step,
                const std::vector<size_t>& asked,
                const AdviceReply& reply);
  void SendAdviceCalls();

  // leader_starts.cc: the scheduling pass.
  void RequestSchedulingPass();
  void RunSchedulingPass();
  void AddIfWaiting(Step& step);
  void ScheduleStep(Step& step);
  bool PlaceTasks(Step& step,
                  const std::vector<Executor*>& candidates,
                  int most);
  bool PlaceGang(Step& step, const std::vector<Executor*>& candidates);
  // Starts up to `most` tasks on executors that are reserved for other steps,
  // where that does not delay these.
  void PlaceOnReserved(Step& step,
                       const std::vector<Executor*>& reserved,
                       int most);
  int StartsSince(int64_t starts) const {
    return static_cast<int>(counts_.starts - starts);
  }
  // Whether tasks of the step must wait because a predecessor may have started
  // them on an executor that this leader has not read yet. Never if they may
  // run twice.
  bool MayRunOnUnreadExecutor(const Step& step) const;
  // Likewise, whether or not they may run twice.
  bool PredecessorMayHaveStarted(const Step& step) const;
  void ReadPredecessorRevisionLimit();
  // Whether an earlier leader may still have authority.
  bool PredecessorMayAct() const;
  // Whether an earlier leader may still start a task of the job again that it
  // takes as lost. Null: of any job.
  bool PredecessorMayRestart(const Job* job) const;
  // Likewise for any run on the executor. Restarts of executors that the
  // earlier leader does not notice are not counted: leases would expire first.
  bool PredecessorMayRestartRunsOn(const Executor& executor) const;
  // Whether an executor that still takes orders of an earlier leader may run
  // the job's tasks. Null: any job's.
  bool HasUnfencedExecutorFor(const Job* job) const;
  // Whether tasks of the job may be on the executor, by its pool.
  bool MayUsePoolOf(const Job& job, const Executor& executor) const;
  // Until then an earlier leader may start a task on an executor that has seen
  // this leader's fence, but lost it in a restart unnoticed by that leader.
  TimePoint RestartsNoticedBy() const;
  // The time from which leases and the validity of starts count: now, or the
  // end of the authority if that has passed, so that a process which was paused
  // after its last check grants nothing.
  TimePoint GrantTime(TimePoint now) const;
  // Time by which all leases that the predecessor may have granted expire, on
  // any executor or on this one.
  TimePoint PredecessorLeasesEnd() const;
  TimePoint PredecessorLeasesEnd(const Executor& executor) const;
  // Whether no boot is known to have followed the one that the predecessor has
  // stored or this leader has confirmed.
  static bool IsOnConfirmedBoot(const Executor& executor);
  // Likewise as PredecessorLeasesEnd(), for an executor on that boot.
  TimePoint ConfirmedBootLeasesEnd(const Executor& executor) const;
  bool PredecessorLeasesExpired() const;
  bool PredecessorLeasesExpired(const Executor& executor) const;
  // Whether the runs and ends of an executor that the predecessor may have used
  // are not all known, and leases there may not have expired.
  bool IsUnread(const Executor& executor) const;
  // Whether there is such an executor.
  bool HasUnreadExecutors() const;
  PoolState& PoolStateOf(const std::string& pool);
  static void MeasureFree(PoolState& pool);
  // Usable executors that may run the step, as far as its advice is known.
  std::vector<Executor*> EligibleFor(const Step& step, const PoolState& pool);
  // Avoided executors that the step may use all the same, because at most half
  // of those that may run it are kept from it.
  std::vector<Executor*> ProbesFor(const Step& step, const PoolState& pool);
  // Starts up to `most` tasks, or the gang, on candidates and probes.
  bool PlaceOnProbes(Step& step,
                     const PoolState& pool,
                     std::vector<Executor*> candidates,
                     int most);
  bool IsWorthPreempting(const Run& run) const;
  PreemptionLoss LossOf(const Run& run, TimePoint now) const;
  // Stops less urgent runs to make room for up to `most` tasks.
  void Preempt(Step& step, const std::vector<Executor*>& candidates, int most);
  // Reserves executors for the step, which less urgent steps then cannot use.
  void ReserveExecutors(const Step& step,
                        const std::vector<Executor*>& candidates,
                        PoolState& pool);

  // leader_accounts.cc: limits and shares of client accounts.
  // Classifies the jobs that were read at once, in order of acceptance.
  void CountLoadedJobs();
  // Sets what accounts may run on executors that this leader has not read.
  void MeasurePossibleUse();
  // Number of tasks of the step that its account may start: all if it has none.
  // For a gang all or 0.
  int MaxStartsOfAccount(const Step& step) const;

  // leader_runs.cc: starting and stopping of runs.
  void Start(Executor& executor, Step& step, int task, int64_t number);
  void OnStarted(const ExecutorId& id,
                 const std::string& task,
                 int64_t number,
                 int64_t fence,
                 const OrderReply& reply);
  // The answer to the run's start is of another boot than the known one.
  void OnUnknownBoot(Executor& executor, Run& run, const OrderReply& reply);
  void StopRun(Executor& executor, Run& run, const char* reason);
  void OnStopped(const ExecutorId& id,
                 const std::string& task,
                 int64_t number,
                 int64_t fence,
                 const OrderReply& reply);
  void StopGang(Step& step, int64_t number, const char* reason);
  void StopCopies(Step& step, int task);
  // Starts second runs of overdue tasks whose step allows copies.
  void StartCopies();
  int64_t NextRunNumber(const Task& task) const;

  // leader_waits.cc: what steps wait for, for operators.
  // Ends the wait of the run's step, and its report if there was one.
  void OnRunBegan(const Run& run, const Executor& executor);
  std::pair<WaitReason, TimePoint> ReasonOf(const Step& step) const;
  StepView ViewOf(const Step& step) const;
  // Logs steps that wait long or are left out of the scheduling passes.
  void ReportWaitingSteps();
  void ReportWait(const Step& step, Event event);
  void ReportLoad(TimePoint now);
  void ReportUnreadExecutors();
  void ReportUnreadExecutorsEnd();

  // leader_headroom.cc: resources kept free for bursts of urgent jobs.
  void MeasureUrgentUse();
  // Maximum number of tasks that the step may start without using the headroom.
  int MaxStartsWithinHeadroom(const Step& step, const PoolState& pool) const;
  // Whether the step has no live run, became ready more than kStarvationTime
  // ago and at least half of its pool is free.
  bool IsStarved(const Step& step, const PoolState& pool) const;

  // leader_progress.cc: stored progress.
  void MarkDirty(Job& job);
  // Writes changed progress in each lane that may write now.
  void Flush();
  void FlushLane(size_t lane);
  void OnFlushed(size_t lane,
                 const StoreWriteReply& reply,
                 const std::map<JobId, JobState>& written);
  void ShowStored(const JobId& id, JobState state);
  // Why the executor's oldest end is not acknowledged.
  std::string_view ReasonOfUnstoredEnd(const UnstoredEnd& end) const;
  // Acknowledges the ends, in order, whose effect is stored.
  void AcknowledgeEnds();
  void AcknowledgeEnds(Executor& executor);
  bool PredecessorMayRestart(const UnstoredEnd& end) const;
  // Whether the end's job has been read and its progress is stored.
  bool IsStored(const UnstoredEnd& end) const;
  // Lets progress be written again that the store has rejected as invalid.
  void RetryRejectedProgress();

  void OnFenced(const std::string& reason);
  // Wraps a callback so that it does nothing once the leader is destroyed.
  template <typename F>
  auto Guard(F f) {
    return [alive = std::weak_ptr<bool>(alive_), f](auto&&... args) {
      if (alive.lock()) {
        f(std::forward<decltype(args)>(args)...);
      }
    };
  }

  const LeaderContext context_;
  const LeaderOptions options_;
  const Leadership leadership_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Placer placer_;
  AdviceDispatcher advice_dispatcher_;
  AccountLedger account_ledger_;
  const PassOrder& pass_order_;
  double mean_waiting_work_ = 0;        // of the jobs in the last pass
  bool possible_use_measured_ = false;  // in an earlier pass
  TimePoint next_possible_use_{};       // earliest next measurement
  TimePoint loaded_at_{};  // when all jobs had been read for the first time
  // Jobs with a higher revision were accepted after the predecessor had lost
  // the ability to start them.
  int64_t predecessor_revision_limit_;
  TimePoint next_limit_read_{};
  std::shared_ptr<const QueueTable> table_;
  uint64_t table_count_ = 1;  // sequence number of table_
  LeaderCounts counts_;
  WaitCounts wait_counts_;
  LeaderLoad load_;

  bool loaded_ = false;
  bool suspended_ = false;
  TimePoint suspended_at_{};
  bool fenced_ = false;
  TimePoint begin_time_{};
  TimePoint predecessor_authority_end_ = TimePoint::max();
  util::ReadLimit known_executors_limit_;
  util::ReadLimit jobs_limit_;  // also of their progress and of the watch
  int64_t jobs_revision_ = 0;
  TimePoint jobs_read_at_{};  // last answer to a list or watch of the jobs
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
  // Jobs that this leader has removed, and the revisions of their removals,
  // until the watch has passed them: a read that began before may still show
  // their records.
  std::unordered_map<JobId, int64_t> removed_jobs_;
  // Cancellations whose job has not been read yet.
  std::set<JobId> unmatched_cancels_;
  TombstoneSet tombstones_;
  bool tombstone_removal_in_flight_ = false;
  std::set<JobId> recurring_jobs_;
  std::unordered_map<JobId, UnreadJob> unread_jobs_;
  std::deque<JobId> unread_queue_;  // whose records are to be read
  size_t unread_reads_ = 0;         // in flight
  std::set<Step*, std::less<>> waiting_;
  // Overdue tasks that may get a second run: step and task index.
  std::set<std::pair<Step*, int>> overdue_copies_;

  std::map<ExecutorId, std::unique_ptr<Executor>> executors_;
  std::unordered_map<ExecutorId, Executor*> by_id_;
  // Executors by the numbers of their boots; null if the boot has ended.
  std::vector<Executor*> by_number_;
  std::map<std::string, std::vector<Executor*>> by_pool_;
  // Earliest next hold calls and the numbers of their executors. May contain
  // times that have changed since.
  using DueHold = std::pair<TimePoint, size_t>;
  std::priority_queue<DueHold, std::vector<DueHold>, std::greater<>> due_holds_;
  // Executors that an earlier leader may have used and that have not listed all
  // runs and ends to this leader.
  std::set<ExecutorId> unread_executors_;
  // Those that have not answered a call with this leader's fence: they still
  // execute the calls of an earlier leader.
  std::set<ExecutorId> unfenced_executors_;
  TimePoint last_fenced_{};  // when one was last removed from that set
  // Part of the list at kExecutorsKey could not be read, so that there may be
  // more unread executors than unread_executors_.
  bool executor_rows_skipped_ = false;
  bool unread_executors_reported_ = false;
  bool unread_executors_end_reported_ = false;
  bool known_executors_loaded_ = false;
  bool executors_list_found_ = false;  // at kExecutorsKey
  // It names all executors to which calls with deadlines may be under way.
  bool executors_list_complete_ = false;
  bool executor_entries_read_ = false;
  TimePoint entries_begin_{};  // when the last successful list of them began
  TimePoint store_recovered_at_{};
  TimePoint next_poll_{};
  bool poll_in_flight_ = false;
  bool store_failing_ = false;
  bool executors_write_in_flight_ = false;
  bool executors_forgotten_ = false;  // since the list was last written
  // When a requested write is due.
  TimePoint next_executors_write_ = TimePoint::max();

  std::map<int64_t, WaveState> waves_;
  std::map<std::string, VmInfo> vms_;  // as last listed
  TimePoint vm_list_begin_{};          // of that list
  TimePoint next_wave_check_{};
  TimePoint next_vm_list_{};
  bool vm_list_in_flight_ = false;

  std::map<std::string, int> urgent_priority_;   // by pool
  std::map<std::string, Resources> urgent_use_;  // smoothed, by pool
  TimePoint next_measure_{};

  bool pass_requested_ = false;
  // State of the current scheduling pass.
  Reservations reserved_;
  std::map<std::string, PoolState> pool_states_;
  TimePoint next_pass_{};
  TimePoint next_check_{};
  TimePoint next_sweep_{};

  ProgressQueue progress_queue_;
  struct LaneState {
    int64_t sequence_revision = 0;  // of the lane's sequence key
    TimePoint next_flush{};
  };
  std::vector<LaneState> lanes_;
  TimePoint next_rejected_retry_{};
  // Numbers of the executors with unstored ends.
  std::set<size_t> executors_with_unstored_ends_;
  int64_t executors_revision_ = 0;  // of kExecutorsKey
  // Highest fence used. Executors first seen by this leader get it: one may
  // have been known before and forgotten.
  int64_t latest_fence_ = 0;
  bool fence_needed_ = false;  // by an executor that has no fence of its boot
  bool raise_in_flight_ = false;
  TimePoint next_raise_{};  // earliest, after a failed write
};

}  // namespace chivedale::cell

#endif  // CELL_LEADER_H_
