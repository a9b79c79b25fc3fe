// The jobs in the store, as the leader reads and watches them, and the queries
// about them.
#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "cell/decode.h"
#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Reads during a takeover are retried until they succeed.
constexpr Millis kReadTimeout{2'000};
constexpr Millis kReadRetryDelay{100};
constexpr Millis kWatchWait{1'200};
// Time without an answer to a watch after which new jobs may have been missed.
constexpr Millis kMaxJobsAge{2'000};
// Jobs removed in one write; each job has 3 keys.
constexpr size_t kMaxRemovedJobs = 10;
// Likewise of tombstones; each has a condition and a removal.
constexpr size_t kMaxRemovedTombstones = (kMaxWriteEntries - 1) / 2;

}  // namespace

// Jobs accepted after this read cannot have been started by the predecessor,
// which has been fenced since kFencingDelay after the election.
void CellLeader::ReadPredecessorRevisionLimit() {
  next_limit_read_ = context_.clock.Now() + kReadRetryDelay;
  context_.store.Read(
      kLeaderKey, kReadTimeout, Guard([this](const StoreRead& read) {
        if (read.status == StoreStatus::kOk && read.revision > 0) {
          predecessor_revision_limit_ =
              std::min(predecessor_revision_limit_, read.revision);
          next_limit_read_ = TimePoint::max();
          RequestSchedulingPass();
        }
      }));
}

void CellLeader::LoadJobs() {
  context_.store.List(kJobPrefix, jobs_limit_.Of(kReadTimeout),
                      Guard([this](const StoreRead& jobs) {
                        if (jobs.status != StoreStatus::kOk) {
                          LoadJobsLater();
                          return;
                        }
                        LoadProgress(jobs);
                      }));
}

void CellLeader::LoadJobsLater() {
  jobs_limit_.OnRead(false);
  context_.run_after(kReadRetryDelay, Guard([this] { LoadJobs(); }));
}

void CellLeader::LoadProgress(const StoreRead& jobs) {
  context_.store.List(kProgressSequencePrefix, jobs_limit_.Of(kReadTimeout),
                      Guard([this, jobs](const StoreRead& sequence) {
                        if (sequence.status != StoreStatus::kOk) {
                          LoadJobsLater();
                          return;
                        }
                        if (!loaded_) {
                          ReadSequences(sequence.items);
                        }
                        context_.store.List(
                            kProgressPrefix, jobs_limit_.Of(kReadTimeout),
                            Guard([this, jobs](const StoreRead& progress) {
                              if (progress.status != StoreStatus::kOk) {
                                LoadJobsLater();
                                return;
                              }
                              jobs_limit_.OnRead(true);
                              OnJobsListed(jobs, progress);
                            }));
                      }));
}

void CellLeader::ReadSequences(const std::vector<StoreItem>& items) {
  for (const StoreItem& item : items) {
    for (size_t lane = 0; lane < lanes_.size(); ++lane) {
      if (item.key == ProgressSequenceKey(lane)) {
        lanes_[lane].sequence_revision = item.revision;
      }
    }
  }
}

void CellLeader::OnJobsListed(const StoreRead& jobs,
                              const StoreRead& progress) {
  std::unordered_map<JobId, const std::string*> stored;
  for (const StoreItem& item : progress.items) {
    stored[item.key.substr(sizeof kProgressPrefix - 1)] = &item.value;
  }
  for (const StoreItem& item : jobs.items) {
    ApplyJobItem(item);
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
      if (job->terminal()) {
        EndJob(*job);
      }
    } catch (const std::runtime_error& error) {
      context_.log.Write(Event::kCellBadRecord,
                         {{"job", id}, {"reason", error.what()}});
    }
  }
  // Only after all progress is restored, so that completed occurrences and
  // tasks are not opened again.
  for (auto& [id, job] : jobs_) {
    OpenJob(*job);
  }
  const bool first = !loaded_;
  if (first) {
    CountLoadedJobs();
    loaded_at_ = context_.clock.Now();
  }
  loaded_ = true;
  jobs_read_at_ = now;
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
  RequestSchedulingPass();
  WatchJobs();
}

void CellLeader::WatchJobs() {
  context_.store.Watch(
      kJobPrefix, jobs_revision_, kWatchWait, jobs_limit_.Of(kWatchMargin),
      Guard([this](const StoreRead& read) {
        jobs_limit_.OnRead(read.status == StoreStatus::kOk ||
                           read.status == StoreStatus::kCompacted);
        if (read.status == StoreStatus::kOk) {
          OnJobEvents(read);
          jobs_read_at_ = context_.clock.Now();
          jobs_revision_ = std::max(jobs_revision_, read.revision);
          ForgetRemovedJobs();
          WatchJobs();
        } else if (read.status == StoreStatus::kCompacted) {
          // Changes were missed, so list all jobs. Known jobs are kept.
          LoadJobs();
        } else {
          context_.run_after(kReadRetryDelay, Guard([this] { WatchJobs(); }));
        }
      }));
}

void CellLeader::ForgetRemovedJobs() {
  for (auto it = removed_jobs_.begin(); it != removed_jobs_.end();) {
    it = it->second <= jobs_revision_ ? removed_jobs_.erase(it) : std::next(it);
  }
}

void CellLeader::OnJobEvents(const StoreRead& read) {
  for (const StoreItem& item : read.items) {
    if (!item.deleted) {
      ApplyJobItem(item);
    }
  }
  for (const StoreItem& item : read.items) {
    const auto found = jobs_.find(item.key.substr(sizeof kJobPrefix - 1));
    if (found != jobs_.end() && !item.deleted) {
      OpenJob(*found->second);
    }
  }
  RequestSchedulingPass();
}

void CellLeader::OnJobStored(const JobId& id,
                             const std::string& record,
                             int64_t revision) {
  if (!loaded_ || jobs_.count(id) > 0) {
    return;
  }
  ApplyRecord(id, record, revision);
  const auto found = jobs_.find(id);
  if (found != jobs_.end()) {
    OpenJob(*found->second);
    RequestSchedulingPass();
  }
}

void CellLeader::OnCancelStored(const JobId& id) {
  if (loaded_) {
    ApplyCancel(id);
  }
}

void CellLeader::QueueWaitingSteps(Job& job) {
  for (auto& [number, occurrence] : job.open()) {
    for (Step& step : occurrence.steps) {
      AddIfWaiting(step);
    }
  }
}

void CellLeader::OpenJob(Job& job) {
  job.OpenDueOccurrences(context_.clock.WallNow(), context_.clock.Now());
  QueueWaitingSteps(job);
  SettleUnreadJob(job.id());
}

void CellLeader::ApplyJobItem(const StoreItem& item) {
  std::string id = item.key.substr(sizeof kJobPrefix - 1);
  const size_t suffix = id.find(kCancelSuffix);
  if (suffix != std::string::npos) {
    id.resize(suffix);
    ApplyCancel(id);
    return;
  }
  if (IsTombstone(item.value)) {
    tombstones_.Add(id, item.value, item.revision, context_.clock.Now());
    return;
  }
  tombstones_.Remove(id, item.revision);
  if (jobs_.count(id) == 0) {
    const auto removed = removed_jobs_.find(id);
    if (removed == removed_jobs_.end() || removed->second < item.revision) {
      ApplyRecord(id, item.value, item.revision);
    }
  }
}

void CellLeader::ApplyCancel(const JobId& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    unmatched_cancels_.insert(id);
  } else if (!found->second->terminal()) {
    CancelJob(*found->second);
  }
}

