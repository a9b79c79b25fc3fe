// Each window is a ring of 60 buckets. A count therefore leaves its window late
// by at most one 60th of the window, and the size does not depend on the rate
// of work. Each bucket stores its number on the time axis; a bucket last used
// one or more turns of the ring ago is recognised as stale, so no clean-up is
// needed.
//
// An alarm requires both of its windows: the long one shows that the loss is
// significant, the short one that it continues.
#include "chivedale/burn.h"

#include <algorithm>
#include <cmath>

namespace chivedale {
namespace {

constexpr int kBucketsPerWindow = 60;
// The wait histogram covers the last hour in slices of 5 min.
constexpr int kWaitSlices = 12;
constexpr Millis kWaitSlice{300'000};
constexpr double kBucketsPerDecade = 10;
constexpr size_t kFiveMinutes = 0;
constexpr size_t kHour = 1;
constexpr size_t kSixHours = 2;
constexpr size_t kThreeDays = 3;
// An objective of 1 leaves no budget; with this minimum any loss gives a very
// high burn rate.
constexpr double kMinBudget = 1e-9;

using WaitCounts = std::array<uint32_t, kBurnWaitBuckets>;

void AddTo(BurnWindow& sum, const BurnWindow& part) {
  sum.total += part.total;
  sum.bad += part.bad;
  for (size_t i = 0; i < sum.causes.size(); ++i) {
    sum.causes[i] += part.causes[i];
  }
}

template <typename Cell, int kSize>
class Ring {
 public:
  explicit Ring(Millis width) : width_(width) {}

  Cell& At(util::TimePoint now) {
    const int64_t number = NumberOf(now);
    Slot& slot = slots_[static_cast<size_t>(number % kSize)];
    if (slot.number != number) {
      slot = {number, Cell{}};
    }
    return slot.cell;
  }
  template <typename Visit>
  void ForEach(util::TimePoint now, Visit visit) const {
    const int64_t last = NumberOf(now);
    for (const Slot& slot : slots_) {
      if (slot.number > last - kSize && slot.number <= last) {
        visit(slot.cell);
      }
    }
  }

 private:
  struct Slot {
    int64_t number = -kSize;
    Cell cell{};
  };
  int64_t NumberOf(util::TimePoint now) const {
    return now.time_since_epoch() / width_;
  }

  Millis width_;
  std::array<Slot, kSize> slots_{};
};

using WindowRing = Ring<BurnWindow, kBucketsPerWindow>;

int WaitBucket(Millis wait) {
  if (wait.count() <= 1) {
    return 0;
  }
  const double decades = std::log10(static_cast<double>(wait.count()));
  // Subtracting 1e-9 keeps a wait that equals the upper bound of a bucket in
  // that bucket despite rounding errors.
  const int bucket =
      static_cast<int>(std::ceil(decades * kBucketsPerDecade - 1e-9));
  return std::min(bucket, kBurnWaitBuckets - 1);
}

struct RowRings {
  RowRings()
      : windows{WindowRing(kBurnWindows[0] / kBucketsPerWindow),
                WindowRing(kBurnWindows[1] / kBucketsPerWindow),
                WindowRing(kBurnWindows[2] / kBucketsPerWindow),
                WindowRing(kBurnWindows[3] / kBucketsPerWindow)},
        waits(kWaitSlice) {}

  Objective objective;
  std::array<WindowRing, kBurnWindows.size()> windows;
  Ring<WaitCounts, kWaitSlices> waits;
};

BurnRowSnapshot SnapshotOf(const RowRings& rings, util::TimePoint now) {
  BurnRowSnapshot row;
  row.objective = rings.objective;
  for (size_t i = 0; i < kBurnWindows.size(); ++i) {
    rings.windows[i].ForEach(
        now, [&](const BurnWindow& part) { AddTo(row.windows[i], part); });
  }
  row.wait_buckets.assign(kBurnWaitBuckets, 0);
  rings.waits.ForEach(now, [&](const WaitCounts& counts) {
    for (size_t i = 0; i < counts.size(); ++i) {
      row.wait_buckets[i] += counts[i];
    }
  });
  return row;
}

double BurnRate(const BurnWindow& window, const Objective& objective) {
  if (window.total == 0 || window.bad == 0) {
    return 0;
  }
  const double lost =
      static_cast<double>(window.bad) / static_cast<double>(window.total);
  return lost / std::max(1 - objective.share, kMinBudget);
}

double WaitQuantile(const std::vector<int64_t>& buckets, double quantile) {
  int64_t total = 0;
  for (int64_t count : buckets) {
    total += count;
  }
  const double rank = quantile * static_cast<double>(total);
  int64_t below = 0;
  for (size_t i = 0; i < buckets.size(); ++i) {
    below += buckets[i];
    if (buckets[i] > 0 && static_cast<double>(below) >= rank) {
      return BurnWaitBound(static_cast<int>(i));
    }
  }
  return 0;
}

void SetExhaustion(BurnRow& row) {
  const double spent = row.burn_rate[kThreeDays];
  const double rate = row.burn_rate[kHour];
  row.exhausted = spent >= 1;
  if (row.exhausted || rate <= 0) {
    return;
  }
  const double left =
      (1 - spent) * static_cast<double>(kBurnWindows[kThreeDays].count());
  row.time_to_exhaustion = Millis(static_cast<int64_t>(left / rate) + 1);
}

BurnRow Evaluate(const std::string& kind, const BurnRowSnapshot& snapshot) {
  BurnRow row;
  row.kind = kind;
  row.objective = snapshot.objective;
  row.windows = snapshot.windows;
  for (size_t i = 0; i < kBurnWindows.size(); ++i) {
    row.burn_rate[i] = BurnRate(snapshot.windows[i], snapshot.objective);
  }
  row.page = row.burn_rate[kFiveMinutes] >= kPageBurnRate &&
             row.burn_rate[kHour] >= kPageBurnRate;
  row.ticket = row.burn_rate[kSixHours] >= kTicketBurnRate &&
               row.burn_rate[kThreeDays] >= kTicketBurnRate;
  SetExhaustion(row);
  row.wait_p50_ms = WaitQuantile(snapshot.wait_buckets, 0.5);
  row.wait_p99_ms = WaitQuantile(snapshot.wait_buckets, 0.99);
  // The shortest window with a loss shows the most recent cause.
  for (const BurnWindow& window : snapshot.windows) {
    if (window.bad > 0) {
      const auto largest =
          std::max_element(window.causes.begin(), window.causes.end());
      row.largest_cause =
          static_cast<BurnCause>(largest - window.causes.begin());
      break;
    }
  }
  return row;
}

std::string Span(Millis span) {
  using std::chrono::duration_cast;
  const int64_t minutes = duration_cast<std::chrono::minutes>(span).count();
  if (minutes < 60) {
    return std::to_string(minutes) + " min";
  }
  const int64_t hours = minutes / 60;
  return hours < 48 ? std::to_string(hours) + " h"
                    : std::to_string(hours / 24) + " d";
}

}  // namespace

double BurnWaitBound(int bucket) {
  return std::pow(10, bucket / kBucketsPerDecade);
}

struct BurnTracker::Impl {
  explicit Impl(const util::Clock& time_source)
      : clock(time_source), start(time_source.Now()) {}

