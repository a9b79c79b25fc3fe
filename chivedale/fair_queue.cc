// Each item is in a hash table by task and in two ordered sets: one by deadline
// over all items, for TakeExpired, and one for its state (delayed items by
// not_before, ready items in the policy, expired items by arrival). Remove,
// TakeExpired and the end of a backoff therefore take logarithmic time and
// never scan.
#include "chivedale/fair_queue.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

#include "chivedale/error.h"
#include "chivedale/queue_policy.h"

namespace chivedale {
namespace {

// A weight of zero would make a row's charge infinite.
constexpr double kMinWeight = 1e-3;
// A cost of zero would let a row be served without limit.
constexpr double kMinCost = 1e-6;

struct ByNotBefore {
  bool operator()(const QueueEntry* a, const QueueEntry* b) const {
    return a->item.not_before != b->item.not_before
               ? a->item.not_before < b->item.not_before
               : a->item.arrival_order < b->item.arrival_order;
  }
};

struct ByArrival {
  bool operator()(const QueueEntry* a, const QueueEntry* b) const {
    return a->item.arrival_order < b->item.arrival_order;
  }
};

}  // namespace

struct FairQueue::Impl {
  Impl(const util::Clock& clock_in, Options options_in)
      : clock(clock_in),
        options(options_in),
        policy(MakeQueuePolicy(clock_in, options_in)) {}

  QueueRow& RowOf(const QueuedItem& item) {
    auto [it, inserted] = rows.try_emplace(item.kind);
    if (inserted) {
      it->second.kind = item.kind;
      it->second.ordinal = ++last_ordinal;
      it->second.urgency = item.urgency;
      it->second.max_queued = RowLimits().max_queued;
    }
    return it->second;
  }

  void ForgetIfUnused(QueueRow& row) {
    if (!row.in_table && row.queued == 0) {
      rows.erase(std::string(row.kind));
    }
  }

  void Insert(QueuedItem item) {
    QueueRow& row = RowOf(item);
    const TaskId task = item.task;
    QueueEntry& entry = entries[task];
    entry.item = std::move(item);
    entry.row = &row;
    ++row.queued;
    row.queued_cost += entry.item.cost;
    by_deadline.insert(&entry);
    if (entry.item.not_before > clock.Now()) {
      entry.state = QueueItemState::kDelayed;
      delayed.insert(&entry);
    } else {
      entry.state = QueueItemState::kReady;
      policy->Add(entry);
    }
  }

  // Removes the entry from the set of its state.
  void Unlink(QueueEntry& entry) {
    switch (entry.state) {
      case QueueItemState::kDelayed:
        delayed.erase(&entry);
        break;
      case QueueItemState::kReady:
        policy->Drop(entry);
        break;
      case QueueItemState::kExpired:
        expired.erase(&entry);
        break;
    }
  }

  QueuedItem Extract(QueueEntry& entry) {
    Unlink(entry);
    by_deadline.erase(&entry);
    blocked.erase(&entry);
    QueueRow& row = *entry.row;
    --row.queued;
    row.queued_cost =
        row.queued == 0 ? 0 : std::max(0.0, row.queued_cost - entry.item.cost);
    const TaskId task = entry.item.task;
    QueuedItem item = std::move(entry.item);
    entries.erase(task);
    ForgetIfUnused(row);
    return item;
  }

  void Advance() {
    const util::TimePoint now = clock.Now();
    while (!by_deadline.empty() &&
           (*by_deadline.begin())->item.deadline < now) {
      QueueEntry& entry = **by_deadline.begin();
      by_deadline.erase(by_deadline.begin());
      Unlink(entry);
      blocked.erase(&entry);
      entry.state = QueueItemState::kExpired;
      expired.insert(&entry);
    }
    while (!delayed.empty() && (*delayed.begin())->item.not_before <= now) {
      QueueEntry& entry = **delayed.begin();
      delayed.erase(delayed.begin());
      entry.state = QueueItemState::kReady;
      policy->Add(entry);
    }
  }

  void OnSkipped(QueueEntry& entry) {
    if (++entry.skip_count >= options.skip_limit) {
      blocked.insert(&entry);
    }
  }

  bool IsFull(const std::string& kind) const {
    if (static_cast<int64_t>(entries.size()) >= options.max_items) {
      return true;
    }
    auto it = rows.find(kind);
    return it != rows.end() && it->second.max_queued > 0 &&
           it->second.queued >= it->second.max_queued;
  }

