// Stored progress contains only what a new leader cannot read from the
// executors: acknowledged ends, failed runs and checkpoints. Active runs are
// not stored because each executor lists its own. Of a recurring job, it lists
// the open occurrences; all others up to the latest opened one are finished.
#include "cell/job.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "cell/decode.h"
#include "cell/pass_order.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

// An earlier leader's clock may have been ahead of this one by this time.
constexpr Millis kMaxClockLead = std::chrono::hours(24);
// Finished occurrences that are listed all the same, for leaders of the version
// that opens each one that is not listed.
constexpr int kMaxListedFinished = 256;
constexpr int64_t kMaxListedTasks = 16'384;
// Upper bounds of the encoded progress of a job, an occurrence and a step
// beside that of their tasks.
constexpr size_t kJobBytes = 64;
constexpr size_t kOccurrenceBytes = 16;
constexpr size_t kStepBytes = 8;
// Of a wall clock's time since its epoch.
constexpr int64_t kMaxWallMillis = int64_t{1} << 52;

int64_t Integer(const json& value, int64_t min, int64_t max) {
  const auto number = IntegerIn(value, min, max);
  if (!number) {
    throw std::runtime_error("a number is missing or out of range");
  }
  return *number;
}

int64_t Clamped(const json& value, int64_t min, int64_t max) {
  return std::clamp(Integer(value, INT64_MIN, INT64_MAX), min, max);
}

int Count(const json& value, int64_t min, int64_t max) {
  return static_cast<int>(Integer(value, min, max));
}

std::string Text(const json& value, size_t max_bytes = std::string::npos) {
  auto text = TextIn(value, max_bytes);
  if (!text) {
    throw std::runtime_error("a text is missing or too long");
  }
  return std::move(*text);
}

json EncodeSize(const Resources& size) {
  return json::array({size.cpu_milli, size.memory_mb, size.accelerators});
}

Resources DecodeSize(const json& value) {
  Resources size;
  size.cpu_milli = Integer(value.at(0), 0, kMaxAmount);
  size.memory_mb = Integer(value.at(1), 0, kMaxAmount);
  size.accelerators = Integer(value.at(2), 0, kMaxAmount);
  return size;
}

json EncodeStep(const StepSpec& step) {
  return json::array(
      {step.count, EncodeSize(step.size), step.estimate.count(),
       step.depends_on, step.checkpoints, step.gang, step.same_rack, step.label,
       step.preferred_rack, step.max_per_executor, step.copies_allowed,
       step.long_running, step.image, step.tail_latency_target.count(),
       step.fills, step.max_unavailable});
}

StepSpec DecodeStep(const json& value) {
  StepSpec step;
  size_t i = 0;
  const auto next = [&]() -> const json& { return value.at(i++); };
  step.count = Count(next(), 1, kMaxTasksPerStep);
  step.size = DecodeSize(next());
  step.estimate =
      std::min(Millis(Integer(next(), 0, kMaxAmount)), kMaxDuration);
  for (const json& earlier : next()) {
    step.depends_on.push_back(Count(earlier, 0, kMaxSteps));
  }
  step.checkpoints = next().get<bool>();
  step.gang = next().get<bool>();
  step.same_rack = next().get<bool>();
  step.label = Text(next());
  step.preferred_rack = Text(next());
  step.max_per_executor = Count(next(), 0, kMaxTasksPerStep);
  step.copies_allowed = next().get<bool>();
  step.long_running = next().get<bool>();
  step.image = Text(next());
  step.tail_latency_target = Millis(Integer(next(), 0, kMaxAmount));
  step.fills = next().get<bool>();
  step.max_unavailable = Count(next(), 0, kMaxTasksPerStep);
  return step;
}

json EncodeQueue(const QueuePolicy& queue) {
  json advice = nullptr;
  if (queue.advice) {
    advice = json::array({queue.advice->call_time.count(),
                          queue.advice->time_per_executor.count(),
                          queue.advice->validity.count()});
  }
  return json::array({queue.name, queue.pool, queue.priority,
                      queue.max_attempts, queue.objective_factor,
                      queue.objective_slack.count(), advice});
}

