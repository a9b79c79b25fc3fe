#include "chivedale/start_tracker.h"

// Timers are not removed with their attempt; one that fires later is ignored.
// This costs one map entry until the longest run time has passed.
namespace chivedale {
namespace {

constexpr Millis kStopResend{1'000};

}  // namespace

StartTracker::StartTracker(const util::Clock& clock, Options options)
    : clock_(clock), options_(options) {}

StartTracker::PreemptionRank StartTracker::RankOf(
    const Attempt& attempt) const {
  return {-static_cast<int>(attempt.urgency),
          -attempt.started.time_since_epoch(), attempt.key};
}

Attempt& StartTracker::Add(Attempt attempt) {
  Remove(attempt.key);
  decisions_.erase(attempt.key);
  by_task_.emplace(attempt.key.task, attempt.key.attempt);
  const TaskKey key = attempt.key;
  return attempts_.emplace(key, std::move(attempt)).first->second;
}

Attempt* StartTracker::Find(const TaskKey& key) {
  auto it = attempts_.find(key);
  return it == attempts_.end() ? nullptr : &it->second;
}

void StartTracker::SetRunning(Attempt& attempt, util::TimePoint started) {
  attempt.state = AttemptState::kRunning;
  attempt.started = started;
  attempt.payload = nullptr;
  if (attempt.longest_run > Millis(0)) {
    timers_.emplace(started + attempt.longest_run, attempt.key);
  }
  if (attempt.stop != StopReason::kNone) {
    timers_.emplace(clock_.Now(), attempt.key);
  } else if (attempt.checkpoint) {
    preemptible_.insert(RankOf(attempt));
  }
}

void StartTracker::RequestStop(Attempt& attempt,
                               StopReason reason,
                               bool checkpoint) {
  preemptible_.erase(RankOf(attempt));
  // The first reason is the one reported.
  if (attempt.stop == StopReason::kNone) {
    attempt.stop = reason;
    attempt.stop_by_checkpoint = checkpoint;
    timers_.emplace(clock_.Now(), attempt.key);
  } else if (!checkpoint) {
    attempt.stop_by_checkpoint = false;
  }
}

void StartTracker::Remove(const TaskKey& key) {
  auto it = attempts_.find(key);
  if (it == attempts_.end()) {
    return;
  }
  preemptible_.erase(RankOf(it->second));
  auto [first, last] = by_task_.equal_range(key.task);
  for (; first != last; ++first) {
    if (first->second == key.attempt) {
      by_task_.erase(first);
      break;
    }
  }
  attempts_.erase(it);
}

// By value, because the caller's key may be part of the attempt.
void StartTracker::Decide(TaskKey key, const Decision& decision) {
  Remove(key);
  decisions_[key] = {decision, clock_.Now()};
  decided_.emplace_back(clock_.Now(), std::move(key));
  Expire();
}

void StartTracker::Expire() {
  const util::TimePoint old = clock_.Now() - options_.decision_retention;
  while (!decided_.empty() && (decided_.front().first < old ||
                               decided_.size() > options_.max_decisions)) {
    auto it = decisions_.find(decided_.front().second);
    if (it != decisions_.end() && it->second.at == decided_.front().first) {
      decisions_.erase(it);
    }
    decided_.pop_front();
  }
}

std::vector<TaskKey> StartTracker::TakeDue() {
  std::vector<TaskKey> due;
  const util::TimePoint now = clock_.Now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const TaskKey key = timers_.begin()->second;
    timers_.erase(timers_.begin());
    Attempt* attempt = Find(key);
    if (attempt == nullptr) {
      continue;
    }
    if (attempt->stop == StopReason::kNone) {
      preemptible_.erase(RankOf(*attempt));
      attempt->stop = StopReason::kTimedOut;
    }
    timers_.emplace(now + kStopResend, key);
    due.push_back(key);
  }
  return due;
}

const Decision* StartTracker::FindDecision(const TaskKey& key) const {
  auto it = decisions_.find(key);
  return it == decisions_.end() ? nullptr : &it->second.decision;
}

bool StartTracker::HasOtherAttempt(const TaskKey& key) const {
  auto [first, last] = by_task_.equal_range(key.task);
  for (; first != last; ++first) {
    if (first->second != key.attempt) {
      return true;
    }
  }
  return false;
}

}  // namespace chivedale
