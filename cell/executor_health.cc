#include "cell/executor_health.h"

#include <algorithm>

namespace chivedale::cell {
namespace {

// Weights of the newest run against all before.
constexpr double kSlownessWeight = 0.25;
constexpr double kFailingWeight = 0.2;
// One long straggler says little of its executor.
constexpr double kMaxRatio = 4.0;
// Each run that is overdue now adds as much to the expected time.
constexpr double kOverdueFactor = 1.0;
// One task in thirty runs long, so one in five of those at work at a time: more
// than one must be overdue, and none have ended for a while.
constexpr int kSuspectSignals = 2;
constexpr Duration kStandstill = std::chrono::milliseconds(1'200);
// With one overdue run, an executor that was slow before is suspect too.
constexpr double kSuspectSlowness = 1.8;
constexpr int kSuspectSamples = 4;
// After so many failures in a row the executor is left alone.
constexpr int kFailuresToAvoid = 2;
constexpr Duration kFirstAvoid = std::chrono::milliseconds(1'500);
constexpr Duration kMaxAvoid = std::chrono::seconds(12);

}  // namespace

void ExecutorHealth::OnDone(Duration took, Duration declared, TimePoint now) {
  last_done_ = now;
  failures_in_row_ = 0;
  avoid_for_ = Duration(0);
  failing_ -= kFailingWeight * failing_;
  if (declared > Duration(0) && took > Duration(0)) {
    const double ratio = static_cast<double>(took.count()) /
                         static_cast<double>(declared.count());
    slowness_ += kSlownessWeight * (std::min(ratio, kMaxRatio) - slowness_);
    ++samples_;
  }
}

bool ExecutorHealth::OnFailed(TimePoint now) {
  ++failures_in_row_;
  failing_ += kFailingWeight * (1 - failing_);
  if (failures_in_row_ < kFailuresToAvoid) {
    return false;
  }
  avoid_for_ = avoid_for_ == Duration(0)
                   ? kFirstAvoid
                   : std::min<Duration>(avoid_for_ * 2, kMaxAvoid);
  avoid_until_ = now + avoid_for_;
  return true;
}

void ExecutorHealth::AvoidUntil(TimePoint until) {
  avoid_until_ = std::max(avoid_until_, until);
}

void ExecutorHealth::SetOverdue(int overdue,
                                int signals,
                                int runs,
                                TimePoint now) {
  overdue_ = overdue;
  suspect_ = now - last_done_ > kStandstill &&
             ((signals >= kSuspectSignals && 2 * overdue >= runs) ||
              (signals >= 1 && slowness_ > kSuspectSlowness &&
               samples_ >= kSuspectSamples));
}

double ExecutorHealth::TimeFactor() const {
  return slowness_ + kOverdueFactor * overdue_;
}

}  // namespace chivedale::cell
