// Limits and shares of client accounts.
//
// After a change of leader, tasks of the predecessor may run on executors that
// this leader has not read. Which tasks these can be is known from the jobs:
// the tasks of an account that wait and that the predecessor may have started,
// also of jobs that were cancelled since and of steps that it may have reached.
// Their sizes bound the account's unknown use, however many executors are
// unread.
#include <algorithm>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// A measurement goes over all jobs. Meanwhile a start moves a task from the
// possible use to the use, which counts it twice and never less than once.
constexpr Millis kPossibleUseInterval{50};

// Whether the step is ready, or a predecessor may have seen ends that make it
// ready: no task before it is known to run.
bool MayBeReadyUnseen(const Step& step, const Occurrence& occurrence) {
  const std::vector<int>& before = step.spec->depends_on;
  return step.ready ||
         std::all_of(before.begin(), before.end(), [&](int index) {
           return occurrence.steps[static_cast<size_t>(index)].live_on.empty();
         });
}

}  // namespace

void CellLeader::CountLoadedJobs() {
  std::vector<Job*> jobs;
  for (const auto& [id, job] : jobs_) {
    if (job->account() != nullptr) {
      jobs.push_back(job.get());
    }
  }
  std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
    return a->record().accepted < b->record().accepted;
  });
  const TimePoint now = context_.clock.Now();
  for (Job* job : jobs) {
    job->set_over_share(
        AccountLedger::CountJob(*job->account(), now - AgeOf(*job)));
  }
}

void CellLeader::MeasurePossibleUse() {
  const bool unread = !unread_jobs_.empty() || HasUnreadExecutors();
  if (account_ledger_.accounts().empty() ||
      (!unread && !possible_use_measured_)) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  if (unread && possible_use_measured_ && now < next_possible_use_) {
    return;
  }
  next_possible_use_ = now + kPossibleUseInterval;
  possible_use_measured_ = unread;
  account_ledger_.ClearPossibleUse();
  if (!unread) {
    return;
  }
  // Lowest number of a run that this leader has started.
  const int64_t first_run = NextRunNumber(Task());
  for (const auto& [id, job] : jobs_) {
    AccountUse* account = job->account();
    // Of a job that ended under the predecessor, its tasks are not counted:
    // many such jobs are kept, and hardly any has runs left.
    if (account == nullptr || (job->terminal() && job->ended() <= loaded_at_)) {
      continue;
    }
    for (const auto& [number, occurrence] : job->open()) {
      for (const Step& step : occurrence.steps) {
        if (step.Finished() || !MayBeReadyUnseen(step, occurrence) ||
            !PredecessorMayHaveStarted(step)) {
          continue;
        }
        for (const Task& task : step.tasks) {
          // A task that may run twice may be started while its first run is on
          // an unread executor.
          const bool started_again =
              step.spec->copies_allowed && task.last_run >= first_run;
          if (!task.done && (task.live == 0 || started_again)) {
            account->possible_use += step.spec->size;
          }
        }
      }
    }
  }
  // The account of a run whose job has not been read is unknown.
  for (const auto& [id, job] : unread_jobs_) {
    for (const ExecutorId& executor_id : job.executors) {
      const Executor* executor = FindExecutor(executor_id);
      if (executor == nullptr) {
        continue;
      }
      for (const auto& [name, account] : account_ledger_.accounts()) {
        account->possible_use += executor->entry.capacity;
      }
    }
  }
}

int CellLeader::MaxStartsOfAccount(const Step& step) const {
  const StepSpec& spec = *step.spec;
  const AccountUse* account = step.job->account();
  if (account == nullptr) {
    return spec.count;
  }
  return spec.gang
             ? account_ledger_.MaxGangStarts(*account, spec.size, spec.count)
             : account_ledger_.MaxStarts(*account, spec.size, spec.count);
}

}  // namespace chivedale::cell
