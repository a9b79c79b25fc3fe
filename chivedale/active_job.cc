// Starts of tasks. An attempt is first numbered and recorded, and sent only
// after the record is in the store. Because of this order another manager can
// take over the job without starting a task twice. The end of attempts is
// handled in active_job_attempts.cc.
#include "chivedale/active_job.h"

#include <algorithm>
#include <memory>

namespace chivedale {
namespace {

constexpr size_t kMaxAvoid = 64;

// Appends the keys with the highest counts, at most `limit` of them.
void AppendHighestCounts(const std::map<std::string, int64_t>& counts,
                         size_t limit,
                         std::vector<std::string>& to) {
  std::vector<std::pair<int64_t, std::string>> order;
  order.reserve(counts.size());
  for (const auto& [name, count] : counts) {
    order.emplace_back(-count, name);
  }
  const size_t kept = std::min(limit, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(kept),
                    order.end());
  for (size_t i = 0; i < kept; ++i) {
    to.push_back(order[i].second);
  }
}

void Count(std::map<std::string, int64_t>& counts,
           const std::string& name,
           int64_t change) {
  if (name.empty()) {
    return;
  }
  int64_t& count = counts[name];
  count += change;
  if (count <= 0) {
    counts.erase(name);
  }
}

}  // namespace

ActiveJob::ActiveJob(const util::Clock& clock,
                     util::Random& random,
                     JobListener& listener,
                     MemberId self,
                     const JobManager::Options& options,
                     JobRecord record)
    : clock_(clock),
      random_(random),
      listener_(listener),
      self_(std::move(self)),
      options_(options),
      record_(std::move(record)),
      payload_(std::make_shared<const std::string>(record_.spec.payload)) {
  const auto stored = static_cast<int64_t>(record_.tasks.size());
  attempt_info_.resize(record_.tasks.size());
  for (int64_t i = 0; i < stored; ++i) {
    if (!IsActive(i)) {
      if (Task(i).phase == TaskPhase::kWaiting && i < record_.spec.tasks) {
        waiting_.emplace(clock_.Now(), i);
      }
      continue;
    }
    active_.insert(i);
    InfoOf(i).allowed = true;
    InfoOf(i).sent = true;
    const JobTaskRecord task = Task(i);
    Task(i).worker = WorkerId();
    SetPlace(i, task.worker, task.rack, task.data_centre);
    MarkLost(i);
  }
  Resize();
  dirty_ = false;
}

void ActiveJob::OnClaimed() {
  claimed_ = true;
  // The claim may have waited for the store, so the time for which the owners
  // were silent counts from now.
  for (int64_t i : lost_) {
    InfoOf(i).lost_since = clock_.Now();
  }
  if (record_.phase == JobPhase::kCancelling) {
    StopAll();
    return;
  }
  // A gang with both waiting and active tasks was being stopped; the stop is
  // continued.
  if (Shape() == WorkShape::kGang && !active_.empty() && !waiting_.empty()) {
    gang_stopping_ = true;
    StopActive();
  }
}

TaskKey ActiveJob::KeyOf(int64_t i) const {
  return {JobTaskId(record_.spec.id, i), record_.tasks[size_t(i)].attempt};
}

bool ActiveJob::IsActive(int64_t i) const {
  const TaskPhase phase = record_.tasks[size_t(i)].phase;
  return phase == TaskPhase::kStarting || phase == TaskPhase::kRunning;
}

std::optional<int64_t> ActiveJob::FindActive(const TaskKey& key) const {
  const std::optional<JobTaskName> name = ParseJobTaskId(key.task);
  if (!name || name->job != record_.spec.id ||
      name->index >= static_cast<int64_t>(record_.tasks.size()) ||
      !IsActive(name->index) ||
      record_.tasks[size_t(name->index)].attempt != key.attempt) {
    return std::nullopt;
  }
  return name->index;
}

WorkShape ActiveJob::Shape() const {
  const WorkRow* row = listener_.FindRow(record_.spec.kind);
  return row == nullptr ? WorkShape::kTask : row->shape;
}

void ActiveJob::OnGangHeld(const std::vector<GangSlot>& slots) {
  auto slot = slots.begin();
  const std::vector<int64_t> indices(to_send_.begin(), to_send_.end());
  for (int64_t i : indices) {
    if (slot == slots.end()) {
      return;
    }
    Send(i, &*slot);
    ++slot;
  }
}

void ActiveJob::MergeEdit(const JobRecord& stored) {
  if (stored.spec.tasks != record_.spec.tasks) {
    record_.spec.tasks = stored.spec.tasks;
    Resize();
  }
  if (stored.phase == JobPhase::kCancelling &&
      record_.phase == JobPhase::kActive) {
    record_.phase = JobPhase::kCancelling;
    record_.reason = stored.reason;
    dirty_ = true;
    StopAll();
  }
}

void ActiveJob::Resize() {
  const auto known = static_cast<int64_t>(record_.tasks.size());
  // Tasks beyond a reduced count keep their records, because attempt numbers
  // must not be reused if the count is raised again.
  if (record_.spec.tasks > known) {
    record_.tasks.resize(size_t(record_.spec.tasks));
    attempt_info_.resize(record_.tasks.size());
  }
  std::set<int64_t> queued;
  for (const auto& [not_before, i] : waiting_) {
    queued.insert(i);
  }
  const auto total = static_cast<int64_t>(record_.tasks.size());
  for (int64_t i = 0; i < total; ++i) {
    const bool wanted = i < record_.spec.tasks;
    if (!wanted && IsActive(i)) {
      Stop(i);
    } else if (wanted && Task(i).phase == TaskPhase::kWaiting) {
      if (queued.count(i) == 0) {
        waiting_.emplace(clock_.Now(), i);
      }
    }
  }
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    it = it->second >= record_.spec.tasks ? waiting_.erase(it) : std::next(it);
  }
}

