// Restarts of executors: the boot that is known, and the fence that keeps calls
// sent before off it. See ExecutorBoot and docs/decisions/10-platform.md.
#include <algorithm>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

constexpr Millis kRaiseTimeout{1'000};
constexpr Millis kRaiseRetry{500};

}  // namespace

// The runs that were seen on the earlier boot have ended with it. The starts of
// others may still be executed by the new one until it is confirmed.
void CellLeader::OnRestarted(Executor& executor,
                             const SentHold& call,
                             const HoldReply& reply) {
  std::set<std::string> listed;
  for (const RunningTask& row : reply.running) {
    listed.insert(row.task);
  }
  std::vector<std::string> lost;
  for (const auto& [name, run] : executor.runs()) {
    // The answer to a later start may be of the new boot.
    if (listed.count(name) == 0 && run.running_since != TimePoint() &&
        run.running_since < call.sent) {
      lost.push_back(name);
    }
  }
  for (const std::string& name : lost) {
    MarkRunLost(executor, name, "executor restarted");
  }
  const int64_t earlier_deadline = executor.boot.max_deadline().count();
  SetBoot(executor, reply.incarnation);
  const auto age =
      std::chrono::duration_cast<Millis>(context_.clock.Now() - call.sent);
  context_.log.Write(
      Event::kExecutorNewLife,
      {{"executor", executor.entry.id},
       {"born", std::to_string(reply.incarnation)},
       {"clock_ms", std::to_string(reply.executor_clock.count())},
       {"sent_ms_ago", std::to_string(age.count())},
       {"running", std::to_string(reply.running.size())},
       {"earlier_deadline_ms", std::to_string(earlier_deadline)}});
}

void CellLeader::SetBoot(Executor& executor, int64_t incarnation) {
  by_number_[executor.boot.number] = nullptr;
  executors_with_unstored_ends_.erase(executor.boot.number);
  executor.earlier_deadline =
      std::max(executor.earlier_deadline, executor.boot.max_deadline());
  executor.boot = ExecutorBoot(by_number_.size(), incarnation);
  by_number_.push_back(&executor);
  executor.missed_holds = 0;
  executor.superseded_fence = executor.fence;
  executor.confirmed_incarnation = 0;
  fence_needed_ = true;
  RequestExecutorsWrite();
  ScheduleHold(executor, context_.clock.Now());
  RaiseFences();
}

bool CellLeader::MayConfirm(const Executor& executor) {
  return !executor.boot.confirmed && executor.fence > executor.superseded_fence;
}

// Answers to calls with a higher fence than all earlier calls show what those
// have done: the executor rejects them from now on.
void CellLeader::ConfirmBoot(Executor& executor, const SentHold& call) {
  ExecutorBoot& boot = executor.boot;
  boot.confirmed = call.fence > executor.superseded_fence;
  if (!boot.confirmed) {
    boot.CountLateLeases(options_.longest_lease, executor.earlier_deadline);
    return;
  }
  RequestExecutorsWrite();
  if (IsOnConfirmedBoot(executor)) {
    // A predecessor has confirmed it, and may have granted a full lease just
    // now.
    const auto left = std::chrono::ceil<Millis>(executor.long_leases_end -
                                                context_.clock.Now());
    boot.CountUnknownLeases(std::max(options_.lease, left));
    return;
  }
  boot.CountUnknownLeases(options_.longest_lease, executor.earlier_deadline);
  executor.confirmed_incarnation = boot.incarnation;
  executor.long_leases_end = boot.UnknownLeasesExpiredBy();
}

// An earlier leader sends calls with deadlines only to executors of its list,
// where a retired one stays until they are over. A list of an earlier version
// is not complete. One that was found shows that there was a leader before,
// even if the leader key does not.
bool CellLeader::MayMeetEarlierCalls() const {
  if (!known_executors_loaded_) {
    return true;
  }
  const bool is_first = leadership_.term <= 1 && !executors_list_found_;
  const bool list_complete =
      executors_list_complete_ && !executor_rows_skipped_;
  return !is_first && !list_complete &&
         context_.clock.Now() <= predecessor_authority_end_ + kMaxCallDelay;
}

bool CellLeader::MayGetLateCalls(const Executor& executor) const {
  const TimePoint now = context_.clock.Now();
  const bool from_earlier_leaders =
      executor.earlier_deadline == Millis::max() &&
      now <= predecessor_authority_end_ + kMaxCallDelay;
  return from_earlier_leaders || now <= executor.deadline_sent + kMaxCallDelay;
}

// A conditional write shows that this leader was not replaced before it, so
// that its revision is a fence above that of all calls sent before and below
// that of any successor.
void CellLeader::RaiseFences() {
  if (!fence_needed_ || raise_in_flight_ || fenced_ ||
      context_.clock.Now() < next_raise_) {
    return;
  }
  raise_in_flight_ = true;
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  write.puts.emplace_back(kFenceKey, "");
  context_.store.Write(write, kRaiseTimeout,
                       Guard([this](const StoreWriteReply& reply) {
                         raise_in_flight_ = false;
                         OnFencesRaised(reply);
                       }));
}

void CellLeader::OnFencesRaised(const StoreWriteReply& reply) {
  if (reply.status == StoreStatus::kConflict) {
    OnFenced("another member holds the leader key");
    return;
  }
  const TimePoint now = context_.clock.Now();
  if (reply.status != StoreStatus::kOk) {
    next_raise_ = now + kRaiseRetry;
    return;
  }
  fence_needed_ = false;
  latest_fence_ = std::max(latest_fence_, reply.revision);
  for (const auto& [id, executor] : executors_) {
    if (executor->fence <= executor->superseded_fence) {
      executor->fence = latest_fence_;
      if (!executor->hold_in_flight) {
        ScheduleHold(*executor, now);
      }
    }
  }
}

bool CellLeader::ExpectsFence(const ExecutorId& id, int64_t fence) const {
  const auto found = by_id_.find(id);
  return fence ==
         (found == by_id_.end() ? latest_fence_ : found->second->fence);
}

}  // namespace chivedale::cell
