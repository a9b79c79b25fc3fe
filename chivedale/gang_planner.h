// Finds room for all tasks of a gang at once. Room is held at the owners one
// after the other, in order of owner id, with expiring holds; a gang that does
// not get all of its room releases what it has and tries again after a random
// backoff, so that two gangs that want the same workers do not wait for each
// other.
//
//   GangPlanner planner(clock, random, hooks, options);
//   planner.Start(job, size, tasks);
//   planner.OnHoldReply(owner, reply);
//   planner.Tick();  // every 50 ms or so
#ifndef CHIVEDALE_GANG_PLANNER_H_
#define CHIVEDALE_GANG_PLANNER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "chivedale/resources.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

// Room for one task; the start names worker and hold.
struct GangSlot {
  MemberId owner;
  WorkerId worker;
  uint64_t hold = 0;
};

class GangPlanner {
 public:
  struct Options {
    Millis hold_ttl{2'000};
    // A hold without a reply for this long is released and counted as none.
    Millis reply_timeout{500};
    Millis first_backoff{50};
    Millis longest_backoff{2'000};
    // A gang that needs at most this part of the cell may keep partial holds
    // for `accumulate` while it waits for the rest. A larger one would keep
    // the cell idle, so it gets its room at once or releases it.
    double accumulate_part = 0.5;
    Millis accumulate{3'000};
    // A gang must have been too large for the cell for this long before it is
    // reported; workers that restart come back within it.
    Millis never_fits_after{30'000};
  };
  struct Hooks {
    std::function<void(const MemberId&, const Message&)> send;
    // The latest summaries of all owners.
    std::function<std::vector<Summary>()> summaries;
    // Whether `summaries` covers all live owners.
    std::function<bool()> complete;
    // All tasks have room. The planner no longer knows the gang.
    std::function<void(const JobId&, const std::vector<GangSlot>&)> held;
    // The cell is too small. The planner no longer knows the gang.
    std::function<void(const JobId&, const std::string& reason)> never_fits;
  };

  GangPlanner(const util::Clock& clock,
              util::Random& random,
              Hooks hooks,
              Options options);
  ~GangPlanner();

  // Commands.
  void Start(const JobId& job, const Resources& size, int64_t tasks);
  // Releases all holds of the gang.
  void Stop(const JobId& job);
  void OnHoldReply(const MemberId& owner, const HoldReply& reply);
  void Tick();

  // Queries.
  bool IsPlanning(const JobId& job) const;
  // Tasks for which room is held now, over all gangs.
  int64_t held() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// How many tasks of this size an owner with this summary could hold at most,
// when empty (`free` false) or now.
int64_t TasksThatFit(const Summary& summary, const Resources& size, bool free);

}  // namespace chivedale

#endif  // CHIVEDALE_GANG_PLANNER_H_
