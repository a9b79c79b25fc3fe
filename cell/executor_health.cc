#include "cell/executor_health.h"

#include <algorithm>

namespace chivedale::cell {
namespace {

// Weights of the newest run in the moving averages.
constexpr double kSlownessWeight = 0.25;
constexpr double kFailureWeight = 0.2;
// Caps the effect of a single straggler.
constexpr double kMaxRatio = 4.0;
// Added to the time factor for each overdue run.
constexpr double kOverdueFactor = 1.0;
// One task in thirty is a straggler. Because stragglers run longer, they make
// up about one in five of the tasks running at any time, so a single overdue
// run is no evidence: several runs and at least half of the executor's runs
// must be overdue, and none have completed for a while.
constexpr int kSuspectSignals = 2;
constexpr Duration kNoCompletionTime = std::chrono::milliseconds(1'200);
// An executor that has been slow is suspect with a single overdue run.
constexpr double kSuspectSlowness = 1.8;
constexpr int kSuspectSamples = 4;
// Consecutive failures after which the executor is avoided.
constexpr int kFailuresToAvoid = 2;
// Time for which the executor is avoided; doubles with each further failure up
// to the maximum.
constexpr Duration kFirstAvoid = std::chrono::milliseconds(1'500);
constexpr Duration kMaxAvoid = std::chrono::seconds(12);

}  // namespace

void ExecutorHealth::OnDone(Duration took, Duration declared, TimePoint now) {
  last_done_ = now;
  failures_in_row_ = 0;
  avoid_duration_ = Duration(0);
  failure_rate_ -= kFailureWeight * failure_rate_;
  if (declared > Duration(0) && took > Duration(0)) {
    const double ratio = static_cast<double>(took.count()) /
                         static_cast<double>(declared.count());
    slowness_ += kSlownessWeight * (std::min(ratio, kMaxRatio) - slowness_);
    ++samples_;
  }
}

bool ExecutorHealth::OnFailed(TimePoint now) {
  ++failures_in_row_;
  failure_rate_ += kFailureWeight * (1 - failure_rate_);
  if (failures_in_row_ < kFailuresToAvoid) {
    return false;
  }
  avoid_duration_ = avoid_duration_ == Duration(0)
                        ? kFirstAvoid
                        : std::min<Duration>(avoid_duration_ * 2, kMaxAvoid);
  avoid_until_ = now + avoid_duration_;
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
  suspect_ = now - last_done_ > kNoCompletionTime &&
             ((signals >= kSuspectSignals && 2 * overdue >= runs) ||
              (signals >= 1 && slowness_ > kSuspectSlowness &&
               samples_ >= kSuspectSamples));
}

double ExecutorHealth::TimeFactor() const {
  return slowness_ + kOverdueFactor * overdue_;
}

}  // namespace chivedale::cell
