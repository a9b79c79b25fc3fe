// Case 7: an idle executor crashes and starts again under its ID. A start that
// the leader sends before it has read the new entry has a deadline on the clock
// of the earlier boot, which the new boot takes as a long lease. The leader
// takes it as one of its usual length, and starts the task again while it runs.
#include <set>
#include <string>

#include "review/6/harness/review_cell.h"

namespace chivedale::review {
namespace {

using cell::Millis;

constexpr int kRounds = 4;
// One of eight is within the share of 0.14 of `srv_crash`.
constexpr int kExecutors = 8;
// Shorter than the interval in which the leader reads the entries, and far
// below the for_s of 4.5 s of `srv_crash` in the site file.
constexpr Millis kDownTime{300};
// for_s of `node_cut` with `how = "servers"` in the site file.
constexpr Millis kCutTime{5'500};
// After this time the leader has had several answers of the new boot.
constexpr Millis kTimeBeforeCut{1'500};
constexpr Millis kTimeAfterCut{7'000};
constexpr Millis kStartTimeout{3'000};
constexpr Millis kTaskTime{60'000};

cell::JobSpec OneTask() {
  cell::JobSpec spec;
  spec.payload = "review";
  cell::StepSpec step;
  step.count = 1;
  step.size = {8'000, 8'000, 0, 0};
  step.estimate = kTaskTime;
  spec.steps.push_back(step);
  return spec;
}

int Play(const ReviewCellOptions& options) {
  // TROUBLE=cut and TROUBLE=crash play one of the two disruptions.
  const std::string trouble = Trouble();
  const bool crash = trouble != "0" && trouble != "cut";
  const bool cut = trouble != "0" && trouble != "crash";
  ReviewCell cell(options);
  // The leader prefers the executor that the task fills best.
  cell.AddExecutor("e1", {16'000, 64'000, 0, 0}, {"a", "r1"});
  for (int i = 2; i <= kExecutors; ++i) {
    cell.AddExecutor("e" + std::to_string(i), {64'000, 128'000, 0, 0},
                     {"a", "r" + std::to_string(i)});
  }
  std::set<std::string> broken;
  cell::TaskName task;
  cell.SetObserver([&] {
    if (!task.job.empty() && cell.Running(task).size() > 1 &&
        broken.insert(task.Text()).second) {
      std::string where;
      for (const cell::ExecutorId& id : cell.Running(task)) {
        where += " " + id;
      }
      cell.Record("BROKEN TWICE: task " + task.Text() +
                  " runs at the same time on" + where);
    }
  });
  cell.Start();
  for (int round = 1; round <= kRounds; ++round) {
    // The executor is idle; its clock is at least this far.
    cell.RunFor(kTimeAfterCut);
    if (crash) {
      cell.CrashExecutor("e1");
    }
    cell.RunFor(kDownTime);
    if (crash) {
      cell.RestartExecutor("e1", {"a", "r1"});
    }
    const cell::JobId id = "000000000000000" + std::to_string(round);
    if (!cell.Submit(Queue::kBatch, id, OneTask())) {
      cell.Record("the job was not accepted");
      return kCouldNotRun;
    }
    task = {id, 0, 0, 0};
    if (!cell.RunUntil([&] { return !cell.Running(task).empty(); },
                       kStartTimeout)) {
      cell.Record("the task was not started");
      return kCouldNotRun;
    }
    const cell::ExecutorId executor = cell.Running(task).front();
    cell.RunFor(kTimeBeforeCut);
    if (cut) {
      cell.CutExecutor(executor, kCutTime);
    }
    cell.RunFor(kCutTime + Millis(500));
    if (!cell.Cancel(Queue::kBatch, id)) {
      cell.Record("the job could not be cancelled");
      return kCouldNotRun;
    }
    cell.RunUntil([&] { return cell.Running(task).empty(); }, kTimeAfterCut);
  }
  cell.Record("rounds=" + std::to_string(kRounds) +
              " broken=" + std::to_string(broken.size()));
  return broken.empty() ? kRuleHeld : kRuleBroken;
}

}  // namespace
}  // namespace chivedale::review

int main(int argc, char** argv) {
  return chivedale::review::RunCase([&] {
    return chivedale::review::Play(chivedale::review::ParseOptions(argc, argv));
  });
}
