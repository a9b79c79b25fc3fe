#include "cell/step_wait.h"

#include <algorithm>
#include <array>

namespace chivedale::cell {
namespace {

constexpr std::array<std::string_view, 17> kWaitReasonTexts = {
    "the next scheduling pass",
    "its retry time",
    "room, behind more urgent steps",
    "executors that have not listed their runs to this leader",
    "room beyond the headroom for urgent jobs",
    "a usable executor that matches its label and size",
    "an executor that is avoided after failures",
    "advice, or executors it allows",
    "room",
    "the end of the gang's earlier run",
    "its account's runs, which use the account's limit",
    "the steps before it",
    "the leader to resume giving orders",
    "jobs and executors to be loaded",
    "nothing: not queued for scheduling",
    "the answer to a start",
    "the end of runs that are being stopped"};

}  // namespace

std::string_view WaitReasonText(WaitReason reason) {
  return kWaitReasonTexts[static_cast<size_t>(reason)];
}

void StepWait::OnQueued(TimePoint now) {
  // A step whose starts fail repeatedly has waited since before the first one.
  if (!not_queued_ && starts_ == 0 && rejected_ == 0 && unanswered_ == 0) {
    since_ = now;
  }
  not_queued_ = false;
  SetReason(WaitReason::kNextPass, now);
}

void StepWait::OnNotQueued(TimePoint now) {
  if (not_queued_) {
    return;
  }
  not_queued_ = true;
  since_ = now;
  reported_ = false;
  next_report_ = kFirstReport;
}

void StepWait::OnConsidered(int64_t pass, TimePoint now) {
  pass_ = pass;
  pass_at_ = now;
}

void StepWait::SetReason(WaitReason reason, TimePoint now) {
  if (reason != reason_ || reason_since_ == TimePoint()) {
    reason_ = reason;
    reason_since_ = now;
  }
}

void StepWait::OnStartFailed(OrderResult result, const ExecutorId& executor) {
  ++(result == OrderResult::kUnknown ? unanswered_ : rejected_);
  last_result_ = OrderResultName(result);
  last_executor_ = executor;
}

void StepWait::OnRunning(TimePoint now) {
  since_ = now;
  starts_ = 0;
  rejected_ = 0;
  unanswered_ = 0;
  last_result_ = {};
  last_executor_.clear();
  reported_ = false;
  next_report_ = kFirstReport;
}

void StepWait::OnReported(TimePoint now) {
  reported_ = true;
  next_report_ = std::max<Duration>(kFirstReport, 2 * Waited(now));
}

}  // namespace chivedale::cell