// The version that accepted the job may have had wider limits: numbers are
// clamped, and texts of any length accepted.
QueuePolicy DecodeQueue(const json& value) {
  QueuePolicy queue;
  queue.name = Text(value.at(0));
  queue.pool = Text(value.at(1));
  queue.priority =
      static_cast<int>(Clamped(value.at(2), -kMaxPriority, kMaxPriority));
  queue.max_attempts = static_cast<int>(Clamped(value.at(3), 1, kMaxAttempts));
  if (!value.at(4).is_number() || std::isnan(value.at(4).get<double>())) {
    throw std::runtime_error("the factor of the objective is not a number");
  }
  queue.objective_factor = ClampedNumber(value.at(4), 0, kMaxObjectiveFactor);
  queue.objective_slack = Millis(Clamped(value.at(5), 0, kMaxAmount));
  if (const json& advice = value.at(6); !advice.is_null()) {
    constexpr int64_t kLongest = Duration(kMaxDuration).count();
    queue.advice =
        AdvicePolicy{Duration(Clamped(advice.at(0), 0, kLongest)),
                     Duration(Clamped(advice.at(1), 0, kLongest)),
                     Millis(Clamped(advice.at(2), 0, kMaxDuration.count()))};
  }
  return queue;
}

std::string ToMsgpack(const json& value) {
  std::string bytes;
  json::to_msgpack(value, bytes);
  return bytes;
}

Millis CriticalPath(const std::vector<StepSpec>& steps) {
  std::vector<Millis> ends(steps.size(), Millis(0));
  Millis longest{0};
  for (size_t i = 0; i < steps.size(); ++i) {
    Millis begin{0};
    for (const int earlier : steps[i].depends_on) {
      begin = std::max(begin, ends[static_cast<size_t>(earlier)]);
    }
    ends[i] = begin + steps[i].estimate;
    longest = std::max(longest, ends[i]);
  }
  return std::min(longest, kMaxDuration);
}

// By step, the length of the longest path that begins with it.
std::vector<Millis> PathsFrom(const std::vector<StepSpec>& steps) {
  std::vector<Millis> after(steps.size(), Millis(0));
  std::vector<Millis> from(steps.size(), Millis(0));
  for (size_t i = steps.size(); i-- > 0;) {
    from[i] = std::min(after[i] + steps[i].estimate, kMaxDuration);
    for (const int earlier : steps[i].depends_on) {
      Millis& longest = after[static_cast<size_t>(earlier)];
      longest = std::max(longest, from[i]);
    }
  }
  return from;
}

void ValidateSteps(const std::vector<StepSpec>& steps) {
  for (size_t i = 0; i < steps.size(); ++i) {
    for (const int earlier : steps[i].depends_on) {
      if (earlier < 0 || static_cast<size_t>(earlier) >= i) {
        throw std::runtime_error("a step depends on one that is not earlier");
      }
    }
  }
}

}  // namespace

json EncodeOwner(const JobRecord& record) {
  const AccountPolicy& policy = record.owner.policy;
  const std::string& key_digest = record.owner.key_digest;
  const std::vector<uint8_t> digest(key_digest.begin(), key_digest.end());
  return json::array({record.owner.account, policy.weight,
                      policy.limit.cpu_milli, policy.limit.memory_mb,
                      policy.limit.accelerators, json::binary(digest)});
}

void DecodeOwner(const json& value, JobRecord& record) {
  record.owner.account = Text(value.at(0));
  AccountPolicy& policy = record.owner.policy;
  policy.weight = ClampedNumber(value.at(1), 0, kMaxAccountWeight);
  policy.limit.cpu_milli = Clamped(value.at(2), 0, kMaxAccountLimit);
  policy.limit.memory_mb = Clamped(value.at(3), 0, kMaxAccountLimit);
  policy.limit.accelerators = Clamped(value.at(4), 0, kMaxAccountLimit);
  const auto& digest = value.at(5).get_binary();
  record.owner.key_digest.assign(digest.begin(), digest.end());
}

std::string EncodeJobRecord(const JobRecord& record) {
  json steps = json::array();
  for (const StepSpec& step : record.spec.steps) {
    steps.push_back(EncodeStep(step));
  }
  json value = json::array({EncodeQueue(record.queue), record.spec.payload,
                            std::move(steps), record.spec.occurrences,
                            record.spec.first_start.time_since_epoch().count(),
                            record.spec.interval.count(),
                            record.accepted.time_since_epoch().count()});
  // Earlier versions read only the elements above.
  if (!record.owner.account.empty()) {
    value.push_back(EncodeOwner(record));
  }
  return ToMsgpack(value);
}

