// Tracks the attempts on this owner's workers from the dispatch until their end
// is known. Keeps the decisions on earlier dispatches for a while, so that a
// repeated or late dispatch starts nothing.
//
//   if (tracker.Find(key) != nullptr) ...  // repeated dispatch
//   Attempt& attempt = tracker.Add(std::move(attempt));
//   tracker.Decide(key, decision);         // removes it
#ifndef CHIVEDALE_START_TRACKER_H_
#define CHIVEDALE_START_TRACKER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "chivedale/ports.h"
#include "chivedale/worker_allocations.h"
#include "util/clock.h"

namespace chivedale {

enum class StopReason { kNone, kCancelled, kTimedOut, kPreempted, kOrphaned };

struct Attempt {
  TaskKey key;
  MemberId entry;
  uint64_t sequence = 0;
  std::string kind;
  Resources declared;
  // Size counted in WorkerAllocations and sent to the worker.
  Resources size;
  WorkerId worker;
  LeaseToken token;
  AttemptState state = AttemptState::kStarting;
  // An earlier send of the start may have taken effect.
  bool maybe_started = false;
  // Time since when a running attempt has been missing from the worker's task
  // list while its completion is outstanding. Zero while listed.
  util::TimePoint unlisted{};
  // Read from the worker's task list; the details of the dispatch are not
  // known.
  bool inherited = false;
  Urgency urgency = Urgency::kNormal;
  bool checkpoint = false;
  bool repeatable = true;
  Millis longest_run{0};
  util::TimePoint started{};
  // Kept to resend the start; dropped once the attempt runs.
  Body payload;
  StopReason stop = StopReason::kNone;
  bool stop_by_checkpoint = false;
};

// Outcome of a dispatch that is no longer tracked. kAccepted here means that
// the attempt was started and has ended.
struct Decision {
  MemberId entry;
  uint64_t sequence = 0;
  DispatchOutcome outcome = DispatchOutcome::kRefused;
  WorkerId worker;
  LeaseToken token;
  // Cancelled before it was dispatched: refused regardless of its sequence.
  bool cancelled = false;
};

class StartTracker {
 public:
  struct Options {
    // Longer than a message can be delayed.
    Millis decision_retention{120'000};
    size_t max_decisions = 200'000;
  };
  // Orders by lowest urgency, then by most recent start.
  using PreemptionRank = std::tuple<int, util::Duration, TaskKey>;

  StartTracker(const util::Clock& clock, Options options);
  explicit StartTracker(const util::Clock& clock)
      : StartTracker(clock, Options()) {}

  // Commands.
  Attempt& Add(Attempt attempt);
  Attempt* Find(const TaskKey& key);
  void SetRunning(Attempt& attempt, util::TimePoint started);
  // Requests a stop of the attempt: a stop call is due immediately and then
  // every second until the attempt ends. Only the first reason is kept; a later
  // request without checkpoint also changes a stop by checkpoint into a plain
  // one.
  void RequestStop(Attempt& attempt, StopReason reason, bool checkpoint);
  // Removes the attempt, if it exists, and keeps the decision.
  void Decide(TaskKey key, const Decision& decision);
  // Returns attempts with a stop call due or with their longest run time
  // exceeded, and requests a stop of the latter.
  std::vector<TaskKey> TakeDue();

  // Queries.
  const Decision* FindDecision(const TaskKey& key) const;
  // Whether another attempt of this task is on a worker of this owner.
  bool HasOtherAttempt(const TaskKey& key) const;
  const std::set<PreemptionRank>& preemptible() const { return preemptible_; }
  const std::unordered_map<TaskKey, Attempt>& attempts() const {
    return attempts_;
  }

 private:
  PreemptionRank RankOf(const Attempt& attempt) const;
  void Remove(const TaskKey& key);
  void Expire();

  const util::Clock& clock_;
  const Options options_;
  std::unordered_map<TaskKey, Attempt> attempts_;
  std::unordered_multimap<TaskId, uint32_t> by_task_;
  struct Decided {
    Decision decision;
    util::TimePoint at{};
  };
  std::unordered_map<TaskKey, Decided> decisions_;
  std::deque<std::pair<util::TimePoint, TaskKey>> decided_;
  std::multimap<util::TimePoint, TaskKey> timers_;
  std::set<PreemptionRank> preemptible_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_START_TRACKER_H_
