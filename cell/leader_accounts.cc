// Limits and shares of client accounts.
//
// After a change of leader, tasks of the predecessor may run on executors that
// this leader has not read. Which tasks these can be is known from the jobs:
// the tasks of an account that wait and that the predecessor may have started.
// Their sizes bound the account's unknown use, however many executors are
// unread.
#include <algorithm>

#include "cell/leader.h"

namespace chivedale::cell {

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
  possible_use_measured_ = unread;
  account_ledger_.ClearPossibleUse();
  if (!unread) {
    return;
  }
  for (const Step* step : waiting_) {
    AccountUse* account = step->job->account();
    if (account == nullptr || !MayRunOnUnreadExecutor(*step)) {
      continue;
    }
    for (int i = 0; i < step->Waiting(); ++i) {
      account->possible_use += step->spec->size;
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
