// Reserves capacity for all tasks of a gang at once. Places expiring holds at
// one owner after the other, in order of owner id. A gang that does not get all
// of its holds releases them and retries after a random backoff, so that two
// gangs competing for the same workers do not block each other.
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

// Capacity for one task; the start names the worker and the hold.
struct GangSlot {
  MemberId owner;
  WorkerId worker;
  uint64_t hold = 0;
};

class GangPlanner {
 public:
  struct Options {
    Millis hold_ttl{2'000};
    // A hold without a reply for this long is released and not counted.
    Millis reply_timeout{500};
    Millis first_backoff{50};
    Millis longest_backoff{2'000};
    // A gang that needs at most this fraction of the cell may keep partial
    // holds for `accumulate` while it waits for the rest. A larger one would
    // keep the cell idle, so it gets all of its capacity at once or releases
    // it.
    double max_accumulate_fraction = 0.5;
    Millis accumulate{3'000};
    // How long a gang must have been too large for the cell before this is
    // reported. Restarting workers are back within this time.
    Millis never_fits_after{30'000};
  };
  struct Hooks {
    std::function<void(const MemberId&, const Message&)> send;
    // The latest summaries of all owners.
    std::function<std::vector<Summary>()> summaries;
    // Whether `summaries` includes all live owners.
    std::function<bool()> complete;
    // All tasks have capacity. The planner has forgotten the gang.
    std::function<void(const JobId&, const std::vector<GangSlot>&)> held;
    // The cell is too small. The planner has forgotten the gang.
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
  // Number of tasks with held capacity, over all gangs.
  int64_t held() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Upper bound on the number of tasks of this size that an owner with this
// summary can hold: with its currently free capacity if `free`, otherwise if
// all its workers were idle.
int64_t TasksThatFit(const Summary& summary, const Resources& size, bool free);

}  // namespace chivedale

#endif  // CHIVEDALE_GANG_PLANNER_H_
