// Start-time fair queueing per urgency class: the row with the lowest virtual
// time is served, and pays cost / weight. A row that becomes busy starts at
// the class's virtual time, so that it saves up no credit while idle. A row
// that is only blocked (its items do not fit) keeps its place, but at most
// kMaxLag behind, so that it cannot monopolise the cell afterwards.
#include "chivedale/queue_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace chivedale {
namespace {

constexpr int kClasses = 3;
// Items of one row that are looked at, and sizes that are tried, in one pop.
constexpr int kLooksPerRow = 16;
constexpr int kFitsPerRow = 4;
// In units of cost / weight; 30 s of a whole reference worker.
constexpr double kMaxLag = 30;
// Served cost counts towards guaranteed shares for about this long.
constexpr double kRecentSeconds = 10;
constexpr double kWhole = 10;
// More is not saved up while later classes have nothing that fits; one second
// of a reference worker.
constexpr double kMaxOwed = 1;
constexpr int kCreditPerPop = 10;
// While urgent work waits, guaranteed rows of later classes get at most this
// many of ten pops.
constexpr int kGuaranteedPerTen = 5;

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
  // Pops of other classes since this one was served while it waited.
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
                     const std::function<void(QueueEntry&)>& passed) override {
    ++pop_;
    tried_.clear();
    QueueEntry* chosen = ChooseGuaranteed(fits);
    if (chosen == nullptr) {
      chosen = ChooseByClass(fits);
    }
    if (chosen != nullptr) {
      for (QueueEntry* first : tried_) {
        passed(*first);
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
    AddRecent(row, entry.item.cost);
  }

  void Refund(QueueRow& row, double charge) override {
    Shift(row, -charge);
    AddRecent(row, -charge * row.weight);
  }

  void Settle(QueueRow& row, double difference) override {
    Shift(row, difference / row.weight);
    AddRecent(row, difference);
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
    return std::exp(-age.count() / kRecentSeconds);
  }

  void AddRecent(QueueRow& row, double cost) {
    const util::TimePoint now = clock_.Now();
    row.recent = std::max(0.0, row.recent * Decay(row.recent_at) + cost);
    row.recent_at = now;
    recent_ = std::max(0.0, recent_ * Decay(recent_at_) + cost);
    recent_at_ = now;
  }

  // The first item of the row that fits. Within a row an item at least as
  // large as one that did not fit does not fit either.
  QueueEntry* TryRow(QueueRow& row, const Fits& fits) {
    if (row.tried_in_pop == pop_) {
      return nullptr;
    }
    row.tried_in_pop = pop_;
    std::array<const Resources*, kFitsPerRow> failed;
    int failures = 0;
    int looks = 0;
    for (QueueEntry* entry : row.ready) {
      if (++looks > kLooksPerRow) {
        break;
      }
      const Resources& size = entry->item.size;
      const bool hopeless =
          std::any_of(failed.begin(), failed.begin() + failures,
                      [&](const Resources* f) { return f->FitsIn(size); });
      if (hopeless) {
        continue;
      }
      if (fits(entry->item)) {
        if (failures > 0) {
          tried_.push_back(*row.ready.begin());
        }
        return entry;
      }
      failed[static_cast<size_t>(failures++)] = &size;
      if (failures == kFitsPerRow) {
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

  // Rows that got less than their guaranteed share of what was served.
  QueueEntry* ChooseGuaranteed(const Fits& fits) {
    if (guaranteed_.empty()) {
      return nullptr;
    }
    const bool urgent_waits = !classes_[0].busy.empty();
    if (urgent_waits) {
      guaranteed_credit_ =
          std::min(guaranteed_credit_ + kGuaranteedPerTen, 2 * kCreditPerPop);
    }
    const double total = recent_ * Decay(recent_at_);
    for (QueueRow* row : guaranteed_) {
      const double got = row->recent * Decay(row->recent_at);
      if (got >= row->guaranteed_share * total) {
        continue;
      }
      const bool takes_credit =
          urgent_waits && row->urgency != Urgency::kUrgent;
      if (takes_credit && guaranteed_credit_ < kCreditPerPop) {
        continue;
      }
      if (QueueEntry* entry = TryRow(*row, fits)) {
        guaranteed_credit_ -= takes_credit ? kCreditPerPop : 0;
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
    std::array<size_t, kClasses> later{};
    size_t waiting = 0;
    for (size_t c = first + 1; c < kClasses; ++c) {
      if (!classes_[c].busy.empty()) {
        later[waiting++] = c;
      }
    }
    if (waiting > 0) {
      if (owed_ > 0) {
        std::sort(later.begin(), later.begin() + waiting,
                  [this](size_t a, size_t b) {
                    return classes_[a].pops_waited > classes_[b].pops_waited;
                  });
        for (size_t i = 0; i < waiting; ++i) {
          if (QueueEntry* entry = TryClass(classes_[later[i]], fits)) {
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

  // The reserve counts cost, not pops: one heavy item per nine urgent ones
  // would take most of the cell from urgent work at a demand peak.
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
      const double part = reserve_ / (kWhole - reserve_);
      owed_ = std::min(owed_ + cost * part, kMaxOwed);
    } else {
      owed_ -= cost;
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
  // Cost that later classes are owed while earlier ones were served.
  double owed_ = 0;
  int guaranteed_credit_ = 0;
  double recent_ = 0;
  util::TimePoint recent_at_{};
  // First items of the rows tried in this pop, where they did not fit.
  std::vector<QueueEntry*> tried_;
  uint64_t pop_ = 0;
};

// Strict order of arrival: an item that does not fit blocks all behind it.
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
  struct ByPlace {
    bool operator()(const QueueEntry* a, const QueueEntry* b) const {
      return a->item.place < b->item.place;
    }
  };
  std::set<QueueEntry*, ByPlace> order_;
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
