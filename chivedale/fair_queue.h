// The waiting work of one entry. Items of a row wait in deadline order; rows
// of one urgency share by weight, charged with the learned cost of their work
// rather than with its count; urgency classes are served in order, with a
// reserve that keeps the later ones moving. Bounded per row and in all.
//
//   queue.SetTable(table);
//   queue.Push(item);
//   while (auto id = queue.PopFirst([&](const QueuedItem& item) {
//     return HasRoomFor(item.size); })) Dispatch(*id);
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
  // Processor-time or slot-time that the work is expected to take; the unit of
  // fairness. From RunTimeModel, in seconds of the dominant resource.
  double cost = 1;
  util::TimePoint enqueued{};
  // Not started after this.
  util::TimePoint deadline{};
  // Not offered before this (backoff of a retry).
  util::TimePoint not_before{};
  // Set by the queue: the order of arrival, and what its row was charged.
  uint64_t place = 0;
  double charge = 0;
};

enum class QueuePolicyKind { kOurs, kFifo };

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
    // Of ten parts of served cost while several classes wait, at least this
    // many go to classes after the first, so that heavy work is not starved.
    int reserve_per_ten = 1;
    QueuePolicyKind policy = QueuePolicyKind::kOurs;
    // An item that was passed over this often for want of room becomes a
    // candidate for a reservation.
    int64_t passed_over_limit = 20;
  };

  FairQueue(const util::Clock& clock, Options options);
  ~FairQueue();
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  // Commands.
  void SetTable(const Table& table);
  // Throws Error(kQueueFull) when the row's or the whole bound is reached.
  void Push(QueuedItem item);
  // Puts back an item that an owner refused; it keeps its place and its row is
  // not charged twice. Never refused.
  void PutBack(QueuedItem item);
  // Removes and returns the most deserving item for which `fits` holds. An item
  // that does not fit does not block items of other rows. Calls `fits` at most
  // a bounded number of times per row.
  std::optional<QueuedItem> PopFirst(
      const std::function<bool(const QueuedItem&)>& fits);
  // False when it was not there.
  bool Remove(const TaskId& task);
  // Removes and returns all whose deadline has passed.
  std::vector<QueuedItem> TakeExpired();
  // Corrects a row's charge when the work's true cost is known.
  void SettleCost(const std::string& kind, double expected, double actual);

  // Queries.
  int64_t size() const;
  // Whether Push would throw for this kind.
  bool IsFull(const std::string& kind) const;
  // The item that was passed over for want of room the longest and for which
  // `eligible` holds (a row at its limit needs no room kept). The caller keeps
  // room for it. Nothing when none reached the limit.
  std::optional<QueuedItem> BlockedLarge(
      const std::function<bool(const QueuedItem&)>& eligible = {}) const;
  int64_t QueuedOf(const std::string& kind) const;
  std::vector<RowQueueState> Rows() const;
  // Cost waiting ahead of a new item of this row, for wait estimates.
  double CostAhead(const std::string& kind) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_FAIR_QUEUE_H_
