// Handles replies, answers and stops of attempts, and what follows the end of
// an attempt: a retry after a backoff, a restart of the whole gang, or the end
// of the job. The search for attempts at the owners is in active_job_owners.cc.
#include <algorithm>

#include "chivedale/active_job.h"

namespace chivedale {
namespace {

constexpr Millis kFirstBackoff{100};
constexpr Millis kLongestBackoff{30'000};
constexpr Millis kNoRoomBackoff{50};
// A service task that ran this long is restarted without a longer backoff.
constexpr Millis kStableRun{60'000};
constexpr Millis kStopResend{1'000};

}  // namespace

void ActiveJob::OnReply(const MemberId& owner, const DispatchReply& reply) {
  const std::optional<int64_t> found = FindActive(reply.key);
  if (!found || !InfoOf(*found).sent) {
    return;
  }
  const int64_t i = *found;
  switch (reply.outcome) {
    case DispatchOutcome::kAccepted:
      if (InfoOf(i).absent_deadline) {
        // Accepted by the earlier owner but absent at the new one: it was
        // started and may have ended.
        InfoOf(i).absent_ran = Ran::kUnknown;
        return;
      }
      OnFound(i, owner);
      SetPlace(i, reply.worker, reply.rack, reply.data_centre);
      SetToken(i, reply.token, reply.boot_id);
      break;
    case DispatchOutcome::kInsufficientCapacity:
    case DispatchOutcome::kRefused:
      EndAttempt(i, false, Ran::kNo, "not started");
      break;
    case DispatchOutcome::kUnknown:
      unaccepted_.erase(i);
      InfoOf(i).owner = owner;
      if (!reply.worker.empty()) {
        SetPlace(i, reply.worker, reply.rack, reply.data_centre);
        SetToken(i, reply.token, reply.boot_id);
      }
      if (members_.count(owner) == 0) {
        MarkLost(i);
      }
      break;
  }
}

void ActiveJob::OnAnswer(const MemberId& owner, const Answer& answer) {
  const std::optional<JobTaskName> name = ParseJobTaskId(answer.key.task);
  if (!name || name->index >= static_cast<int64_t>(record_.tasks.size())) {
    return;
  }
  const int64_t i = name->index;
  if (answer.key.attempt > Task(i).attempt) {
    return;  // newer than the last recorded attempt
  }
  const std::optional<int64_t> active = FindActive(answer.key);
  // An owner that was paused for longer than orphan_timeout considers its tasks
  // ended, while the worker's current owner may still run them. All owners are
  // queried; this owner's answer is acknowledged and ignored.
  if (active && !answer.ok && answer.error == ErrorKind::kOutcomeUnknown) {
    listener_.SendToMember(owner, AnswerAck{answer.key});
    MarkLost(i);
    return;
  }
  if (active) {
    const std::string reason(InfoForErrorKind(answer.error).title);
    EndAttempt(i, answer.ok, answer.ok ? Ran::kYes : answer.ran, reason);
  } else if (answer.key.attempt < Task(i).attempt ? InfoOf(i).allowed
                                                  : InfoOf(i).end_recorded) {
    listener_.SendToMember(owner, AnswerAck{answer.key});
    return;
  }
  acks_.emplace_back(owner, answer.key);
  dirty_ = true;
}

void ActiveJob::Fail(const std::string& reason) {
  if (record_.phase != JobPhase::kActive) {
    return;
  }
  record_.phase = JobPhase::kCancelling;
  record_.reason = reason;
  dirty_ = true;
  StopAll();
}

void ActiveJob::CheckFits(const std::vector<Summary>& summaries,
                          bool complete) {
  if (record_.phase != JobPhase::kActive) {
    return;
  }
  const WorkRow* row = listener_.FindRow(record_.spec.kind);
  std::string reason;
  const bool runs = std::any_of(
      active_.begin(), active_.end(),
      [this](int64_t i) { return Task(i).phase == TaskPhase::kRunning; });
  if (runs) {
    // The task size fits a worker, or did when the task was started.
  } else if (row == nullptr) {
    reason = "kind '" + record_.spec.kind + "' is not in the table";
  } else if (complete && std::none_of(summaries.begin(), summaries.end(),
                                      [&](const Summary& summary) {
                                        return TasksThatFit(summary, row->size,
                                                            false) > 0;
                                      })) {
    reason = "a task of kind '" + record_.spec.kind +
             "' is larger than every worker";
  }
  if (reason.empty()) {
    cannot_run_since_.reset();
    return;
  }
  if (!cannot_run_since_) {
    cannot_run_since_ = clock_.Now();
  }
  if (clock_.Now() - *cannot_run_since_ >= options_.never_fits_after) {
    Fail(reason);
  }
}

void ActiveJob::Stop(int64_t i) {
  AttemptInfo& info = InfoOf(i);
  if (!IsActive(i) || info.stopping) {
    return;
  }
  if (!info.sent) {
    EndAttempt(i, false, Ran::kNo, "stopped before it was started");
    return;
  }
  info.stopping = true;
  info.stop_sent = clock_.Now();
  stopping_.insert(i);
  listener_.CancelAttempt(KeyOf(i), info.owner);
}

void ActiveJob::StopAll() {
  waiting_.clear();
  StopActive();
}

void ActiveJob::StopActive() {
  const std::vector<int64_t> indices(active_.begin(), active_.end());
  for (int64_t i : indices) {
    Stop(i);
  }
}

void ActiveJob::ResendStops() {
  const util::TimePoint now = clock_.Now();
  const std::vector<int64_t> indices(stopping_.begin(), stopping_.end());
  for (int64_t i : indices) {
    AttemptInfo& info = InfoOf(i);
    if (now - info.stop_sent >= kStopResend) {
      info.stop_sent = now;
      listener_.CancelAttempt(KeyOf(i), info.owner);
    }
  }
}

void ActiveJob::EndAttempt(int64_t i,
                           bool ok,
                           Ran ran,
                           const std::string& reason) {
  AttemptInfo& info = InfoOf(i);
  const bool stopped = info.stopping;
  const bool stable = Task(i).phase == TaskPhase::kRunning &&
                      clock_.Now() - info.started >= kStableRun;
  active_.erase(i);
  to_send_.erase(i);
  unaccepted_.erase(i);
  stopping_.erase(i);
  lost_.erase(i);
  absent_.erase(i);
  ClearPlace(i);
  const bool allowed = info.allowed;
  info = AttemptInfo();
  info.allowed = allowed;
  info.end_recorded = false;
  ends_.emplace_back(i, Task(i).attempt);
  dirty_ = true;
  if (stable) {
    Task(i).failures = 0;
  }
  if (record_.phase != JobPhase::kActive) {
    Task(i).phase = ok ? TaskPhase::kSucceeded : TaskPhase::kFailed;
    return;
  }
  if (i >= record_.spec.tasks) {
    // Beyond the reduced count: not restarted.
    Task(i).phase = TaskPhase::kWaiting;
    return;
  }
  switch (Shape()) {
    case WorkShape::kGang:
      EndInGang(i, ok, ran, reason);
      return;
    case WorkShape::kService:
      if (ran == Ran::kNo || stopped) {
        Wait(i, kNoRoomBackoff);
      } else {
        RetryOrFail(i, ran, reason);
      }
      return;
    case WorkShape::kTask:
    case WorkShape::kRequest:
      break;
  }
  if (ok) {
    Task(i).phase = TaskPhase::kSucceeded;
  } else {
    RetryOrFail(i, ran, reason);
  }
}

void ActiveJob::RetryOrFail(int64_t i, Ran ran, const std::string& reason) {
  if (ran == Ran::kNo) {
    Wait(i, kNoRoomBackoff);
    return;
  }
  const WorkRow* row = listener_.FindRow(record_.spec.kind);
  JobTaskRecord& task = Task(i);
  ++task.failures;
  const bool repeatable = row != nullptr && row->repeatable;
  const bool is_service = row != nullptr && row->shape == WorkShape::kService;
  const bool retries_left =
      row != nullptr && static_cast<int64_t>(task.failures) <= row->max_retries;
  if (repeatable && (retries_left || is_service)) {
    Wait(i, BackoffAfter(task.failures));
    return;
  }
  task.phase = TaskPhase::kFailed;
  if (record_.reason.empty()) {
    record_.reason = "task " + std::to_string(i) + ": " + reason;
  }
}

// The tasks of a gang run together or not at all. If one does not succeed, the
// others are stopped, and either all restart or the job fails.
void ActiveJob::EndInGang(int64_t i,
                          bool ok,
                          Ran ran,
                          const std::string& reason) {
  JobTaskRecord& task = Task(i);
  if (ok && !gang_stopping_) {
    task.phase = TaskPhase::kSucceeded;
    return;
  }
  task.phase = TaskPhase::kWaiting;
  const WorkRow* row = listener_.FindRow(record_.spec.kind);
  const bool may_have_run = ok || ran != Ran::kNo;
  // Tasks that are stopped because of the first failure do not count as
  // failures.
  const bool first = !gang_stopping_;
  if (first && may_have_run) {
    ++task.failures;
  }
  uint32_t failures = 0;
  for (const JobTaskRecord& each : record_.tasks) {
    failures += each.failures;
  }
  const bool repeatable = row != nullptr && row->repeatable;
  const bool too_often =
      row == nullptr || static_cast<int64_t>(failures) > row->max_retries;
  if (may_have_run && (!repeatable || too_often)) {
    Fail("task " + std::to_string(i) + " of the gang: " + reason);
    return;
  }
  const Millis backoff = may_have_run ? BackoffAfter(failures) : kNoRoomBackoff;
  gang_stopping_ = true;
  Wait(i, backoff);
  if (!first) {
    return;
  }
  StopActive();
  const auto total = static_cast<int64_t>(record_.tasks.size());
  for (int64_t other = 0; other < total; ++other) {
    if (Task(other).phase == TaskPhase::kSucceeded) {
      Task(other).phase = TaskPhase::kWaiting;
      Wait(other, backoff);
    }
  }
}

void ActiveJob::Wait(int64_t i, Millis backoff) {
  Task(i).phase = TaskPhase::kWaiting;
  waiting_.emplace(clock_.Now() + backoff, i);
}

Millis ActiveJob::BackoffAfter(uint32_t failures) {
  const uint32_t doublings = std::min<uint32_t>(std::max(failures, 1U) - 1, 12);
  const Millis full =
      std::min(kLongestBackoff, kFirstBackoff * (int64_t{1} << doublings));
  return full / 2 + Millis(static_cast<int64_t>(random_.UniformInt(
                        static_cast<uint64_t>(full.count() / 2) + 1)));
}

void ActiveJob::CheckEnd() {
  if (ended() || !active_.empty()) {
    return;
  }
  if (record_.phase == JobPhase::kCancelling) {
    record_.phase =
        record_.reason.empty() ? JobPhase::kCancelled : JobPhase::kFailed;
  } else if (!waiting_.empty() || Shape() == WorkShape::kService) {
    return;
  } else {
    const bool failed = std::any_of(record_.tasks.begin(), record_.tasks.end(),
                                    [](const JobTaskRecord& task) {
                                      return task.phase == TaskPhase::kFailed;
                                    });
    record_.phase = failed ? JobPhase::kFailed : JobPhase::kSucceeded;
  }
  record_.ended_ms = clock_.WallNow().time_since_epoch().count();
  dirty_ = true;
}

}  // namespace chivedale
