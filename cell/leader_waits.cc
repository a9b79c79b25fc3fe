// Describes and logs what steps wait for. Changes no decision: a step that is
// left out of the scheduling passes is reported, not queued again.
#include <algorithm>
#include <sstream>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Maximum number of lines per event and check; the next check continues.
constexpr int kMaxReportsPerCheck = 20;
constexpr size_t kMaxListedExecutors = 5;
// Executors within reach have answered by then.
constexpr Millis kUnreadReportDelay{500};

std::string ToText(const Resources& resources) {
  std::ostringstream out;
  out << resources;
  return out.str();
}

std::string ToMillisText(Duration time) {
  return std::to_string(std::chrono::duration_cast<Millis>(time).count());
}

}  // namespace

void CellLeader::OnRunBegan(const Run& run, const Executor& executor) {
  Step& step = *run.step;
  Job& job = *step.job;
  if (!job.any_started() && !job.recurring()) {
    context_.metrics.Observe(Timer::kWait, job.queue().name, AgeOf(job));
  }
  job.set_any_started();
  if (step.spec->gang && ++step.gang_running < step.spec->count) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  if (step.wait.reported()) {
    context_.log.Write(Event::kStepWaitEnded,
                       {{"step", step.NameOf(0).StepText()},
                        {"waited_ms", ToMillisText(step.wait.Waited(now))},
                        {"executor", executor.entry.id}});
  }
  step.wait.OnRunning(now);
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

void CellLeader::ReportWaitingSteps() {
  const TimePoint now = context_.clock.Now();
  wait_counts_ = WaitCounts();
  if (!loaded_) {
    return;
  }
  int waiting_reports = 0;
  int not_queued_reports = 0;
  for (auto& [id, job] : jobs_) {
    if (job->terminal()) {
      continue;
    }
    for (auto& [number, occurrence] : job->open()) {
      for (Step& step : occurrence.steps) {
        const bool waits = step.ready && step.Waiting() > 0;
        // Without waiting tasks, starts that no run has followed may be
        // unanswered.
        if (!waits && (step.Finished() || step.wait.starts() == 0)) {
          continue;
        }
        const bool queued = !waits || waiting_.count(&step) > 0;
        if (!queued) {
          step.wait.OnNotQueued(now);
        }
        ++wait_counts_.waiting;
        wait_counts_.waiting_long += step.wait.IsLong(now) ? 1 : 0;
        wait_counts_.not_queued += queued ? 0 : 1;
        int& reports = queued ? waiting_reports : not_queued_reports;
        if (step.wait.IsReportDue(now) && reports < kMaxReportsPerCheck) {
          ++reports;
          ReportWait(step,
                     queued ? Event::kStepWaiting : Event::kStepNotQueued);
          step.wait.OnReported(now);
        }
      }
    }
  }
}

void CellLeader::ReportWait(const Step& step, Event event) {
  const TimePoint now = context_.clock.Now();
  const StepWait& wait = step.wait;
  const auto [reason, since] = ReasonOf(step);
  const std::string& pool_name = PolicyOf(*step.job).pool;
  LogFields fields = {
      {"step", step.NameOf(0).StepText()},
      {"queue", step.job->queue().name},
      {"waiting", std::to_string(step.Waiting())},
      {"of", std::to_string(step.tasks.size())},
      {"waiting_ms", ToMillisText(wait.Waited(now))},
      {"waits_for", std::string(WaitReasonText(reason))},
      {"waits_for_ms", ToMillisText(now - since)},
      {"last_pass", std::to_string(wait.pass())},
      {"passes", std::to_string(counts_.passes)},
  };
  if (wait.pass() > 0) {
    fields.emplace_back("last_pass_age_ms", ToMillisText(now - wait.pass_at()));
  }
  fields.emplace_back("size", ToText(ResourcesFor(*step.spec)));
  fields.emplace_back("pool", pool_name);
  const PoolState& pool = PoolStateOf(pool_name);
  fields.emplace_back("usable", std::to_string(pool.usable.size()));
  fields.emplace_back("free", ToText(pool.free));
  fields.emplace_back("capacity", ToText(pool.capacity));
  fields.emplace_back("starts", std::to_string(wait.starts()));
  fields.emplace_back("rejected", std::to_string(wait.rejected()));
  fields.emplace_back("unanswered", std::to_string(wait.unanswered()));
  if (!wait.last_result().empty()) {
    fields.emplace_back("last_result", wait.last_result());
    fields.emplace_back("last_executor", wait.last_executor());
  }
  context_.log.Write(event, fields);
}

void CellLeader::ReportLoad(TimePoint now) {
  load_.Report(now, {{"cpu_ms", context_.clock.ProcessorTime() / Millis(1)},
                     {"looks", counts_.looks},
                     {"starts", counts_.starts},
                     {"copies", counts_.copies},
                     {"rejected", counts_.rejected},
                     {"unanswered", counts_.unanswered},
                     {"ends", counts_.ends},
                     {"holds", counts_.holds},
                     {"stops", counts_.stops},
                     {"preempted", counts_.preempted},
                     {"advice_calls", counts_.advice}});
}

void CellLeader::ReportUnreadExecutors() {
  if (unread_executors_reported_ ||
      context_.clock.Now() - begin_time_ < kUnreadReportDelay) {
    return;
  }
  unread_executors_reported_ = true;
  std::map<std::string, int> by_pool;
  std::string listed;
  size_t count = 0;
  size_t unknown_boots = 0;
  TimePoint expected_end = executor_rows_skipped_ ? PredecessorLeasesEnd()
                                                  : predecessor_authority_end_;
  for (const ExecutorId& id : unread_executors_) {
    const auto found = executors_.find(id);
    if (found == executors_.end()) {
      continue;
    }
    const Executor& executor = *found->second;
    ++by_pool[executor.entry.pool];
    const bool known = IsOnConfirmedBoot(executor);
    unknown_boots += known ? 0 : 1;
    expected_end =
        std::max(expected_end, known ? ConfirmedBootLeasesEnd(executor)
                                     : PredecessorLeasesEnd());
    if (++count <= kMaxListedExecutors) {
      listed += listed.empty() ? id : "," + id;
    }
  }
  std::string pools;
  for (const auto& [pool, unread] : by_pool) {
    pools += pools.empty() ? "" : ",";
    pools += pool + ":" + std::to_string(unread);
  }
  context_.log.Write(
      Event::kExecutorsUnread,
      {{"unread", std::to_string(count)},
       {"pools", pools},
       {"executors", listed},
       {"unknown_boots", std::to_string(unknown_boots)},
       {"expected_ms", ToMillisText(expected_end - context_.clock.Now())},
       {"at_most_ms",
        ToMillisText(PredecessorLeasesEnd() - context_.clock.Now())}});
}

void CellLeader::ReportUnreadExecutorsEnd() {
  if (!unread_executors_reported_ || unread_executors_end_reported_ ||
      HasUnreadExecutors()) {
    return;
  }
  unread_executors_end_reported_ = true;
  const bool all_answered =
      unread_executors_.empty() && !executor_rows_skipped_;
  context_.log.Write(
      Event::kExecutorsUnreadEnd,
      {{"unread", std::to_string(unread_executors_.size())},
       {"reason", all_answered ? "all executors have answered"
                               : "their leases have expired"},
       {"after_ms", ToMillisText(context_.clock.Now() - begin_time_)}});
}

}  // namespace chivedale::cell
