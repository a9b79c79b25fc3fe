// A run counts as running until its worker has ended it, even while the worker
// is unreachable, because the guarantee P2 covers this case.
#include "chivedale/testing/task_run_log.h"

#include <sstream>

namespace chivedale::testing {
namespace {

constexpr size_t kMaxDetails = 50;

}  // namespace

void TaskRunLog::AddDetail(const std::string& what,
                           const WorkerId& worker,
                           const TaskKey& key) {
  if (violations_.details.size() < kMaxDetails) {
    std::ostringstream text;
    text << what << ": " << key << " on " << worker;
    violations_.details.push_back(text.str());
  }
}

void TaskRunLog::OnStart(const WorkerId& worker,
                         const TaskKey& key,
                         bool repeatable,
                         util::TimePoint at) {
  std::vector<TaskRun>& runs = runs_[key.task.str()];
  for (const TaskRun& run : runs) {
    if (!run.ended) {
      ++violations_.ran_in_two_places;
      AddDetail("already running on " + run.worker.str(), worker, key);
    }
  }
  if (!repeatable && !runs.empty()) {
    ++violations_.unrepeatable_reruns;
    AddDetail("second run of unrepeatable work", worker, key);
  }
  runs.push_back({worker, key.attempt, at, {}, false, ""});
  ++starts_;
  ++running_;
}

void TaskRunLog::OnEnd(const WorkerId& worker,
                       const TaskKey& key,
                       const std::string& outcome,
                       util::TimePoint at) {
  for (TaskRun& run : runs_[key.task.str()]) {
    if (!run.ended && run.worker == worker && run.attempt == key.attempt) {
      run.ended = true;
      run.end = at;
      run.outcome = outcome;
      --running_;
      return;
    }
  }
}

void TaskRunLog::OnOverloadAttempt(const WorkerId& worker, const TaskKey& key) {
  ++violations_.overload_attempts;
  AddDetail("start above capacity", worker, key);
}

void TaskRunLog::OnStartWhenLeaving(const WorkerId& worker,
                                    const TaskKey& key) {
  ++violations_.started_when_leaving;
  AddDetail("start on a leaving worker", worker, key);
}

}  // namespace chivedale::testing
