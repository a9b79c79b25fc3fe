// Start-time fair queueing per urgency class: the row with the lowest virtual
// time is served and charged cost / weight. A row that becomes busy starts at
// the virtual time of its class, so that it earns no credit while idle. A row
// that is blocked only because its items do not fit keeps its virtual time, but
// lags at most kMaxLag, so that it cannot monopolize the cell afterwards.
#include "chivedale/queue_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace chivedale {
namespace {

constexpr int kClasses = 3;
// Bounds per row and pop on the items scanned and on the sizes tried.
constexpr int kMaxScannedPerRow = 16;
constexpr int kMaxSizesTriedPerRow = 4;
// Maximum lag of a row in virtual time (cost / weight): 30 s of a whole
// reference worker at weight 1.
constexpr double kMaxLag = 30;
// Decay time of the served cost that counts towards guaranteed shares.
constexpr double kServedCostDecaySeconds = 10;
// Denominator of FairQueue::Options::reserve_per_ten.
constexpr double kReserveUnits = 10;
// Upper bound of the cost owed to later classes, which would otherwise grow
// while they have nothing that fits; one second of a reference worker.
constexpr double kMaxOwedCost = 1;
constexpr int kCreditCostPerPop = 10;
// While urgent work waits, each pop adds this many credits, and a pop by a
// guaranteed row of a later class costs kCreditCostPerPop: such rows get at
// most five pops out of ten.
constexpr int kGuaranteedPopsPerTen = 5;

struct ByVirtualTime {
  bool operator()(const QueueRow* a, const QueueRow* b) const {
    return a->virtual_time != b->virtual_time
               ? a->virtual_time < b->virtual_time
               : a->ordinal < b->ordinal;
  }
};

struct ByOrdinal {
  bool operator()(const QueueRow* a, const QueueRow* b) const {
    return a->ordinal < b->ordinal;
  }
};

struct ClassState {
  std::set<QueueRow*, ByVirtualTime> busy;
  double virtual_time = 0;
  // Pops of other classes since this class was last served while it waited.
  int64_t pops_waited = 0;
};

class FairPolicy final : public QueuePolicy {
 public:
  FairPolicy(const util::Clock& clock, int reserve_per_ten)
      : clock_(clock), reserve_(std::clamp(reserve_per_ten, 0, 9)) {}

  void Add(QueueEntry& entry) override {
    QueueRow& row = *entry.row;
    const bool was_idle = row.ready.empty();
    row.ready.insert(&entry);
    if (was_idle) {
      Attach(row);
    }
  }

  void Drop(QueueEntry& entry) override {
    QueueRow& row = *entry.row;
    if (row.ready.size() == 1) {
      Detach(row);
    }
    row.ready.erase(&entry);
  }

  QueueEntry* Choose(const Fits& fits,
                     const std::function<void(QueueEntry&)>& skipped) override {
    ++pop_;
    tried_.clear();
    QueueEntry* chosen = ChooseGuaranteed(fits);
    if (chosen == nullptr) {
      chosen = ChooseByClass(fits);
    }
    if (chosen != nullptr) {
      for (QueueEntry* first : tried_) {
        skipped(*first);
      }
    }
    return chosen;
  }

  void Charge(QueueEntry& entry) override {
    QueueRow& row = *entry.row;
    ClassState& state = ClassOf(row);
    CountClasses(row);
    CountReserve(row, entry.item.cost);
    state.virtual_time = std::max(state.virtual_time, row.virtual_time);
    entry.item.charge = entry.item.cost / row.weight;
    Shift(row, entry.item.charge);
    AddRecentCost(row, entry.item.cost);
  }

  void Refund(QueueRow& row, double charge) override {
    Shift(row, -charge);
    AddRecentCost(row, -charge * row.weight);
  }

  void Settle(QueueRow& row, double difference) override {
    Shift(row, difference / row.weight);
    AddRecentCost(row, difference);
  }

  void Detach(QueueRow& row) override {
    ClassState& state = ClassOf(row);
    state.busy.erase(&row);
    if (state.busy.empty()) {
      state.virtual_time = std::max(state.virtual_time, row.virtual_time);
      state.pops_waited = 0;
    }
    guaranteed_.erase(&row);
  }

