// Tasks that fill disturb the tasks that serve beside them, by amounts that
// change within seconds. The serving task's own tail is the signal: filling
// stops well before the target is reached and comes back in small steps.
#include <algorithm>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Shares of the target that the tail may reach.
constexpr double kStopAt = 0.8;
constexpr double kResumeBelow = 0.5;
constexpr int kResumeStep = 20;  // percent
// The tail is a figure of the last half second.
constexpr Millis kResumeInterval{1'000};

}  // namespace

void CellLeader::PaceFills(Executor& executor) {
  const TimePoint now = context_.clock.Now();
  double worst = 0;
  bool fills = false;
  for (const auto& [name, run] : executor.runs()) {
    if (run.step == nullptr || run.phase != RunPhase::kAtWork) {
      continue;
    }
    const StepSpec& spec = *run.step->spec;
    fills = fills || spec.fills;
    if (spec.tail_target > Millis(0)) {
      worst =
          std::max(worst, static_cast<double>(run.figure) /
                              static_cast<double>(spec.tail_target.count()));
    }
  }
  if (!fills) {
    return;
  }
  for (auto& [name, run] : executor.runs()) {
    if (run.step == nullptr || run.phase != RunPhase::kAtWork ||
        !run.step->spec->fills) {
      continue;
    }
    int percent = run.wanted_percent;
    if (worst > kStopAt) {
      percent = 0;
    } else if (worst < kResumeBelow && now - run.paced > kResumeInterval) {
      percent = std::min(100, percent + kResumeStep);
    }
    // An order without an answer is seen in the next listing and repeated.
    const bool differs =
        run.percent != percent && now - run.paced > kResumeInterval;
    if (percent == run.wanted_percent && !differs) {
      continue;
    }
    run.wanted_percent = percent;
    run.paced = now;
    context_.executors.Pace(executor.entry.address, executor.entry.id, name,
                            run.number, percent, leadership_.fence,
                            Guard([this](const OrderReply& reply) {
                              if (reply.result == OrderResult::kFenced) {
                                Fenced("an executor has seen a newer leader");
                              }
                            }));
  }
}

}  // namespace chivedale::cell
