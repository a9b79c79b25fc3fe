#include "chivedale/worker_allocations.h"

#include <algorithm>

// Tasks may use more than their declared size. The worker's usage report shows
// this, but with a delay, so tasks that started after the measurement are added
// to it. The larger of reported and committed use determines the free capacity.
namespace chivedale {
namespace {

Resources AtLeastZero(const Resources& r) {
  return {std::max<int64_t>(r.cpu_milli, 0), std::max<int64_t>(r.memory_mb, 0),
          std::max<int64_t>(r.accelerators, 0), std::max<int64_t>(r.slots, 0)};
}

Resources Times(const Resources& r, int64_t count) {
  return {r.cpu_milli * count, r.memory_mb * count, r.accelerators * count,
          r.slots * count};
}

}  // namespace

void WorkerAllocations::SetReport(const WorkerReport& report,
                                  util::TimePoint now) {
  report_ = report;
  capacity_ = report.capacity;
  measured_ = now - report.lag;
}

void WorkerAllocations::Add(const TaskKey& key, const Item& item) {
  Remove(key);
  items_.emplace(key, item);
  committed_ += item.size;
  CountState(item.state, 1);
}

void WorkerAllocations::SetState(const TaskKey& key, AttemptState state) {
  auto it = items_.find(key);
  if (it == items_.end()) {
    return;
  }
  CountState(it->second.state, -1);
  it->second.state = state;
  CountState(state, 1);
}

void WorkerAllocations::Remove(const TaskKey& key) {
  auto it = items_.find(key);
  if (it == items_.end()) {
    return;
  }
  committed_ -= it->second.size;
  CountState(it->second.state, -1);
  items_.erase(it);
}

void WorkerAllocations::CountState(AttemptState state, int64_t change) {
  if (state == AttemptState::kStarting) {
    starting_ += change;
  }
}

void WorkerAllocations::AddHold(uint64_t hold,
                                const Resources& size,
                                int64_t count,
                                util::TimePoint expires) {
  HeldCapacity& held = holds_[hold];
  held.size = size;
  held.count += count;
  held.expires = expires;
  committed_ += Times(size, count);
}

bool WorkerAllocations::TakeFromHold(uint64_t hold) {
  auto it = holds_.find(hold);
  if (it == holds_.end() || it->second.count == 0) {
    return false;
  }
  --it->second.count;
  committed_ -= it->second.size;
  return true;
}

int64_t WorkerAllocations::RenewHold(uint64_t hold, util::TimePoint expires) {
  auto it = holds_.find(hold);
  if (it == holds_.end()) {
    return 0;
  }
  it->second.expires = expires;
  return it->second.count;
}

void WorkerAllocations::ReleaseHold(uint64_t hold) {
  auto it = holds_.find(hold);
  if (it == holds_.end()) {
    return;
  }
  committed_ -= Times(it->second.size, it->second.count);
  holds_.erase(it);
}

bool WorkerAllocations::ExpireHolds(util::TimePoint now) {
  bool expired = false;
  for (auto it = holds_.begin(); it != holds_.end();) {
    auto next = std::next(it);
    if (it->second.expires <= now) {
      ReleaseHold(it->first);
      expired = true;
    }
    it = next;
  }
  return expired;
}

void WorkerAllocations::Clear() {
  items_.clear();
  holds_.clear();
  committed_ = Resources();
  starting_ = 0;
}

Resources WorkerAllocations::Free() const {
  Resources free = capacity_ - committed_;
  const bool reports_use =
      report_.used.cpu_milli > 0 || report_.used.memory_mb > 0;
  if (reports_use) {
    Resources unmeasured;
    for (const auto& [key, item] : items_) {
      if (item.since >= measured_) {
        unmeasured += item.size;
      }
    }
    const Resources measured_free = capacity_ - report_.used - unmeasured;
    free.cpu_milli = std::min(free.cpu_milli, measured_free.cpu_milli);
    free.memory_mb = std::min(free.memory_mb, measured_free.memory_mb);
  }
  return AtLeastZero(free);
}

}  // namespace chivedale
