// The attempts on own workers, from the dispatch to the known end, and for a
// while how earlier dispatches were decided, so that a repeated or late one
// starts nothing.
//
//   if (tracker.Find(key) != nullptr) ...  // answer as the first
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
#include "chivedale/worker_books.h"
#include "util/clock.h"

namespace chivedale {

enum class StopReason { kNone, kCancelled, kTimedOut, kPreempted, kOrphaned };

struct Attempt {
  TaskKey key;
  MemberId entry;
  uint64_t sequence = 0;
  std::string kind;
  Resources declared;
  // What the books count, and what the worker was told.
  Resources size;
  WorkerId worker;
  LeaseToken token;
  AttemptState state = AttemptState::kStarting;
  // An earlier send of the start may have had an effect.
  bool unsure = false;
  // Running, but missing in the worker's list since then: its completion is
  // late. Zero while listed.
  util::TimePoint unlisted{};
  // Read from the worker's list: what the dispatch said is not known.
  bool inherited = false;
  Urgency urgency = Urgency::kNormal;
  bool checkpoint = false;
  bool repeatable = true;
  Millis longest_run{0};
  util::TimePoint started{};
  // For a second send of the start; dropped once the attempt runs.
  Body payload;
  StopReason stop = StopReason::kNone;
  bool stop_by_checkpoint = false;
};

// How a dispatch ended. kAccepted: the attempt ran and has ended.
struct Decision {
  MemberId entry;
  uint64_t sequence = 0;
  DispatchOutcome outcome = DispatchOutcome::kRefused;
  WorkerId worker;
  LeaseToken token;
  // Cancelled before it was dispatched: refused whatever its sequence.
  bool cancelled = false;
};

class StartTracker {
 public:
  struct Options {
    // Longer than a message may be late.
    Millis decision_retention{120'000};
    size_t max_decisions = 200'000;
  };
  // Least urgent first, then most recently started.
  using PreemptionRank = std::tuple<int, util::Duration, TaskKey>;

  StartTracker(const util::Clock& clock, Options options);
  explicit StartTracker(const util::Clock& clock)
      : StartTracker(clock, Options()) {}

  // Commands.
  Attempt& Add(Attempt attempt);
  Attempt* Find(const TaskKey& key);
  void SetRunning(Attempt& attempt, util::TimePoint started);
  // From now on due for a stop call, again each second until it ends.
  void RequestStop(Attempt& attempt, StopReason reason, bool checkpoint);
  // Removes the attempt and keeps the decision. Also for one never added.
  void Decide(TaskKey key, const Decision& decision);
  // Attempts whose stop call is due, or whose longest run time is over; for
  // the latter the stop is requested.
  std::vector<TaskKey> TakeDue();

  // Queries.
  const Decision* FindDecision(const TaskKey& key) const;
  // Another attempt of this task that is on an own worker.
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
