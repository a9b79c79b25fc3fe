// Capacity committed on one worker: attempts in every state, and holds of
// gangs. An attempt counts until it is known to have ended.
//
//   if (size.FitsIn(allocations.Free())) allocations.Add(attempt);
#ifndef CHIVEDALE_WORKER_ALLOCATIONS_H_
#define CHIVEDALE_WORKER_ALLOCATIONS_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/ports.h"
#include "chivedale/resources.h"
#include "util/clock.h"

namespace chivedale {

enum class AttemptState {
  kStarting,  // start sent, no outcome yet
  kUnknown,   // start sent, outcome lost
  kRunning,
};

class WorkerAllocations {
 public:
  struct Item {
    Resources size;
    AttemptState state = AttemptState::kStarting;
    util::TimePoint since{};
  };

  // Commands.
  // The reported capacity may be below the committed capacity; nothing fits
  // then until work ends.
  void SetReport(const WorkerReport& report, util::TimePoint now);
  void Add(const TaskKey& key, const Item& item);
  void SetState(const TaskKey& key, AttemptState state);
  // The attempt is known to have ended or not to have started.
  void Remove(const TaskKey& key);
  // Reserves capacity for `count` tasks of `size` until `expires`.
  void AddHold(uint64_t hold,
               const Resources& size,
               int64_t count,
               util::TimePoint expires);
  // Takes the capacity of one task out of a hold, so that it becomes free.
  // Returns false if the hold has none left on this worker.
  bool TakeFromHold(uint64_t hold);
  // Extends a hold and returns the number of tasks that it still reserves here.
  int64_t RenewHold(uint64_t hold, util::TimePoint expires);
  void ReleaseHold(uint64_t hold);
  // Returns whether a hold expired.
  bool ExpireHolds(util::TimePoint now);
  // Drops attempts and holds; another owner accounts for them.
  void Clear();

  // Queries.
  const Resources& capacity() const { return capacity_; }
  const Resources& committed() const { return committed_; }
  const Resources& used() const { return report_.used; }
  // Capacity for new work; no component is negative.
  Resources Free() const;
  bool over_committed() const { return !committed_.FitsIn(capacity_); }
  bool empty() const { return items_.empty(); }
  bool Has(const TaskKey& key) const { return items_.count(key) != 0; }
  const std::unordered_map<TaskKey, Item>& items() const { return items_; }
  int64_t starting() const { return starting_; }
  int64_t size() const { return static_cast<int64_t>(items_.size()); }

 private:
  struct HeldCapacity {
    Resources size;
    int64_t count = 0;
    util::TimePoint expires{};
  };

  void CountState(AttemptState state, int64_t change);

  Resources capacity_;
  Resources committed_;
  WorkerReport report_;
  util::TimePoint measured_{};
  std::unordered_map<TaskKey, Item> items_;
  std::map<uint64_t, HeldCapacity> holds_;
  int64_t starting_ = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_WORKER_ALLOCATIONS_H_
