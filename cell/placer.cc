// Placement by expected run time first, then best fit, which keeps whole
// executors free for large tasks and gangs.
#include "cell/placer.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace chivedale::cell {
namespace {

// Costs are in multiples of the declared run time; 1 is a run at the declared
// time.

// Weight of the share left free.
constexpr double kFitWeight = 0.4;
// An executor on which the same task has failed is the last choice.
constexpr double kFailedHereCost = 50;
// A filling task interferes with serving tasks on the same executor.
constexpr double kInterferenceCost = 20;
// Cost of an executor whose runs all fail. A few failures are due to the tasks.
constexpr double kFailureRateCost = 15;
constexpr double kBaselineFailureRate = 0.1;
// Cost per task of the same long-running step already on the executor.
constexpr double kSpreadCost = 0.5;
// Limit of the wait for a better rack while nothing of the step runs. Such a
// step must start within 3 s, including the interval between two passes and the
// start itself.
constexpr Duration kMaxIdleRackWait = std::chrono::milliseconds(2'000);

double Fraction(int64_t part, int64_t whole) {
  return whole <= 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

// Weighted share of the executor that would stay free with the task on it.
// Accelerators, or CPU where there are none, are taken to be the scarcest and
// weigh most.
double FreeShareAfter(const Executor& executor, const Resources& size) {
  const Resources left = executor.Free() - size;
  const Resources& whole = executor.entry.capacity;
  if (whole.accelerators > 0) {
    return Fraction(left.accelerators, whole.accelerators) * 0.7 +
           Fraction(left.memory_mb, whole.memory_mb) * 0.2 +
           Fraction(left.cpu_milli, whole.cpu_milli) * 0.1;
  }
  return Fraction(left.cpu_milli, whole.cpu_milli) * 0.7 +
         Fraction(left.memory_mb, whole.memory_mb) * 0.3;
}

int LiveRunsOn(const Step& step, const ExecutorId& executor) {
  const auto found = step.live_on.find(executor);
  return found == step.live_on.end() ? 0 : found->second;
}

bool Interferes(const StepSpec& spec, const Executor& executor) {
  if (!spec.fills && spec.tail_latency_target == Millis(0)) {
    return false;
  }
  for (const auto& [name, run] : executor.runs()) {
    if (run.step == nullptr) {
      continue;
    }
    const StepSpec& other = *run.step->spec;
    if ((spec.fills && other.tail_latency_target > Millis(0)) ||
        (spec.tail_latency_target > Millis(0) && other.fills)) {
      return true;
    }
  }
  return false;
}

}  // namespace

Resources ResourcesFor(const StepSpec& spec) {
  Resources size = spec.size;
  if (spec.fills) {
    size.cpu_milli = 0;
  }
  return size;
}

bool IsEligible(const Step& step, const Executor& executor) {
  const StepSpec& spec = *step.spec;
  return (spec.label.empty() || executor.HasLabel(spec.label)) &&
         ResourcesFor(spec).FitsIn(executor.entry.capacity);
}

double Placer::Cost(const Step& step, const Executor& executor) const {
  const StepSpec& spec = *step.spec;
  double time = std::clamp(executor.boot.health.TimeFactor(), 0.3, 20.0);
  if (!spec.preferred_rack.empty() &&
      spec.preferred_rack != executor.entry.rack) {
    time *= options_.remote_rack_factor;
  }
  double cost =
      time + kFitWeight * FreeShareAfter(executor, ResourcesFor(spec));
  cost += kFailureRateCost * std::max(0.0, executor.boot.health.failure_rate() -
                                               kBaselineFailureRate);
  if (Interferes(spec, executor)) {
    cost += kInterferenceCost;
  }
  return cost;
}

// Running on a worse rack adds (remote_rack_factor - 1) times the run time, so
// waiting for up to half of that is worthwhile.
Duration Placer::MaxRackWait(const Step& step) const {
  const auto worthwhile = std::chrono::duration_cast<Duration>(
      step.spec->estimate * (options_.remote_rack_factor - 1) / 2);
  // The limit of 3 s holds for each long-running task by itself.
  const bool idle = step.live_on.empty() || step.spec->long_running;
  return idle ? std::min(worthwhile, kMaxIdleRackWait) : worthwhile;
}

void Placer::PlaceEach(const Step& step,
                       const std::vector<int>& tasks,
                       const std::vector<Executor*>& candidates,
                       TimePoint now,
                       const std::function<void(int, Executor&)>& start) const {
  const StepSpec& spec = *step.spec;
  const Resources size = ResourcesFor(spec);
  // Tasks that share a rack follow those that already run.
  std::string rack;
  if (spec.same_rack) {
    for (const Executor* executor : candidates) {
      if (LiveRunsOn(step, executor->entry.id) > 0) {
        rack = executor->entry.rack;
      }
    }
  }
  struct Slot {
    Executor* executor;
    double cost;
    int live;
  };
  std::vector<Slot> slots;
  slots.reserve(candidates.size());
  for (Executor* executor : candidates) {
    if (size.FitsIn(executor->Free())) {
      slots.push_back({executor, Cost(step, *executor),
                       LiveRunsOn(step, executor->entry.id)});
    }
  }
  const Duration max_rack_wait = MaxRackWait(step);
  for (const int index : tasks) {
    const Task& task = step.tasks[static_cast<size_t>(index)];
    const std::string name = task.last_run > 0 ? step.NameOf(index).Text() : "";
    Slot* best = nullptr;
    double best_cost = 0;
    for (Slot& slot : slots) {
      Executor& executor = *slot.executor;
      if (!size.FitsIn(executor.Free()) ||
          !executor.boot.health.MayStart(now) ||
          (spec.max_per_executor > 0 && slot.live >= spec.max_per_executor) ||
          (!name.empty() && executor.FindRun(name) != nullptr)) {
        continue;
      }
      double cost = slot.cost;
      if (!rack.empty() && executor.entry.rack != rack) {
        cost += options_.remote_rack_factor;
      }
      if (!task.failed_on.empty() &&
          task.failed_on.count(executor.entry.id) > 0) {
        cost += kFailedHereCost;
      }
      // Spread long-running tasks, so that the loss of an executor affects few
      // of them.
      if (spec.long_running) {
        cost += kSpreadCost * slot.live;
      }
      if (best == nullptr || cost < best_cost) {
        best = &slot;
        best_cost = cost;
      }
    }
    if (best == nullptr) {
      continue;
    }
    Executor& executor = *best->executor;
    const bool far = (!spec.preferred_rack.empty() &&
                      executor.entry.rack != spec.preferred_rack) ||
                     (!rack.empty() && executor.entry.rack != rack);
    if (far && now - step.ready_since < max_rack_wait) {
      continue;
    }
    start(index, executor);
    ++best->live;
    best->cost = Cost(step, executor);
    if (spec.same_rack && rack.empty()) {
      rack = executor.entry.rack;
    }
  }
}

std::vector<Executor*> Placer::ForGang(const Step& step,
                                       const std::vector<Executor*>& candidates,
                                       TimePoint now) const {
  const StepSpec& spec = *step.spec;
  const Resources size = ResourcesFor(spec);
  struct Slot {
    double cost;
    Executor* executor;
    int places;
  };
  std::vector<Slot> slots;
  for (Executor* executor : candidates) {
    Resources free = executor->Free();
    int places = 0;
    const ExecutorHealth& health = executor->boot.health;
    const int bound = !health.MayStart(now)       ? 0
                      : health.avoided(now)       ? 1
                      : spec.max_per_executor > 0 ? spec.max_per_executor
                                                  : spec.count;
    while (places < std::min(bound, spec.count) && size.FitsIn(free)) {
      free -= size;
      ++places;
    }
    // An earlier run of a task of this step has not ended here yet.
    const bool busy = LiveRunsOn(step, executor->entry.id) > 0;
    if (places > 0 && !busy) {
      slots.push_back({Cost(step, *executor), executor, places});
    }
  }
  const auto pick_members = [&](const std::string* rack) {
    std::vector<Slot> sorted;
    for (const Slot& slot : slots) {
      if (rack == nullptr || slot.executor->entry.rack == *rack) {
        sorted.push_back(slot);
      }
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const Slot& a, const Slot& b) { return a.cost < b.cost; });
    std::vector<Executor*> members;
    for (const Slot& slot : sorted) {
      for (int i = 0;
           i < slot.places && static_cast<int>(members.size()) < spec.count;
           ++i) {
        members.push_back(slot.executor);
      }
    }
    if (static_cast<int>(members.size()) < spec.count) {
      members.clear();
    }
    return members;
  };
  if (!spec.same_rack) {
    return pick_members(nullptr);
  }
  std::set<std::string> racks;
  for (const Slot& slot : slots) {
    racks.insert(slot.executor->entry.rack);
  }
  std::vector<Executor*> best;
  double best_cost = 0;
  for (const std::string& rack : racks) {
    std::vector<Executor*> members = pick_members(&rack);
    if (members.empty()) {
      continue;
    }
    double cost = 0;
    for (const Executor* member : members) {
      cost = std::max(cost, Cost(step, *member));
    }
    if (best.empty() || cost < best_cost) {
      best = std::move(members);
      best_cost = cost;
    }
  }
  if (best.empty() && now - step.ready_since >= MaxRackWait(step)) {
    return pick_members(nullptr);
  }
  return best;
}

}  // namespace chivedale::cell
