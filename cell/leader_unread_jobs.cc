// A predecessor that the store turns away may learn late that it was replaced.
// Until this leader has called an executor, the predecessor can start tasks
// there, also of jobs stored after this leader has listed the jobs. Were such a
// run stopped, or its end acknowledged, as one of an unknown job, the task
// would be started again once the job is read.
//
// A job is stored before any of its tasks is started, so that its record, read
// after a run was listed, shows whether there is such a job. It has no stored
// progress: the predecessor could not store any after this leader's election.
#include <algorithm>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

constexpr Millis kRecordTimeout{1'000};
constexpr Millis kRecordRetry{250};
// Reads in flight at a time, as the store limits the rate of calls.
constexpr size_t kMaxRecordReads = 4;

}  // namespace

bool CellLeader::IsUnread(const JobId& id) const {
  return jobs_.count(id) == 0 && removed_jobs_.count(id) == 0;
}

CellLeader::UnreadJob& CellLeader::AddUnreadJob(const JobId& id) {
  const auto [found, added] = unread_jobs_.try_emplace(id);
  if (added) {
    found->second.since = context_.clock.Now();
    context_.log.Write(Event::kUnreadJob, {{"job", id}});
    unread_queue_.push_back(id);
    ReadUnreadJobs();
  }
  return found->second;
}

void CellLeader::ReadUnreadJobs() {
  while (!unread_queue_.empty() && unread_reads_ < kMaxRecordReads) {
    const JobId id = std::move(unread_queue_.front());
    unread_queue_.pop_front();
    if (unread_jobs_.count(id) == 0) {
      continue;  // read by the watch meanwhile
    }
    ++unread_reads_;
    context_.store.Read(JobKey(id), kRecordTimeout,
                        Guard([this, id](const StoreRead& read) {
                          OnUnreadJobRead(id, read);
                        }));
  }
}

void CellLeader::OnUnreadJobRead(const JobId& id, const StoreRead& read) {
  --unread_reads_;
  if (read.status != StoreStatus::kOk &&
      read.status != StoreStatus::kNotFound) {
    unread_queue_.push_back(id);
    context_.run_after(kRecordRetry, Guard([this] { ReadUnreadJobs(); }));
    return;
  }
  for (const StoreItem& item : read.items) {
    ApplyJobItem(item);
  }
  const auto job = jobs_.find(id);
  if (job != jobs_.end()) {
    OpenJob(*job->second);
  }
  // Also if there is no job.
  SettleUnreadJob(id);
  ReadUnreadJobs();
}

void CellLeader::SettleUnreadJob(const JobId& id) {
  const auto found = unread_jobs_.find(id);
  if (found == unread_jobs_.end()) {
    return;
  }
  const UnreadJob unread = std::move(found->second);
  unread_jobs_.erase(found);
  const auto waited =
      std::chrono::duration_cast<Millis>(context_.clock.Now() - unread.since);
  context_.log.Write(Event::kUnreadJobSettled,
                     {{"job", id},
                      {"stored", jobs_.count(id) > 0 ? "yes" : "no"},
                      {"executors", std::to_string(unread.executors.size())},
                      {"ends", std::to_string(unread.ends.size())},
                      {"waited_ms", std::to_string(waited.count())}});
  // Ends first: a run of a task that is done is not wanted.
  for (const auto& [executor_id, incarnation, end] : unread.ends) {
    Executor* executor = FindExecutor(executor_id);
    if (executor == nullptr) {
      continue;
    }
    ApplyEndToTask(*executor, end, *TaskName::Parse(end.task), Duration(0));
    if (executor->boot.incarnation != incarnation) {
      continue;  // the number is that of another end
    }
    for (UnstoredEnd& unstored : executor->boot.unstored_ends) {
      if (unstored.number == end.number) {
        unstored.change = progress_queue_.LastChangeOf(id);
      }
    }
  }
  AcknowledgeEnds();
  for (const ExecutorId& executor_id : unread.executors) {
    Executor* executor = FindExecutor(executor_id);
    if (executor == nullptr) {
      continue;
    }
    for (auto& [name, run] : executor->runs()) {
      if (run.step != nullptr || run.name.job != id) {
        continue;
      }
      if (Step* step = OpenStepOf(run.name)) {
        executor->SetStep(run, *step);
      }
      StopUnlessWanted(*executor, run);
    }
  }
  RequestSchedulingPass();
}

}  // namespace chivedale::cell
