// A new leader reads the store before it reads the executors. It then knows
// what its predecessor stored; anything not stored is still listed by the
// executors, which keep each end until it is acknowledged as stored.
//
// A task may be running on an executor that this leader cannot reach. Until all
// executors of the predecessor have been read, or the leases that it may have
// granted have expired, tasks that may run there are not started
// (MayRunOnUnreadExecutor).
#include "cell/leader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace chivedale::cell {
namespace {

constexpr Millis kSweepInterval{500};
// Progress writes in flight at a time.
constexpr size_t kProgressLanes = 4;
// Upper bound of such a time on another member's clock.
constexpr Millis OnAnyClock(Millis time) {
  return time * 103 / 100;
}

// Jobs in one progress write, which also contains two conditions and the
// sequence key.
constexpr size_t kMaxWrittenJobs = kMaxWriteEntries - 3;

}  // namespace

std::string JobKey(const JobId& id) {
  return kJobPrefix + id;
}

std::string CancelKey(const JobId& id) {
  return kJobPrefix + id + kCancelSuffix;
}

std::string ProgressKey(const JobId& id) {
  return kProgressPrefix + id;
}

CellLeader::CellLeader(const LeaderContext& context,
                       const LeaderOptions& options,
                       const Leadership& leadership)
    : context_(context),
      options_(options),
      leadership_(leadership),
      placer_(options.placer),
      advice_dispatcher_(context.clock),
      account_ledger_(options.account_overshoot, context.log),
      pass_order_(PassOrder::Of(options.shortage_order)),
      predecessor_revision_limit_(std::numeric_limits<int64_t>::max()),
      table_(std::make_shared<QueueTable>()),
      load_(context.log),
      tombstones_(options.status_retention),
      progress_queue_(kProgressLanes, kMaxWrittenJobs),
      lanes_(kProgressLanes),
      latest_fence_(leadership.fence) {}

CellLeader::~CellLeader() = default;

void CellLeader::Begin() {
  begin_time_ = context_.clock.Now();
  predecessor_authority_end_ =
      std::min(predecessor_authority_end_, begin_time_ + kUnlistedFencingDelay);
  LoadKnownExecutors([this] { LoadJobs(); });
  PollExecutors();
}

void CellLeader::SetTable(std::shared_ptr<const QueueTable> table) {
  table_ = std::move(table);
  ++table_count_;
  account_ledger_.SetTable(table_->accounts);
  RequestSchedulingPass();
}

void CellLeader::SetMembers(const std::set<std::string>& members) {
  advice_dispatcher_.SetMembers(members);
  SendAdviceCalls();
}

void CellLeader::Suspend() {
  if (!suspended_) {
    suspended_at_ = context_.clock.Now();
  }
  suspended_ = true;
}

void CellLeader::Resume() {
  suspended_ = false;
  RequestSchedulingPass();
}

void CellLeader::LimitPredecessorAuthority(TimePoint end) {
  predecessor_authority_end_ = std::min(predecessor_authority_end_, end);
  RequestSchedulingPass();
}

void CellLeader::OnFenced(const std::string& reason) {
  if (fenced_) {
    return;
  }
  fenced_ = true;
  Suspend();
  context_.on_fenced(reason);
}

void CellLeader::Tick() {
  if (fenced_) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  if (now >= next_poll_) {
    PollExecutors();
  }
  if (suspended_) {
    return;
  }
  load_.OnTick(now);
  if (load_.IsReportDue(now)) {
    ReportLoad(now);
  }
  RaiseFences();
  SendDueHolds();
  if (now >= next_executors_write_) {
    next_executors_write_ = TimePoint::max();
    StoreExecutorsIfChanged();
  }
  OpenDueRecurringJobs();
  // Until then a predecessor may order upkeeps of other VMs.
  if (!PredecessorMayAct()) {
    RunWaves();
  }
  if (now > predecessor_authority_end_ && now >= next_limit_read_ &&
      HasUnreadExecutors()) {
    ReadPredecessorRevisionLimit();
  }
  SendAdviceCalls();
  if (progress_queue_.waiting()) {
    Flush();
  }
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    RemoveFinishedOccurrences();
    RemoveExpiredJobs();
    RemoveExpiredTombstones();
    RetryRejectedProgress();
    AcknowledgeEnds();
    ReportWaitingSteps();
    account_ledger_.Report(now);
    RequestSchedulingPass();
  }
}

bool CellLeader::may_start() const {
  if (!loaded_ || !known_executors_loaded_ || !executor_entries_read_ ||
      suspended_ || fenced_) {
    return false;
  }
  return context_.authority_end() > context_.clock.Now();
}

bool CellLeader::PredecessorMayAct() const {
  return leadership_.term > 1 &&
         context_.clock.Now() < predecessor_authority_end_;
}

// An earlier leader starts tasks only on executors of the list that this leader
// has read: it cannot store another one, and starts nothing on a restarted
// executor before it has got a higher fence from the store. So nothing is left
// to it once those have answered this leader, and once it can no longer take
// one that has restarted since for the boot that it knew.
bool CellLeader::predecessor_fenced() const {
  return known_executors_loaded_ && !executor_rows_skipped_ &&
         unfenced_executors_.empty() &&
         context_.clock.Now() > RestartsNoticedBy();
}