JobRecord DecodeJobRecord(const std::string& bytes) {
  try {
    const json value = ParseMsgpack(bytes);
    JobRecord record;
    record.queue = DecodeQueue(value.at(0));
    record.spec.payload = Text(value.at(1));
    const json& steps = value.at(2);
    if (!steps.is_array() || steps.empty() || steps.size() > kMaxSteps) {
      throw std::runtime_error("the steps are missing, or too many");
    }
    for (const json& step : steps) {
      record.spec.steps.push_back(DecodeStep(step));
    }
    record.spec.occurrences = Count(value.at(3), 0, kMaxOccurrences);
    record.spec.first_start =
        WallTime(Millis(Integer(value.at(4), 0, kMaxWallMillis)));
    record.spec.interval = Millis(Integer(value.at(5), 0, kMaxAmount));
    record.accepted =
        WallTime(Millis(Integer(value.at(6), 0, kMaxClock.count())));
    if (value.size() > 7) {
      DecodeOwner(value.at(7), record);
    }
    ValidateSteps(record.spec.steps);
    return record;
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("job record: ") + error.what());
  }
}

Caller StoredOwner(const std::string& bytes) {
  try {
    return DecodeJobRecord(bytes).owner;
  } catch (const std::runtime_error&) {
    return {};
  }
}

std::optional<JobState> StoredState(const std::string& progress) {
  const json value = ParseMsgpack(progress);
  if (!value.is_array() || value.size() < 2 || !value[0].is_string() ||
      !value[1].is_boolean()) {
    return std::nullopt;
  }
  const auto state = ParseJobState(value[0].get<std::string>());
  return state == JobState::kQueued && value[1].get<bool>() ? JobState::kRunning
                                                            : state;
}

bool Occurrence::HasRuns() const {
  return std::any_of(steps.begin(), steps.end(),
                     [](const Step& step) { return !step.live_on.empty(); });
}

bool Occurrence::Finished() const {
  return std::all_of(steps.begin(), steps.end(),
                     [](const Step& step) { return step.Finished(); });
}

Job::Job(JobId id, JobRecord record, int64_t revision)
    : id_(std::move(id)),
      record_(std::move(record)),
      revision_(revision),
      chain_estimate_(CriticalPath(record_.spec.steps)),
      chains_from_(PathsFrom(record_.spec.steps)) {
  for (const StepSpec& step : record_.spec.steps) {
    work_ += DeclaredWork(step, step.count);
  }
}

Occurrence& Job::Open(int number, TimePoint now) {
  Occurrence& occurrence = open_[number];
  occurrence.number = number;
  occurrence.due = record_.spec.first_start + number * record_.spec.interval;
  occurrence.steps.resize(record_.spec.steps.size());
  for (size_t i = 0; i < occurrence.steps.size(); ++i) {
    Step& step = occurrence.steps[i];
    step.job = this;
    step.spec = &record_.spec.steps[i];
    step.occurrence = number;
    step.index = static_cast<int>(i);
    step.tasks.resize(static_cast<size_t>(step.spec->count));
    open_tasks_ += step.spec->count;
    step.ready_since = now;
  }
  return occurrence;
}

WallTime Job::NextDue() const {
  const int total = recurring() ? record_.spec.occurrences : 1;
  if (terminal() || next_occurrence_ >= total) {
    return WallTime::max();
  }
  return recurring() ? record_.spec.first_start +
                           next_occurrence_ * record_.spec.interval
                     : WallTime::min();
}

bool Job::OpenDueOccurrences(WallTime wall_now, TimePoint now) {
  bool opened = false;
  while (NextDue() <= wall_now && open_tasks_ < kMaxOpenTasks) {
    const int number = next_occurrence_++;
    if (open_.count(number) == 0) {
      Open(number, now);
      opened = true;
    }
  }
  if (opened) {
    UpdateReady(now);
  }
  return opened;
}

bool Job::OpenStartedOccurrence(int number, WallTime wall_now, TimePoint now) {
  if (!recurring() || terminal() || number < next_occurrence_ ||
      open_.count(number) > 0 || number >= record_.spec.occurrences ||
      IsFarFromDue(number, wall_now)) {
    return false;
  }
  Open(number, now);
  UpdateReady(now);
  return true;
}

bool Job::IsFarFromDue(int number, WallTime wall_now) const {
  return recurring() &&
         record_.spec.first_start + number * record_.spec.interval >
             wall_now + kMaxClockLead;
}

bool Job::ListsFinished() const {
  int64_t tasks = 0;
  for (const StepSpec& step : record_.spec.steps) {
    tasks += step.count;
  }
  return next_occurrence_ <= kMaxListedFinished &&
         next_occurrence_ * tasks <= kMaxListedTasks;
}

