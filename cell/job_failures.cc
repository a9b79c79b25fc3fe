#include "cell/job_failures.h"

namespace chivedale::cell {
namespace {

// A job may meet two faulty executors in a row.
constexpr size_t kFailsAnywhere = 3;
constexpr size_t kFailsAnywhereOnceEnded = 2;

}  // namespace

void JobFailures::OnFailed(size_t boot, TimePoint now) {
  for (auto it = failed_on_.begin(); it != failed_on_.end();) {
    it = now - it->second > kFailureEvidenceTime ? failed_on_.erase(it)
                                                 : std::next(it);
  }
  failed_on_[boot] = now;
}

void JobFailures::OnDone(size_t boot) {
  if (!done_on_) {
    done_on_ = boot;
  } else if (*done_on_ != boot) {
    also_done_on_ = boot;
  }
}

bool JobFailures::FailsAnywhere(bool ended, TimePoint now) const {
  return !done_on_ && FailedOn(now).size() >=
                          (ended ? kFailsAnywhereOnceEnded : kFailsAnywhere);
}

bool JobFailures::FailsOnlyOn(size_t boot, TimePoint now) const {
  const std::vector<size_t> failed_on = FailedOn(now);
  return failed_on.empty() || (failed_on.size() == 1 && failed_on[0] == boot);
}

bool JobFailures::HasCompletedElsewhere(size_t boot) const {
  return (done_on_ && *done_on_ != boot) || also_done_on_;
}

std::vector<size_t> JobFailures::FailedOn(TimePoint now) const {
  std::vector<size_t> boots;
  for (const auto& [boot, failed] : failed_on_) {
    if (now - failed <= kFailureEvidenceTime) {
      boots.push_back(boot);
    }
  }
  return boots;
}

}  // namespace chivedale::cell
