// A round in which scheduling passes consider each waiting step of a group
// once. A pass of limited duration leaves the rest of the round to the next
// ones. What the steps of a round reserve holds until the next round begins.
//
//   SchedulingRound round(pause_factor);
//   if (round.Resume(pass, now)) {
//     if (!round.HasConsidered(step)) ...
//     round.OnPassEnd(now, spent, all_considered);
//   }
#ifndef CELL_SCHEDULING_ROUND_H_
#define CELL_SCHEDULING_ROUND_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cell/job.h"
#include "cell/types.h"

namespace chivedale::cell {

class SchedulingRound {
 public:
  // `pause_factor`: minimum time from the end of a round to the begin of the
  // next, as a multiple of the time its passes spent on it.
  explicit SchedulingRound(int pause_factor) : pause_factor_(pause_factor) {}

  // Commands.
  // Continues the round, or begins the next with this pass. Returns false if
  // the next is not due yet.
  bool Resume(int64_t pass, TimePoint now);
  void OnPassEnd(TimePoint now, Duration spent, bool all_considered);
  // Reserves an executor, by its number, for the step.
  void Reserve(const Step& step, size_t executor) {
    reserved_.emplace(executor, &step);
  }
  void CountReservingStep(const Step& step, const std::string& pool) {
    reserving_steps_[pool].insert(&step);
  }
  // Ends the step's reservations.
  void Release(const Step& step);

  // Queries.
  bool finished() const { return finished_; }
  // Whether the step was considered since the round began.
  bool HasConsidered(const Step& step) const {
    return step.last_pass >= first_pass_;
  }
  bool IsReserved(size_t executor) const {
    return reserved_.count(executor) > 0;
  }
  // Steps of the round that have reserved executors of the pool.
  int reserving_steps(const std::string& pool) const;

 private:
  const int pause_factor_;
  bool finished_ = true;
  int64_t first_pass_ = 0;
  Duration spent_{0};
  TimePoint next_{};                        // earliest begin of the next round
  std::map<size_t, const Step*> reserved_;  // by executor
  std::map<std::string, std::set<const Step*>> reserving_steps_;  // by pool
};

}  // namespace chivedale::cell

#endif  // CELL_SCHEDULING_ROUND_H_
