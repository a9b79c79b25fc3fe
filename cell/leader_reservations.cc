// Executors that are reserved for steps which do not fit, and other steps on
// them.
#include <algorithm>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Shortage of an executor on which long-running tasks leave too little room;
// above that of all others.
constexpr double kNoRoomSoon = 2.0;
// A task may take this multiple of its declared run time.
constexpr double kMaxTimeRatio = 2.0;

Resources RoomBesideLastingRuns(const Executor& executor) {
  Resources room = executor.entry.capacity;
  for (const auto& [name, run] : executor.runs()) {
    if (run.step != nullptr && run.step->spec->long_running) {
      room -= run.size;
    }
  }
  return room;
}

// Share of the size that is not free there, by the scarcest resource.
double Shortage(const Executor& executor, const Resources& size) {
  const Resources free = executor.Free();
  if (size.FitsIn(free)) {
    return 0;
  }
  if (!size.FitsIn(RoomBesideLastingRuns(executor))) {
    return kNoRoomSoon;
  }
  const auto part = [](int64_t want, int64_t have) {
    return want <= have || want <= 0
               ? 0.0
               : static_cast<double>(want - have) / static_cast<double>(want);
  };
  return std::max({part(size.cpu_milli, free.cpu_milli),
                   part(size.memory_mb, free.memory_mb),
                   part(size.accelerators, free.accelerators)});
}

// Whether the candidates would fit the step if they were otherwise empty.
bool WouldFitIfEmpty(const Step& step,
                     const std::vector<Executor*>& candidates) {
  const StepSpec& spec = *step.spec;
  const Resources size = ResourcesFor(spec);
  int places = 0;
  const int wanted = spec.gang ? spec.count : 1;
  for (const Executor* executor : candidates) {
    Resources room = executor->entry.capacity;
    for (int here = 0;
         places < wanted && size.FitsIn(room) &&
         (spec.max_per_executor == 0 || here < spec.max_per_executor);
         ++here) {
      room -= size;
      ++places;
    }
  }
  return places >= wanted;
}

}  // namespace

void CellLeader::ReserveExecutors(const Step& step,
                                  const std::vector<Executor*>& candidates,
                                  PoolState& pool) {
  if (!pool.MayReserve() || !WouldFitIfEmpty(step, candidates)) {
    return;
  }
  ++pool.reserving_steps;
  // Executors with the smallest shortage are likely to fit the step first.
  const Resources size = ResourcesFor(*step.spec);
  std::vector<std::pair<double, const Executor*>> sorted;
  sorted.reserve(candidates.size());
  for (const Executor* executor : candidates) {
    if (size.FitsIn(executor->entry.capacity)) {
      sorted.emplace_back(Shortage(*executor, size), executor);
    }
  }
  const size_t wanted =
      step.spec->gang ? static_cast<size_t>(step.spec->count) : 1;
  const size_t kept_count = std::min(wanted, sorted.size());
  std::partial_sort(
      sorted.begin(), sorted.begin() + static_cast<long>(kept_count),
      sorted.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<const Executor*> kept;
  for (size_t i = 0; i < kept_count; ++i) {
    kept.push_back(sorted[i].second);
  }
  reserved_.Reserve(kept, size, static_cast<int>(wanted),
                    step.spec->max_per_executor, context_.clock.Now());
}

// One task after the other, as each takes from what a reservation leaves.
void CellLeader::PlaceOnReserved(Step& step,
                                 const std::vector<Executor*>& reserved,
                                 int most) {
  const TimePoint now = context_.clock.Now();
  const StepSpec& spec = *step.spec;
  const Resources size = ResourcesFor(spec);
  std::vector<Executor*> candidates;
  for (int i = 0; i < most && step.HasTaskToStart(now); ++i) {
    candidates.clear();
    for (Executor* executor : reserved) {
      const auto time = std::chrono::duration_cast<Duration>(
          spec.estimate * kMaxTimeRatio *
          std::max(1.0, executor->boot.health.TimeFactor()));
      const TimePoint end = spec.long_running || spec.estimate == Millis(0)
                                ? TimePoint::max()
                                : now + time;
      if (size.FitsIn(executor->Free()) &&
          reserved_.Allows(*executor, size, end)) {
        candidates.push_back(executor);
      }
    }
    const int64_t starts_before = counts_.starts;
    if (!candidates.empty()) {
      PlaceTasks(step, candidates, 1);
    }
    if (counts_.starts == starts_before) {
      return;
    }
  }
}

}  // namespace chivedale::cell
