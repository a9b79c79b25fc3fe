// Case 6: the leader is cut off from the store and the other daemons, which
// refuse its connections. It takes the refusals as a sign that their processes
// have ended and keeps its authority. An executor that only it can reach runs
// on with its leases when the new leader starts the task again.
#include <string>

#include "review/6/harness/review_cell.h"

namespace chivedale::review {
namespace {

using cell::Millis;

constexpr int kRounds = 3;
constexpr int kDaemons = 7;
// Within for_s = 12 s of `node_cut` in a day of the site file.
constexpr Millis kCutTime{8'000};
// for_s of `srv_cut`, which the site file does not list: the default of 5 s.
constexpr Millis kExecutorCutTime{5'000};
constexpr int kExecutors = 8;
constexpr Millis kTimeBeforeCut{3'000};
constexpr Millis kTimeAfterCut{6'000};
constexpr Millis kStartTimeout{5'000};
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

int Play(ReviewCellOptions options) {
  // TROUBLE=daemon and TROUBLE=executor play one of the two disruptions.
  const std::string trouble = Trouble();
  const bool cut_daemon = trouble != "0" && trouble != "executor";
  const bool cut_executor = trouble != "0" && trouble != "daemon";
  options.daemons = kDaemons;
  // Of the two strong daemons one leads, and the other is elected after it. The
  // shares are those of the machines of the grown site.
  options.cpu_shares = {0.5, 0.5, 0.12, 0.12, 0.12, 0.12, 0.12};
  ReviewCell cell(options);
  for (int i = 1; i <= kExecutors; ++i) {
    cell.AddExecutor("e" + std::to_string(i), {32'000, 64'000, 0, 0},
                     {"a", "r" + std::to_string(i)});
  }
  cell::TaskName task;
  int rounds_broken = 0;
  bool broken = false;
  cell.SetObserver([&] {
    if (!broken && !task.job.empty() && cell.Running(task).size() > 1) {
      broken = true;
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
    const std::string leader = cell.LeaderName();
    if (leader != "d1" && leader != "d2") {
      cell.Record("leader " + leader + " is not one of the two strongest");
      return kCouldNotRun;
    }
    const std::string next = leader == "d1" ? "d2" : "d1";
    const cell::JobId id = "000000000000000" + std::to_string(round);
    if (!cell.Submit(Queue::kBatch, id, OneTask())) {
      cell.Record("the job was not accepted");
      return kCouldNotRun;
    }
    task = {id, 0, 0, 0};
    broken = false;
    if (!cell.RunUntil([&] { return !cell.Running(task).empty(); },
                       kStartTimeout)) {
      cell.Record("the task was not started");
      return kCouldNotRun;
    }
    const cell::ExecutorId executor = cell.Running(task).front();
    cell.RunFor(kTimeBeforeCut);
    if (cut_executor) {
      // Two of seven machines lose the path to it.
      cell.CutExecutorFrom(executor, {next, "d3"}, kExecutorCutTime);
    }
    if (cut_daemon) {
      cell.CutDaemon(leader, kCutTime);
    }
    cell.RunFor(kCutTime + kTimeAfterCut);
    cell.Record("round " + std::to_string(round) +
                ": leader=" + cell.LeaderName() +
                " starts=" + std::to_string(cell.executors().starts()));
    rounds_broken += broken ? 1 : 0;
    if (!cell.Cancel(Queue::kBatch, id)) {
      cell.Record("the job could not be cancelled");
      return kCouldNotRun;
    }
    cell.RunUntil([&] { return cell.Running(task).empty(); }, kTimeAfterCut);
  }
  cell.Record("rounds=" + std::to_string(kRounds) +
              " broken=" + std::to_string(rounds_broken));
  return rounds_broken == 0 ? kRuleHeld : kRuleBroken;
}

}  // namespace
}  // namespace chivedale::review

int main(int argc, char** argv) {
  return chivedale::review::RunCase([&] {
    return chivedale::review::Play(chivedale::review::ParseOptions(argc, argv));
  });
}
