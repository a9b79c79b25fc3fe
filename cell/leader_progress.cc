// What the leader must not lose: ends that executors may forget. All that has
// changed is written together, so the number of writes follows time, not the
// number of tasks. Each write has the leader's key as its condition, so a
// leader that was replaced writes nothing more, and the sequence key, so that a
// write whose answer was lost and that is done seconds later does not replace
// newer progress.
#include <algorithm>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Between two writes; ends of one interval share a write.
constexpr Millis kFlushInterval{25};
constexpr Millis kFlushTimeout{1'000};
constexpr Millis kFlushRetry{250};
// Beside two conditions and the sequence key.
constexpr size_t kMaxWrittenJobs = kMaxWriteEntries - 3;

}  // namespace

void CellLeader::MarkDirty(Job& job) {
  dirty_.insert(job.id());
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
  if (dirty_.empty()) {
    AcknowledgeEnds();
    return;
  }
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  write.conditions.emplace_back(kProgressSequenceKey, sequence_revision_);
  write.puts.emplace_back(kProgressSequenceKey,
                          std::to_string(leadership_.fence));
  std::map<JobId, JobState> written;
  for (const JobId& id : dirty_) {
    if (written.size() >= kMaxWrittenJobs) {
      break;
    }
    const Job& job = *jobs_.at(id);
    write.puts.emplace_back(ProgressKey(id), job.EncodeProgress());
    written[id] = job.state();
  }
  // Ends may be acknowledged only when every job they changed is in the write.
  std::map<ExecutorId, std::pair<int64_t, int64_t>> ends;
  if (written.size() == dirty_.size()) {
    for (const auto& [id, executor] : executors_) {
      if (executor->ends_read > executor->ends_stored) {
        ends[id] = {executor->born, executor->ends_read};
      }
    }
  }
  for (const auto& [id, state] : written) {
    dirty_.erase(id);
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
      dirty_.insert(id);
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
      Fenced("another member holds the leader's key");
      return;
    }
    // An earlier write without an answer was done after all.
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
      if (!found->second->timed()) {
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
    if (found != executors_.end() && found->second->born == end.first) {
      Executor& executor = *found->second;
      executor.ends_stored = std::max(executor.ends_stored, end.second);
      ScheduleHold(executor, now);
    }
  }
  if (!dirty_.empty()) {
    context_.defer(kFlushInterval, Guard([this] { Flush(); }));
  }
}

}  // namespace chivedale::cell
