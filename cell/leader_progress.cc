// Stores the progress of jobs, so that executors can discard the ends they have
// reported. Changes are batched, so the write rate is independent of the number
// of tasks. Each write is conditional on the leader key, so that a replaced
// leader cannot write, and on the sequence key, so that an unanswered write
// that takes effect seconds later does not overwrite newer progress.
#include <algorithm>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Interval between writes; ends within it share a write.
constexpr Millis kFlushInterval{25};
constexpr Millis kFlushTimeout{1'000};
constexpr Millis kFlushRetry{250};
// A write also contains two conditions and the sequence key.
constexpr size_t kMaxWrittenJobs = kMaxWriteEntries - 3;

}  // namespace

void CellLeader::MarkDirty(Job& job) {
  dirty_jobs_.insert(job.id());
}

void CellLeader::AcknowledgeEnds() {
  const TimePoint now = context_.clock.Now();
  for (auto& [id, executor] : executors_) {
    if (executor->ends_read > executor->ends_stored) {
      executor->ends_stored = executor->ends_read;
      ScheduleHold(*executor, now);
    }
  }
}

void CellLeader::Flush() {
  if (flush_in_flight_ || suspended_ || !loaded_) {
    return;
  }
  if (dirty_jobs_.empty()) {
    // No job has unstored changes, so the ends need no write before they are
    // acknowledged.
    AcknowledgeEnds();
    return;
  }
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  write.conditions.emplace_back(kProgressSequenceKey, sequence_revision_);
  write.puts.emplace_back(kProgressSequenceKey,
                          std::to_string(leadership_.fence));
  std::map<JobId, JobState> written;
  for (const JobId& id : dirty_jobs_) {
    if (written.size() >= kMaxWrittenJobs) {
      break;
    }
    const Job& job = *jobs_.at(id);
    write.puts.emplace_back(ProgressKey(id), job.EncodeProgress());
    written[id] = job.state();
  }
  // Ends may be acknowledged only if the write includes every job they changed.
  std::map<ExecutorId, std::pair<int64_t, int64_t>> ends;
  if (written.size() == dirty_jobs_.size()) {
    for (const auto& [id, executor] : executors_) {
      if (executor->ends_read > executor->ends_stored) {
        ends[id] = {executor->incarnation, executor->ends_read};
      }
    }
  }
  for (const auto& [id, state] : written) {
    dirty_jobs_.erase(id);
  }
  flush_in_flight_ = true;
  next_flush_ = context_.clock.Now() + kFlushInterval;
  ++counts_.progress_writes;
  context_.store.Write(
      write, kFlushTimeout,
      Guard([this, written, ends](const StoreWriteReply& reply) {
        OnFlushed(reply, written, ends);
      }));
}

void CellLeader::OnFlushed(
    const StoreWriteReply& reply,
    const std::map<JobId, JobState>& written,
    const std::map<ExecutorId, std::pair<int64_t, int64_t>>& ends) {
  flush_in_flight_ = false;
  if (reply.status != StoreStatus::kOk) {
    for (const auto& [id, state] : written) {
      dirty_jobs_.insert(id);
    }
    next_flush_ = context_.clock.Now() + kFlushRetry;
  }
  if (reply.status == StoreStatus::kConflict) {
    bool leading = false;
    for (const StoreItem& item : reply.items) {
      leading = leading ||
                (item.key == kLeaderKey && item.revision == leadership_.fence);
      if (item.key == kProgressSequenceKey) {
        sequence_revision_ = item.revision;
      }
    }
    if (!leading) {
      OnFenced("another member holds the leader key");
      return;
    }
    // An earlier unanswered write has taken effect.
    next_flush_ = context_.clock.Now();
  }
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  sequence_revision_ = reply.revision;
  for (const auto& [id, state] : written) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
      continue;
    }
    found->second->MarkStored(state);
    if (state == JobState::kCompleted || state == JobState::kFailed) {
      if (!found->second->recurring()) {
        context_.metrics.Observe(Timer::kTotal, found->second->queue().name,
                                 AgeOf(*found->second));
      }
      context_.log.Write(Event::kJobEnded,
                         {{"job", id},
                          {"queue", found->second->queue().name},
                          {"state", std::string(JobStateName(state))}});
    }
  }
  const TimePoint now = context_.clock.Now();
  for (const auto& [id, end] : ends) {
    const auto found = executors_.find(id);
    if (found != executors_.end() && found->second->incarnation == end.first) {
      Executor& executor = *found->second;
      executor.ends_stored = std::max(executor.ends_stored, end.second);
      ScheduleHold(executor, now);
    }
  }
  if (!dirty_jobs_.empty()) {
    context_.run_after(kFlushInterval, Guard([this] { Flush(); }));
  }
}

}  // namespace chivedale::cell