void CellLeader::ApplyRecord(const JobId& id,
                             const std::string& record,
                             int64_t revision) {
  try {
    if (id.empty() || id.size() > kMaxNameBytes) {
      throw std::runtime_error("not a job ID");
    }
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
  if (job->recurring()) {
    recurring_jobs_.insert(id);
  }
  Job& added = *job;
  added.set_account(account_ledger_.AccountOf(record.owner));
  next_possible_use_ = TimePoint();  // a predecessor may start the job, too
  if (loaded_ && added.account() != nullptr) {
    added.set_over_share(
        AccountLedger::CountJob(*added.account(), context_.clock.Now()));
  }
  jobs_.emplace(id, std::move(job));
  if (unmatched_cancels_.erase(id) > 0) {
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
  recurring_jobs_.erase(job.id());
  for (auto& [number, occurrence] : job.open()) {
    for (Step& step : occurrence.steps) {
      ForgetStep(step);
    }
  }
  StopAll(job);
}

void CellLeader::ForgetStep(Step& step) {
  waiting_.erase(&step);
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    overdue_copies_.erase({&step, static_cast<int>(i)});
  }
}

void CellLeader::StopAll(Job& job) {
  for (auto& [number, occurrence] : job.open()) {
    for (Step& step : occurrence.steps) {
      const std::map<ExecutorId, int> live = step.live_on;
      for (const auto& [id, count] : live) {
        Executor& executor = *executors_.at(id);
        for (auto& [name, run] : executor.runs()) {
          if (run.step == &step) {
            StopRun(executor, run, "job ended");
          }
        }
      }
    }
  }
}

void CellLeader::OpenDueRecurringJobs() {
  const WallTime wall = context_.clock.WallNow();
  for (const JobId& id : recurring_jobs_) {
    Job& job = *jobs_.at(id);
    if (job.OpenDueOccurrences(wall, context_.clock.Now())) {
      QueueWaitingSteps(job);
      RequestSchedulingPass();
    }
  }
}

void CellLeader::RemoveFinishedOccurrences() {
  for (const JobId& id : recurring_jobs_) {
    Job& job = *jobs_.at(id);
    for (const int number : job.RemovableOccurrences()) {
      for (Step& step : job.open().at(number).steps) {
        ForgetStep(step);
      }
      job.RemoveOccurrence(number);
    }
  }
}

void CellLeader::RemoveExpiredJobs() {
  StoreWrite write;
  std::vector<JobId> removed;
  const TimePoint now = context_.clock.Now();
  for (const auto& [id, job] : jobs_) {
    if (removed.size() >= kMaxRemovedJobs) {
      break;
    }
    bool live = progress_queue_.Contains(id);
    for (const auto& [number, occurrence] : job->open()) {
      for (const Step& step : occurrence.steps) {
        live = live || !step.live_on.empty();
      }
    }
    if (job->terminal() && !live &&
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
                           return;  // retried by the next sweep
                         }
                         for (const JobId& id : removed) {
                           jobs_.erase(id);
                           removed_jobs_[id] = reply.revision;
                         }
                       }));
}