void ActiveJob::Advance() {
  EndAbsent();
  if (!lost_.empty()) {
    QueryOwners();
    EndLost();
  }
  ConfirmRunning();
  ResendStops();
  if (record_.phase == JobPhase::kActive) {
    if (Shape() == WorkShape::kGang) {
      StartGang();
    } else {
      StartDue();
    }
    SendAllowed();
  }
  CheckEnd();
}

void ActiveJob::StartDue() {
  const util::TimePoint now = clock_.Now();
  if (waiting_.empty() || waiting_.begin()->first > now ||
      listener_.FindRow(record_.spec.kind) == nullptr) {
    return;
  }
  int64_t starting = std::count_if(
      active_.begin(), active_.end(),
      [this](int64_t i) { return Task(i).phase == TaskPhase::kStarting; });
  while (!waiting_.empty() && waiting_.begin()->first <= now &&
         starting < options_.max_starting) {
    BeginFirst();
    ++starting;
  }
}

void ActiveJob::StartGang() {
  const bool all_wait =
      static_cast<int64_t>(waiting_.size()) == record_.spec.tasks;
  if (!all_wait || waiting_.rbegin()->first > clock_.Now()) {
    return;
  }
  gang_stopping_ = false;
  while (!waiting_.empty()) {
    BeginFirst();
  }
}

void ActiveJob::BeginFirst() {
  const int64_t i = waiting_.begin()->second;
  waiting_.erase(waiting_.begin());
  JobTaskRecord& task = Task(i);
  task.phase = TaskPhase::kStarting;
  ++task.attempt;
  InfoOf(i) = AttemptInfo();
  active_.insert(i);
  dirty_ = true;
}

bool ActiveJob::NeedsGangCapacity() const {
  return record_.phase == JobPhase::kActive && !gang_stopping_ &&
         Shape() == WorkShape::kGang &&
         static_cast<int64_t>(to_send_.size()) == record_.spec.tasks;
}

void ActiveJob::SendAllowed() {
  const WorkShape shape = Shape();
  if (shape == WorkShape::kGang ||
      listener_.FindRow(record_.spec.kind) == nullptr) {
    return;
  }
  while (!to_send_.empty()) {
    // Starts the tasks of a service one at a time, because the avoid list of
    // each start depends on where the previous one was placed.
    if (shape == WorkShape::kService && !unaccepted_.empty()) {
      return;
    }
    Send(*to_send_.begin(), nullptr);
  }
}

