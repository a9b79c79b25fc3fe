// Order in which a FairQueue offers its items. A strategy object, so that
// benchmarks can compare policies in the same code path. FairQueue owns the
// items and enforces their bounds; a policy holds only the items that may be
// offered now.
#ifndef CHIVEDALE_QUEUE_POLICY_H_
#define CHIVEDALE_QUEUE_POLICY_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "chivedale/fair_queue.h"

namespace chivedale {

enum class QueueItemState { kDelayed, kReady, kExpired };

struct QueueRow;

// An item with the bookkeeping of the queue.
struct QueueEntry {
  QueuedItem item;
  QueueRow* row = nullptr;
  QueueItemState state = QueueItemState::kReady;
  int64_t skip_count = 0;
};

// By deadline; items with the same deadline by arrival.
struct ByDeadline {
  bool operator()(const QueueEntry* a, const QueueEntry* b) const {
    return a->item.deadline != b->item.deadline
               ? a->item.deadline < b->item.deadline
               : a->item.arrival_order < b->item.arrival_order;
  }
};

struct QueueRow {
  std::string kind;
  uint64_t ordinal = 0;
  bool in_table = false;
  Urgency urgency = Urgency::kNormal;
  double weight = 1;
  double guaranteed_share = 0;
  int64_t max_queued = 0;
  // All items of the row in any state.
  int64_t queued = 0;
  double queued_cost = 0;
  std::set<QueueEntry*, ByDeadline> ready;
  // Served cost divided by weight; the row with the lowest value is served
  // next.
  double virtual_time = 0;
  // Exponentially decayed served cost, for guaranteed shares.
  double recent_cost = 0;
  util::TimePoint recent_cost_at{};
  // Sequence number of the last pop that examined this row.
  uint64_t tried_in_pop = 0;
};

class QueuePolicy {
 public:
  using Fits = std::function<bool(const QueuedItem&)>;
  virtual ~QueuePolicy() = default;
  virtual void Add(QueueEntry& entry) = 0;
  virtual void Drop(QueueEntry& entry) = 0;
  // Returns the entry to serve next without removing it, or null. If an entry
  // is returned, calls `skipped` with the first entry of each row whose first
  // entry `fits` rejected.
  virtual QueueEntry* Choose(
      const Fits& fits,
      const std::function<void(QueueEntry&)>& skipped) = 0;
  // Charges the row of an entry that is served.
  virtual void Charge(QueueEntry& entry) = 0;
  // Reverses the charge of an item that was not started.
  virtual void Refund(QueueRow& row, double charge) = 0;
  virtual void Settle(QueueRow& row, double difference) = 0;
  // Called before and after a change of the urgency or weight of the row.
  virtual void Detach(QueueRow& row) = 0;
  virtual void Attach(QueueRow& row) = 0;
};

std::unique_ptr<QueuePolicy> MakeQueuePolicy(const util::Clock& clock,
                                             const FairQueue::Options& options);

}  // namespace chivedale

#endif  // CHIVEDALE_QUEUE_POLICY_H_