// Conditional on the revisions, so that a removal that takes effect late does
// not remove a later tombstone, or the job of another account.
void CellLeader::RemoveExpiredTombstones() {
  if (tombstone_removal_in_flight_ || tombstones_.size() == 0) {
    return;
  }
  const std::vector<TombstoneSet::Removal> removals = tombstones_.Expired(
      context_.clock.Now(), context_.clock.WallNow(), kMaxRemovedTombstones);
  if (removals.empty()) {
    return;
  }
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  for (const TombstoneSet::Removal& removal : removals) {
    write.conditions.emplace_back(JobKey(removal.id), removal.revision);
    write.removals.push_back(JobKey(removal.id));
  }
  tombstone_removal_in_flight_ = true;
  context_.store.Write(
      write, kReadTimeout,
      Guard([this, removals](const StoreWriteReply& reply) {
        tombstone_removal_in_flight_ = false;
        if (reply.status == StoreStatus::kOk) {
          for (const TombstoneSet::Removal& removal : removals) {
            tombstones_.Remove(removal.id, removal.revision);
          }
          return;
        }
        if (reply.status != StoreStatus::kConflict) {
          return;  // retried by the next sweep
        }
        // An earlier removal without an answer may have taken effect, or the
        // watch has not shown a later value.
        std::set<std::string> present;
        for (const StoreItem& item : reply.items) {
          if (item.revision == 0 || item.deleted) {
            continue;
          }
          present.insert(item.key);
          if (IsTombstone(item.value)) {
            tombstones_.Add(item.key.substr(sizeof kJobPrefix - 1), item.value,
                            item.revision, context_.clock.Now());
          }
        }
        for (const TombstoneSet::Removal& removal : removals) {
          if (present.count(JobKey(removal.id)) == 0) {
            tombstones_.Remove(removal.id, removal.revision);
          }
        }
      }));
}

const QueuePolicy& CellLeader::PolicyOf(const Job& job) const {
  const QueuePolicy* known = job.policy(table_count_);
  if (known == nullptr) {
    known = table_->FindQueue(job.queue().name);
    // Accepted jobs are still run after their queue was removed from the table.
    known = known == nullptr ? &job.queue() : known;
    job.set_policy(known, table_count_);
  }
  return *known;
}

Duration CellLeader::AgeOf(const Job& job) const {
  // The accepting VM's clock may be ahead of this one.
  return std::max(Duration(0),
                  std::chrono::duration_cast<Duration>(
                      context_.clock.WallNow() - job.record().accepted));
}

TimePoint CellLeader::ObjectiveOf(const Job& job, int occurrence) const {
  WallTime from = job.record().accepted;
  if (job.recurring()) {
    from =
        job.record().spec.first_start + occurrence * job.record().spec.interval;
  }
  const Duration age = context_.clock.WallNow() - from;
  return context_.clock.Now() - age + TimeAllowed(job);
}

Duration CellLeader::TimeAllowed(const Job& job) {
  return std::chrono::duration_cast<Duration>(job.ChainEstimate() *
                                                  job.queue().objective_factor +
                                              job.queue().objective_slack);
}

std::optional<JobState> CellLeader::Find(const JobId& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  return found->second->visible_state();
}

const Caller* CellLeader::OwnerOf(const JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second->record().owner;
}

std::map<std::string, int64_t> CellLeader::Pending() const {
  std::map<std::string, int64_t> pending;
  for (const auto& [id, job] : jobs_) {
    if (!job->terminal() && !job->any_started()) {
      ++pending[job->queue().name];
    }
  }
  return pending;
}

bool CellLeader::pending_known() const {
  return loaded_ && context_.clock.Now() - jobs_read_at_ <= kMaxJobsAge;
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

Step* CellLeader::OpenStepOf(const TaskName& name) {
  const auto found = jobs_.find(name.job);
  if (found == jobs_.end()) {
    return nullptr;
  }
  Job& job = *found->second;
  if (job.OpenStartedOccurrence(name.occurrence, context_.clock.WallNow(),
                                context_.clock.Now())) {
    QueueWaitingSteps(job);
  }
  return StepOf(name);
}

Executor* CellLeader::FindExecutor(const ExecutorId& id) {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

}  // namespace chivedale::cell