void ActiveJob::Send(int64_t i, const GangSlot* slot) {
  const WorkRow* row = listener_.FindRow(record_.spec.kind);
  if (row == nullptr) {
    return;
  }
  Dispatch dispatch;
  dispatch.key = KeyOf(i);
  dispatch.entry = self_;
  dispatch.kind = row->kind;
  dispatch.size = row->size;
  dispatch.expected_run = row->expected_run;
  dispatch.longest_run = row->longest_run;
  dispatch.urgency = row->urgency;
  dispatch.repeatable = row->repeatable;
  dispatch.checkpoint = row->checkpoint;
  dispatch.job_epoch = record_.epoch;
  dispatch.payload = payload_;
  AttemptInfo& info = InfoOf(i);
  to_send_.erase(i);
  unaccepted_.insert(i);
  info.sent = true;
  info.sent_at = clock_.Now();
  if (slot != nullptr) {
    dispatch.worker = slot->worker;
    dispatch.hold = slot->hold;
    info.owner = slot->owner;
    SetPlace(i, slot->worker, "", "");
    listener_.SendToMember(slot->owner, dispatch);
    return;
  }
  if (row->shape == WorkShape::kService) {
    dispatch.avoid = AvoidList();
  }
  listener_.Enqueue(dispatch, clock_.Now());
}

std::vector<std::string> ActiveJob::AvoidList() const {
  std::vector<std::string> avoid;
  std::map<std::string, int64_t> data_centres = in_data_centre_;
  for (const std::string& name : data_centres_) {
    data_centres.try_emplace(name, 0);
  }
  int64_t least = record_.spec.tasks;
  for (const auto& [name, count] : data_centres) {
    least = std::min(least, count);
  }
  for (const auto& [name, count] : data_centres) {
    if (count > least) {
      avoid.push_back(name);
    }
  }
  AppendHighestCounts(in_rack_, kMaxAvoid, avoid);
  AppendHighestCounts(in_worker_, kMaxAvoid, avoid);
  return avoid;
}

void ActiveJob::SetPlace(int64_t i,
                         const WorkerId& worker,
                         const std::string& rack,
                         const std::string& data_centre) {
  ClearPlace(i);
  JobTaskRecord& task = Task(i);
  task.worker = worker;
  task.rack = rack;
  task.data_centre = data_centre;
  Count(in_worker_, worker.str(), 1);
  Count(in_rack_, rack, 1);
  Count(in_data_centre_, data_centre, 1);
  dirty_ = true;
}

void ActiveJob::ClearPlace(int64_t i) {
  JobTaskRecord& task = Task(i);
  Count(in_worker_, task.worker.str(), -1);
  Count(in_rack_, task.rack, -1);
  Count(in_data_centre_, task.data_centre, -1);
  task.worker = WorkerId();
  task.rack.clear();
  task.data_centre.clear();
}

JobRecord ActiveJob::Snapshot(JobWriteEffects& effects) {
  for (int64_t i : active_) {
    if (Task(i).phase == TaskPhase::kStarting && !InfoOf(i).allowed) {
      effects.starts.emplace_back(i, Task(i).attempt);
    }
  }
  effects.ends = std::move(ends_);
  effects.acks = std::move(acks_);
  ends_.clear();
  acks_.clear();
  dirty_ = false;
  return record_;
}

void ActiveJob::OnNotWritten(const JobWriteEffects& effects) {
  ends_.insert(ends_.end(), effects.ends.begin(), effects.ends.end());
  acks_.insert(acks_.end(), effects.acks.begin(), effects.acks.end());
  dirty_ = true;
}

void ActiveJob::OnWritten(const JobWriteEffects& effects) {
  for (const auto& [i, attempt] : effects.starts) {
    if (IsActive(i) && Task(i).attempt == attempt && !InfoOf(i).sent) {
      InfoOf(i).allowed = true;
      to_send_.insert(i);
    }
  }
  for (const auto& [i, attempt] : effects.ends) {
    if (Task(i).attempt == attempt && !IsActive(i)) {
      InfoOf(i).end_recorded = true;
    }
  }
  for (const auto& [owner, key] : effects.acks) {
    listener_.SendToMember(owner, AnswerAck{key});
  }
}

// Includes running attempts: their answers go to the next manager, so the
// listener would otherwise count them as running here forever.
void ActiveJob::Abandon() {
  for (int64_t i : active_) {
    listener_.RemoveFromQueue(KeyOf(i));
  }
}

bool ActiveJob::ended() const {
  return record_.phase == JobPhase::kSucceeded ||
         record_.phase == JobPhase::kFailed ||
         record_.phase == JobPhase::kCancelled;
}

JobStatus ActiveJob::Status() const {
  JobStatus status = StatusOf(record_);
  for (size_t i = 0; i < status.tasks.size(); ++i) {
    status.tasks[i].owner = attempt_info_[i].owner;
  }
  return status;
}

}  // namespace chivedale
