// What a leader is given, and what it counts: options, ports and the keys that
// it shares with the members.
#ifndef CELL_LEADER_CONTEXT_H_
#define CELL_LEADER_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cell/advice_dispatcher.h"
#include "cell/placer.h"
#include "cell/ports.h"
#include "cell/types.h"
#include "chivedale/event_log.h"
#include "chivedale/metrics.h"

namespace chivedale::cell {

// Timing and placement options. The limits of the executors' contract come from
// the settings.
struct LeaderOptions {
  Millis lease{3'500};  // of all runs on an executor, renewed by each hold
  Millis longest_lease{6'000};  // executors shorten longer ones
  Millis hold_wait{1'000};      // maximum wait of a hold call for an end
  Millis stop_time{900};        // maximum duration of a stop
  Millis gang_timeout{3'000};
  Millis restore_time{600};   // to resume from a checkpoint
  Millis upkeep_time{2'000};  // duration of a VM's upkeep
  Millis status_retention{120'000};
  size_t max_value_bytes = kDefaultMaxValueBytes;  // of the store
  PlacerOptions placer;
  double account_overshoot = 0;  // see CellSettings
  ShortageOrder shortage_order = ShortageOrder::kObjective;
};

// Result of a won election.
struct Leadership {
  int64_t term = 1;   // 1 for the first leader of a cell
  int64_t fence = 0;  // fencing token: revision of the leader key
  // The process that held the key before is known to have ended. Leaders before
  // it may still have authority.
  bool predecessor_gone = false;
};

// Keys in the store.
// j/ID: the job, or a Tombstone in its place; j/ID/x: cancelled.
inline constexpr char kJobPrefix[] = "j/";
inline constexpr char kCancelSuffix[] = "/x";
inline constexpr char kProgressPrefix[] = "p/";      // p/ID
inline constexpr char kWaveProgressPrefix[] = "w/";  // w/NUMBER
inline constexpr char kLeaderKey[] = "c/leader";
inline constexpr char kMemberPrefix[] = "c/m/";  // c/m/NODE
inline constexpr char kExecutorsKey[] = "c/executors";
inline constexpr char kRosterKey[] = "c/roster";
// Written by a leader that needs a higher fence.
inline constexpr char kFenceKey[] = "c/fence";
// Prefix of the sequence keys, one for each lane of ProgressQueue. A lane's key
// is written with each of its progress updates. A delayed write finds a
// different revision of the key and has no effect.
inline constexpr char kProgressSequencePrefix[] = "f";

std::string JobKey(const JobId& id);
std::string CancelKey(const JobId& id);
std::string ProgressKey(const JobId& id);
std::string ProgressSequenceKey(size_t lane);

// Restarts within this time after an answer are rare. Calls that reach a new
// boot before it is known are counted, see ExecutorBoot.
inline constexpr Millis kFreshAnswerTime{1'500};
// Without a call, the entries show a restart if they are not older than this,
// a few polls.
inline constexpr Millis kMaxEntryAge{3'000};

// Runs a function after a delay on the control thread.
using RunAfter = std::function<void(Millis, std::function<void()>)>;
// Has a member call the advice service.
using MemberAdviceCaller = std::function<void(const std::string& member,
                                              const AdviceRequest&,
                                              AdvicePort::OnAdvice)>;
// Reads the executors' entries in the store.
using ExecutorLister = std::function<void(
    std::function<void(StoreStatus, std::vector<ExecutorEntry>)>)>;

// Publishes the status of an upkeep wave to the operators.
using WaveStatusWriter = std::function<
    void(int64_t wave, bool completed, std::function<void(bool)> done)>;

struct LeaderContext {
  const Clock& clock;
  EventLog& log;
  Metrics& metrics;
  StorePort& store;
  ExecutorPort& executors;
  VmPort& vms;
  ExecutorLister list_executors;
  WaveStatusWriter write_wave_status;
  MemberAdviceCaller call_member_for_advice;
  RunAfter run_after;
  // Time until which the leader may renew leases and start tasks.
  std::function<TimePoint()> authority_end;
  // Called when a newer leader exists. Must not destroy the leader within the
  // call.
  std::function<void(const std::string& reason)> on_fenced;
};

// Events since this leader was elected, for metrics.
struct LeaderCounts {
  int64_t starts = 0;
  int64_t copies = 0;      // starts of a second run of a task
  int64_t rejected = 0;    // starts that executors rejected
  int64_t unanswered = 0;  // starts that were not answered
  int64_t ends = 0;
  int64_t holds = 0;   // hold calls
  int64_t passes = 0;  // scheduling passes
  int64_t looks = 0;   // times that a pass considered a step
  int64_t stops = 0;
  int64_t preempted = 0;
  int64_t avoided = 0;  // times that an executor was avoided after failures
  int64_t probes = 0;   // starts on such an executor
  int64_t advice = 0;   // advice calls
  int64_t progress_writes = 0;
  int64_t rejected_writes = 0;  // of progress, rejected as invalid
};

// Steps with waiting tasks, as of the last periodic check.
struct WaitCounts {
  int64_t waiting = 0;
  int64_t waiting_long = 0;  // long enough to be logged
  int64_t not_queued = 0;    // ready, but left out of the scheduling passes
};

}  // namespace chivedale::cell

#endif  // CELL_LEADER_CONTEXT_H_
