#include "cell/testing/random_jobs.h"

#include <algorithm>

namespace chivedale::cell::testing {

QueuePolicy UrgentQueue() {
  QueuePolicy queue;
  queue.name = "urgent";
  queue.pool = kRandomPool;
  queue.priority = 0;
  queue.max_attempts = 4;
  queue.objective_factor = 1.5;
  queue.objective_slack = Millis(300);
  queue.advice =
      AdvicePolicy{Millis(10), std::chrono::microseconds(200), Millis(2'000)};
  return queue;
}

QueuePolicy HeavyQueue() {
  QueuePolicy queue = UrgentQueue();
  queue.name = "heavy";
  queue.priority = 2;
  queue.objective_factor = 4;
  queue.objective_slack = Millis(3'000);
  return queue;
}

QueuePolicy ChangedQueue(util::Random& random) {
  QueuePolicy queue = random.UniformInt(2) == 0 ? UrgentQueue() : HeavyQueue();
  queue.objective_slack =
      Millis(static_cast<int64_t>(random.UniformInt(10'000)));
  queue.advice->validity =
      Millis(1'000 + static_cast<int64_t>(random.UniformInt(3'000)));
  return queue;
}

std::string JobIdOf(int number) {
  std::string id = std::to_string(number);
  return std::string(16 - id.size(), '0') + id;
}

JobSpec RandomJob(util::Random& random, bool narrow) {
  JobSpec spec;
  spec.payload = "p" + std::to_string(random.UniformInt(1'000));
  const auto steps = 1 + random.UniformInt(kMaxSteps);
  for (uint64_t i = 0; i < steps; ++i) {
    StepSpec step;
    step.count = 1 + static_cast<int>(random.UniformInt(5));
    step.size.cpu_milli =
        1'000 + static_cast<int64_t>(random.UniformInt(9'000));
    step.size.memory_mb = 500 + static_cast<int64_t>(random.UniformInt(8'000));
    step.estimate =
        Millis(200 + static_cast<int64_t>(random.UniformInt(1'500)));
    if (i > 0 && random.UniformInt(4) > 0) {
      step.depends_on = {static_cast<int>(i) - 1};
    }
    step.checkpoints = random.UniformInt(2) == 0;
    step.gang = random.UniformInt(5) == 0;
    step.copies_allowed = !step.gang && random.UniformInt(5) == 0;
    if (narrow) {
      step.count = std::min(step.count, 3);
    } else {
      step.max_per_executor = random.UniformInt(6) == 0 ? 2 : 0;
      step.label = random.UniformInt(8) == 0 ? "a" : "";
    }
    step.preferred_rack = random.UniformInt(8) == 0 ? "r1" : "";
    spec.steps.push_back(step);
  }
  return spec;
}

JobSpec RandomWideJob(util::Random& random, bool narrow) {
  JobSpec spec = RandomJob(random, narrow);
  for (StepSpec& step : spec.steps) {
    step.same_rack = step.gang && random.UniformInt(3) == 0;
    if (random.UniformInt(3) == 0) {
      step.estimate =
          Millis(2'000 +
                 static_cast<int64_t>(random.UniformInt(
                     static_cast<uint64_t>(kLongestEstimate.count()) - 2'000)));
      step.count = std::min(step.count, 2);
    }
    if (random.UniformInt(4) == 0) {
      step.size.accelerators = 1 + static_cast<int64_t>(random.UniformInt(2));
      step.label = "";
    } else if (random.UniformInt(6) == 0) {
      step.size = {10'150, 27'840, 0, 0};
    }
  }
  StepSpec& first = spec.steps[0];
  if (!first.gang && first.estimate < Millis(1'000) &&
      random.UniformInt(5) == 0) {
    first.count = 15 + static_cast<int>(random.UniformInt(16));
    first.size.cpu_milli = 2'800;
  }
  return spec;
}

}  // namespace chivedale::cell::testing
