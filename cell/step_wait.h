// Why and since when tasks of a step wait, and what became of their starts.
// Shown to operators; has no effect on scheduling.
//
//   StepWait wait;
//   wait.OnQueued(now);
//   wait.OnConsidered(pass, now);  // by a scheduling pass, with the result:
//   wait.SetReason(WaitReason::kRoom, now);
//   if (wait.IsReportDue(now)) ...
#ifndef CELL_STEP_WAIT_H_
#define CELL_STEP_WAIT_H_

#include <cstdint>
#include <string_view>

#include "cell/ports.h"
#include "cell/types.h"

namespace chivedale::cell {

enum class WaitReason {
  // Set by a scheduling pass.
  kNextPass,
  kRetryTime,
  kMoreUrgentSteps,
  kUnreadExecutors,
  kHeadroom,
  kNoMatchingExecutor,
  kAvoidedExecutors,
  kAdvice,
  kRoom,
  kEarlierGangRun,
  kAccountLimit,
  // Found when the step is described.
  kEarlierSteps,
  kSuspended,
  kLoading,
  kNotQueued,
  kStartAnswer,
  kStop,
};
std::string_view WaitReasonText(WaitReason reason);

class StepWait {
 public:
  // Commands.
  // The step was added to those that scheduling passes consider.
  void OnQueued(TimePoint now);
  // The step has waiting tasks and no pass will consider it.
  void OnNotQueued(TimePoint now);
  void OnConsidered(int64_t pass, TimePoint now);
  void SetReason(WaitReason reason, TimePoint now);
  void OnStartSent() { ++starts_; }
  void OnStartFailed(OrderResult result, const ExecutorId& executor);
  // A task, or all tasks of a gang, are known to run. The others wait from now.
  void OnRunning(TimePoint now);
  // The wait was logged. The next report is due when it is twice as long.
  void OnReported(TimePoint now);

  // Queries.
  bool IsReportDue(TimePoint now) const {
    return Waited(now) >= next_report_ || (not_queued_ && !reported_);
  }
  // Whether the wait was logged.
  bool reported() const { return reported_; }
  TimePoint since() const { return since_; }
  Duration Waited(TimePoint now) const { return now - since_; }
  // Whether the wait is long enough to be logged.
  bool IsLong(TimePoint now) const { return Waited(now) >= kFirstReport; }
  WaitReason reason() const { return reason_; }
  TimePoint reason_since() const { return reason_since_; }
  // Number of the last pass that considered the step; 0 if there was none.
  int64_t pass() const { return pass_; }
  TimePoint pass_at() const { return pass_at_; }
  // Starts since a task of the step was last known to run.
  int starts() const { return starts_; }
  int rejected() const { return rejected_; }
  int unanswered() const { return unanswered_; }
  // Of the last start that failed; empty if there was none.
  std::string_view last_result() const { return last_result_; }
  const ExecutorId& last_executor() const { return last_executor_; }

 private:
  static constexpr Millis kFirstReport{3'000};

  WaitReason reason_ = WaitReason::kNextPass;
  TimePoint reason_since_{};
  TimePoint since_{};
  bool not_queued_ = false;
  int64_t pass_ = 0;
  TimePoint pass_at_{};
  int starts_ = 0;
  int rejected_ = 0;
  int unanswered_ = 0;
  std::string_view last_result_;
  ExecutorId last_executor_;
  bool reported_ = false;
  Duration next_report_ = kFirstReport;
};

}  // namespace chivedale::cell

#endif  // CELL_STEP_WAIT_H_
