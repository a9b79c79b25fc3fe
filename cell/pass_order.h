// In which order the steps of a scheduling pass get resources, and which runs a
// step may preempt. Decides who waits when a pool is too small for its load.
//
//   const PassOrder& order = PassOrder::Of(options.shortage_order);
//   keys.push_back(order.KeyOf(step, mean_work, now));
//   std::sort(keys.begin(), keys.end());
//   if (order.MayCause(step, order.LossOf(...), stop_time, now)) ...  //
//   preempt
#ifndef CELL_PASS_ORDER_H_
#define CELL_PASS_ORDER_H_

#include "cell/job.h"
#include "cell/types.h"

namespace chivedale::cell {

// Whether a job that needs this much more time is in time. Its result is worth
// the whole to its caller by the objective, a part for a while after that, and
// nothing later.
enum class Punctuality { kInTime, kLate, kExpired };

// When the results of a job are worth something to its caller.
struct JobDeadlines {
  TimePoint objective{};
  TimePoint last_use{};  // later results are worth nothing

  // `allowed`: from acceptance to the objective.
  static JobDeadlines Of(TimePoint objective, Duration allowed);
  Punctuality At(TimePoint end) const;
};

// A step with tasks to start.
struct WaitingStep {
  Step* step = nullptr;
  bool restart_due = false;  // see kMaxRestartWait
  bool over_share = false;   // of its account
  int priority = 0;
  JobDeadlines deadlines;
  Duration remaining_time{0};  // declared, from this step to the job's end
  double remaining_work = 0;   // of the step, in core-seconds
  double job_work = 0;         // of the whole job, likewise
};

// Loss to the caller of a run that is preempted, least first.
enum class PreemptionLoss {
  kNone,    // its job stays in time, or is worth nothing any more
  kLate,    // its job is late already
  kOnTime,  // its job is in time and would be late
};

// Place of a step in a pass, compared in order of the members. The step's
// address makes it definite.
struct PassKey {
  bool no_restart_due = false;
  bool over_share = false;
  int priority = 0;
  bool not_starved = false;
  Punctuality punctuality = Punctuality::kInTime;
  double work_per_value = 0;  // of late work
  TimePoint time{};
  Step* step = nullptr;
};
bool operator<(const PassKey& a, const PassKey& b);

class PassOrder {
 public:
  virtual ~PassOrder() = default;
  static const PassOrder& Of(ShortageOrder order);

  // Whether it looks at what remains to be done and at what a preemption costs.
  // If not, remaining and whole work and the last use may be left out.
  virtual bool UsesCosts() const = 0;
  // `mean_work`: of the jobs that wait, see WaitingStep::job_work.
  virtual PassKey KeyOf(const WaitingStep& step,
                        double mean_work,
                        TimePoint now) const = 0;
  // Whether the step may cause this loss to a less urgent one. `stop_time`:
  // until the step gets the resources.
  virtual bool MayCause(const WaitingStep& step,
                        PreemptionLoss loss,
                        Duration stop_time,
                        TimePoint now) const = 0;
  // Loss if a run of a job with these deadlines stops. `remaining`: time that
  // the job needs; `interruption`: time that the stop and the restart take.
  virtual PreemptionLoss LossOf(const JobDeadlines& deadlines,
                                Duration remaining,
                                Duration interruption,
                                TimePoint now) const = 0;
};

// Declared work of `tasks` tasks of the step, in core-seconds.
double DeclaredWork(const StepSpec& spec, int tasks);

}  // namespace chivedale::cell

#endif  // CELL_PASS_ORDER_H_
