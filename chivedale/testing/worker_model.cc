// The end of a task is dated by the worker's own clock: a task that the task
// lease stops has ended at the deadline of the lease even if the worker is
// paused, since a paused worker runs nothing and checks the lease first when it
// resumes.
//
// Sequence numbers are assigned when a completion becomes visible, so that "all
// up to `after`" stays valid for late or reordered completions.
#include "chivedale/testing/worker_model.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chivedale::testing {
namespace {

// P6: a leaving worker must get no new work after this time.
constexpr Millis kLeavingLimit{3'000};
// A repeated start that is older than this cannot still be in transit.
constexpr std::chrono::minutes kEndedRetention{10};
constexpr size_t kMaxUseSamples = 4'096;

struct TaskScript {
  Millis run{0};
  bool fail = false;
  int64_t used_cpu = -1;
  int64_t used_memory = -1;
  size_t answer_bytes = 0;
};

TaskScript ParseScript(const std::string& payload) {
  TaskScript script;
  if (payload.empty() || payload[0] != '{') {
    return script;
  }
  const auto json = nlohmann::json::parse(payload, nullptr, false);
  if (!json.is_object()) {
    return script;
  }
  try {
    script.run = Millis(json.value("run_ms", int64_t{0}));
    script.fail = json.value("fail", false);
    script.used_cpu = json.value("used_cpu_milli", int64_t{-1});
    script.used_memory = json.value("used_memory_mb", int64_t{-1});
    script.answer_bytes = json.value("answer_bytes", size_t{0});
  } catch (const nlohmann::json::exception&) {
    return {};
  }
  return script;
}

const std::string& Text(const Body& body) {
  static const std::string empty;
  return body ? *body : empty;
}

Completion BaseCompletion(const StartRequest& request,
                          util::TimePoint start,
                          util::TimePoint end,
                          const Resources& used) {
  Completion completion;
  completion.key = request.key;
  completion.entry = request.entry;
  completion.repeatable = request.repeatable;
  completion.run_time = std::chrono::duration_cast<Millis>(end - start);
  completion.peak_used = used;
  return completion;
}

}  // namespace

std::string ExpectedAnswer(const TaskId& task, const std::string& payload) {
  const uint64_t digest = util::Hash64(payload, util::Hash64(task.str()));
  nlohmann::json answer = {{"task", task.str()},
                           {"digest", std::to_string(digest)},
                           {"bytes", payload.size()}};
  const size_t padding = ParseScript(payload).answer_bytes;
  if (padding > 0) {
    answer["padding"] = std::string(padding, 'a' + digest % 26);
  }
  return answer.dump();
}

WorkerModel::WorkerModel(const util::Clock& clock,
                         util::Random& random,
                         TaskRunLog& task_runs,
                         WorkerOptions options)
    : clock_(clock),
      random_(random),
      task_runs_(task_runs),
      options_(std::move(options)),
      boot_id_(random.HexString(16)) {}

bool WorkerModel::LeaseIsValid() const {
  return !owner_.empty() && clock_.Now() < lease_end_;
}

bool WorkerModel::HasCurrentToken(const LeaseToken& token) const {
  return LeaseIsValid() && token.token == token_ && token.boot_id == boot_id_;
}

bool WorkerModel::Accepts(const LeaseToken& token) const {
  return !options_.fencing || HasCurrentToken(token);
}

util::TimePoint WorkerModel::OrphanDeadline() const {
  return lease_end_ + options_.orphan_ttl;
}

WorkerReport WorkerModel::Report() const {
  WorkerReport report;
  report.capacity = options_.capacity;
  report.lag = options_.usage_lag;
  report.leaving = leaving_ != LeavingMode::kStaying;
  report.fencing = options_.fencing;
  const util::TimePoint measured = clock_.Now() - options_.usage_lag;
  for (const auto& [at, used] : use_samples_) {
    if (at > measured) {
      break;
    }
    report.used = used;
  }
  return report;
}

LeaseResult WorkerModel::Lease(const MemberId& owner,
                               const LeaseToken& token,
                               Millis ttl) {
  Tick();
  const bool claim = token.token == 0;
  const bool held_by_other = LeaseIsValid() && owner != owner_;
  if (claim ? held_by_other : !HasCurrentToken(token) || owner != owner_) {
    LeaseResult refused;
    refused.status = WorkerCallStatus::kRefused;
    refused.report = Report();
    if (LeaseIsValid()) {
      refused.holder = owner_;
      refused.remaining = std::chrono::ceil<Millis>(lease_end_ - clock_.Now());
    }
    return refused;
  }
  if (claim) {
    ++token_;
    owner_ = owner;
    owner_has_list_ = false;
  }
  lease_end_ = clock_.Now() + ttl;
  return {
      WorkerCallStatus::kOk, {token_, boot_id_}, ttl, Report(), {}, Millis(0)};
}

WorkerCallStatus WorkerModel::Release(const MemberId& owner,
                                      const LeaseToken& token) {
  Tick();
  if (!HasCurrentToken(token) || owner != owner_) {
    return WorkerCallStatus::kRefused;
  }
  lease_end_ = clock_.Now();
  owner_ = MemberId();
  return WorkerCallStatus::kOk;
}

TaskList WorkerModel::List() {
  Tick();
  owner_has_list_ = true;
  TaskList list{WorkerCallStatus::kOk, {}};
  for (const auto& [key, task] : running_) {
    list.tasks.push_back(
        {key, task.request.kind, task.request.size, task.request.entry,
         task.request.repeatable,
         std::chrono::duration_cast<Millis>(clock_.Now() - task.start),
         task.used});
  }
  return list;
}

void WorkerModel::CountOverload(const StartRequest& request) {
  if (options_.fencing && owner_has_list_) {
    task_runs_.OnOverloadAttempt(options_.id, request.key);
  } else {
    task_runs_.OnExcusedOverload();
  }
}

StartOutcome WorkerModel::Start(const StartRequest& request) {
  Tick();
  if (!Accepts(request.token)) {
    return StartOutcome::kStaleToken;
  }
  if (running_.count(request.key) != 0 || ended_.count(request.key) != 0) {
    return StartOutcome::kAttemptKnown;
  }
  if (leaving_ == LeavingMode::kRefusing) {
    return StartOutcome::kLeaving;
  }
  if (!request.size.FitsIn(options_.capacity - committed_)) {
    CountOverload(request);
    return StartOutcome::kInsufficientCapacity;
  }
  const util::TimePoint now = clock_.Now();
  if (leaving_ != LeavingMode::kStaying &&
      now > leaving_since_ + kLeavingLimit) {
    task_runs_.OnStartWhenLeaving(options_.id, request.key);
  }
  const TaskScript script = ParseScript(Text(request.payload));
  Running task;
  task.request = request;
  task.start = now;
  task.fails = script.fail || faults_.fail_all;
  util::Duration run = std::chrono::duration_cast<util::Duration>(
      std::chrono::duration<double, std::milli>(script.run) * faults_.straggle);
  if (faults_.fail_all) {
    run = util::Duration(0);
  }
  if (request.longest_run > Millis(0) && run > request.longest_run) {
    run = request.longest_run;
    task.times_out = true;
  }
  task.end = now + run;
  task.used = request.size;
  task.used.cpu_milli =
      script.used_cpu >= 0 ? script.used_cpu : request.size.cpu_milli;
  task.used.memory_mb =
      script.used_memory >= 0 ? script.used_memory : request.size.memory_mb;
  committed_ += request.size;
  task_runs_.OnStart(options_.id, request.key, request.repeatable, now);
  running_.emplace(request.key, std::move(task));
  SampleUse(now);
  return StartOutcome::kAccepted;
}

void WorkerModel::SampleUse(util::TimePoint at) {
  Resources used;
  for (const auto& [key, task] : running_) {
    used += task.used;
  }
  use_samples_.emplace_back(at, used);
  while (use_samples_.size() > kMaxUseSamples ||
         (use_samples_.size() > 1 &&
          use_samples_[1].first <= at - options_.usage_lag)) {
    use_samples_.pop_front();
  }
}

void WorkerModel::Finish(TaskKey key,
                         Completion completion,
                         util::TimePoint at,
                         const std::string& outcome) {
  const auto it = running_.find(key);
  committed_ -= it->second.request.size;
  running_.erase(it);
  task_runs_.OnEnd(options_.id, key, outcome, at);
  ended_.emplace(key, at);
  ended_order_.emplace_back(at, std::move(key));
  SampleUse(at);
  Millis late = faults_.late;
  if (faults_.reorder && late > Millis(0)) {
    late = Millis(random_.UniformInt(static_cast<uint64_t>(late.count()) + 1));
  }
  delayed_.push_back({at + late, std::move(completion)});
}

void WorkerModel::EndDue(util::TimePoint now) {
  std::vector<std::pair<util::TimePoint, TaskKey>> due;
  for (const auto& [key, task] : running_) {
    if (task.end <= now) {
      due.emplace_back(task.end, key);
    }
  }
  std::sort(due.begin(), due.end());
  for (const auto& [at, key] : due) {
    const Running& task = running_.at(key);
    Completion completion =
        BaseCompletion(task.request, task.start, at, task.used);
    completion.ok = !task.fails && !task.times_out;
    std::string outcome = "ok";
    if (completion.ok) {
      completion.payload = std::make_shared<const std::string>(
          ExpectedAnswer(key.task, Text(task.request.payload)));
    } else {
      completion.error =
          task.fails ? ErrorKind::kTaskFailed : ErrorKind::kTimedOut;
      outcome = std::string(InfoForErrorKind(completion.error).name);
    }
    Finish(key, std::move(completion), at, outcome);
  }
}

void WorkerModel::StopOrphans(util::TimePoint now) {
  const util::TimePoint deadline = OrphanDeadline();
  if (now < deadline) {
    return;
  }
  while (!running_.empty()) {
    const Running& task = running_.begin()->second;
    Completion completion =
        BaseCompletion(task.request, task.start, deadline, task.used);
    // Stopped by the platform while running: its effects are not known.
    completion.error = ErrorKind::kOutcomeUnknown;
    completion.ran = Ran::kUnknown;
    Finish(task.request.key, std::move(completion), deadline, "orphaned");
  }
}

void WorkerModel::PublishDue(util::TimePoint now) {
  std::stable_sort(delayed_.begin(), delayed_.end(),
                   [](const DelayedCompletion& a, const DelayedCompletion& b) {
                     return a.visible < b.visible;
                   });
  size_t published = 0;
  while (published < delayed_.size() && delayed_[published].visible <= now) {
    Completion& completion = delayed_[published].completion;
    completion.sequence = ++sequence_;
    if (faults_.duplicate) {
      duplicates_.push_back(completion);
    }
    unacknowledged_.emplace(sequence_, std::move(completion));
    ++published;
  }
  delayed_.erase(delayed_.begin(),
                 delayed_.begin() + static_cast<long>(published));
}

void WorkerModel::Tick() {
  const util::TimePoint now = clock_.Now();
  if (!faults_.paused) {
    EndDue(std::min(now, OrphanDeadline()));
  }
  StopOrphans(now);
  if (faults_.paused) {
    return;
  }
  PublishDue(now);
  while (!ended_order_.empty() &&
         ended_order_.front().first + kEndedRetention < now) {
    ended_.erase(ended_order_.front().second);
    ended_order_.pop_front();
  }
}

util::TimePoint WorkerModel::NextEvent() const {
  util::TimePoint next = util::TimePoint::max();
  if (!running_.empty()) {
    next = OrphanDeadline();
  }
  if (faults_.paused) {
    return next;
  }
  for (const auto& [key, task] : running_) {
    next = std::min(next, task.end);
  }
  for (const DelayedCompletion& delayed : delayed_) {
    next = std::min(next, delayed.visible);
  }
  return next;
}

bool WorkerModel::HasCompletions(uint64_t after) const {
  return !duplicates_.empty() ||
         unacknowledged_.upper_bound(after) != unacknowledged_.end();
}

void WorkerModel::Acknowledge(const CompletionsRequest& request) {
  if (!Accepts(request.token)) {
    return;
  }
  for (uint64_t sequence : request.acks) {
    unacknowledged_.erase(sequence);
  }
}

CompletionsResult WorkerModel::Completions(const CompletionsRequest& request) {
  Tick();
  if (!Accepts(request.token)) {
    return {WorkerCallStatus::kRefused, {}};
  }
  Acknowledge(request);
  CompletionsResult result{WorkerCallStatus::kOk, std::move(duplicates_)};
  duplicates_.clear();
  for (auto it = unacknowledged_.upper_bound(request.after);
       it != unacknowledged_.end(); ++it) {
    result.completions.push_back(it->second);
  }
  if (faults_.reorder) {
    for (size_t i = result.completions.size(); i > 1; --i) {
      std::swap(result.completions[i - 1],
                result.completions[random_.UniformInt(i)]);
    }
  }
  return result;
}

WorkerCallStatus WorkerModel::Control(const LeaseToken& token,
                                      const TaskKey& key,
                                      TaskControl control) {
  Tick();
  const auto it = running_.find(key);
  if (it == running_.end() || !Accepts(token)) {
    return WorkerCallStatus::kRefused;
  }
  Running& task = it->second;
  const util::TimePoint now = clock_.Now();
  if (control == TaskControl::kThrottle) {
    task.used.cpu_milli /= 2;
    task.end += task.end - now;
    SampleUse(now);
    return WorkerCallStatus::kOk;
  }
  Completion completion =
      BaseCompletion(task.request, task.start, now, task.used);
  completion.error = ErrorKind::kCancelledRunning;
  completion.checkpointed = control == TaskControl::kCheckpoint;
  const char* outcome = completion.checkpointed ? "checkpointed" : "stopped";
  Finish(key, std::move(completion), now, outcome);
  PublishDue(now);
  return WorkerCallStatus::kOk;
}

void WorkerModel::Reboot() {
  const util::TimePoint now = clock_.Now();
  for (const auto& [key, task] : running_) {
    task_runs_.OnEnd(options_.id, key, "reboot", now);
  }
  running_.clear();
  ended_.clear();
  ended_order_.clear();
  delayed_.clear();
  unacknowledged_.clear();
  duplicates_.clear();
  committed_ = Resources();
  owner_ = MemberId();
  lease_end_ = now;
  token_ = 0;
  sequence_ = 0;
  boot_id_ = random_.HexString(16);
  SampleUse(now);
}

void WorkerModel::SetLeaving(LeavingMode mode) {
  leaving_ = mode;
  leaving_since_ = clock_.Now();
}

void WorkerModel::Resume() {
  // The lease is checked before any task continues.
  StopOrphans(clock_.Now());
  faults_.paused = false;
}

}  // namespace chivedale::testing
