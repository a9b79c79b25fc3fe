// The order in which a FairQueue offers its items; a strategy object, so that
// measurements compare policies in one code path. FairQueue owns the items and
// their bounds; a policy holds only those that may be offered now.
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

// One item with the queue's own notes on it.
struct QueueEntry {
  QueuedItem item;
  QueueRow* row = nullptr;
  QueueItemState state = QueueItemState::kReady;
  int64_t passed_over = 0;
};

// Deadline order; items of one deadline in order of arrival.
struct ByDeadline {
  bool operator()(const QueueEntry* a, const QueueEntry* b) const {
    return a->item.deadline != b->item.deadline
               ? a->item.deadline < b->item.deadline
               : a->item.place < b->item.place;
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
  // All items of the row, whatever their state.
  int64_t queued = 0;
  double queued_cost = 0;
  std::set<QueueEntry*, ByDeadline> ready;
  // Served cost over weight; the row with the lowest is served next.
  double virtual_time = 0;
  // Served cost of the last seconds, decayed; for guaranteed shares.
  double recent = 0;
  util::TimePoint recent_at{};
  // Number of the last pop that looked at this row.
  uint64_t tried_in_pop = 0;
};

class QueuePolicy {
 public:
  using Fits = std::function<bool(const QueuedItem&)>;
  virtual ~QueuePolicy() = default;
  virtual void Add(QueueEntry& entry) = 0;
  virtual void Drop(QueueEntry& entry) = 0;
  // The entry to serve next, still held, or null. `passed` is called for the
  // first entry of each row that was tried before it and did not fit.
  virtual QueueEntry* Choose(
      const Fits& fits,
      const std::function<void(QueueEntry&)>& passed) = 0;
  // The chosen entry is served: charges its row.
  virtual void Charge(QueueEntry& entry) = 0;
  // Takes back the charge of an item that was not started.
  virtual void Refund(QueueRow& row, double charge) = 0;
  virtual void Settle(QueueRow& row, double difference) = 0;
  // Called around a change of the row's urgency or weight.
  virtual void Detach(QueueRow& row) = 0;
  virtual void Attach(QueueRow& row) = 0;
};

std::unique_ptr<QueuePolicy> MakeQueuePolicy(const util::Clock& clock,
                                             const FairQueue::Options& options);

}  // namespace chivedale

#endif  // CHIVEDALE_QUEUE_POLICY_H_
