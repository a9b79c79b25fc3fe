// An attempt is started elsewhere only after one of: a final reply that it was
// not started, its answer, the word of its worker's present owner that it is
// not there, or the rule of EndLost. When its owner is gone and no other has
// claimed it, the worker stops it by itself; orphan_wait after the last sign
// one more round of questions goes to all live owners, since one of them may
// have taken the worker over in time. Only when none has it, it has ended.
#include <algorithm>
#include <iterator>

#include "chivedale/active_job.h"

namespace chivedale {
namespace {

constexpr Millis kFirstBackoff{100};
constexpr Millis kLongestBackoff{30'000};
constexpr Millis kNoRoomBackoff{50};
// A service task that ran this long starts again without a longer backoff.
constexpr Millis kStableRun{60'000};
constexpr Millis kQueryInterval{1'000};
// Attempts at an owner are confirmed with their owners this often, since any
// single message may be lost; 40 bytes each, 0.2 MB/s for 160,000 tasks.
constexpr Millis kConfirmInterval{30'000};
constexpr uint64_t kConfirmRound = 0;
constexpr Millis kStopResend{1'000};
// An answer is sent again each second; two sends must have had time to arrive
// before an attempt without one is given up.
constexpr Millis kAnswerGrace{2'000};
// A gang's start goes to its owner directly; without a reply for this long the
// owners are asked.
constexpr Millis kStartReplyTimeout{2'000};
// A live owner that does not answer questions for this many orphan_waits does
// not know the message (an older release) and is not waited for.
constexpr int kPatience = 3;

bool MayOwn(const MemberInfo& member) {
  return member.state == MemberState::kLive ||
         member.state == MemberState::kSuspect ||
         member.state == MemberState::kDraining;
}

}  // namespace

void ActiveJob::SetMembers(const std::vector<MemberInfo>& members) {
  std::set<MemberId> now_live;
  data_centres_.clear();
  for (const MemberInfo& member : members) {
    if (MayOwn(member)) {
      now_live.insert(member.id);
      data_centres_.insert(member.data_centre.str());
    }
  }
  const bool someone_left =
      std::any_of(members_.begin(), members_.end(),
                  [&](const MemberId& id) { return now_live.count(id) == 0; });
  std::set<MemberId> joined;
  std::set_difference(now_live.begin(), now_live.end(), members_.begin(),
                      members_.end(), std::inserter(joined, joined.end()));
  members_ = std::move(now_live);
  Fence(joined);
  // A member that left may have had the worker of a lost attempt for a while,
  // which prolonged the attempt's life.
  if (someone_left) {
    for (int64_t i : lost_) {
      LiveOf(i).lost_since = clock_.Now();
    }
  }
  for (int64_t i : active_) {
    const Live& live = LiveOf(i);
    if (!live.owner.empty() && members_.count(live.owner) == 0) {
      MarkLost(i);
    }
  }
}

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

void ActiveJob::OnWorkerTaken(const WorkerTaken& taken) {
  const std::set<TaskKey> running(taken.running.begin(), taken.running.end());
  std::vector<int64_t> found;
  for (const TaskKey& key : running) {
    if (const std::optional<int64_t> i = FindActive(key)) {
      found.push_back(*i);
      Found(*i, taken.owner);
      if (Task(*i).worker != taken.worker) {
        SetPlace(*i, taken.worker, "", "");
      }
      SetToken(*i, taken.token, taken.boot_id);
    }
  }
  // The worker's label may still name an earlier manager.
  AskOwner(taken.owner, found);
  if (in_worker_.count(taken.worker.str()) == 0) {
    return;
  }
  const std::vector<int64_t> indices(active_.begin(), active_.end());
  for (int64_t i : indices) {
    if (Task(i).worker == taken.worker && running.count(KeyOf(i)) == 0) {
      OnMissing(i, taken);
    }
  }
}

// The worker's new owner does not list the attempt.
void ActiveJob::OnMissing(int64_t i, const WorkerTaken& taken) {
  Live& live = LiveOf(i);
  if (live.boot_id != taken.boot_id) {
    // Boot ids have no order, so the list may be the older one; all owners are
    // asked.
    MarkLost(i);
    return;
  }
  if (live.token >= taken.token || live.gone_at) {
    return;  // started after the list was made
  }
  // An accepted attempt did start, whatever the list says.
  const bool started = Task(i).phase == TaskPhase::kRunning || taken.reboot;
  live.gone_at = clock_.Now() + kAnswerGrace;
  live.gone_ran = started ? Ran::kUnknown : Ran::kNo;
  gone_.insert(i);
}

void ActiveJob::SetToken(int64_t i,
                         uint64_t token,
                         const std::string& boot_id) {
  LiveOf(i).token = token;
  LiveOf(i).boot_id = boot_id;
}

void ActiveJob::OnQueryReply(const MemberId& owner,
                             const JobQueryReply& reply) {
  if (reply.epoch != record_.epoch) {
    return;
  }
  for (const JobAttempt& present : reply.present) {
    const std::optional<int64_t> i = FindActive(present.key);
    if (i && members_.count(owner) > 0) {
      Found(*i, owner);
      if (Task(*i).worker != present.worker) {
        SetPlace(*i, present.worker, "", "");
        SetToken(*i, 0, "");
      }
    }
  }
  if (reply.round == kConfirmRound) {
    // An attempt that its owner no longer has was taken over by an owner whose
    // word was lost.
    for (int64_t i : std::set<int64_t>(active_)) {
      if (LiveOf(i).owner == owner && LiveOf(i).confirming) {
        MarkLost(i);
      }
    }
    return;
  }
  if (reply.round != round_) {
    return;
  }
  round_replies_.insert(owner);
  for (const TaskKey& key : reply.absent) {
    const std::optional<int64_t> i = FindActive(key);
    if (i && lost_.count(*i) > 0 && !Task(*i).worker.empty()) {
      EndAttempt(*i, false, Ran::kUnknown, "lost with its owner");
    }
  }
}

void ActiveJob::Found(int64_t i, const MemberId& owner) {
  Live& live = LiveOf(i);
  live.owner = owner;
  live.confirming = false;
  live.lost_since.reset();
  live.gone_at.reset();
  lost_.erase(i);
  gone_.erase(i);
  unaccepted_.erase(i);
  if (Task(i).phase != TaskPhase::kRunning) {
    Task(i).phase = TaskPhase::kRunning;
    live.started = clock_.Now();
    dirty_ = true;
  }
  if (members_.count(owner) == 0) {
    MarkLost(i);
  }
  if (live.stopping) {
    live.stop_sent = util::TimePoint{};
  }
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

void ActiveJob::MarkLost(int64_t i) {
  Live& live = LiveOf(i);
  if (!live.lost_since) {
    live.lost_since = clock_.Now();
    lost_.insert(i);
    unaccepted_.erase(i);
    round_at_ = util::TimePoint{};  // ask at once
  }
}

JobQuery ActiveJob::MakeQuery(uint64_t round) const {
  JobQuery query;
  query.job = record_.spec.id;
  query.manager = self_;
  query.epoch = record_.epoch;
  query.round = round;
  return query;
}

// A member that joined after the last round does not know the epoch, and would
// take a start of an earlier manager that was paused meanwhile.
void ActiveJob::Fence(const std::set<MemberId>& joined) {
  if (!claimed_) {
    return;  // nothing may be sent yet; the first round asks all members
  }
  for (const MemberId& member : joined) {
    listener_.SendToMember(member, MakeQuery(kConfirmRound));
  }
}

void ActiveJob::AskOwners() {
  const util::TimePoint now = clock_.Now();
  if (now - round_at_ < kQueryInterval) {
    return;
  }
  round_at_ = now;
  round_replies_.clear();
  JobQuery query = MakeQuery(++round_);
  for (int64_t i : lost_) {
    query.attempts.push_back({KeyOf(i), Task(i).worker});
  }
  for (const MemberId& member : std::set<MemberId>(members_)) {
    listener_.SendToMember(member, query);
  }
}

// Has the owner send answers of these attempts here and say whether it still
// has them.
void ActiveJob::AskOwner(const MemberId& owner,
                         const std::vector<int64_t>& indices) {
  if (indices.empty()) {
    return;
  }
  JobQuery query = MakeQuery(kConfirmRound);
  for (int64_t i : indices) {
    LiveOf(i).confirming = true;
    query.attempts.push_back({KeyOf(i), Task(i).worker});
  }
  listener_.SendToMember(owner, query);
}

void ActiveJob::ConfirmRunning() {
  const util::TimePoint now = clock_.Now();
  if (now - confirmed_at_ < kConfirmInterval) {
    return;
  }
  confirmed_at_ = now;
  std::map<MemberId, std::vector<int64_t>> by_owner;
  for (int64_t i : active_) {
    const Live& live = LiveOf(i);
    if (!live.owner.empty() && !live.lost_since && !live.gone_at) {
      by_owner[live.owner].push_back(i);
    }
  }
  for (const auto& [owner, indices] : by_owner) {
    AskOwner(owner, indices);
  }
}

void ActiveJob::EndLost() {
  const util::TimePoint now = clock_.Now();
  const bool all_replied =
      std::includes(round_replies_.begin(), round_replies_.end(),
                    members_.begin(), members_.end());
  const std::vector<int64_t> indices(lost_.begin(), lost_.end());
  for (int64_t i : indices) {
    const util::TimePoint since = *LiveOf(i).lost_since;
    const bool asked_after = round_at_ >= since + options_.orphan_wait;
    const bool given_up = now >= since + kPatience * options_.orphan_wait;
    if ((asked_after && all_replied) || given_up) {
      EndAttempt(i, false, Ran::kUnknown, "lost with its owner");
    }
  }
}

void ActiveJob::EndGone() {
  const util::TimePoint now = clock_.Now();
  const std::vector<int64_t> indices(gone_.begin(), gone_.end());
  for (int64_t i : indices) {
    if (now >= *LiveOf(i).gone_at) {
      EndAttempt(i, false, LiveOf(i).gone_ran, "lost with its worker");
    }
  }
  if (unaccepted_.empty() || Shape() != WorkShape::kGang) {
    return;
  }
  for (int64_t i : std::set<int64_t>(unaccepted_)) {
    if (now - LiveOf(i).sent_at >= kStartReplyTimeout) {
      MarkLost(i);
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
