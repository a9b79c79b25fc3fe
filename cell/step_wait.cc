#include "cell/step_wait.h"

#include <array>

namespace chivedale::cell {
namespace {

constexpr std::array<std::string_view, 15> kWaitReasonTexts = {
    "the next scheduling pass",
    "its retry time",
    "room, behind more urgent steps",
    "executors whose runs this leader does not know yet",
    "room beyond the headroom for urgent jobs",
    "a usable executor that matches its label and size",
    "advice, or executors it allows",
    "room",
    "the end of the gang's earlier run",
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
  if (starts_ == 0 && rejected_ == 0 && unanswered_ == 0) {
    since_ = now;
  }
  SetReason(WaitReason::kNextPass, now);
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
}

}  // namespace chivedale::cell
