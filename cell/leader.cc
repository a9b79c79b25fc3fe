// A new leader reads the store before it reads the executors: whatever a
// predecessor stored is then known, and what it did not store is still listed
// by the executors, which keep each end until they are told that it is stored.
//
// A task may run on an executor that this leader cannot reach. Until each
// executor of the predecessor has been read, or the leases that it can have
// given have run out, no task starts that may run there (MayRunUnseen).
#include "cell/leader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace chivedale::cell {
namespace {

// Reads of a takeover are repeated until they succeed.
constexpr Millis kReadTimeout{2'000};
constexpr Millis kReadRetry{100};
constexpr Millis kWatchWait{1'200};
// Time for a predecessor to learn that it is fenced: one hold of any executor.
constexpr Millis kPredecessorNotice{1'500};
// Of the executors' clocks against this one.
constexpr double kSlowClock = 1.03;
constexpr Millis kSweepInterval{500};
// One removal of old jobs at a time; 3 keys a job.
constexpr size_t kRemovedJobs = 10;

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
      desk_(context.clock),
      unseen_until_(leadership.predecessor_gone
                        ? leadership.fence
                        : std::numeric_limits<int64_t>::max()),
      table_(std::make_shared<QueueTable>()) {}

CellLeader::~CellLeader() = default;

void CellLeader::Begin() {
  begun_ = context_.clock.Now();
  LoadKnownExecutors([this] { LoadJobs(); });
  PollExecutors();
}

void CellLeader::SetTable(std::shared_ptr<const QueueTable> table) {
  table_ = std::move(table);
  ++table_count_;
  RequestPass();
}

void CellLeader::SetMembers(const std::set<std::string>& members) {
  desk_.SetMembers(members);
  PumpAdvice();
}

void CellLeader::Suspend() {
  suspended_ = true;
}

void CellLeader::Resume() {
  suspended_ = false;
  RequestPass();
}

void CellLeader::Fenced(const std::string& reason) {
  if (fenced_) {
    return;
  }
  fenced_ = true;
  suspended_ = true;
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
  HoldDue();
  OpenTimed();
  RunWaves();
  if (now - begun_ > kPredecessorNotice && now >= next_mark_ &&
      !unread_.empty() && !PredecessorLapsed()) {
    MarkPredecessorStopped();
  }
  PumpAdvice();
  if (!dirty_.empty() && now >= next_flush_) {
    Flush();
  }
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    RemoveOld();
    RequestPass();
  }
}

bool CellLeader::may_start() const {
  if (!loaded_ || !known_loaded_ || !entries_seen_ || suspended_) {
    return false;
  }
  return true;
}

bool CellLeader::PredecessorLapsed() const {
  const auto lapsed = std::chrono::duration_cast<Duration>(
      options_.lease * kSlowClock + kPredecessorNotice);
  return context_.clock.Now() - begun_ > lapsed;
}

bool CellLeader::MayRunUnseen(const Step& step) const {
  if (unread_.empty() || leadership_.term <= 1 || step.spec->copies_allowed) {
    return false;
  }
  const Job& job = *step.job;
  if (job.revision() > unseen_until_) {
    return false;
  }
  if (PredecessorLapsed()) {
    return false;
  }
  const std::string& pool = PolicyOf(job).pool;
  return std::any_of(unread_.begin(), unread_.end(), [&](const ExecutorId& id) {
    const auto found = executors_.find(id);
    return found != executors_.end() &&
           (found->second->entry.pool == pool || job.queue().pool != pool);
  });
}

// Jobs accepted from now on cannot have been started by the predecessor.
void CellLeader::MarkPredecessorStopped() {
  next_mark_ = context_.clock.Now() + kReadRetry;
  context_.store.Read(
      kLeaderKey, kReadTimeout, Guard([this](const StoreRead& read) {
        if (read.status == StoreStatus::kOk && read.revision > 0) {
          unseen_until_ = std::min(unseen_until_, read.revision);
          next_mark_ = TimePoint::max();
          RequestPass();
        }
      }));
}

// ---- Jobs.

void CellLeader::LoadJobs() {
  context_.store.List(
      kJobPrefix, kReadTimeout, Guard([this](const StoreRead& jobs) {
        if (jobs.status != StoreStatus::kOk) {
          context_.defer(kReadRetry, Guard([this] { LoadJobs(); }));
          return;
        }
        LoadProgress(jobs);
      }));
}

void CellLeader::LoadProgress(const StoreRead& jobs) {
  context_.store.Read(
      kProgressSequenceKey, kReadTimeout,
      Guard([this, jobs](const StoreRead& sequence) {
        if (sequence.status != StoreStatus::kOk &&
            sequence.status != StoreStatus::kNotFound) {
          context_.defer(kReadRetry, Guard([this] { LoadJobs(); }));
          return;
        }
        if (!sequence.items.empty() && !loaded_) {
          sequence_revision_ = sequence.items[0].revision;
        }
        context_.store.List(kProgressPrefix, kReadTimeout,
                            Guard([this, jobs](const StoreRead& progress) {
                              if (progress.status != StoreStatus::kOk) {
                                context_.defer(kReadRetry,
                                               Guard([this] { LoadJobs(); }));
                                return;
                              }
                              OnJobsListed(jobs, progress);
                            }));
      }));
}

void CellLeader::OnJobsListed(const StoreRead& jobs,
                              const StoreRead& progress) {
  std::unordered_map<JobId, const std::string*> stored;
  for (const StoreItem& item : progress.items) {
    stored[item.key.substr(sizeof kProgressPrefix - 1)] = &item.value;
  }
  for (const StoreItem& item : jobs.items) {
    TakeJobItem(item);
  }
  const TimePoint now = context_.clock.Now();
  for (auto& [id, job] : jobs_) {
    const auto found = stored.find(id);
    if (found == stored.end() || loaded_) {
      continue;
    }
    try {
      const bool cancelled = job->state() == JobState::kCancelled;
      job->DecodeProgress(*found->second, context_.clock.WallNow(), now);
      if (cancelled) {
        job->Cancel();
      }
      if (job->over()) {
        EndJob(*job);
      }
    } catch (const std::runtime_error& error) {
      context_.log.Write(Event::kCellBadRecord,
                         {{"job", id}, {"reason", error.what()}});
    }
  }
  // Only now: an occurrence or a task that was done must not be opened anew.
  for (auto& [id, job] : jobs_) {
    OpenJob(*job);
  }
  const bool first = !loaded_;
  loaded_ = true;
  jobs_revision_ = std::max(jobs_revision_, jobs.revision);
  context_.log.Write(Event::kCellLoaded,
                     {{"jobs", std::to_string(jobs_.size())},
                      {"revision", std::to_string(jobs.revision)},
                      {"term", std::to_string(leadership_.term)}});
  if (first) {
    for (auto& [id, executor] : executors_) {
      ScheduleHold(*executor, now);
    }
  }
  RequestPass();
  WatchJobs();
}

void CellLeader::WatchJobs() {
  context_.store.Watch(
      kJobPrefix, jobs_revision_, kWatchWait,
      Guard([this](const StoreRead& read) {
        if (read.status == StoreStatus::kOk) {
          OnJobEvents(read);
          jobs_revision_ = std::max(jobs_revision_, read.revision);
          WatchJobs();
        } else if (read.status == StoreStatus::kCompacted) {
          // Changes were missed; jobs already known are kept as they are.
          LoadJobs();
        } else {
          context_.defer(kReadRetry, Guard([this] { WatchJobs(); }));
        }
      }));
}

void CellLeader::OnJobEvents(const StoreRead& read) {
  for (const StoreItem& item : read.items) {
    if (!item.deleted) {
      TakeJobItem(item);
    }
  }
  for (const StoreItem& item : read.items) {
    const auto found = jobs_.find(item.key.substr(sizeof kJobPrefix - 1));
    if (found != jobs_.end() && !item.deleted) {
      OpenJob(*found->second);
    }
  }
  RequestPass();
}

void CellLeader::OnJobStored(const JobId& id,
                             const std::string& record,
                             int64_t revision) {
  if (!loaded_ || jobs_.count(id) > 0) {
    return;
  }
  TakeRecord(id, record, revision);
  const auto found = jobs_.find(id);
  if (found != jobs_.end()) {
    OpenJob(*found->second);
    RequestPass();
  }
}

void CellLeader::OnCancelStored(const JobId& id) {
  if (loaded_) {
    TakeCancel(id);
  }
}

void CellLeader::OpenJob(Job& job) {
  job.OpenDue(context_.clock.WallNow(), context_.clock.Now());
  for (auto& [number, occurrence] : job.open()) {
    for (Step& step : occurrence.steps) {
      MarkWaiting(step);
    }
  }
}

void CellLeader::TakeJobItem(const StoreItem& item) {
  std::string id = item.key.substr(sizeof kJobPrefix - 1);
  const size_t suffix = id.find(kCancelSuffix);
  if (suffix != std::string::npos) {
    id.resize(suffix);
    TakeCancel(id);
  } else if (jobs_.count(id) == 0) {
    TakeRecord(id, item.value, item.revision);
  }
}

void CellLeader::TakeCancel(const JobId& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    early_cancels_.insert(id);
  } else if (!found->second->over()) {
    CancelJob(*found->second);
  }
}

void CellLeader::TakeRecord(const JobId& id,
                            const std::string& record,
                            int64_t revision) {
  try {
    AddJob(id, DecodeJobRecord(record), revision);
  } catch (const std::runtime_error& error) {
    context_.log.Write(Event::kCellBadRecord,
                       {{"job", id}, {"reason", error.what()}});
  }
}

void CellLeader::AddJob(const JobId& id,
                        const JobRecord& record,
                        int64_t revision) {
  auto job = std::make_unique<Job>(id, record, revision);
  if (job->timed()) {
    timed_.insert(id);
  }
  Job& added = *job;
  jobs_.emplace(id, std::move(job));
  if (early_cancels_.erase(id) > 0) {
    CancelJob(added);
  }
}

void CellLeader::CancelJob(Job& job) {
  job.Cancel();
  context_.log.Write(Event::kJobCancelled, {{"job", job.id()}});
  EndJob(job);
}

void CellLeader::EndJob(Job& job) {
  job.set_ended(context_.clock.Now());
  timed_.erase(job.id());
  for (auto& [number, occurrence] : job.open()) {
    for (Step& step : occurrence.steps) {
      waiting_.erase(&step);
      for (size_t i = 0; i < step.tasks.size(); ++i) {
        overdue_copies_.erase({&step, static_cast<int>(i)});
      }
    }
  }
  StopAll(job);
}

void CellLeader::StopAll(Job& job) {
  for (auto& [number, occurrence] : job.open()) {
    for (Step& step : occurrence.steps) {
      const std::map<ExecutorId, int> live = step.live_on;
      for (const auto& [id, count] : live) {
        Executor& executor = *executors_.at(id);
        for (auto& [name, run] : executor.runs()) {
          if (run.step == &step) {
            StopRun(executor, run, "job over");
          }
        }
      }
    }
  }
}

void CellLeader::OpenTimed() {
  const WallTime wall = context_.clock.WallNow();
  for (const JobId& id : timed_) {
    Job& job = *jobs_.at(id);
    if (!job.OpenDue(wall, context_.clock.Now())) {
      continue;
    }
    for (auto& [number, occurrence] : job.open()) {
      for (Step& step : occurrence.steps) {
        MarkWaiting(step);
      }
    }
    RequestPass();
  }
}

void CellLeader::RemoveOld() {
  StoreWrite write;
  std::vector<JobId> removed;
  const TimePoint now = context_.clock.Now();
  for (const auto& [id, job] : jobs_) {
    if (removed.size() >= kRemovedJobs) {
      break;
    }
    bool live = dirty_.count(id) > 0;
    for (const auto& [number, occurrence] : job->open()) {
      for (const Step& step : occurrence.steps) {
        live = live || !step.live_on.empty();
      }
    }
    if (job->over() && !live &&
        now - job->ended() > options_.status_retention) {
      removed.push_back(id);
      write.removals.push_back(JobKey(id));
      write.removals.push_back(CancelKey(id));
      write.removals.push_back(ProgressKey(id));
    }
  }
  if (removed.empty()) {
    return;
  }
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  context_.store.Write(write, kReadTimeout,
                       Guard([this, removed](const StoreWriteReply& reply) {
                         if (reply.status != StoreStatus::kOk) {
                           return;  // the next sweep tries again
                         }
                         for (const JobId& id : removed) {
                           jobs_.erase(id);
                         }
                       }));
}

const QueuePolicy& CellLeader::PolicyOf(const Job& job) const {
  const QueuePolicy* known = job.policy(table_count_);
  if (known == nullptr) {
    known = table_->FindQueue(job.queue().name);
    // A queue that left the table still owes its accepted jobs.
    known = known == nullptr ? &job.queue() : known;
    job.set_policy(known, table_count_);
  }
  return *known;
}

Duration CellLeader::AgeOf(const Job& job) const {
  // Another VM's clock may be ahead.
  return std::max(Duration(0),
                  std::chrono::duration_cast<Duration>(
                      context_.clock.WallNow() - job.record().accepted));
}

TimePoint CellLeader::ObjectiveOf(const Step& step) const {
  const Job& job = *step.job;
  WallTime from = job.record().accepted;
  if (job.timed()) {
    from = job.record().spec.first_due +
           step.occurrence * job.record().spec.interval;
  }
  const Duration age = context_.clock.WallNow() - from;
  const auto allowed = std::chrono::duration_cast<Duration>(
      job.Chain() * job.queue().stretch + job.queue().target);
  return context_.clock.Now() - age + allowed;
}

std::optional<JobState> CellLeader::Find(const JobId& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  return found->second->shown_state();
}

std::vector<CellLeader::StepView> CellLeader::Explain(const JobId& id) const {
  std::vector<StepView> views;
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return views;
  }
  for (const auto& [number, occurrence] : found->second->open()) {
    for (const Step& step : occurrence.steps) {
      StepView view;
      view.occurrence = number;
      view.step = step.index;
      view.tasks = static_cast<int>(step.tasks.size());
      view.done = step.done;
      for (const Task& task : step.tasks) {
        view.running += task.live > 0 ? 1 : 0;
      }
      view.waiting = step.Waiting();
      if (view.waiting > 0 && !found->second->over()) {
        view.waits_for = !step.ready    ? "the steps before it"
                         : suspended_   ? "a leader that may order"
                         : !may_start() ? "jobs and executors to be read"
                                        : step.waits_for;
      }
      views.push_back(std::move(view));
    }
  }
  return views;
}

std::map<std::string, int64_t> CellLeader::Pending() const {
  std::map<std::string, int64_t> pending;
  for (const auto& [id, job] : jobs_) {
    if (!job->over() && !job->any_started()) {
      ++pending[job->queue().name];
    }
  }
  return pending;
}

Step* CellLeader::StepOf(const TaskName& name) {
  const auto found = jobs_.find(name.job);
  if (found == jobs_.end()) {
    return nullptr;
  }
  Step* step = found->second->FindStep(name.occurrence, name.step);
  if (step == nullptr || name.index < 0 ||
      static_cast<size_t>(name.index) >= step->tasks.size()) {
    return nullptr;
  }
  return step;
}

}  // namespace chivedale::cell
