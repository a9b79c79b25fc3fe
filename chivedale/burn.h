// Error-budget burn: how much of each row's error budget was spent in several
// windows, by cause.
//
//   tracker.Record(row, wait, /*good=*/wait <= row.objective.wait, cause);
//   BurnReport report = EvaluateBurn({snapshot_a, snapshot_b});
#ifndef CHIVEDALE_BURN_H_
#define CHIVEDALE_BURN_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "chivedale/work.h"
#include "util/clock.h"

namespace chivedale {

// The reason for which work missed its objective.
enum class BurnCause { kQueueing, kPlacement, kRetries, kWorkers, kRefusals };
inline constexpr int kBurnCauseCount = 5;

// Ten buckets per decade from 1 ms to 10^7 ms; the last one has no upper bound.
inline constexpr int kBurnWaitBuckets = 72;
// Returns the upper bound of a wait bucket in ms.
double BurnWaitBound(int bucket);

// An alarm is raised if the burn rate of both its windows is at least this.
inline constexpr double kPageBurnRate = 14.4;
inline constexpr double kTicketBurnRate = 1;

// 5 min, 1 h, 6 h, 3 d.
inline constexpr std::array<Millis, 4> kBurnWindows = {
    Millis(300'000), Millis(3'600'000), Millis(21'600'000),
    Millis(259'200'000)};

struct BurnWindow {
  int64_t total = 0;
  int64_t bad = 0;
  std::array<int64_t, kBurnCauseCount> causes{};
};

struct BurnRowSnapshot {
  Objective objective;
  std::array<BurnWindow, kBurnWindows.size()> windows;
  // Counts of the last hour per wait bucket (see BurnWaitBound). The buckets
  // are fixed, so that histograms of several daemons can be added.
  std::vector<int64_t> wait_buckets;
};

// The counts of one daemon. `covers` is how far back they go: until a daemon
// has run for the longest window, it covers less, which the report then states.
struct BurnSnapshot {
  std::string member;
  Millis covers{0};
  std::map<std::string, BurnRowSnapshot> rows;
};

// One row of the report.
struct BurnRow {
  std::string kind;
  Objective objective;
  // As a multiple of the rate that would spend exactly the whole budget within
  // the window.
  std::array<double, kBurnWindows.size()> burn_rate{};
  std::array<BurnWindow, kBurnWindows.size()> windows;
  // Two-window alarms: page (5 min and 1 h) and ticket (6 h and 3 d).
  bool page = false;
  bool ticket = false;
  // Time until the budget of the longest window is used up at the current 1 h
  // rate; zero if nothing is being spent or the budget is already used up.
  Millis time_to_exhaustion{0};
  // True if the budget of the longest window is used up.
  bool exhausted = false;
  double wait_p50_ms = 0;
  double wait_p99_ms = 0;
  BurnCause largest_cause = BurnCause::kQueueing;
};

struct BurnReport {
  std::vector<BurnRow> rows;
  // Messages about missing data, for example a daemon that covers less than the
  // longest window.
  std::vector<std::string> gaps;
};

class BurnTracker {
 public:
  explicit BurnTracker(const util::Clock& clock);
  ~BurnTracker();

  // Command. `cause` counts only when `good` is false.
  void Record(const WorkRow& row, Millis wait, bool good, BurnCause cause);

  // Query.
  BurnSnapshot Snapshot(const std::string& member) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

BurnSnapshot MergeBurn(const std::vector<BurnSnapshot>& parts);
BurnReport EvaluateBurn(const std::vector<BurnSnapshot>& parts);
std::string_view BurnCauseName(BurnCause cause);

}  // namespace chivedale

#endif  // CHIVEDALE_BURN_H_
