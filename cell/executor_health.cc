#include "cell/executor_health.h"

#include <algorithm>
#include <iterator>

#include "cell/job_failures.h"

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
// Independent failures after which the executor is avoided.
constexpr int kEvidenceToAvoid = 2;
// Time for which the executor is avoided; doubles up to the maximum with each
// failure of a job that runs elsewhere, or of a run that began while the
// executor was avoided or later.
constexpr Duration kFirstAvoid = std::chrono::milliseconds(1'500);
constexpr Duration kMaxAvoid = std::chrono::seconds(12);
// On probation, minimum time between two tasks.
constexpr Duration kProbeInterval = std::chrono::seconds(1);
// Time on probation after the executor was avoided.
constexpr Duration kProbationTime = std::chrono::seconds(12);

}  // namespace

void ExecutorHealth::OnDone(TimePoint begin,
                            Duration took,
                            Duration declared,
                            TimePoint now) {
  last_done_ = now;
  doubts_.clear();
  failure_rate_ -= kFailureWeight * failure_rate_;
  // An executor that fails some of its runs completes others meanwhile.
  if (!avoided(now) || begin >= avoided_since_) {
    EndAvoidance();
  }
  if (declared > Duration(0) && took > Duration(0)) {
    const double ratio = static_cast<double>(took.count()) /
                         static_cast<double>(declared.count());
    slowness_ += kSlownessWeight * (std::min(ratio, kMaxRatio) - slowness_);
    ++samples_;
  }
}

bool ExecutorHealth::OnFailed(const FailedRun& run, TimePoint now) {
  ForgetOldDoubts(now);
  const int before = Evidence();
  Doubt& doubt = doubts_[run.job];
  ++doubt.failures;
  doubt.job_runs_elsewhere = doubt.job_runs_elsewhere || run.job_runs_elsewhere;
  doubt.latest = now;
  const int evidence = Evidence();
  if (evidence > before) {
    failure_rate_ += kFailureWeight * (1 - failure_rate_);
  }
  const bool first = avoid_duration_ == Duration(0);
  const bool adds =
      first || run.job_runs_elsewhere || run.begin >= avoided_since_;
  if (evidence < kEvidenceToAvoid || !adds) {
    return false;
  }
  avoid_duration_ =
      first ? kFirstAvoid : std::min<Duration>(avoid_duration_ * 2, kMaxAvoid);
  avoided_since_ = now;
  avoid_until_ = now + avoid_duration_;
  return true;
}

void ExecutorHealth::DiscountFailuresOf(const JobId& job, TimePoint now) {
  ForgetOldDoubts(now);
  if (doubts_.erase(job) > 0 && Evidence() < kEvidenceToAvoid) {
    EndAvoidance();
  }
}

void ExecutorHealth::OnRejected(TimePoint until) {
  rejects_until_ = std::max(rejects_until_, until);
}

bool ExecutorHealth::on_probation(TimePoint now) const {
  return avoid_duration_ > Duration(0) && now < avoid_until_ + kProbationTime;
}

void ExecutorHealth::OnProbed(TimePoint now) {
  next_probe_ = now + kProbeInterval;
}

int ExecutorHealth::Evidence() const {
  int evidence = 0;
  for (const auto& [job, doubt] : doubts_) {
    evidence += doubt.job_runs_elsewhere ? doubt.failures : 1;
  }
  return evidence;
}

void ExecutorHealth::ForgetOldDoubts(TimePoint now) {
  for (auto it = doubts_.begin(); it != doubts_.end();) {
    it = now - it->second.latest > kFailureEvidenceTime ? doubts_.erase(it)
                                                        : std::next(it);
  }
  if (doubts_.empty() && !avoided(now)) {
    EndAvoidance();
  }
}

void ExecutorHealth::EndAvoidance() {
  avoid_duration_ = Duration(0);
  avoid_until_ = TimePoint();
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
