// Stored progress contains only what a new leader cannot read from the
// executors: acknowledged ends, failed runs and checkpoints. Active runs are
// not stored because each executor lists its own.
#include "cell/job.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "cell/decode.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

// An earlier leader's clock may have been ahead of this one by this time.
constexpr Millis kMaxClockLead = std::chrono::hours(24);
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

std::string EncodeJobRecord(const JobRecord& record) {
  json steps = json::array();
  for (const StepSpec& step : record.spec.steps) {
    steps.push_back(EncodeStep(step));
  }
  return ToMsgpack(
      json::array({EncodeQueue(record.queue), record.spec.payload,
                   std::move(steps), record.spec.occurrences,
                   record.spec.first_start.time_since_epoch().count(),
                   record.spec.interval.count(),
                   record.accepted.time_since_epoch().count()}));
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
    ValidateSteps(record.spec.steps);
    return record;
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("job record: ") + error.what());
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

namespace {

// Position of the executor in a list in order of executor numbers.
template <typename Tickets>
auto FindTicket(Tickets& tickets, size_t executor) {
  return std::lower_bound(tickets.begin(), tickets.end(), executor,
                          [](const StepTicket& ticket, size_t number) {
                            return ticket.executor < number;
                          });
}

}  // namespace

void StepAdvice::SetKind(size_t executor, Kind kind) {
  if (executor >= kinds_.size()) {
    kinds_.resize(executor + 1, Kind::kUnknown);
  }
  kinds_[executor] = kind;
}

void StepAdvice::SetGood(StepTicket ticket) {
  const size_t executor = ticket.executor;
  const auto at = FindTicket(good_, executor);
  if (KindOf(executor) == Kind::kGood) {
    *at = std::move(ticket);
  } else {
    good_.insert(at, std::move(ticket));
  }
  SetKind(executor, Kind::kGood);
}

void StepAdvice::SetBad(size_t executor) {
  Forget(executor);
  SetKind(executor, Kind::kBad);
}

void StepAdvice::Forget(size_t executor) {
  if (KindOf(executor) == Kind::kGood) {
    good_.erase(FindTicket(good_, executor));
  }
  if (executor < kinds_.size()) {
    kinds_[executor] = Kind::kUnknown;
  }
}

const StepTicket* StepAdvice::TicketOf(size_t executor) const {
  return KindOf(executor) == Kind::kGood ? &*FindTicket(good_, executor)
                                         : nullptr;
}

TaskName Step::NameOf(int task) const {
  return {job->id(), occurrence, index, task};
}

int Step::Waiting() const {
  return static_cast<int>(std::count_if(
      tasks.begin(), tasks.end(),
      [](const Task& task) { return !task.done && task.live == 0; }));
}

bool Occurrence::Finished() const {
  return std::all_of(steps.begin(), steps.end(),
                     [](const Step& step) { return step.Finished(); });
}

Job::Job(JobId id, JobRecord record, int64_t revision)
    : id_(std::move(id)),
      record_(std::move(record)),
      revision_(revision),
      chain_estimate_(CriticalPath(record_.spec.steps)) {}

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
  while (NextDue() <= wall_now) {
    Open(next_occurrence_++, now);
    opened = true;
  }
  if (opened) {
    UpdateReady(now);
  }
  return opened;
}

bool Job::OpenStartedOccurrence(int number, WallTime wall_now, TimePoint now) {
  if (!recurring() || terminal() || number < next_occurrence_ ||
      number >= record_.spec.occurrences ||
      record_.spec.first_start + number * record_.spec.interval >
          wall_now + kMaxClockLead) {
    return false;
  }
  while (next_occurrence_ <= number) {
    Open(next_occurrence_++, now);
  }
  UpdateReady(now);
  return true;
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
  if (step.spec->gang) {
    for (Task& member : step.tasks) {
      member.done = true;
    }
    step.done = static_cast<int>(step.tasks.size());
  } else {
    step.tasks[static_cast<size_t>(task)].done = true;
    ++step.done;
  }
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
  failed.failed_runs.insert(run);
  // The members of a gang share a run number, so that a run in which several
  // members fail counts as one failure.
  if (step.spec->gang) {
    for (Task& member : step.tasks) {
      member.failed_runs.insert(run);
    }
  }
  const auto failures = static_cast<int>(failed.failed_runs.size());
  if (step.spec->long_running || terminal() || failed.done ||
      failures < record_.queue.max_attempts) {
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

std::string Job::EncodeProgress() const {
  json occurrences = json::array();
  for (const auto& [number, occurrence] : open_) {
    json steps = json::array();
    for (const Step& step : occurrence.steps) {
      std::string done(step.tasks.size(), '0');
      json unfinished = json::array();
      for (size_t i = 0; i < step.tasks.size(); ++i) {
        const Task& task = step.tasks[i];
        done[i] = task.done ? '1' : '0';
        if (!task.done &&
            (!task.failed_runs.empty() || !task.checkpoint.empty())) {
          unfinished.push_back(
              json::array({i, task.failed_runs, task.checkpoint}));
        }
      }
      steps.push_back(json::array({done, std::move(unfinished)}));
    }
    occurrences.push_back(json::array({number, std::move(steps)}));
  }
  return ToMsgpack(
      json::array({std::string(JobStateName(state_)), any_started_,
                   terminal() ? json::array() : std::move(occurrences)}));
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
    OpenDueOccurrences(wall_now, now);
    const json& occurrences = value.at(2);
    if (!occurrences.is_array()) {
      throw std::runtime_error("the occurrences are not a list");
    }
    const int total = recurring() ? record_.spec.occurrences : 1;
    for (const json& stored : occurrences) {
      const int number = Count(stored.at(0), 0, total - 1);
      if (recurring() &&
          record_.spec.first_start + number * record_.spec.interval >
              wall_now + kMaxClockLead) {
        throw std::runtime_error("an occurrence is not due yet");
      }
      while (next_occurrence_ <= number) {
        Open(next_occurrence_++, now);
      }
      size_t index = 0;
      for (const json& stored_step : stored.at(1)) {
        Step& step = open_.at(number).steps.at(index++);
        const std::string done =
            Text(stored_step.at(0), static_cast<size_t>(kMaxTasksPerStep));
        for (size_t i = 0; i < step.tasks.size() && i < done.size(); ++i) {
          step.tasks[i].done = done[i] == '1';
        }
        step.done = static_cast<int>(
            std::count_if(step.tasks.begin(), step.tasks.end(),
                          [](const Task& task) { return task.done; }));
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
    UpdateReady(now);
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("job progress: ") + error.what());
  }
}

}  // namespace chivedale::cell
