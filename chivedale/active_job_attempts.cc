// What replies, answers and stops mean for an attempt, and what follows its
// end: a retry after a backoff, a new round of the whole gang, or the end of
// the job. How attempts are looked for at the owners is in
// active_job_owners.cc.
#include <algorithm>

#include "chivedale/active_job.h"

namespace chivedale {
namespace {

constexpr Millis kFirstBackoff{100};
constexpr Millis kLongestBackoff{30'000};
constexpr Millis kNoRoomBackoff{50};
// A service task that ran this long starts again without a longer backoff.
constexpr Millis kStableRun{60'000};
constexpr Millis kStopResend{1'000};

}  // namespace

void ActiveJob::OnReply(const MemberId& owner, const DispatchReply& reply) {
  const std::optional<int64_t> found = FindActive(reply.key);
  if (!found || !LiveOf(*found).sent) {
    return;
  }
  const int64_t i = *found;
  switch (reply.outcome) {
    case DispatchOutcome::kAccepted:
      if (LiveOf(i).gone_at) {
        // The worker's new owner has it no longer: it started and ended.
        LiveOf(i).gone_ran = Ran::kUnknown;
        return;
      }
      Found(i, owner);
      SetPlace(i, reply.worker, reply.rack, reply.data_centre);
      SetToken(i, reply.token, reply.boot_id);
      break;
    case DispatchOutcome::kNoRoom:
    case DispatchOutcome::kRefused:
      EndAttempt(i, false, Ran::kNo, "not started");
      break;
    case DispatchOutcome::kUnknown:
      unaccepted_.erase(i);
      LiveOf(i).owner = owner;
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
    return;  // not from this job's history
  }
  const std::optional<int64_t> active = FindActive(answer.key);
  // An owner that was paused for longer than the wait for orphans takes its
  // work for ended, while the worker's present owner has it. All owners are
  // asked; the word of this one is done with.
  if (active && !answer.ok && answer.error == ErrorKind::kOutcomeUnknown) {
    listener_.SendToMember(owner, AnswerAck{answer.key});
    MarkLost(i);
    return;
  }
  if (active) {
    const std::string why(AnswerFor(answer.error).title);
    EndAttempt(i, answer.ok, answer.ok ? Ran::kYes : answer.ran, why);
  } else if (answer.key.attempt < Task(i).attempt ? LiveOf(i).allowed
                                                  : LiveOf(i).end_recorded) {
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
  std::string why;
  const bool runs = std::any_of(
      active_.begin(), active_.end(),
      [this](int64_t i) { return Task(i).phase == TaskPhase::kRunning; });
  if (runs) {
    // It fits, or did when it started.
  } else if (row == nullptr) {
    why = "kind '" + record_.spec.kind + "' is not in the table";
  } else if (complete && std::none_of(summaries.begin(), summaries.end(),
                                      [&](const Summary& summary) {
                                        return TasksThatFit(summary, row->size,
                                                            false) > 0;
                                      })) {
    why = "a task of kind '" + record_.spec.kind +
          "' is larger than every worker";
  }
  if (why.empty()) {
    cannot_run_since_.reset();
    return;
  }
  if (!cannot_run_since_) {
    cannot_run_since_ = clock_.Now();
  }
  if (clock_.Now() - *cannot_run_since_ >= options_.never_fits_after) {
    Fail(why);
  }
}

void ActiveJob::Stop(int64_t i) {
  Live& live = LiveOf(i);
  if (!IsActive(i) || live.stopping) {
    return;
  }
  if (!live.sent) {
    EndAttempt(i, false, Ran::kNo, "stopped before the start");
    return;
  }
  live.stopping = true;
  live.stop_sent = clock_.Now();
  stopping_.insert(i);
  listener_.Withdraw(KeyOf(i), live.owner);
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
    Live& live = LiveOf(i);
    if (now - live.stop_sent >= kStopResend) {
      live.stop_sent = now;
      listener_.Withdraw(KeyOf(i), live.owner);
    }
  }
}

void ActiveJob::EndAttempt(int64_t i,
                           bool ok,
                           Ran ran,
                           const std::string& why) {
  Live& live = LiveOf(i);
  const bool stopped = live.stopping;
  const bool stable = Task(i).phase == TaskPhase::kRunning &&
                      clock_.Now() - live.started >= kStableRun;
  active_.erase(i);
  to_send_.erase(i);
  unaccepted_.erase(i);
  stopping_.erase(i);
  lost_.erase(i);
  gone_.erase(i);
  ClearPlace(i);
  const bool allowed = live.allowed;
  live = Live();
  live.allowed = allowed;
  live.end_recorded = false;
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
    Task(i).phase = TaskPhase::kWaiting;  // above the count: not started again
    return;
  }
  switch (Shape()) {
    case WorkShape::kGang:
      EndInGang(i, ok, ran, why);
      return;
    case WorkShape::kService:
      if (ran == Ran::kNo || stopped) {
        Wait(i, kNoRoomBackoff);
      } else {
        RetryOrFail(i, ran, why);
      }
      return;
    case WorkShape::kTask:
    case WorkShape::kRequest:
      break;
  }
  if (ok) {
    Task(i).phase = TaskPhase::kSucceeded;
  } else {
    RetryOrFail(i, ran, why);
  }
}

void ActiveJob::RetryOrFail(int64_t i, Ran ran, const std::string& why) {
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
    record_.reason = "task " + std::to_string(i) + ": " + why;
  }
}

// A gang's tasks run together or not at all: when one ends otherwise than
// well, the others are stopped, and all start again or the job fails.
void ActiveJob::EndInGang(int64_t i, bool ok, Ran ran, const std::string& why) {
  JobTaskRecord& task = Task(i);
  if (ok && !gang_broken_) {
    task.phase = TaskPhase::kSucceeded;
    return;
  }
  task.phase = TaskPhase::kWaiting;
  const WorkRow* row = listener_.FindRow(record_.spec.kind);
  const bool may_have_run = ok || ran != Ran::kNo;
  // The tasks that are stopped because of the first are no further failures.
  const bool first = !gang_broken_;
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
    Fail("task " + std::to_string(i) + " of the gang: " + why);
    return;
  }
  const Millis backoff = may_have_run ? BackoffAfter(failures) : kNoRoomBackoff;
  gang_broken_ = true;
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
  return full / 2 + Millis(static_cast<int64_t>(random_.Below(
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
