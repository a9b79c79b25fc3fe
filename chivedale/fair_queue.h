// Queue of the waiting work of one entry. Items of a row are ordered by
// deadline. Rows of one urgency share capacity by weight and are charged the
// learned cost of their work rather than the number of items. Urgency classes
// are served in order, with a reserve that prevents starvation of the later
// ones. Bounded per row and in total.
//
//   queue.SetTable(table);
//   queue.Push(item);
//   auto fits = [&](const QueuedItem& item) { return HasRoomFor(item.size); };
//   while (auto item = queue.PopFirst(fits)) {
//     Dispatch(*item);
//   }
#ifndef CHIVEDALE_FAIR_QUEUE_H_
#define CHIVEDALE_FAIR_QUEUE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/work.h"
#include "util/clock.h"

namespace chivedale {

struct QueuedItem {
  TaskId task;
  std::string kind;
  Urgency urgency = Urgency::kNormal;
  Resources size;
  // Expected cost from RunTimeModel::Cost, in seconds of a whole reference
  // worker. The unit of fairness.
  double cost = 1;
  util::TimePoint enqueued{};
  // Not started after this time.
  util::TimePoint deadline{};
  // Not offered before this time (backoff of a retry).
  util::TimePoint not_before{};
  // Set by the queue: sequence number of arrival and the cost charged to the
  // row.
  uint64_t arrival_order = 0;
  double charge = 0;
};

enum class QueuePolicyKind { kFairQueue, kFifo };

struct RowQueueState {
  std::string kind;
  int64_t queued = 0;
  util::Duration oldest_wait{0};
  double virtual_time = 0;
};

class FairQueue {
 public:
  struct Options {
    int64_t max_items = 100'000;
    // While several classes wait, at least this many tenths of the served cost
    // go to the classes after the first one that has waiting work, so that
    // expensive work is not starved.
    int reserve_per_ten = 1;
    QueuePolicyKind policy = QueuePolicyKind::kFairQueue;
    // An item that was skipped this many times for lack of room becomes a
    // candidate for a reservation.
    int64_t skip_limit = 20;
  };

  FairQueue(const util::Clock& clock, Options options);
  ~FairQueue();
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  // Commands.
  void SetTable(const Table& table);
  // Throws Error(kQueueFull) if the limit of the row or of the queue is
  // reached.
  void Push(QueuedItem item);
  // Puts an item that an owner refused, or accepted work that is enqueued
  // again, into the queue without checking the limits. A refused item keeps its
  // position, and its charge is refunded.
  void PutBack(QueuedItem item);
  // Removes and returns the first item in service order for which `fits`
  // returns true. An item that does not fit does not block items of other rows.
  // The number of `fits` calls per row is bounded.
  std::optional<QueuedItem> PopFirst(
      const std::function<bool(const QueuedItem&)>& fits);
  // Returns false if the task is not queued.
  bool Remove(const TaskId& task);
  // Removes and returns all items whose deadline has passed.
  std::vector<QueuedItem> TakeExpired();
  // Corrects the charge of a row once the actual cost of the work is known.
  void SettleCost(const std::string& kind, double expected, double actual);

  // Queries.
  int64_t size() const;
  // Whether Push would throw for this kind.
  bool IsFull(const std::string& kind) const;
  // Returns the item that arrived first among those that were skipped at least
  // `skip_limit` times for lack of capacity and for which `eligible` returns
  // true (a row at its limit needs no reservation), or nothing if there is
  // none. The caller reserves capacity for it.
  std::optional<QueuedItem> ReservationCandidate(
      const std::function<bool(const QueuedItem&)>& eligible = {}) const;
  int64_t QueuedOf(const std::string& kind) const;
  std::vector<RowQueueState> Rows() const;
  // Cost queued ahead of a new item of this row, for wait estimates.
  double CostAhead(const std::string& kind) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_FAIR_QUEUE_H_
