// Urgent jobs arrive in bursts, and preempted resources become available only
// when the stops have completed. So less urgent steps whose objective is not at
// risk leave free, up to kMaxHeadroomShare of their pool, as much as the most
// urgent queues of the table have recently used there, because a burst doubles
// their load. Pools without such queues have no headroom.
#include <algorithm>
#include <limits>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

constexpr Millis kMeasureInterval{200};
// Weight of the newest measurement; with the interval, a time constant of about
// 2 s.
constexpr double kSmoothingWeight = 0.1;
// Share of a pool. More would waste capacity that batch jobs need over a day.
constexpr double kMaxHeadroomShare = 0.2;
// A step with less time left than this multiple of the declared run time of its
// job's critical path ignores the headroom.
constexpr double kMinSlackFactor = 1.2;

// A step without a live run that became ready longer ago than this, or one of
// which a long-running task has waited for its restart as long, may also use
// reserved executors if at least half of its pool is free. Otherwise a
// reservation that waits for one long task would leave the pool visibly idle.
constexpr Millis kStarvationTime{1'500};

int64_t Smoothed(int64_t before, int64_t now) {
  return before + static_cast<int64_t>(kSmoothingWeight *
                                       static_cast<double>(now - before));
}

int64_t Capped(int64_t use, int64_t capacity) {
  return std::min(use, static_cast<int64_t>(kMaxHeadroomShare *
                                            static_cast<double>(capacity)));
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
      if (run.step == nullptr || run.step->spec->long_running) {
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

int CellLeader::MaxStartsWithinHeadroom(const Step& step,
                                        const PoolState& pool) const {
  const StepSpec& spec = *step.spec;
  const QueuePolicy& policy = PolicyOf(*step.job);
  const auto top = urgent_priority_.find(policy.pool);
  const auto needed = std::chrono::duration_cast<Duration>(
      step.job->ChainEstimate() * kMinSlackFactor);
  if (top == urgent_priority_.end() || policy.priority <= top->second ||
      pool.usable.empty() || spec.long_running ||
      context_.clock.Now() + needed > step.objective) {
    return spec.count;
  }
  const Resources& use = urgent_use_.at(policy.pool);
  const Resources size = ResourcesFor(spec);
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

bool CellLeader::IsStarved(const Step& step, const PoolState& pool) const {
  const Resources size = ResourcesFor(*step.spec);
  const auto half_free = [](int64_t each, int64_t free, int64_t capacity) {
    return each <= 0 || 2 * free >= capacity;
  };
  const TimePoint now = context_.clock.Now();
  if (step.HasWaitedForRestart(kMaxRestartWait, now)) {
    return true;
  }
  const bool idle =
      step.live_on.empty() && now - step.ready_since > kStarvationTime;
  return (idle || step.HasWaitedForRestart(kStarvationTime, now)) &&
         half_free(size.cpu_milli, pool.free.cpu_milli,
                   pool.capacity.cpu_milli) &&
         half_free(size.memory_mb, pool.free.memory_mb,
                   pool.capacity.memory_mb) &&
         half_free(size.accelerators, pool.free.accelerators,
                   pool.capacity.accelerators);
}

}  // namespace chivedale::cell