  const util::Clock& clock;
  const util::TimePoint start;
  std::map<std::string, RowRings> rows;
};

BurnTracker::BurnTracker(const util::Clock& clock)
    : impl_(std::make_unique<Impl>(clock)) {}

BurnTracker::~BurnTracker() = default;

void BurnTracker::Record(const WorkRow& row,
                         Millis wait,
                         bool good,
                         BurnCause cause) {
  const util::TimePoint now = impl_->clock.Now();
  RowRings& rings = impl_->rows[row.kind];
  rings.objective = row.objective;
  BurnWindow one;
  one.total = 1;
  if (!good) {
    one.bad = 1;
    one.causes[static_cast<size_t>(cause)] = 1;
  }
  for (WindowRing& window : rings.windows) {
    AddTo(window.At(now), one);
  }
  ++rings.waits.At(now)[static_cast<size_t>(WaitBucket(wait))];
}

BurnSnapshot BurnTracker::Snapshot(const std::string& member) const {
  const util::TimePoint now = impl_->clock.Now();
  BurnSnapshot snapshot;
  snapshot.member = member;
  snapshot.covers =
      std::min(std::chrono::duration_cast<Millis>(now - impl_->start),
               kBurnWindows.back());
  for (const auto& [kind, rings] : impl_->rows) {
    BurnRowSnapshot row = SnapshotOf(rings, now);
    // Omits rows without work in the longest window: they were removed from the
    // table or are idle.
    if (row.windows.back().total > 0) {
      snapshot.rows.emplace(kind, std::move(row));
    }
  }
  return snapshot;
}

BurnSnapshot MergeBurn(const std::vector<BurnSnapshot>& parts) {
  BurnSnapshot merged;
  merged.covers = parts.empty() ? Millis(0) : parts.front().covers;
  for (const BurnSnapshot& part : parts) {
    merged.member += (merged.member.empty() ? "" : ",") + part.member;
    merged.covers = std::min(merged.covers, part.covers);
    for (const auto& [kind, row] : part.rows) {
      BurnRowSnapshot& sum = merged.rows[kind];
      sum.objective = row.objective;
      sum.wait_buckets.resize(
          std::max(sum.wait_buckets.size(), row.wait_buckets.size()));
      for (size_t i = 0; i < row.wait_buckets.size(); ++i) {
        sum.wait_buckets[i] += row.wait_buckets[i];
      }
      for (size_t i = 0; i < kBurnWindows.size(); ++i) {
        AddTo(sum.windows[i], row.windows[i]);
      }
    }
  }
  return merged;
}

BurnReport EvaluateBurn(const std::vector<BurnSnapshot>& parts) {
  BurnReport report;
  for (const auto& [kind, row] : MergeBurn(parts).rows) {
    report.rows.push_back(Evaluate(kind, row));
  }
  for (const BurnSnapshot& part : parts) {
    if (part.covers < kBurnWindows.back()) {
      report.gaps.push_back("member " + part.member + " covers only the last " +
                            Span(part.covers) +
                            "; longer windows miss its earlier work");
    }
  }
  return report;
}

std::string_view BurnCauseName(BurnCause cause) {
  static constexpr std::string_view kNames[kBurnCauseCount] = {
      "queueing", "placement", "retries", "workers", "refusals"};
  return kNames[static_cast<size_t>(cause)];
}

}  // namespace chivedale
