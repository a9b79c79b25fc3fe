// Not a case: no rule is broken within the limits of the pages. Shows what
// happens when the store turns only the leader away for 9 s, if the other
// daemons have less than a third of its strength. With SHARES=equal, all
// daemons are of the same strength.
//
//   target/review-2/review_refused_leader target/chivedale_celld DIRECTORY
//   RECORD
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "review/6/harness/review_cell.h"

namespace chivedale::review {
namespace {

using cell::Millis;

constexpr int kTasks = 4;
constexpr Millis kStartTimeout{5'000};
constexpr Millis kSettleTime{4'000};
// for_s of `platform_down` with `how = "nodes .."` in the site file.
constexpr Millis kRefusedTime{9'000};
constexpr char kJob[] = "00000000000000a1";

int CountRunning(ReviewCell& cell) {
  int running = 0;
  for (int i = 0; i < kTasks; ++i) {
    running += cell.Running({kJob, 0, 0, i}).empty() ? 0 : 1;
  }
  return running;
}

int Play(ReviewCellOptions options) {
  const char* shares = std::getenv("SHARES");
  options.daemons = 5;
  if (shares == nullptr || std::strcmp(shares, "equal") != 0) {
    options.cpu_shares = {0.5, 0.12, 0.12, 0.12, 0.12};
  }
  ReviewCell cell(options);
  for (int i = 1; i <= 4; ++i) {
    cell.AddExecutor("e" + std::to_string(i), {32'000, 64'000, 0, 0},
                     {"a", "r" + std::to_string(i)});
  }
  cell.Start();
  cell::JobSpec spec;
  spec.payload = "review";
  cell::StepSpec step;
  step.count = kTasks;
  step.size = {1'000, 1'000, 0, 0};
  step.estimate = Millis(1'000);
  step.long_running = true;
  spec.steps.push_back(step);
  if (!cell.Submit(Queue::kService, kJob, spec) ||
      !cell.RunUntil([&] { return CountRunning(cell) == kTasks; },
                     kStartTimeout)) {
    return kCouldNotRun;
  }
  cell.RunFor(kSettleTime);
  const std::string leader = cell.LeaderName();
  const int64_t starts = cell.executors().starts();
  cell.CutFromStore(leader, kRefusedTime);
  const bool replaced =
      cell.RunUntil([&] { return cell.LeaderName() != leader; }, kRefusedTime);
  if (!replaced) {
    std::printf("leader %s was not replaced in 9 s; %d of %d tasks run\n",
                leader.c_str(), CountRunning(cell), kTasks);
  }
  cell.RunFor(2 * kSettleTime);
  std::printf("leader before %s, after %s; %lld tasks were started again\n",
              leader.c_str(), cell.LeaderName().c_str(),
              static_cast<long long>(cell.executors().starts() - starts));
  return kRuleHeld;
}

}  // namespace
}  // namespace chivedale::review

int main(int argc, char** argv) {
  return chivedale::review::RunCase([&] {
    return chivedale::review::Play(chivedale::review::ParseOptions(argc, argv));
  });
}