  void Attach(QueueRow& row) override {
    if (row.ready.empty()) {
      return;
    }
    ClassState& state = ClassOf(row);
    row.virtual_time = std::max(row.virtual_time, state.virtual_time);
    state.busy.insert(&row);
    if (row.guaranteed_share > 0) {
      guaranteed_.insert(&row);
    }
  }

 private:
  ClassState& ClassOf(const QueueRow& row) {
    return classes_[static_cast<size_t>(row.urgency)];
  }

  void Shift(QueueRow& row, double difference) {
    ClassState& state = ClassOf(row);
    const bool busy = state.busy.erase(&row) > 0;
    row.virtual_time =
        std::max(row.virtual_time + difference, state.virtual_time - kMaxLag);
    if (busy) {
      state.busy.insert(&row);
    }
  }

  double Decay(util::TimePoint since) const {
    const std::chrono::duration<double> age = clock_.Now() - since;
    return std::exp(-age.count() / kServedCostDecaySeconds);
  }

  void AddRecentCost(QueueRow& row, double cost) {
    const util::TimePoint now = clock_.Now();
    row.recent_cost =
        std::max(0.0, row.recent_cost * Decay(row.recent_cost_at) + cost);
    row.recent_cost_at = now;
    recent_cost_ = std::max(0.0, recent_cost_ * Decay(recent_cost_at_) + cost);
    recent_cost_at_ = now;
  }

  // Returns the first item of the row that fits. Within a row an item at least
  // as large as one that did not fit is not tried.
  QueueEntry* TryRow(QueueRow& row, const Fits& fits) {
    if (row.tried_in_pop == pop_) {
      return nullptr;
    }
    row.tried_in_pop = pop_;
    std::array<const Resources*, kMaxSizesTriedPerRow> failed;
    int failures = 0;
    int scanned = 0;
    for (QueueEntry* entry : row.ready) {
      if (++scanned > kMaxScannedPerRow) {
        break;
      }
      const Resources& size = entry->item.size;
      const bool covered_by_failure =
          std::any_of(failed.begin(), failed.begin() + failures,
                      [&](const Resources* f) { return f->FitsIn(size); });
      if (covered_by_failure) {
        continue;
      }
      if (fits(entry->item)) {
        if (failures > 0) {
          tried_.push_back(*row.ready.begin());
        }
        return entry;
      }
      failed[static_cast<size_t>(failures++)] = &size;
      if (failures == kMaxSizesTriedPerRow) {
        break;
      }
    }
    tried_.push_back(*row.ready.begin());
    return nullptr;
  }

  QueueEntry* TryClass(ClassState& state, const Fits& fits) {
    for (QueueRow* row : state.busy) {
      if (QueueEntry* entry = TryRow(*row, fits)) {
        return entry;
      }
    }
    return nullptr;
  }

  // Chooses from rows that got less than their guaranteed share of the served
  // cost.
  QueueEntry* ChooseGuaranteed(const Fits& fits) {
    if (guaranteed_.empty()) {
      return nullptr;
    }
    const bool urgent_waits = !classes_[0].busy.empty();
    if (urgent_waits) {
      guaranteed_credit_ = std::min(guaranteed_credit_ + kGuaranteedPopsPerTen,
                                    2 * kCreditCostPerPop);
    }
    const double total = recent_cost_ * Decay(recent_cost_at_);
    for (QueueRow* row : guaranteed_) {
      const double got = row->recent_cost * Decay(row->recent_cost_at);
      if (got >= row->guaranteed_share * total) {
        continue;
      }
      const bool takes_credit =
          urgent_waits && row->urgency != Urgency::kUrgent;
      if (takes_credit && guaranteed_credit_ < kCreditCostPerPop) {
        continue;
      }
      if (QueueEntry* entry = TryRow(*row, fits)) {
        guaranteed_credit_ -= takes_credit ? kCreditCostPerPop : 0;
        return entry;
      }
    }
    return nullptr;
  }