// An earlier leader that reads entries reads the leader key as often, so that
// its last entries are at most one such read younger than the election.
TimePoint CellLeader::RestartsNoticedBy() const {
  return std::max(begin_time_ + OnAnyClock(kConfirmInterval + kMaxEntryAge),
                  last_fenced_ + OnAnyClock(kFreshAnswerTime));
}

bool CellLeader::PredecessorMayRestart(const Job* job) const {
  return PredecessorMayAct() && (context_.clock.Now() <= RestartsNoticedBy() ||
                                 HasUnfencedExecutorFor(job));
}

bool CellLeader::PredecessorMayRestartRunsOn(const Executor& executor) const {
  if (!PredecessorMayAct()) {
    return false;
  }
  // Most runs are of jobs of the executor's own pool.
  return std::any_of(
      executor.runs().begin(), executor.runs().end(), [&](const auto& entry) {
        const Step* step = entry.second.step;
        return HasUnfencedExecutorFor(step == nullptr ? nullptr : step->job);
      });
}

bool CellLeader::HasUnfencedExecutorFor(const Job* job) const {
  if (!known_executors_loaded_ || executor_rows_skipped_) {
    return true;
  }
  return std::any_of(unfenced_executors_.begin(), unfenced_executors_.end(),
                     [&](const ExecutorId& id) {
                       const auto found = by_id_.find(id);
                       return job == nullptr || found == by_id_.end() ||
                              MayUsePoolOf(*job, *found->second);
                     });
}

// An executor that starts again in another pool may still execute a call for
// the pool it was in.
bool CellLeader::MayUsePoolOf(const Job& job, const Executor& executor) const {
  const std::string& pool = PolicyOf(job).pool;
  return executor.entry.pool == pool || executor.predecessor_pool == pool ||
         job.queue().pool != pool;
}

TimePoint CellLeader::GrantTime(TimePoint now) const {
  return std::min(now, context_.authority_end());
}

TimePoint CellLeader::PredecessorLeasesEnd() const {
  return predecessor_authority_end_ + kMaxCallDelay +
         MaxTimeOf(options_.longest_lease);
}

// A call of the predecessor may be executed late by a boot unknown to it, which
// then grants the longest lease. A boot registers as it starts: unless an entry
// shows another one than the predecessor has confirmed, there is none.
TimePoint CellLeader::PredecessorLeasesEnd(const Executor& executor) const {
  return IsOnConfirmedBoot(executor) &&
                 entries_begin_ > predecessor_authority_end_
             ? ConfirmedBootLeasesEnd(executor)
             : PredecessorLeasesEnd();
}

bool CellLeader::IsOnConfirmedBoot(const Executor& executor) {
  return executor.confirmed_incarnation != 0 &&
         executor.confirmed_incarnation == executor.boot.incarnation;
}

TimePoint CellLeader::ConfirmedBootLeasesEnd(const Executor& executor) const {
  return std::max(predecessor_authority_end_ + MaxTimeOf(options_.lease),
                  executor.long_leases_end);
}

bool CellLeader::PredecessorLeasesExpired() const {
  return context_.clock.Now() > PredecessorLeasesEnd();
}

bool CellLeader::PredecessorLeasesExpired(const Executor& executor) const {
  return context_.clock.Now() > PredecessorLeasesEnd(executor);
}

// An executor that answers is unread until it has listed all its ends, for as
// long as its own leases last.
bool CellLeader::IsUnread(const Executor& executor) const {
  return unread_executors_.count(executor.entry.id) > 0 &&
         (!PredecessorLeasesExpired(executor) ||
          (executor.boot.adopted &&
           context_.clock.Now() < executor.boot.LeasesExpiredBy()));
}

bool CellLeader::HasUnreadExecutors() const {
  if (executor_rows_skipped_ && !PredecessorLeasesExpired()) {
    return true;
  }
  return std::any_of(unread_executors_.begin(), unread_executors_.end(),
                     [&](const ExecutorId& id) {
                       const auto found = executors_.find(id);
                       return found != executors_.end() &&
                              IsUnread(*found->second);
                     });
}

bool CellLeader::MayRunOnUnreadExecutor(const Step& step) const {
  return !step.spec->copies_allowed && PredecessorMayHaveStarted(step);
}

bool CellLeader::PredecessorMayHaveStarted(const Step& step) const {
  if (!HasUnreadExecutors() || leadership_.term <= 1) {
    return false;
  }
  const Job& job = *step.job;
  if (job.revision() > predecessor_revision_limit_) {
    return false;
  }
  // The pool of a skipped executor is unknown.
  if (executor_rows_skipped_ && !PredecessorLeasesExpired()) {
    return true;
  }
  return std::any_of(unread_executors_.begin(), unread_executors_.end(),
                     [&](const ExecutorId& id) {
                       const auto found = executors_.find(id);
                       return found != executors_.end() &&
                              IsUnread(*found->second) &&
                              MayUsePoolOf(job, *found->second);
                     });
}

}  // namespace chivedale::cell
