// Filling tasks interfere with serving tasks on the same executor, to a degree
// that changes within seconds. They are throttled by the tail latency of the
// serving tasks: paused well before the latency target is reached and resumed
// in small steps.
#include <algorithm>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Ratios of the tail latency to its target.
constexpr double kPauseRatio = 0.8;
constexpr double kResumeRatio = 0.5;
constexpr int kResumeStep = 20;  // percent
// Two windows of the reported tail latency, which covers the last half second,
// so that the effect of the last step is visible.
constexpr Millis kResumeInterval{1'000};

}  // namespace

void CellLeader::PaceFillTasks(Executor& executor) {
  const TimePoint now = context_.clock.Now();
  double worst_ratio = 0;
  bool fills = false;
  for (const auto& [name, run] : executor.runs()) {
    if (run.step == nullptr || run.phase != RunPhase::kRunning) {
      continue;
    }
    const StepSpec& spec = *run.step->spec;
    fills = fills || spec.fills;
    if (spec.tail_latency_target > Millis(0)) {
      worst_ratio =
          std::max(worst_ratio,
                   static_cast<double>(run.load_figure) /
                       static_cast<double>(spec.tail_latency_target.count()));
    }
  }
  if (!fills) {
    return;
  }
  for (auto& [name, run] : executor.runs()) {
    if (run.step == nullptr || run.phase != RunPhase::kRunning ||
        !run.step->spec->fills) {
      continue;
    }
    int percent = run.ordered_percent;
    if (worst_ratio > kPauseRatio) {
      percent = 0;
    } else if (worst_ratio < kResumeRatio &&
               now - run.last_pace_order > kResumeInterval) {
      percent = std::min(100, percent + kResumeStep);
    }
    // The next hold answer reports the pace in effect; an order that had no
    // effect is repeated.
    const bool differs = run.pace_percent && *run.pace_percent != percent &&
                         now - run.last_pace_order > kResumeInterval;
    if (percent == run.ordered_percent && !differs) {
      continue;
    }
    run.ordered_percent = percent;
    run.last_pace_order = now;
    context_.executors.Pace(
        executor.entry.address, executor.entry.id, name, run.number, percent,
        executor.fence,
        Guard([this, id = executor.entry.id,
               fence = executor.fence](const OrderReply& reply) {
          if (reply.result == OrderResult::kFenced && ExpectsFence(id, fence)) {
            OnFenced("executor " + id + " has seen a newer leader");
          }
        }));
  }
}

}  // namespace chivedale::cell
