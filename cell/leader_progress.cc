// Stores the progress of jobs, so that executors can discard the ends they have
// reported. Changes are batched, so the write rate is independent of the number
// of tasks. Each write is conditional on the leader key, so that a replaced
// leader cannot write, and on its lane's sequence key, so that an unanswered
// write that takes effect seconds later does not overwrite newer progress.
#include <algorithm>
#include <iterator>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Interval between the writes of a lane; ends within it share a write.
constexpr Millis kFlushInterval{25};
constexpr Millis kFlushTimeout{1'000};
constexpr Millis kFlushRetry{250};
// Time after which progress that the store has rejected is written again.
constexpr Millis kRejectedRetry{5'000};
// A write with more bytes of progress than this takes no further job.
constexpr size_t kMaxWriteBytes = size_t{1} << 20;

}  // namespace

std::string ProgressSequenceKey(size_t lane) {
  return lane == 0 ? kProgressSequencePrefix
                   : kProgressSequencePrefix + ("/" + std::to_string(lane));
}

void CellLeader::MarkDirty(Job& job) {
  progress_queue_.Add(job.id());
}

bool CellLeader::IsStored(const UnstoredEnd& end) const {
  return unread_jobs_.count(end.job) == 0 &&
         progress_queue_.IsStored(end.job, end.change);
}

// Whether an earlier leader may start the task of this end again, as it ended
// on an executor out of that leader's reach.
bool CellLeader::PredecessorMayRestart(const UnstoredEnd& end) const {
  if (end.job.empty() || !PredecessorMayAct()) {
    return false;
  }
  const auto job = jobs_.find(end.job);
  return PredecessorMayRestart(job == jobs_.end() ? nullptr
                                                  : job->second.get());
}

std::string_view CellLeader::ReasonOfUnstoredEnd(const UnstoredEnd& end) const {
  if (unread_jobs_.count(end.job) > 0) {
    return "the record of its job";
  }
  return IsStored(end) ? "executors without this leader's fence"
                       : "the store to take the progress of its job";
}

void CellLeader::AcknowledgeEnds(Executor& executor) {
  const int64_t before = executor.boot.ends_stored;
  std::deque<UnstoredEnd>& ends = executor.boot.unstored_ends;
  while (!ends.empty() && IsStored(ends.front()) &&
         !PredecessorMayRestart(ends.front())) {
    executor.boot.ends_stored =
        std::max(executor.boot.ends_stored, ends.front().number);
    ends.pop_front();
  }
  if (executor.boot.ends_stored > before) {
    ScheduleHold(executor, context_.clock.Now());
  }
}

void CellLeader::AcknowledgeEnds() {
  for (auto it = executors_with_unstored_ends_.begin();
       it != executors_with_unstored_ends_.end();) {
    Executor* executor = by_number_[*it];
    if (executor != nullptr) {
      AcknowledgeEnds(*executor);
    }
    const bool all =
        executor == nullptr || executor->boot.unstored_ends.empty();
    it = all ? executors_with_unstored_ends_.erase(it) : std::next(it);
  }
}

void CellLeader::RetryRejectedProgress() {
  const TimePoint now = context_.clock.Now();
  if (now >= next_rejected_retry_) {
    next_rejected_retry_ = now + kRejectedRetry;
    progress_queue_.RetryRejected();
  }
}

void CellLeader::Flush() {
  if (suspended_ || !loaded_) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  for (size_t lane = 0; lane < progress_queue_.lanes(); ++lane) {
    if (now >= lanes_[lane].next_flush && progress_queue_.MayWrite(lane)) {
      FlushLane(lane);
    }
  }
}

void CellLeader::FlushLane(size_t lane) {
  LaneState& state = lanes_[lane];
  const std::string sequence_key = ProgressSequenceKey(lane);
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  write.conditions.emplace_back(sequence_key, state.sequence_revision);
  write.puts.emplace_back(sequence_key, std::to_string(leadership_.fence));
  std::map<JobId, JobState> written;
  size_t bytes = 0;
  progress_queue_.Take(lane, [&](const JobId& id) {
    const Job& job = *jobs_.at(id);
    std::string progress = job.EncodeProgress(options_.max_value_bytes);
    bytes += progress.size();
    write.puts.emplace_back(ProgressKey(id), std::move(progress));
    written[id] = job.state();
    return bytes < kMaxWriteBytes;
  });
  state.next_flush = context_.clock.Now() + kFlushInterval;
  ++counts_.progress_writes;
  context_.store.Write(write, kFlushTimeout,
                       Guard([this, lane, written = std::move(written),
                              bytes](const StoreWriteReply& reply) {
                         if (reply.status == StoreStatus::kInvalid) {
                           ++counts_.rejected_writes;
                           context_.log.Write(
                               Event::kStoreWriteRejected,
                               {{"job", written.begin()->first},
                                {"jobs", std::to_string(written.size())},
                                {"bytes", std::to_string(bytes)}});
                         }
                         OnFlushed(lane, reply, written);
                       }));
}

void CellLeader::OnFlushed(size_t lane,
                           const StoreWriteReply& reply,
                           const std::map<JobId, JobState>& written) {
  LaneState& state = lanes_[lane];
  const TimePoint now = context_.clock.Now();
  progress_queue_.OnWritten(
      lane, reply.status == StoreStatus::kOk        ? WriteResult::kStored
            : reply.status == StoreStatus::kInvalid ? WriteResult::kRejected
                                                    : WriteResult::kFailed);
  if (reply.status == StoreStatus::kConflict) {
    bool leading = false;
    for (const StoreItem& item : reply.items) {
      leading = leading ||
                (item.key == kLeaderKey && item.revision == leadership_.fence);
      if (item.key == ProgressSequenceKey(lane)) {
        state.sequence_revision = item.revision;
      }
    }
    if (!leading) {
      OnFenced("another member holds the leader key");
      return;
    }
    // An earlier unanswered write has taken effect.
    state.next_flush = now;
  } else if (reply.status != StoreStatus::kOk) {
    state.next_flush = now + kFlushRetry;
  }
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  state.sequence_revision = reply.revision;
  for (const auto& [id, job_state] : written) {
    ShowStored(id, job_state);
  }
  AcknowledgeEnds();
  // More changes than one write holds are waiting: do not wait for the next
  // tick.
  if (progress_queue_.MayWrite(lane)) {
    context_.run_after(kFlushInterval, Guard([this] { Flush(); }));
  }
}

void CellLeader::ShowStored(const JobId& id, JobState state) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  Job& job = *found->second;
  job.MarkStored(state);
  if (state != JobState::kCompleted && state != JobState::kFailed) {
    return;
  }
  LogFields fields = {{"job", id},
                      {"queue", job.queue().name},
                      {"state", std::string(JobStateName(state))}};
  if (!job.recurring()) {
    context_.metrics.Observe(Timer::kTotal, job.queue().name, AgeOf(job));
    const Duration late = context_.clock.Now() - ObjectiveOf(job, 0);
    fields.emplace_back(
        "late_ms",
        std::to_string(std::chrono::duration_cast<Millis>(late).count()));
  }
  context_.log.Write(Event::kJobEnded, fields);
}

}  // namespace chivedale::cell