std::vector<int> Job::RemovableOccurrences() const {
  std::vector<int> removable;
  for (const auto& [number, occurrence] : open_) {
    if (recurring() && number < next_occurrence_ && occurrence.Finished() &&
        !occurrence.HasRuns()) {
      removable.push_back(number);
    }
  }
  return removable;
}

void Job::RemoveOccurrence(int number) {
  open_.erase(number);
}

void Job::UpdateReady(TimePoint now) {
  for (auto& entry : open_) {
    Occurrence& occurrence = entry.second;
    for (Step& step : occurrence.steps) {
      if (step.ready) {
        continue;
      }
      step.ready = std::all_of(
          step.spec->depends_on.begin(), step.spec->depends_on.end(),
          [&](int earlier) {
            return occurrence.steps[static_cast<size_t>(earlier)].Finished();
          });
      if (step.ready) {
        step.ready_since = now;
      }
    }
  }
}

bool Job::OnDone(Step& step, int task) {
  if (step.tasks[static_cast<size_t>(task)].done || step.spec->long_running) {
    return false;
  }
  const int done_before = step.done;
  if (step.spec->gang) {
    for (Task& member : step.tasks) {
      member.done = true;
    }
    step.done = static_cast<int>(step.tasks.size());
  } else {
    step.tasks[static_cast<size_t>(task)].done = true;
    ++step.done;
  }
  open_tasks_ -= step.done - done_before;
  const auto occurrence = open_.find(step.occurrence);
  const int total = recurring() ? record_.spec.occurrences : 1;
  const bool all_done =
      next_occurrence_ >= total &&
      std::all_of(open_.begin(), open_.end(),
                  [](const auto& entry) { return entry.second.Finished(); });
  if (occurrence != open_.end() && all_done && !terminal()) {
    state_ = JobState::kCompleted;
  }
  return true;
}

bool Job::OnFailed(Step& step,
                   int task,
                   int64_t run,
                   const ExecutorId& executor) {
  Task& failed = step.tasks[static_cast<size_t>(task)];
  failed.failed_on.insert(executor);
  // A long-running task may fail any number of times.
  if (step.spec->long_running) {
    return false;
  }
  failed.failed_runs.insert(run);
  // The members of a gang share a run number, so that a run in which several
  // members fail counts as one failure.
  if (step.spec->gang) {
    for (Task& member : step.tasks) {
      member.failed_runs.insert(run);
    }
  }
  const auto failures = static_cast<int>(failed.failed_runs.size());
  if (terminal() || failed.done || failures < record_.queue.max_attempts) {
    return false;
  }
  state_ = JobState::kFailed;
  return true;
}

void Job::Cancel() {
  if (!terminal()) {
    state_ = JobState::kCancelled;
  }
}

bool Job::terminal() const {
  return state_ == JobState::kCompleted || state_ == JobState::kFailed ||
         state_ == JobState::kCancelled;
}

JobState Job::visible_state() const {
  if (terminal() &&
      (stored_state_ == state_ || state_ == JobState::kCancelled)) {
    return state_;
  }
  return any_started_ ? JobState::kRunning : JobState::kQueued;
}

Step* Job::FindStep(int occurrence, int step) {
  const auto found = open_.find(occurrence);
  if (found == open_.end() || step < 0 ||
      static_cast<size_t>(step) >= found->second.steps.size()) {
    return nullptr;
  }
  return &found->second.steps[static_cast<size_t>(step)];
}

std::string Job::EncodeProgress(size_t max_bytes) const {
  std::string bytes;
  for (const ProgressDetail detail :
       {ProgressDetail::kAll, ProgressDetail::kNoCheckpoints,
        ProgressDetail::kDoneOnly}) {
    bytes = Encode(detail);
    if (bytes.size() <= max_bytes) {
      break;
    }
  }
  return bytes;
}

size_t Job::MaxBareProgressBytes(const JobSpec& spec) {
  // One occurrence, and as many others as may be open beside it.
  constexpr size_t kTaskBytes = kOccurrenceBytes + kStepBytes + 1;
  size_t bytes = spec.occurrences > 0 ? kMaxOpenTasks * kTaskBytes : 0;
  for (const StepSpec& step : spec.steps) {
    bytes += static_cast<size_t>(step.count) + kStepBytes;
  }
  return bytes + kOccurrenceBytes + kJobBytes;
}