  const util::Clock& clock;
  const Options options;
  std::unique_ptr<QueuePolicy> policy;
  std::map<std::string, QueueRow> rows;
  std::unordered_map<TaskId, QueueEntry> entries;
  // All items except expired ones.
  std::set<QueueEntry*, ByDeadline> by_deadline;
  std::set<QueueEntry*, ByNotBefore> delayed;
  std::set<QueueEntry*, ByArrival> expired;
  std::set<QueueEntry*, ByArrival> blocked;
  uint64_t last_arrival_order = 0;
  uint64_t last_ordinal = 0;
};

FairQueue::FairQueue(const util::Clock& clock, Options options)
    : impl_(std::make_unique<Impl>(clock, options)) {}
FairQueue::~FairQueue() = default;

void FairQueue::SetTable(const Table& table) {
  for (const auto& [kind, work] : table.rows) {
    QueuedItem key;
    key.kind = kind;
    key.urgency = work.urgency;
    QueueRow& row = impl_->RowOf(key);
    impl_->policy->Detach(row);
    row.in_table = true;
    row.urgency = work.urgency;
    row.weight = std::max(work.weight, kMinWeight);
    row.guaranteed_share = work.guaranteed_share;
    row.max_queued = work.limits.max_queued;
    impl_->policy->Attach(row);
  }
  for (auto it = impl_->rows.begin(); it != impl_->rows.end();) {
    QueueRow& row = (it++)->second;
    if (table.FindRow(row.kind) == nullptr) {
      row.in_table = false;
      impl_->ForgetIfUnused(row);
    }
  }
}

void FairQueue::Push(QueuedItem item) {
  if (impl_->entries.count(item.task) > 0) {
    throw Error(ErrorKind::kInternal,
                "task '" + item.task.str() + "' is already queued");
  }
  if (impl_->IsFull(item.kind)) {
    throw Error(ErrorKind::kQueueFull,
                "the queue of kind '" + item.kind + "' is full");
  }
  item.arrival_order = ++impl_->last_arrival_order;
  item.cost = std::max(item.cost, kMinCost);
  item.charge = 0;
  impl_->Insert(std::move(item));
}

void FairQueue::PutBack(QueuedItem item) {
  if (impl_->entries.count(item.task) > 0) {
    throw Error(ErrorKind::kInternal,
                "task '" + item.task.str() + "' is already queued");
  }
  if (item.arrival_order == 0) {
    item.arrival_order = ++impl_->last_arrival_order;
  }
  item.cost = std::max(item.cost, kMinCost);
  const double charge = std::exchange(item.charge, 0);
  // Refunded before the insertion: the row then starts at or after the virtual
  // time of its class, so that a refused start earns no credit.
  impl_->policy->Refund(impl_->RowOf(item), charge);
  impl_->Insert(std::move(item));
}

std::optional<QueuedItem> FairQueue::PopFirst(
    const std::function<bool(const QueuedItem&)>& fits) {
  impl_->Advance();
  QueueEntry* entry = impl_->policy->Choose(
      fits, [this](QueueEntry& skipped) { impl_->OnSkipped(skipped); });
  if (entry == nullptr) {
    return std::nullopt;
  }
  impl_->policy->Charge(*entry);
  return impl_->Extract(*entry);
}

bool FairQueue::Remove(const TaskId& task) {
  auto it = impl_->entries.find(task);
  if (it == impl_->entries.end()) {
    return false;
  }
  impl_->Extract(it->second);
  return true;
}

std::vector<QueuedItem> FairQueue::TakeExpired() {
  impl_->Advance();
  std::vector<QueuedItem> taken;
  taken.reserve(impl_->expired.size());
  while (!impl_->expired.empty()) {
    taken.push_back(impl_->Extract(**impl_->expired.begin()));
  }
  return taken;
}

void FairQueue::SettleCost(const std::string& kind,
                           double expected,
                           double actual) {
  auto it = impl_->rows.find(kind);
  if (it != impl_->rows.end()) {
    impl_->policy->Settle(it->second, actual - expected);
  }
}

int64_t FairQueue::size() const {
  return static_cast<int64_t>(impl_->entries.size());
}

bool FairQueue::IsFull(const std::string& kind) const {
  return impl_->IsFull(kind);
}

std::optional<QueuedItem> FairQueue::ReservationCandidate(
    const std::function<bool(const QueuedItem&)>& eligible) const {
  for (const QueueEntry* entry : impl_->blocked) {
    if (!eligible || eligible(entry->item)) {
      return entry->item;
    }
  }
  return std::nullopt;
}

int64_t FairQueue::QueuedOf(const std::string& kind) const {
  auto it = impl_->rows.find(kind);
  return it == impl_->rows.end() ? 0 : it->second.queued;
}

std::vector<RowQueueState> FairQueue::Rows() const {
  std::map<std::string, RowQueueState> states;
  for (const auto& [kind, row] : impl_->rows) {
    states[kind] = {kind, row.queued, util::Duration(0), row.virtual_time};
  }
  const util::TimePoint now = impl_->clock.Now();
  for (const auto& [task, entry] : impl_->entries) {
    util::Duration& oldest = states[entry.item.kind].oldest_wait;
    oldest = std::max(oldest, now - entry.item.enqueued);
  }
  std::vector<RowQueueState> rows;
  rows.reserve(states.size());
  for (auto& [kind, state] : states) {
    rows.push_back(std::move(state));
  }
  return rows;
}

double FairQueue::CostAhead(const std::string& kind) const {
  auto found = impl_->rows.find(kind);
  if (found == impl_->rows.end()) {
    return 0;
  }
  const QueueRow& queue_row = found->second;
  double ahead = queue_row.queued_cost;
  for (const auto& [name, row] : impl_->rows) {
    if (&row == &queue_row || row.queued == 0) {
      continue;
    }
    if (row.urgency < queue_row.urgency) {
      ahead += row.queued_cost;
    } else if (row.urgency == queue_row.urgency) {
      ahead += std::min(row.queued_cost,
                        queue_row.queued_cost * row.weight / queue_row.weight);
    }
  }
  return ahead;
}

}  // namespace chivedale
