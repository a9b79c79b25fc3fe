// What the leader was busy with since the last report, logged once a second.
// Late ticks indicate a lack of processor time; passes that are long or far
// apart with few late ticks indicate many waiting steps.
//
//   LeaderLoad load(log);
//   load.OnTick(now);
//   load.OnPass(begin, end, {steps, late_steps});
//   load.OnFirstConsidered(priority, waited);  // a step, by a pass
//   if (load.IsReportDue(now)) load.Report(now, counts);
#ifndef CELL_LEADER_LOAD_H_
#define CELL_LEADER_LOAD_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cell/types.h"
#include "chivedale/event_log.h"

namespace chivedale::cell {

class LeaderLoad {
 public:
  // Steps with waiting tasks in one pass.
  struct PassSteps {
    size_t waiting = 0;
    size_t late = 0;  // past the objective of their job
  };
  // Totals since the election, by the name of the log field.
  using Counts = std::vector<std::pair<std::string_view, int64_t>>;

  explicit LeaderLoad(EventLog& log) : log_(log) {}

  // Commands.
  void OnTick(TimePoint now);
  void OnPass(TimePoint begin, TimePoint end, const PassSteps& steps);
  // The first pass that considers a step, `waited` after it became ready.
  void OnFirstConsidered(int priority, Duration waited);
  void Report(TimePoint now, const Counts& counts);

  // Queries.
  bool IsReportDue(TimePoint now) const { return now >= next_report_; }

 private:
  EventLog& log_;
  TimePoint next_report_{};
  TimePoint last_tick_{};
  TimePoint last_pass_{};  // its begin
  // Since the last report.
  Duration max_tick_gap_{0};
  Duration max_pass_gap_{0};
  Duration pass_time_{0};
  Duration max_pass_{0};
  int passes_ = 0;
  PassSteps last_steps_;
  Duration max_urgent_wait_{0};
  Duration max_other_wait_{0};
  Counts last_counts_;
};

}  // namespace chivedale::cell

#endif  // CELL_LEADER_LOAD_H_
