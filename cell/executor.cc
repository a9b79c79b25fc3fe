#include "cell/executor.h"

#include <algorithm>
#include <utility>

#include "cell/account_ledger.h"

namespace chivedale::cell {
namespace {

Resources CommittedResources(const StepSpec& spec) {
  Resources size = spec.size;
  // A filling task uses only processors that other tasks leave idle.
  if (spec.fills) {
    size.cpu_milli = 0;
  }
  return size;
}

}  // namespace

Executor::Executor(ExecutorEntry initial, size_t boot_number)
    : entry(std::move(initial)), boot(boot_number, entry.incarnation) {}

Run& Executor::AddRun(const TaskName& name,
                      int64_t number,
                      Step* step,
                      TimePoint now) {
  Run& run = runs_[name.Text()];
  run = Run();
  run.name = name;
  run.number = number;
  run.start_sent = now;
  ++unknown_runs_;
  if (step != nullptr) {
    SetStep(run, *step);
  }
  return run;
}

void Executor::SetStep(Run& run, Step& step) {
  --unknown_runs_;
  run.step = &step;
  run.size = CommittedResources(*step.spec);
  committed_ += run.size;
  // An account is charged the declared size, also of a filling task.
  if (AccountUse* account = step.job->account()) {
    account->use += step.spec->size;
  }
  Task& task = step.tasks[static_cast<size_t>(run.name.index)];
  ++task.live;
  task.last_run = std::max(task.last_run, run.number);
  ++step.live_on[entry.id];
}

void Executor::ReleaseResources(Run& run) {
  committed_ -= run.size;
  run.size = Resources();
  if (AccountUse* account = run.step->job->account()) {
    account->use -= run.step->spec->size;
  }
  run.phase = RunPhase::kEndUnread;
}

void Executor::RemoveRun(const std::string& text) {
  const auto found = runs_.find(text);
  if (found == runs_.end()) {
    return;
  }
  const Run& run = found->second;
  if (run.step != nullptr) {
    committed_ -= run.size;
    AccountUse* account = run.step->job->account();
    if (account != nullptr && run.phase != RunPhase::kEndUnread) {
      account->use -= run.step->spec->size;
    }
    --run.step->tasks[static_cast<size_t>(run.name.index)].live;
    const auto live = run.step->live_on.find(entry.id);
    if (--live->second == 0) {
      run.step->live_on.erase(live);
    }
  } else {
    --unknown_runs_;
  }
  runs_.erase(found);
}

Run* Executor::FindRun(const std::string& task) {
  const auto found = runs_.find(task);
  return found == runs_.end() ? nullptr : &found->second;
}

// A run that was seen on the known boot ends with the leases there. The start
// of another one may still be executed by a boot that has not been seen. That
// takes the deadline of any call for all that runs there, as a lease of the
// maximum.
TimePoint Executor::RunExpiredBy(const Run& run, Millis longest) const {
  const TimePoint known = boot.LeasesExpiredBy();
  const bool has_ticket_of_boot = run.incarnation == boot.incarnation &&
                                  run.ticket_received != TimePoint() &&
                                  run.ticket_received < boot.alive_at();
  const bool on_known_boot = run.running_since != TimePoint() ||
                             has_ticket_of_boot ||
                             boot.IsOnlyBootUntil(run.start_executed_by);
  if (on_known_boot && !run.on_unknown_boot) {
    return known;
  }
  return std::max(known, deadline_sent + kMaxCallDelay + MaxTimeOf(longest));
}

bool Executor::HasLabel(const std::string& label) const {
  return std::find(entry.labels.begin(), entry.labels.end(), label) !=
         entry.labels.end();
}

}  // namespace chivedale::cell
