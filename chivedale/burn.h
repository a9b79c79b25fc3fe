// Service-level burn: how much of each row's error budget was spent in several
// windows, and by which cause.
//
//   tracker.Record(row, wait, /*good=*/wait <= row.objective.wait, cause);
//   BurnSnapshot all = MergeBurn({snapshot_a, snapshot_b});
//   std::vector<BurnRow> report = EvaluateBurn(all);
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

// What took the budget.
enum class BurnCause { kQueueing, kPlacement, kRetries, kWorkers, kRefusals };
inline constexpr int kBurnCauseCount = 5;

// 1 ms to 10^7 ms, ten buckets per decade; the last one is open.
inline constexpr int kBurnWaitBuckets = 72;
// Upper bound of a wait bucket in ms.
double BurnWaitBound(int bucket);

// Both windows of an alarm must burn at least at its rate.
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
  // Counts of the last hour per bucket of a fixed logarithmic wait scale (see
  // BurnWaitBound), so that histograms of several daemons add up.
  std::vector<int64_t> wait_buckets;
};

// What one daemon knows. `covers` is how far back it goes: a replaced daemon
// covers less than a window, and the report says so.
struct BurnSnapshot {
  std::string member;
  Millis covers{0};
  std::map<std::string, BurnRowSnapshot> rows;
};

// One row of the report.
struct BurnRow {
  std::string kind;
  Objective objective;
  // Times the rate that would use the budget up exactly at the window's end.
  std::array<double, kBurnWindows.size()> burn_rate{};
  std::array<BurnWindow, kBurnWindows.size()> windows;
  // Page (5 min and 1 h) and ticket (6 h and 3 d) two-window alarms.
  bool page = false;
  bool ticket = false;
  // Until the budget of the longest window is used up at the present 1 h rate;
  // zero when nothing is being spent, or all is.
  Millis time_to_exhaustion{0};
  // The budget of the longest window is used up.
  bool exhausted = false;
  double wait_p50_ms = 0;
  double wait_p99_ms = 0;
  BurnCause largest_cause = BurnCause::kQueueing;
};

struct BurnReport {
  std::vector<BurnRow> rows;
  // Sentences on what is missing, for example a daemon that covers less.
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
