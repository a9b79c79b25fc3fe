// Stores the progress of jobs, so that executors can discard the ends they have
// reported. Changes are batched, so the write rate is independent of the number
// of tasks. Each write is conditional on the leader key, so that a replaced
// leader cannot write, and on its lane's sequence key, so that an unanswered
// write that takes effect seconds later does not overwrite newer progress.
#include <algorithm>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Interval between the writes of a lane; ends within it share a write.
constexpr Millis kFlushInterval{25};
constexpr Millis kFlushTimeout{1'000};
constexpr Millis kFlushRetry{250};

}  // namespace

std::string ProgressSequenceKey(size_t lane) {
  return lane == 0 ? kProgressSequencePrefix
                   : kProgressSequencePrefix + ("/" + std::to_string(lane));
}

void CellLeader::MarkDirty(Job& job) {
  progress_queue_.Add(job.id());
}

void CellLeader::AddUnstoredEnds(const Executor& executor) {
  unstored_ends_.push_back({executor.entry.id, executor.incarnation,
                            executor.ends_settled(),
                            progress_queue_.last_change()});
}

void CellLeader::AcknowledgeEnds() {
  const TimePoint now = context_.clock.Now();
  const int64_t stored = progress_queue_.stored_change();
  while (!unstored_ends_.empty() && unstored_ends_.front().change <= stored) {
    const UnstoredEnds& ends = unstored_ends_.front();
    Executor* executor = FindExecutor(ends.executor);
    if (executor != nullptr && executor->incarnation == ends.incarnation &&
        executor->ends_stored < ends.last_end) {
      executor->ends_stored = ends.last_end;
      ScheduleHold(*executor, now);
    }
    unstored_ends_.pop_front();
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
  // Ends that changed no job need no write.
  AcknowledgeEnds();
}

void CellLeader::FlushLane(size_t lane) {
  LaneState& state = lanes_[lane];
  const std::string sequence_key = ProgressSequenceKey(lane);
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  write.conditions.emplace_back(sequence_key, state.sequence_revision);
  write.puts.emplace_back(sequence_key, std::to_string(leadership_.fence));
  std::map<JobId, JobState> written;
  for (const JobId& id : progress_queue_.Take(lane)) {
    const Job& job = *jobs_.at(id);
    write.puts.emplace_back(ProgressKey(id), job.EncodeProgress());
    written[id] = job.state();
  }
  state.next_flush = context_.clock.Now() + kFlushInterval;
  ++counts_.progress_writes;
  context_.store.Write(write, kFlushTimeout,
                       Guard([this, lane, written = std::move(written)](
                                 const StoreWriteReply& reply) {
                         OnFlushed(lane, reply, written);
                       }));
}

void CellLeader::OnFlushed(size_t lane,
                           const StoreWriteReply& reply,
                           const std::map<JobId, JobState>& written) {
  LaneState& state = lanes_[lane];
  const TimePoint now = context_.clock.Now();
  progress_queue_.OnWritten(lane, reply.status == StoreStatus::kOk);
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
  if (!job.recurring()) {
    context_.metrics.Observe(Timer::kTotal, job.queue().name, AgeOf(job));
  }
  context_.log.Write(Event::kJobEnded,
                     {{"job", id},
                      {"queue", job.queue().name},
                      {"state", std::string(JobStateName(state))}});
}

}  // namespace chivedale::cell
