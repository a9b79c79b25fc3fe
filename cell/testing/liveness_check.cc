#include "cell/testing/liveness_check.h"

#include <algorithm>
#include <sstream>

namespace chivedale::cell::testing {

void LivenessCheck::Observe() {
  all_over_ = std::all_of(cell_.accepted().begin(), cell_.accepted().end(),
                          [&](const JobId& id) {
                            return over_.count(id) > 0 || !FitsOnEmptyPool(id);
                          });
  std::vector<Row> rows;
  Resources capacity;
  Resources used;
  for (const auto& [entry, use] : cell_.executors.Use()) {
    capacity += entry->capacity;
    used += use;
    if (!entry->draining) {
      rows.push_back({entry, entry->capacity - use});
    }
  }
  if (!(used + used).FitsIn(capacity)) {
    since_.clear();
    return;
  }
  for (const JobId& id : cell_.accepted()) {
    if (over_.count(id) == 0) {
      ObserveJob(id, rows);
    }
  }
}

void LivenessCheck::ObserveJob(const JobId& id, const std::vector<Row>& rows) {
  if (cell_.executors.RunsAnyOf(id)) {
    since_.erase(id);
    return;
  }
  const StoreItem* record = cell_.store.Find(JobKey(id));
  if (record == nullptr) {
    over_.insert(id);  // its status is no longer kept
    return;
  }
  Job stored(id, DecodeJobRecord(record->value));
  if (const StoreItem* progress = cell_.store.Find(ProgressKey(id))) {
    stored.DecodeProgress(progress->value, WallTime(), TimePoint());
  }
  if (stored.terminal() || cell_.executors.HasFailed(id) ||
      cell_.store.Find(CancelKey(id)) != nullptr) {
    over_.insert(id);
    return;
  }
  std::map<int, TimePoint>& since = since_[id];
  const std::vector<StepSpec>& steps = stored.record().spec.steps;
  bool done = true;
  const TimePoint now = cell_.loop.clock().Now();
  for (int step = 0; step < static_cast<int>(steps.size()); ++step) {
    if (StepDone(stored, step)) {
      since.erase(step);
      continue;
    }
    done = false;
    if (!MayStart(stored, step, rows)) {
      since.erase(step);
      continue;
    }
    const TimePoint from = since.try_emplace(step, now).first->second;
    if (now - from > kMaxIdleWait && !violation_) {
      violation_ = Describe(id, step, from);
    }
  }
  if (done) {
    over_.insert(id);
  }
}

bool LivenessCheck::StepDone(Job& stored, int step) const {
  const Step* progress = stored.FindStep(0, step);
  const int count = stored.record().spec.steps[static_cast<size_t>(step)].count;
  for (int i = 0; i < count; ++i) {
    const bool done =
        progress != nullptr && progress->tasks[static_cast<size_t>(i)].done;
    if (!done && !cell_.executors.IsDone({stored.id(), 0, step, i})) {
      return false;
    }
  }
  return true;
}

bool LivenessCheck::MayStart(Job& stored,
                             int step,
                             const std::vector<Row>& rows) const {
  const StepSpec& tasks = stored.record().spec.steps[static_cast<size_t>(step)];
  for (const int earlier : tasks.depends_on) {
    if (!StepDone(stored, earlier)) {
      return false;
    }
  }
  return HasPlaces(TaskName{stored.id(), 0, step, 0}.StepText(), tasks, rows,
                   2 * (tasks.gang ? tasks.count : 1));
}

bool LivenessCheck::HasPlaces(const std::string& step,
                              const StepSpec& spec,
                              const std::vector<Row>& rows,
                              int wanted) const {
  int places = 0;
  for (const Row& row : rows) {
    const auto& labels = row.entry->labels;
    if ((!spec.label.empty() &&
         std::find(labels.begin(), labels.end(), spec.label) == labels.end()) ||
        !cell_.AdviceAllows(step, row.entry->id)) {
      continue;
    }
    Resources free = row.free;
    for (int here = 0; spec.size.FitsIn(free) && (spec.max_per_executor == 0 ||
                                                  here < spec.max_per_executor);
         ++here) {
      free -= spec.size;
      if (++places >= wanted) {
        return true;
      }
    }
  }
  return false;
}

bool LivenessCheck::FitsOnEmptyPool(const JobId& id) const {
  std::vector<Row> rows;
  for (const auto& [entry, use] : cell_.executors.Use()) {
    if (!entry->draining) {
      rows.push_back({entry, entry->capacity});
    }
  }
  const JobSpec& spec = *cell_.executors.JobSpecOf(id);
  for (int i = 0; i < static_cast<int>(spec.steps.size()); ++i) {
    const StepSpec& step = spec.steps[static_cast<size_t>(i)];
    if (!HasPlaces(TaskName{id, 0, i, 0}.StepText(), step, rows,
                   step.gang ? step.count : 1)) {
      return false;
    }
  }
  return true;
}

std::string LivenessCheck::Describe(const JobId& id,
                                    int step,
                                    TimePoint since) const {
  const auto millis = [](TimePoint at) {
    return std::to_string(std::chrono::duration_cast<Millis>(
                              at.time_since_epoch() - std::chrono::hours(1))
                              .count());
  };
  std::string text = millis(cell_.loop.clock().Now()) + " step " + id + "." +
                     std::to_string(step) + " could run since " +
                     millis(since) + " and does not\n";
  if (CellNode* leader = cell_.leader()) {
    for (const auto& view : leader->leader()->DescribeSteps(id)) {
      text += "step " + std::to_string(view.step) + ": " +
              std::to_string(view.done) + " of " + std::to_string(view.tasks) +
              " done, " + std::to_string(view.running) + " running, " +
              std::to_string(view.waiting) + " waiting for " + view.waits_for +
              "\n";
    }
    const StepSpec& spec =
        cell_.executors.JobSpecOf(id)->steps[static_cast<size_t>(step)];
    std::ostringstream size;
    size << spec.size;
    text += "its tasks: " + std::to_string(spec.count) + " of " + size.str() +
            ", estimate " + std::to_string(spec.estimate.count()) + " ms, " +
            (spec.gang ? "gang, " : "") + "rack " + spec.preferred_rack +
            (spec.same_rack ? " (same)" : "") + ", label " + spec.label +
            ", at most " + std::to_string(spec.max_per_executor) + "\n";
    for (const auto& [name, executor] : leader->leader()->executors()) {
      text += name + ": adopted " + std::to_string(executor->boot.adopted) +
              ", listed " + std::to_string(executor->listed) + ", stored " +
              std::to_string(executor->stored) + ", draining " +
              std::to_string(executor->entry.draining) + ", cordoned " +
              std::to_string(executor->cordoned) + ", missed " +
              std::to_string(executor->missed_holds) + ", runs " +
              std::to_string(executor->runs().size()) + "\n";
    }
  } else {
    text += "no leader\n";
  }
  return text + cell_.log.Lines(id) + cell_.log.Lines(" cell_") +
         cell_.log.Lines(" executor_");
}

}  // namespace chivedale::cell::testing