std::string Job::Encode(ProgressDetail detail) const {
  const std::string state(JobStateName(state_));
  if (terminal()) {
    return ToMsgpack(json::array({state, any_started_, json::array(), 0}));
  }
  json occurrences = json::array();
  if (ListsFinished()) {
    json finished = json::array();
    for (const StepSpec& step : record_.spec.steps) {
      finished.push_back(json::array(
          {std::string(static_cast<size_t>(step.count), '1'), json::array()}));
    }
    for (int number = 0; number < next_occurrence_; ++number) {
      if (open_.count(number) == 0) {
        occurrences.push_back(json::array({number, finished}));
      }
    }
  }
  for (const auto& [number, occurrence] : open_) {
    json steps = json::array();
    for (const Step& step : occurrence.steps) {
      std::string done(step.tasks.size(), '0');
      json unfinished = json::array();
      for (size_t i = 0; i < step.tasks.size(); ++i) {
        const Task& task = step.tasks[i];
        done[i] = task.done ? '1' : '0';
        const bool has_detail =
            !task.failed_runs.empty() ||
            (detail == ProgressDetail::kAll && !task.checkpoint.empty());
        if (!task.done && has_detail && detail != ProgressDetail::kDoneOnly) {
          unfinished.push_back(json::array(
              {i, task.failed_runs,
               detail == ProgressDetail::kAll ? task.checkpoint : ""}));
        }
      }
      steps.push_back(json::array({done, std::move(unfinished)}));
    }
    occurrences.push_back(json::array({number, std::move(steps)}));
  }
  return ToMsgpack(json::array(
      {state, any_started_, std::move(occurrences), next_occurrence_}));
}

void Job::DecodeProgress(const std::string& bytes,
                         WallTime wall_now,
                         TimePoint now) {
  try {
    const json value = ParseMsgpack(bytes);
    const auto state = ParseJobState(value.at(0).get<std::string>());
    if (!state) {
      throw std::runtime_error("unknown state");
    }
    any_started_ = value.at(1).get<bool>();
    // Read the state first: a job that is over has no open occurrences.
    if (*state == JobState::kCompleted || *state == JobState::kFailed ||
        *state == JobState::kCancelled) {
      state_ = *state;
      stored_state_ = *state;
      return;
    }
    const json& occurrences = value.at(2);
    if (!occurrences.is_array()) {
      throw std::runtime_error("the occurrences are not a list");
    }
    for (const json& stored : occurrences) {
      DecodeOccurrence(stored, wall_now, now);
    }
    // An earlier version lists all occurrences that it has opened.
    const int total = recurring() ? record_.spec.occurrences : 1;
    const int listed = open_.empty() ? 0 : open_.rbegin()->first + 1;
    const int next = value.size() > 3 ? Count(value.at(3), 0, total) : listed;
    if (next > 0 && IsFarFromDue(next - 1, wall_now)) {
      throw std::runtime_error("an occurrence is not due yet");
    }
    next_occurrence_ = next;
    OpenDueOccurrences(wall_now, now);
    UpdateReady(now);
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("job progress: ") + error.what());
  }
}

void Job::DecodeOccurrence(const json& stored,
                           WallTime wall_now,
                           TimePoint now) {
  const int total = recurring() ? record_.spec.occurrences : 1;
  const int number = Count(stored.at(0), 0, total - 1);
  if (IsFarFromDue(number, wall_now)) {
    throw std::runtime_error("an occurrence is not due yet");
  }
  if (open_.count(number) > 0) {
    throw std::runtime_error("an occurrence is listed twice");
  }
  Occurrence& occurrence = Open(number, now);
  size_t index = 0;
  for (const json& stored_step : stored.at(1)) {
    Step& step = occurrence.steps.at(index++);
    const std::string done =
        Text(stored_step.at(0), static_cast<size_t>(kMaxTasksPerStep));
    for (size_t i = 0; i < step.tasks.size() && i < done.size(); ++i) {
      step.tasks[i].done = done[i] == '1' && !step.spec->long_running;
    }
    step.done = static_cast<int>(
        std::count_if(step.tasks.begin(), step.tasks.end(),
                      [](const Task& task) { return task.done; }));
    open_tasks_ -= step.done;
    for (const json& unfinished_task : stored_step.at(1)) {
      const auto index_of_task = static_cast<size_t>(
          Integer(unfinished_task.at(0), 0, kMaxTasksPerStep));
      Task& task = step.tasks.at(index_of_task);
      std::set<int64_t> failed_runs;
      for (const json& run : unfinished_task.at(1)) {
        failed_runs.insert(Integer(run, 0, kMaxNumber));
      }
      task.checkpoint = Text(unfinished_task.at(2), kMaxTokenBytes);
      task.failed_runs = std::move(failed_runs);
    }
  }
}

}  // namespace chivedale::cell
