// Tasks of a step that wait.
#include <algorithm>

#include "cell/job.h"

namespace chivedale::cell {

TaskName Step::NameOf(int task) const {
  return {job->id(), occurrence, index, task};
}

bool Step::HasTaskToStart(TimePoint now) const {
  return std::any_of(tasks.begin(), tasks.end(), [&](const Task& task) {
    return !task.done && task.live == 0 && task.retry_at <= now;
  });
}

bool Task::HasWaitedForRestart(Duration time, TimePoint now) const {
  return live == 0 && last_run > 0 && waiting_since != TimePoint() &&
         now - waiting_since > time;
}

bool Step::HasWaitedForRestart(Duration time, TimePoint now) const {
  return spec->long_running &&
         std::any_of(tasks.begin(), tasks.end(), [&](const Task& task) {
           return task.HasWaitedForRestart(time, now);
         });
}

void Step::NoteWaitingTasks(TimePoint now) {
  if (!spec->long_running) {
    return;
  }
  for (Task& task : tasks) {
    if (!task.done && task.live == 0 && task.waiting_since == TimePoint()) {
      task.waiting_since = now;
    }
  }
}

int Step::Waiting() const {
  return static_cast<int>(std::count_if(
      tasks.begin(), tasks.end(),
      [](const Task& task) { return !task.done && task.live == 0; }));
}

}  // namespace chivedale::cell
