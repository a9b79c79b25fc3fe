// Measures the CPU time of the leader at the size of a large site:
//   leader_bench [EXECUTORS [JOBS_PER_SECOND [SECONDS]]]
// The CPU time of the fake store, executors and links is included, so only runs
// on the same machine are comparable.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>

#include "cell/testing/fake_cell.h"

namespace {

using chivedale::cell::JobSpec;
using chivedale::cell::Millis;
using chivedale::cell::QueuePolicy;
using chivedale::cell::StepSpec;
using chivedale::cell::testing::FakeCell;

int Argument(int argc, char** argv, int index, int fallback) {
  return argc > index ? std::atoi(argv[index]) : fallback;
}

JobSpec UrgentJob(chivedale::util::Random& random) {
  JobSpec spec;
  spec.payload = "p";
  StepSpec step;
  step.count = 3 + static_cast<int>(random.UniformInt(14));
  step.size = {2'000 + static_cast<int64_t>(random.UniformInt(8'000)), 6'000, 0,
               0};
  step.estimate = Millis(600);
  spec.steps = {step};
  return spec;
}

JobSpec HeavyJob() {
  JobSpec spec;
  spec.payload = "p";
  StepSpec step;
  step.count = 18;
  step.size = {9'000, 24'000, 0, 0};
  step.estimate = Millis(4'800);
  step.checkpoints = true;
  spec.steps = {step, step};
  spec.steps[1].depends_on = {0};
  return spec;
}

}  // namespace

int main(int argc, char** argv) {
  const int executors = Argument(argc, argv, 1, 250);
  const int jobs_per_second = Argument(argc, argv, 2, 60);
  const int seconds = Argument(argc, argv, 3, 10);
  FakeCell cell(1);
  cell.advised_share = 0.6;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    cell.AddNode(name);
  }
  cell.AddExecutors("pool", executors, {32'000, 128'000, 0, 0});
  QueuePolicy urgent;
  urgent.name = "urgent";
  urgent.pool = "pool";
  urgent.objective_factor = 1.5;
  urgent.objective_slack = Millis(300);
  urgent.max_attempts = 2;
  urgent.advice = chivedale::cell::AdvicePolicy{
      Millis(13), std::chrono::microseconds(190), Millis(2'000)};
  cell.SetQueue(urgent);
  QueuePolicy heavy = urgent;
  heavy.name = "heavy";
  heavy.priority = 2;
  heavy.objective_factor = 4;
  heavy.objective_slack = Millis(3'000);
  cell.SetQueue(heavy);
  cell.RunFor(Millis(3'000));
  const std::clock_t begin = std::clock();
  int job = 0;
  for (int i = 0; i < jobs_per_second * seconds; ++i) {
    std::string id = std::to_string(++job);
    id.insert(0, 16 - id.size(), '0');
    if (i % 20 == 0) {
      cell.Submit("a", id, HeavyJob(), "heavy");
    } else {
      cell.Submit("a", id, UrgentJob(cell.random), "urgent");
    }
    cell.RunFor(Millis(1'000) / jobs_per_second);
  }
  cell.RunFor(Millis(2'000));
  const double used =
      static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  const auto& counts = cell.leader()->leader()->counts();
  std::printf(
      "executors=%d jobs=%d starts=%lld holds=%lld passes=%lld preempted=%lld "
      "cpu_s=%.2f us_per_start=%.0f broken=%zu\n",
      executors, job, static_cast<long long>(counts.starts),
      static_cast<long long>(counts.holds),
      static_cast<long long>(counts.passes),
      static_cast<long long>(counts.preempted), used,
      1e6 * used / static_cast<double>(counts.starts),
      cell.executors.violations().size());
  return 0;
}
