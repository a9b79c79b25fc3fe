// The one member that starts work on the cell's executors. It is created when
// an election is won and destroyed when a newer leader is known; nothing of it
// lasts but what it writes to the store.
//
//   CellLeader leader(context, options, {term, fence});
//   leader.Begin();                    // reads jobs, progress and executors
//   leader.SetTable(table);
//   leader.Tick();                     // every few milliseconds
//   leader.Find(job_id);               // for callers
//
// Its orders carry the fence, which the store issued with the election; an
// executor that has seen a higher one refuses them. Starting needs no call to
// the store.
#ifndef CELL_LEADER_H_
#define CELL_LEADER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/advice_desk.h"
#include "cell/executor.h"
#include "cell/job.h"
#include "cell/placer.h"
#include "cell/ports.h"
#include "cell/types.h"
#include "chivedale/event_log.h"
#include "chivedale/metrics.h"

namespace chivedale::cell {

// Times in the executors' contract come from the settings; the others are
// choices of this project, with their reasons in leader.cc.
struct LeaderOptions {
  Millis lease{3'500};      // of everything on an executor, from each hold
  Millis hold_wait{1'000};  // how long a hold waits for an end
  Millis stop_time{900};    // longest time a stop takes
  Millis gang_timeout{3'000};
  Millis restore{600};        // to resume from a checkpoint
  Millis upkeep_time{2'000};  // that a VM's upkeep takes
  Millis status_retention{120'000};
  PlacerOptions placer;
};

// An elected leadership.
struct Leadership {
  int64_t term = 1;   // 1 for the first leader of a cell
  int64_t fence = 0;  // revision of the leader's key in the store
  // The process that led before has certainly ended.
  bool predecessor_gone = false;
};

// Keys in the store.
inline constexpr char kJobPrefix[] = "j/";  // j/ID, and j/ID/x: cancelled
inline constexpr char kCancelSuffix[] = "/x";
inline constexpr char kProgressPrefix[] = "p/";      // p/ID
inline constexpr char kWaveProgressPrefix[] = "w/";  // w/NUMBER: VMs done
inline constexpr char kLeaderKey[] = "c/leader";
inline constexpr char kMemberPrefix[] = "c/m/";  // c/m/NODE
inline constexpr char kExecutorsKey[] = "c/executors";
// Written with all progress. A write that is done late finds another revision
// of it and changes nothing.
inline constexpr char kProgressSequenceKey[] = "f";

std::string JobKey(const JobId& id);
std::string CancelKey(const JobId& id);
std::string ProgressKey(const JobId& id);

// Runs a function after a delay on the control thread.
using Defer = std::function<void(Millis, std::function<void()>)>;
// Asks a member to call for advice.
using AskMember = std::function<
    void(const std::string& member, const AdviceAsk&, AdvicePort::OnAdvice)>;
// Reads the entries that executors keep in the store.
using ListExecutors = std::function<void(
    std::function<void(StoreStatus, std::vector<ExecutorEntry>)>)>;

// Tells the operators how far a wave is.
using WriteWaveStatus = std::function<
    void(int64_t wave, bool completed, std::function<void(bool)> done)>;

struct LeaderContext {
  const Clock& clock;
  EventLog& log;
  Metrics& metrics;
  StorePort& store;
  ExecutorPort& executors;
  VmPort& vms;
  ListExecutors list_executors;
  WriteWaveStatus write_wave_status;
  AskMember ask_member;
  Defer defer;
  // A newer leader exists. The leader is destroyed afterwards, not within.
  std::function<void(const std::string& reason)> on_fenced;
};

struct LeaderCounts {
  int64_t starts = 0;
  int64_t ends = 0;
  int64_t holds = 0;
  int64_t passes = 0;
  int64_t stops = 0;
  int64_t preempted = 0;
  int64_t advice = 0;
  int64_t progress_writes = 0;
};

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
  // What a member has just stored, ahead of the watch. Anything already known
  // is ignored, as is all before the jobs are read.
  void OnJobStored(const JobId& id,
                   const std::string& record,
                   int64_t revision);
  void OnCancelStored(const JobId& id);
  // Called again for a wave that was announced before.
  void AddWave(const UpkeepWave& wave);
  // Gives no more orders, for a successor or after a pause of this process.
  void Suspend();
  void Resume();

  // Queries.
  bool loaded() const { return loaded_; }
  // Nothing when there is no such job.
  std::optional<JobState> Find(const JobId& id) const;
  // For operators: the steps of a job and what each waits for.
  struct StepView {
    int occurrence = 0;
    int step = 0;
    int tasks = 0;
    int done = 0;
    int running = 0;
    int waiting = 0;
    std::string waits_for;  // empty when nothing waits
  };
  std::vector<StepView> Explain(const JobId& id) const;
  // Accepted jobs of which no task has started, by queue.
  std::map<std::string, int64_t> Pending() const;
  const Leadership& leadership() const { return leadership_; }
  const LeaderCounts& counts() const { return counts_; }
  size_t jobs() const { return jobs_.size(); }
  const std::map<ExecutorId, std::unique_ptr<Executor>>& executors() const {
    return executors_;
  }
  // All is read that a start depends on, except executors out of reach.
  bool may_start() const;

 private:
  struct StepOrder {
    int priority;
    bool late;  // its objective has passed
    TimePoint objective;
    Step* step;
  };

  // leader.cc: jobs.
  void LoadJobs();
  void LoadProgress(const StoreRead& jobs);
  void OnJobsListed(const StoreRead& jobs, const StoreRead& progress);
  void WatchJobs();
  void OnJobEvents(const StoreRead& read);
  void TakeJobItem(const StoreItem& item);
  void TakeCancel(const JobId& id);
  void TakeRecord(const JobId& id, const std::string& record, int64_t revision);
  void OpenJob(Job& job);
  void AddJob(const JobId& id, const JobRecord& record, int64_t revision);
  void CancelJob(Job& job);
  void EndJob(Job& job);
  void StopAll(Job& job);
  void OpenTimed();
  void RemoveOld();
  const QueuePolicy& PolicyOf(const Job& job) const;
  // Since the job was accepted, by the VMs' clocks.
  Duration AgeOf(const Job& job) const;
  TimePoint ObjectiveOf(const Step& step) const;

  // leader_entries.cc: executors that come and go.
  void PollExecutors();
  void OnEntries(StoreStatus status, std::vector<ExecutorEntry> entries);
  void StoreExecutors();
  void OnExecutorsStored(const StoreWriteReply& reply,
                         const std::vector<ExecutorId>& ids);
  void LoadKnownExecutors(const std::function<void()>& done);
  bool DoneWith(const Executor& executor) const;

  // leader_executors.cc: holds and what they list.
  void HoldDue();
  void Hold(Executor& executor);
  void OnHold(const ExecutorId& id,
              TimePoint sent,
              int64_t ends_sent,
              const HoldReply& reply);
  void TakeEnds(Executor& executor, const std::vector<EndedTask>& ends);
  void TakeEnd(Executor& executor, const EndedTask& end);
  void TakeRunning(Executor& executor, const HoldReply& reply, TimePoint sent);
  void AdoptRun(Executor& executor, const RunningTask& row);
  void DropMissingRuns(Executor& executor,
                       const HoldReply& reply,
                       TimePoint sent);
  void LoseRuns(Executor& executor, const char* reason);
  void LoseRun(Executor& executor, const std::string& task, const char* reason);
  void ScheduleHold(Executor& executor, TimePoint at);
  bool Usable(const Executor& executor) const;

  // leader_health.cc: executors that are silent, slow or about to leave.
  void CheckSilent(Executor& executor);
  void CheckOverdue(Executor& executor);
  void RetryStops(Executor& executor);
  void LeaveDraining(Executor& executor);
  void MoveAway(Executor& executor, Run& run, const char* reason);

  // leader_pace.cc: tasks that fill beside tasks that serve.
  void PaceFills(Executor& executor);

  // leader_waves.cc: upkeep of the executors' VMs.
  enum class VmPhase { kClearing, kOrdering, kDown };
  struct VmWork {
    VmPhase phase = VmPhase::kClearing;
    TimePoint since{};
    ExecutorId executor;  // that ran there before
  };
  struct WaveState {
    UpkeepWave wave;
    TimePoint announced{};
    std::set<std::string> begun;  // VMs whose upkeep has begun or is over
    std::map<std::string, VmWork> work;
    bool loaded = false;  // what a predecessor did is known
    bool shown_running = false;
    bool completed = false;
  };
  void LoadWave(int64_t number);
  void RunWaves();
  void RunWave(WaveState& state);
  void ListVms();
  bool PickVm(WaveState& state);
  void ClearVm(WaveState& state, const std::string& vm, VmWork& work);
  void OrderUpkeep(int64_t number, const std::string& vm);
  void OnUpkeep(int64_t number, const std::string& vm, VmOrderResult result);
  void StoreWave(const WaveState& state);
  // Whether a planned action may take a task of the step now.
  bool MayTake(const Step& step, int task) const;
  Duration PatienceOf(const WaveState& state) const;

  // leader_advice.cc
  // Those of `eligible` that advice lets run the step now.
  std::vector<Executor*> Advised(Step& step,
                                 const std::vector<Executor*>& eligible);
  void AskAdvice(Step& step, const std::vector<Executor*>& executors);
  void OnAdvice(const TaskName& step,
                const std::vector<ExecutorId>& asked,
                const AdviceReply& reply);
  void PumpAdvice();

  // leader_starts.cc: the pass that starts tasks.
  void RequestPass();
  void Pass();
  void MarkWaiting(Step& step);
  void PassStep(Step& step);
  bool PlaceTasks(Step& step,
                  const std::vector<Executor*>& candidates,
                  int most);
  bool PlaceGang(Step& step, const std::vector<Executor*>& candidates);
  // Whether an executor that has not been read may run tasks of the step, by
  // order of a predecessor.
  bool MayRunUnseen(const Step& step) const;
  void MarkPredecessorStopped();
  // All leases that the predecessor can have given have run out.
  bool PredecessorLapsed() const;
  // The executors of a pool that can take starts, in the present pass.
  struct PoolRoom {
    std::vector<Executor*> usable;
    Resources capacity;  // of all of them
    Resources free;
    // No executor has more of any resource free.
    Resources most_free;
    int reserving = 0;  // steps that keep executors from others
  };
  PoolRoom& RoomOf(const std::string& pool);
  static void UpdateMostFree(PoolRoom& pool);
  std::vector<Executor*> EligibleFor(const Step& step, const PoolRoom& pool);
  void Preempt(Step& step, const std::vector<Executor*>& candidates);
  void Start(Executor& executor, Step& step, int task, int64_t number);
  void OnStarted(const ExecutorId& id,
                 const std::string& task,
                 int64_t number,
                 const OrderReply& reply);
  void StopRun(Executor& executor, Run& run, const char* reason);
  void OnStopped(const ExecutorId& id,
                 const std::string& task,
                 int64_t number,
                 const OrderReply& reply);
  void StopGang(Step& step, int64_t number, const char* reason);
  void StopCopies(Step& step, int task);
  // Second runs of overdue tasks, where the step allows copies.
  void StartCopies();
  // Keeps the executors that the step waits for from less urgent steps.
  void Reserve(const Step& step,
               const std::vector<Executor*>& candidates,
               PoolRoom& pool);
  // Whether the candidates could hold the step if nothing else ran there.
  bool CouldFit(const Step& step,
                const std::vector<Executor*>& candidates) const;
  int64_t NextRun(const Task& task) const;
  Step* StepOf(const TaskName& name);
  Executor* FindExecutor(const ExecutorId& id);

  // leader_headroom.cc: room kept free for bursts of urgent work.
  void MeasureUrgentUse();
  // How many of its tasks the step may start beside that room.
  int TasksBesideHeadroom(const Step& step, const PoolRoom& pool) const;
  // Nothing of the step runs although its pool has room.
  bool IsOverlooked(const Step& step, const PoolRoom& pool) const;

  // leader_progress.cc: what lasts.
  void MarkDirty(Job& job);
  void Flush();
  void OnFlushed(const StoreWriteReply& reply,
                 const std::map<JobId, JobState>& written,
                 const std::map<ExecutorId, std::pair<int64_t, int64_t>>& ends);
  void AcknowledgeEnds();

  void Fenced(const std::string& reason);
  // Wraps a callback so that it does nothing after the leader's end.
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
  AdviceDesk desk_;
  // Jobs with a later revision were accepted when the predecessor could not
  // start them any more.
  int64_t unseen_until_;
  TimePoint next_mark_{};
  std::shared_ptr<const QueueTable> table_;
  uint64_t table_count_ = 1;  // tables so far
  LeaderCounts counts_;

  bool loaded_ = false;
  bool suspended_ = false;
  bool fenced_ = false;
  TimePoint begun_{};
  int64_t jobs_revision_ = 0;
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
  // Cancels whose job has not been read yet.
  std::set<JobId> early_cancels_;
  std::set<JobId> timed_;
  std::set<Step*> waiting_;
  std::set<std::pair<Step*, int>> overdue_copies_;  // step and task

  std::map<ExecutorId, std::unique_ptr<Executor>> executors_;
  // Executors that an earlier leader may have used and that are not read yet.
  std::set<ExecutorId> unread_;
  bool known_loaded_ = false;
  bool entries_seen_ = false;
  TimePoint store_back_{};
  TimePoint next_poll_{};
  bool poll_in_flight_ = false;
  bool store_failing_ = false;
  bool executors_write_in_flight_ = false;

  std::map<int64_t, WaveState> waves_;
  std::map<std::string, VmInfo> vms_;  // as last listed
  TimePoint next_wave_check_{};
  TimePoint next_vm_list_{};
  bool vm_list_in_flight_ = false;

  std::map<std::string, int> urgent_priority_;   // by pool
  std::map<std::string, Resources> urgent_use_;  // smoothed, by pool
  TimePoint next_measure_{};

  bool pass_requested_ = false;
  // Of the present pass.
  std::set<const Executor*> reserved_;
  std::map<std::string, PoolRoom> pass_rooms_;
  TimePoint next_pass_{};
  TimePoint next_check_{};
  size_t next_number_ = 0;
  TimePoint next_sweep_{};

  std::set<JobId> dirty_;
  int64_t sequence_revision_ = 0;   // of kProgressSequenceKey
  int64_t executors_revision_ = 0;  // of kExecutorsKey
  bool flush_in_flight_ = false;
  TimePoint next_flush_{};
};

}  // namespace chivedale::cell

#endif  // CELL_LEADER_H_
