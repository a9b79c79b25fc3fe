// Urgent jobs come in bursts, and room that has to be taken from running tasks
// is there only when their stops have ended. So less urgent steps that still
// have time leave as much of their pool free as the most urgent queues of the
// table use there now: a burst doubles their work. Pools without such queues
// keep nothing free.
#include <algorithm>
#include <limits>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

constexpr Millis kMeasureInterval{200};
// Of the newest measurement; with the interval, a memory of about 2 s.
constexpr double kNewest = 0.1;
// Of a pool. More would idle what batch work needs over a day.
constexpr double kMostHeadroom = 0.2;
// A step whose objective is nearer than this many of its run times takes all
// the room there is.
constexpr double kTimeLeft = 1.2;

// A step of which nothing runs for so long takes kept room as well, where at
// least half of its pool is free: the step that keeps it may wait for one long
// task, and callers see an idle pool.
constexpr Millis kReservedPatience{1'500};

int64_t Smoothed(int64_t before, int64_t now) {
  return before +
         static_cast<int64_t>(kNewest * static_cast<double>(now - before));
}

int64_t Capped(int64_t use, int64_t capacity) {
  return std::min(
      use, static_cast<int64_t>(kMostHeadroom * static_cast<double>(capacity)));
}

}  // namespace

void CellLeader::MeasureUrgentUse() {
  const TimePoint now = context_.clock.Now();
  if (now < next_measure_) {
    return;
  }
  next_measure_ = now + kMeasureInterval;
  urgent_priority_.clear();
  int most_urgent = std::numeric_limits<int>::max();
  for (const QueuePolicy& queue : table_->queues) {
    most_urgent = std::min(most_urgent, queue.priority);
  }
  for (const QueuePolicy& queue : table_->queues) {
    if (queue.priority == most_urgent) {
      urgent_priority_[queue.pool] = most_urgent;
    }
  }
  std::map<std::string, Resources> use;
  for (const auto& [id, executor] : executors_) {
    for (const auto& [name, run] : executor->runs()) {
      if (run.step == nullptr || run.step->spec->lasting) {
        continue;
      }
      const QueuePolicy& policy = PolicyOf(*run.step->job);
      const auto top = urgent_priority_.find(policy.pool);
      if (top != urgent_priority_.end() && policy.priority <= top->second) {
        use[policy.pool] += run.size;
      }
    }
  }
  for (const auto& [pool, priority] : urgent_priority_) {
    Resources& smoothed = urgent_use_[pool];
    const Resources& newest = use[pool];
    smoothed.cpu_milli = Smoothed(smoothed.cpu_milli, newest.cpu_milli);
    smoothed.memory_mb = Smoothed(smoothed.memory_mb, newest.memory_mb);
    smoothed.accelerators =
        Smoothed(smoothed.accelerators, newest.accelerators);
  }
}

int CellLeader::TasksBesideHeadroom(const Step& step,
                                    const PoolRoom& pool) const {
  const StepSpec& spec = *step.spec;
  const QueuePolicy& policy = PolicyOf(*step.job);
  const auto top = urgent_priority_.find(policy.pool);
  const auto needed =
      std::chrono::duration_cast<Duration>(step.job->Chain() * kTimeLeft);
  if (top == urgent_priority_.end() || policy.priority <= top->second ||
      spec.lasting || context_.clock.Now() + needed > step.objective) {
    return spec.count;
  }
  const Resources& use = urgent_use_.at(policy.pool);
  const Resources size = RoomFor(spec);
  const auto tasks = [&](int64_t free, int64_t used, int64_t capacity,
                         int64_t each) {
    const int64_t left = free - Capped(used, capacity);
    return each <= 0 ? static_cast<int64_t>(spec.count)
                     : std::max<int64_t>(0, left / each);
  };
  return static_cast<int>(std::min({
      static_cast<int64_t>(spec.count),
      tasks(pool.free.cpu_milli, use.cpu_milli, pool.capacity.cpu_milli,
            size.cpu_milli),
      tasks(pool.free.memory_mb, use.memory_mb, pool.capacity.memory_mb,
            size.memory_mb),
      tasks(pool.free.accelerators, use.accelerators,
            pool.capacity.accelerators, size.accelerators),
  }));
}

bool CellLeader::IsOverlooked(const Step& step, const PoolRoom& pool) const {
  const Resources size = RoomFor(*step.spec);
  const auto half_free = [](int64_t each, int64_t free, int64_t capacity) {
    return each <= 0 || 2 * free >= capacity;
  };
  return step.live_on.empty() &&
         context_.clock.Now() - step.ready_since > kReservedPatience &&
         half_free(size.cpu_milli, pool.free.cpu_milli,
                   pool.capacity.cpu_milli) &&
         half_free(size.memory_mb, pool.free.memory_mb,
                   pool.capacity.memory_mb) &&
         half_free(size.accelerators, pool.free.accelerators,
                   pool.capacity.accelerators);
}

}  // namespace chivedale::cell