  QueueEntry* ChooseByClass(const Fits& fits) {
    size_t first = 0;
    while (first < kClasses && classes_[first].busy.empty()) {
      ++first;
    }
    if (first == kClasses) {
      return nullptr;
    }
    std::array<size_t, kClasses> later_classes{};
    size_t waiting = 0;
    for (size_t c = first + 1; c < kClasses; ++c) {
      if (!classes_[c].busy.empty()) {
        later_classes[waiting++] = c;
      }
    }
    if (waiting > 0) {
      if (owed_cost_ > 0) {
        std::sort(later_classes.begin(), later_classes.begin() + waiting,
                  [this](size_t a, size_t b) {
                    return classes_[a].pops_waited > classes_[b].pops_waited;
                  });
        for (size_t i = 0; i < waiting; ++i) {
          if (QueueEntry* entry = TryClass(classes_[later_classes[i]], fits)) {
            return entry;
          }
        }
      }
    }
    for (size_t c = first; c < kClasses; ++c) {
      if (QueueEntry* entry = TryClass(classes_[c], fits)) {
        return entry;
      }
    }
    return nullptr;
  }

  // The reserve is measured in cost, not pops: one expensive item per nine
  // urgent ones would take most of the cell from urgent work at a demand peak.
  void CountReserve(const QueueRow& served, double cost) {
    size_t first = 0;
    size_t busy = 0;
    for (size_t c = kClasses; c-- > 0;) {
      if (!classes_[c].busy.empty()) {
        first = c;
        ++busy;
      }
    }
    if (busy < 2) {
      return;
    }
    if (static_cast<size_t>(served.urgency) == first) {
      const double reserve_ratio = reserve_ / (kReserveUnits - reserve_);
      owed_cost_ = std::min(owed_cost_ + cost * reserve_ratio, kMaxOwedCost);
    } else {
      owed_cost_ -= cost;
    }
  }

  void CountClasses(const QueueRow& served) {
    for (ClassState& state : classes_) {
      if (!state.busy.empty()) {
        ++state.pops_waited;
      }
    }
    ClassOf(served).pops_waited = 0;
  }

  const util::Clock& clock_;
  const int reserve_;
  std::array<ClassState, kClasses> classes_;
  std::set<QueueRow*, ByOrdinal> guaranteed_;
  // Cost owed to later classes for earlier ones that were served.
  double owed_cost_ = 0;
  int guaranteed_credit_ = 0;
  double recent_cost_ = 0;
  util::TimePoint recent_cost_at_{};
  // First items of the rows tried in this pop in which an item did not fit.
  std::vector<QueueEntry*> tried_;
  uint64_t pop_ = 0;
};

// Strict arrival order: an item that does not fit blocks all items behind it.
class FifoPolicy final : public QueuePolicy {
 public:
  void Add(QueueEntry& entry) override { order_.insert(&entry); }
  void Drop(QueueEntry& entry) override { order_.erase(&entry); }
  QueueEntry* Choose(const Fits& fits,
                     const std::function<void(QueueEntry&)>&) override {
    if (order_.empty() || !fits((*order_.begin())->item)) {
      return nullptr;
    }
    return *order_.begin();
  }
  void Charge(QueueEntry&) override {}
  void Refund(QueueRow&, double) override {}
  void Settle(QueueRow&, double) override {}
  void Detach(QueueRow&) override {}
  void Attach(QueueRow&) override {}

 private:
  struct ByArrival {
    bool operator()(const QueueEntry* a, const QueueEntry* b) const {
      return a->item.arrival_order < b->item.arrival_order;
    }
  };
  std::set<QueueEntry*, ByArrival> order_;
};

}  // namespace

std::unique_ptr<QueuePolicy> MakeQueuePolicy(
    const util::Clock& clock,
    const FairQueue::Options& options) {
  if (options.policy == QueuePolicyKind::kFifo) {
    return std::make_unique<FifoPolicy>();
  }
  return std::make_unique<FairPolicy>(clock, options.reserve_per_ten);
}

}  // namespace chivedale
