// Describes what steps wait for. Changes no decision.
#include "cell/leader.h"

namespace chivedale::cell {
void CellLeader::OnRunning(const Run& run) {
  Step& step = *run.step;
  if (step.spec->gang && ++step.gang_running < step.spec->count) {
    return;
  }
  step.wait.OnRunning(context_.clock.Now());
}

std::vector<CellLeader::StepView> CellLeader::DescribeSteps(
    const JobId& id) const {
  std::vector<StepView> views;
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return views;
  }
  for (const auto& [number, occurrence] : found->second->open()) {
    for (const Step& step : occurrence.steps) {
      views.push_back(ViewOf(step));
    }
  }
  return views;
}

CellLeader::StepView CellLeader::ViewOf(const Step& step) const {
  StepView view;
  view.occurrence = step.occurrence;
  view.step = step.index;
  view.tasks = static_cast<int>(step.tasks.size());
  view.done = step.done;
  view.waiting = step.Waiting();
  for (const Task& task : step.tasks) {
    view.running += task.live > 0 ? 1 : 0;
  }
  for (const auto& [id, count] : step.live_on) {
    for (const auto& [name, run] : executors_.at(id)->runs()) {
      if (run.step == &step) {
        view.unconfirmed += run.IsStartUnconfirmed() ? 1 : 0;
        view.stopping += run.phase == RunPhase::kStopping ? 1 : 0;
      }
    }
  }
  if (step.job->terminal() ||
      view.waiting + view.unconfirmed + view.stopping == 0) {
    return view;
  }
  const TimePoint now = context_.clock.Now();
  const StepWait& wait = step.wait;
  auto [reason, since] = ReasonOf(step);
  if (view.waiting == 0 && view.unconfirmed == 0) {
    reason = WaitReason::kStop;
  }
  view.queued = waiting_.count(&step) > 0;
  view.waits_for = WaitReasonText(reason);
  view.waits_for_time = now - since;
  view.waiting_time = step.ready ? wait.Waited(now) : now - step.ready_since;
  view.last_pass = wait.pass();
  view.last_pass_age = now - wait.pass_at();
  view.starts = wait.starts();
  view.rejected = wait.rejected();
  view.unanswered = wait.unanswered();
  view.last_result = wait.last_result();
  view.last_executor = wait.last_executor();
  return view;
}

std::pair<WaitReason, TimePoint> CellLeader::ReasonOf(const Step& step) const {
  const StepWait& wait = step.wait;
  if (!step.ready) {
    return {WaitReason::kEarlierSteps, step.ready_since};
  }
  if (step.Waiting() == 0) {
    return {WaitReason::kStartAnswer, wait.since()};
  }
  if (suspended_) {
    return {WaitReason::kSuspended, suspended_at_};
  }
  if (!may_start()) {
    return {WaitReason::kLoading, begin_time_};
  }
  if (waiting_.count(&step) == 0) {
    return {WaitReason::kNotQueued, wait.since()};
  }
  return {wait.reason(), wait.reason_since()};
}

}  // namespace chivedale::cell
