#include "cell/pass_order.h"

#include <tuple>

namespace chivedale::cell {
namespace {

// A result is worth a part of its value until this multiple of the time allowed
// for the objective.
constexpr int kLateFactor = 3;
// An accelerator is worth this many cores.
constexpr double kCoresPerAccelerator = 8;
// Share of a job's value that does not depend on its work: a caller waits for
// the result of a small job as well.
constexpr double kFixedValueShare = 0.3;
// From the start order until a result is recorded, beyond the declared time. A
// step with less to spare ends late although it is started at once: under
// overload all jobs then wait until they can only just be in time.
constexpr Duration kStartMargin = std::chrono::milliseconds(100);
// A step that became ready longer ago goes before all of its priority, so that
// work which is worth little still completes under lasting overload.
constexpr Duration kStarvationBound = std::chrono::seconds(30);

// By priority, then the objective. A step is late once its objective has
// passed.
class ObjectiveOrder final : public PassOrder {
 public:
  bool UsesCosts() const override { return false; }
  PassKey KeyOf(const WaitingStep& step, double, TimePoint now) const override {
    PassKey key;
    key.no_restart_due = !step.restart_due;
    key.over_share = step.over_share;
    key.priority = step.priority;
    key.punctuality = step.deadlines.objective < now ? Punctuality::kLate
                                                     : Punctuality::kInTime;
    key.time = step.deadlines.objective;
    key.step = step.step;
    return key;
  }
  bool MayCause(const WaitingStep&,
                PreemptionLoss,
                Duration,
                TimePoint) const override {
    return true;
  }
  PreemptionLoss LossOf(const JobDeadlines&,
                        Duration,
                        Duration,
                        TimePoint) const override {
    return PreemptionLoss::kNone;
  }
};

// By priority, then what can still be in time, then what is worth a part, then
// the rest.
class CostOrder final : public PassOrder {
 public:
  bool UsesCosts() const override { return true; }
  PassKey KeyOf(const WaitingStep& step,
                double mean_work,
                TimePoint now) const override {
    const bool starved = now - step.step->ready_since > kStarvationBound;
    PassKey key;
    key.no_restart_due = !step.restart_due;
    key.over_share = step.over_share;
    key.priority = step.priority;
    key.not_starved = !starved;
    key.punctuality =
        starved ? Punctuality::kExpired
                : step.deadlines.At(now + step.remaining_time + kStartMargin);
    key.step = step.step;
    switch (key.punctuality) {
      case Punctuality::kInTime:
        key.time = step.deadlines.objective;
        break;
      case Punctuality::kLate: {
        const double value = kFixedValueShare * mean_work +
                             (1 - kFixedValueShare) * step.job_work;
        key.work_per_value = value > 0 ? step.remaining_work / value : 0;
        key.time = step.deadlines.last_use;
        break;
      }
      case Punctuality::kExpired:
        key.time = step.step->ready_since;
        break;
    }
    return key;
  }

  // Work that can be in time may delay other work; work that is late may only
  // delay what is late as well.
  bool MayCause(const WaitingStep& step,
                PreemptionLoss loss,
                Duration stop_time,
                TimePoint now) const override {
    return step.deadlines.At(now + stop_time + step.remaining_time) ==
               Punctuality::kInTime ||
           loss != PreemptionLoss::kOnTime;
  }

  PreemptionLoss LossOf(const JobDeadlines& deadlines,
                        Duration remaining,
                        Duration interruption,
                        TimePoint now) const override {
    switch (deadlines.At(now + remaining)) {
      case Punctuality::kInTime:
        return deadlines.At(now + remaining + interruption) ==
                       Punctuality::kInTime
                   ? PreemptionLoss::kNone
                   : PreemptionLoss::kOnTime;
      case Punctuality::kLate:
        return PreemptionLoss::kLate;
      case Punctuality::kExpired:
        return PreemptionLoss::kNone;
    }
    return PreemptionLoss::kNone;
  }
};

}  // namespace

bool operator<(const PassKey& a, const PassKey& b) {
  return std::tie(a.no_restart_due, a.over_share, a.priority, a.not_starved,
                  a.punctuality, a.work_per_value, a.time, a.step) <
         std::tie(b.no_restart_due, b.over_share, b.priority, b.not_starved,
                  b.punctuality, b.work_per_value, b.time, b.step);
}

JobDeadlines JobDeadlines::Of(TimePoint objective, Duration allowed) {
  return {objective, objective + (kLateFactor - 1) * allowed};
}

Punctuality JobDeadlines::At(TimePoint end) const {
  return end <= objective  ? Punctuality::kInTime
         : end <= last_use ? Punctuality::kLate
                           : Punctuality::kExpired;
}

const PassOrder& PassOrder::Of(ShortageOrder order) {
  static const ObjectiveOrder objective_order;
  static const CostOrder cost_order;
  return order == ShortageOrder::kCost
             ? static_cast<const PassOrder&>(cost_order)
             : objective_order;
}

double DeclaredWork(const StepSpec& spec, int tasks) {
  const double cores =
      static_cast<double>(spec.size.cpu_milli) / 1'000 +
      kCoresPerAccelerator * static_cast<double>(spec.size.accelerators);
  return cores * std::chrono::duration<double>(spec.estimate).count() * tasks;
}

}  // namespace chivedale::cell
