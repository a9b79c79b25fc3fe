// The time a task will take comes first, then how little room is left over: a
// tight fit keeps whole executors free for wide tasks and gangs.
#include "cell/placer.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace chivedale::cell {
namespace {

// Weight of the room left over against a doubling of the run time.
constexpr double kFitWeight = 0.4;
// An executor that the same task failed on is the last choice.
constexpr double kFailedHereCost = 50;
// A filling task beside serving tasks disturbs them.
constexpr double kDisturbCost = 20;
// Of an executor whose runs all fail; a few failures are the tasks' own.
constexpr double kFailingCost = 15;
constexpr double kUsualFailing = 0.1;
// For each task of a lasting step that an executor has already.
constexpr double kSpreadCost = 0.5;

double Fraction(int64_t part, int64_t whole) {
  return whole <= 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

// Share of the executor that stays free with the task on it, the scarcest
// resource first.
double LeftOver(const Executor& executor, const Resources& size) {
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

int LiveOn(const Step& step, const ExecutorId& executor) {
  const auto found = step.live_on.find(executor);
  return found == step.live_on.end() ? 0 : found->second;
}

bool Disturbs(const StepSpec& spec, const Executor& executor) {
  if (!spec.fills && spec.tail_target == Millis(0)) {
    return false;
  }
  for (const auto& [name, run] : executor.runs()) {
    if (run.step == nullptr) {
      continue;
    }
    const StepSpec& other = *run.step->spec;
    if ((spec.fills && other.tail_target > Millis(0)) ||
        (spec.tail_target > Millis(0) && other.fills)) {
      return true;
    }
  }
  return false;
}

}  // namespace

Resources RoomFor(const StepSpec& spec) {
  Resources size = spec.size;
  if (spec.fills) {
    size.cpu_milli = 0;
  }
  return size;
}

double Placer::Cost(const Step& step, const Executor& executor) const {
  const StepSpec& spec = *step.spec;
  double time = std::clamp(executor.health.TimeFactor(), 0.3, 20.0);
  if (!spec.near_rack.empty() && spec.near_rack != executor.entry.rack) {
    time *= options_.far_factor;
  }
  double cost = time + kFitWeight * LeftOver(executor, RoomFor(spec));
  cost +=
      kFailingCost * std::max(0.0, executor.health.failing() - kUsualFailing);
  if (Disturbs(spec, executor)) {
    cost += kDisturbCost;
  }
  return cost;
}

void Placer::PlaceEach(const Step& step,
                       const std::vector<int>& tasks,
                       const std::vector<Executor*>& candidates,
                       TimePoint now,
                       const std::function<void(int, Executor&)>& start) const {
  const StepSpec& spec = *step.spec;
  const Resources size = RoomFor(spec);
  // Tasks that belong on one rack follow those at work.
  std::string rack;
  if (spec.same_rack) {
    for (const Executor* executor : candidates) {
      if (LiveOn(step, executor->entry.id) > 0) {
        rack = executor->entry.rack;
      }
    }
  }
  struct Seat {
    Executor* executor;
    double cost;
    int live;
  };
  std::vector<Seat> seats;
  seats.reserve(candidates.size());
  for (Executor* executor : candidates) {
    if (size.FitsIn(executor->Free())) {
      seats.push_back(
          {executor, Cost(step, *executor), LiveOn(step, executor->entry.id)});
    }
  }
  const Duration patience = std::chrono::duration_cast<Duration>(
      spec.estimate * (options_.far_factor - 1) / 2);
  for (const int index : tasks) {
    const Task& task = step.tasks[static_cast<size_t>(index)];
    const std::string name = task.last_run > 0 ? step.NameOf(index).Text() : "";
    Seat* best = nullptr;
    double best_cost = 0;
    for (Seat& seat : seats) {
      Executor& executor = *seat.executor;
      if (!size.FitsIn(executor.Free()) ||
          (spec.max_per_executor > 0 && seat.live >= spec.max_per_executor) ||
          (!name.empty() && executor.FindRun(name) != nullptr)) {
        continue;
      }
      double cost = seat.cost;
      if (!rack.empty() && executor.entry.rack != rack) {
        cost += options_.far_factor;
      }
      if (!task.failed_on.empty() &&
          task.failed_on.count(executor.entry.id) > 0) {
        cost += kFailedHereCost;
      }
      // Spread lasting tasks: the loss of an executor then takes few of them.
      if (spec.lasting) {
        cost += kSpreadCost * seat.live;
      }
      if (best == nullptr || cost < best_cost) {
        best = &seat;
        best_cost = cost;
      }
    }
    if (best == nullptr) {
      continue;
    }
    Executor& executor = *best->executor;
    // A place far from the data costs the run time (far_factor - 1) times more;
    // waiting for a near one pays as long as it is shorter than that.
    const bool far =
        (!spec.near_rack.empty() && executor.entry.rack != spec.near_rack) ||
        (!rack.empty() && executor.entry.rack != rack);
    if (far && now - step.ready_since < patience) {
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

std::vector<Executor*> Placer::ForGang(
    const Step& step,
    const std::vector<Executor*>& candidates) const {
  const StepSpec& spec = *step.spec;
  const Resources size = RoomFor(spec);
  struct Seat {
    double cost;
    Executor* executor;
    int places;
  };
  std::vector<Seat> seats;
  for (Executor* executor : candidates) {
    Resources free = executor->Free();
    int places = 0;
    const int bound =
        spec.max_per_executor > 0 ? spec.max_per_executor : spec.count;
    while (places < std::min(bound, spec.count) && size.FitsIn(free)) {
      free -= size;
      ++places;
    }
    // A run of the same task that has not ended here yet.
    bool busy = false;
    for (int i = 0; i < spec.count; ++i) {
      busy = busy || executor->FindRun(step.NameOf(i).Text()) != nullptr;
    }
    if (places > 0 && !busy) {
      seats.push_back({Cost(step, *executor), executor, places});
    }
  }
  const auto take = [&](const std::string* rack) {
    std::vector<Seat> sorted;
    for (const Seat& seat : seats) {
      if (rack == nullptr || seat.executor->entry.rack == *rack) {
        sorted.push_back(seat);
      }
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const Seat& a, const Seat& b) { return a.cost < b.cost; });
    std::vector<Executor*> members;
    for (const Seat& seat : sorted) {
      for (int i = 0;
           i < seat.places && static_cast<int>(members.size()) < spec.count;
           ++i) {
        members.push_back(seat.executor);
      }
    }
    if (static_cast<int>(members.size()) < spec.count) {
      members.clear();
    }
    return members;
  };
  if (!spec.same_rack) {
    return take(nullptr);
  }
  std::set<std::string> racks;
  for (const Seat& seat : seats) {
    racks.insert(seat.executor->entry.rack);
  }
  std::vector<Executor*> best;
  double best_cost = 0;
  for (const std::string& rack : racks) {
    std::vector<Executor*> members = take(&rack);
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
  return best;
}

}  // namespace chivedale::cell
