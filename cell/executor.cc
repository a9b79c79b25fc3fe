#include "cell/executor.h"

#include <algorithm>
#include <utility>

namespace chivedale::cell {
namespace {

// Executor clocks may run 2% slow; 1% more covers rounding.
constexpr double kClockDriftFactor = 1.03;
constexpr double kMinClockSpeed = 0.98;
constexpr Millis kExpiryMargin{100};

Resources CommittedResources(const StepSpec& spec) {
  Resources size = spec.size;
  // A filling task uses only processors that other tasks leave idle.
  if (spec.fills) {
    size.cpu_milli = 0;
  }
  return size;
}

}  // namespace

Executor::Executor(ExecutorEntry initial, size_t initial_number)
    : number(initial_number), entry(std::move(initial)) {
  incarnation = entry.incarnation;
}

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
  Task& task = step.tasks[static_cast<size_t>(run.name.index)];
  ++task.live;
  task.last_run = std::max(task.last_run, run.number);
  ++step.live_on[entry.id];
}

void Executor::RemoveRun(const std::string& text) {
  const auto found = runs_.find(text);
  if (found == runs_.end()) {
    return;
  }
  const Run& run = found->second;
  if (run.step != nullptr) {
    committed_ -= run.size;
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

void Executor::OnClock(Millis clock, TimePoint now) {
  clock_known_ = true;
  clock_ = clock;
  clock_at_ = now;
}

void Executor::OnDeadlineSent(Millis until) {
  max_deadline_ = std::max(max_deadline_, until);
}

void Executor::OnNewIncarnation(int64_t new_incarnation) {
  incarnation = new_incarnation;
  adopted = false;
  ends_read = 0;
  ends_stored = 0;
  ends_confirmed = 0;
  unstored_ends.clear();
  missed_holds = 0;
  clock_known_ = false;
  max_deadline_ = Millis(0);
  health = ExecutorHealth();
}

Millis Executor::ClockAt(TimePoint now) const {
  return clock_ + std::chrono::duration_cast<Millis>(now - clock_at_);
}

Millis Executor::EarliestClockAt(TimePoint now) const {
  return clock_ +
         std::chrono::duration_cast<Millis>((now - clock_at_) * kMinClockSpeed);
}

TimePoint Executor::LeasesExpiredBy() const {
  if (!clock_known_) {
    return clock_at_;
  }
  const Millis left = std::max(Millis(0), max_deadline_ - clock_);
  return clock_at_ +
         std::chrono::duration_cast<Duration>(left * kClockDriftFactor) +
         kExpiryMargin;
}

bool Executor::HasLabel(const std::string& label) const {
  return std::find(entry.labels.begin(), entry.labels.end(), label) !=
         entry.labels.end();
}

}  // namespace chivedale::cell
