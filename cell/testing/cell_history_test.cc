// Property tests with random histories of a cell under faults: killed, paused
// and partitioned members, a store that is down, loses answers, delays writes
// or compacts its history, and executors that crash or answer late or not at
// all. The fake executors check each order.
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/testing/fake_cell.h"

namespace chivedale::cell {
namespace {

using testing::FakeCell;

constexpr char kPool[] = "pool";
const std::vector<std::string> node_names = {"a", "b", "c"};

QueuePolicy UrgentQueue() {
  QueuePolicy queue;
  queue.name = "urgent";
  queue.pool = kPool;
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

std::string JobIdOf(int number) {
  std::string id = std::to_string(number);
  return std::string(16 - id.size(), '0') + id;
}

// If `narrow`, each step fits on one executor and needs no label, because
// advice allows only some of the executors.
JobSpec RandomJob(util::Random& random, bool narrow) {
  JobSpec spec;
  spec.payload = "p" + std::to_string(random.UniformInt(1'000));
  const auto steps = 1 + random.UniformInt(3);
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

std::string Name(util::Random& random) {
  return node_names[random.UniformInt(node_names.size())];
}

// Injects a random fault that is cleared after a random time.
void InjectFault(FakeCell& cell, util::Random& random) {
  const auto heal_after =
      Millis(300 + static_cast<int64_t>(random.UniformInt(4'000)));
  const std::string name = Name(random);
  const std::string executor = "e" + std::to_string(1 + random.UniformInt(8));
  switch (random.UniformInt(12)) {
    case 0:
      cell.Kill(name);
      cell.loop.After(heal_after, [&cell, name] { cell.Restart(name); });
      return;
    case 1:
      cell.Freeze(name, heal_after);
      return;
    case 2:
      cell.CutPeers(name, true);
      cell.loop.After(heal_after,
                      [&cell, name] { cell.CutPeers(name, false); });
      return;
    case 3: {
      testing::StoreFaults down;
      (random.UniformInt(2) == 0 ? down.refuses : down.unresponsive) = true;
      cell.store.faults_of[name] = down;
      cell.loop.After(heal_after,
                      [&cell, name] { cell.store.faults_of.erase(name); });
      return;
    }
    case 4: {
      (random.UniformInt(2) == 0 ? cell.store.faults.refuses
                                 : cell.store.faults.unresponsive) = true;
      cell.entries_down = true;
      cell.loop.After(heal_after, [&cell] {
        cell.store.faults = testing::StoreFaults();
        cell.entries_down = false;
      });
      return;
    }
    case 5:
      cell.store.faults.lost_answers = 0.4;
      cell.store.faults.late_writes = 0.2;
      cell.loop.After(heal_after,
                      [&cell] { cell.store.faults = testing::StoreFaults(); });
      return;
    case 6:
      cell.store.CompactHistory();
      return;
    case 7:
      cell.executors.Crash(executor);
      cell.loop.After(heal_after,
                      [&cell, executor] { cell.executors.Restart(executor); });
      return;
    case 8: {
      testing::LinkFaults cut;
      cut.cut = true;
      cell.executors.links[{name, executor}] = cut;
      cell.loop.After(heal_after, [&cell, name, executor] {
        cell.executors.links.erase({name, executor});
      });
      return;
    }
    case 9: {
      testing::LinkFaults cut;
      cut.cut = true;
      cell.executors.member_links[name] = cut;
      cell.loop.After(heal_after, [&cell, name] {
        cell.executors.member_links.erase(name);
      });
      return;
    }
    case 10: {
      testing::LinkFaults late;
      late.late_orders = 0.15;
      late.lost_answers = 0.15;
      for (const std::string& member : node_names) {
        cell.executors.member_links[member] = late;
      }
      cell.loop.After(heal_after,
                      [&cell] { cell.executors.member_links.clear(); });
      return;
    }
    default:
      // All members fail at the same time.
      for (const std::string& member : node_names) {
        cell.Kill(member);
        cell.loop.After(heal_after, [&cell, member] { cell.Restart(member); });
      }
      return;
  }
}

struct History {
  explicit History(uint64_t seed) : cell(seed), random(seed ^ 0x5bd1e995) {}

  void Run(int faults, bool fail_sometimes) {
    const bool narrow = random.UniformInt(2) == 0;
    cell.advised_share = narrow ? 0.7 : 1;
    cell.executors.clock_speed = random.UniformInt(3) == 0 ? 0.98 : 1.0;
    cell.executors.run_time = [this](const TaskName&, const StepSpec& spec) {
      return std::chrono::duration_cast<Duration>(spec.estimate *
                                                  (0.5 + random.UniformReal()));
    };
    if (fail_sometimes) {
      cell.executors.fails = [this](const TaskName&, const ExecutorId&) {
        return random.UniformInt(25) == 0;
      };
    }
    for (const std::string& name : node_names) {
      cell.AddNode(name);
    }
    cell.AddExecutors(kPool, 8, {32'000, 64'000, 0, 0});
    cell.SetQueue(UrgentQueue());
    cell.SetQueue(HeavyQueue());
    cell.RunFor(Millis(2'000));
    int job = 0;
    const int rounds = 60;
    for (int round = 0; round < rounds; ++round) {
      const JobId id = JobIdOf(++job);
      const JobSpec spec = RandomJob(random, narrow);
      const std::string queue = random.UniformInt(3) == 0 ? "heavy" : "urgent";
      cell.Submit(Name(random), id, spec, queue);
      if (random.UniformInt(4) == 0) {
        // The caller also submits the job to another member.
        cell.Submit(Name(random), id, spec, queue);
      }
      if (random.UniformInt(12) == 0) {
        cell.Cancel(Name(random),
                    JobIdOf(1 + static_cast<int>(random.UniformInt(
                                    static_cast<uint64_t>(job)))));
      }
      if (static_cast<int>(random.UniformInt(rounds)) < faults) {
        InjectFault(cell, random);
      }
      cell.RunFor(Millis(50 + static_cast<int64_t>(random.UniformInt(300))));
    }
    cell.RunFor(Millis(40'000));
  }

  void Check() {
    for (const std::string& what : cell.executors.violations()) {
      const size_t at = what.find(": ");
      RC_FAIL(what + "\n" + cell.log.Lines(what.substr(at + 2, 16)) +
              cell.log.Lines(" cell_"));
    }
    RC_ASSERT(cell.leader() != nullptr);
    for (const JobId& id : cell.accepted()) {
      const auto state = cell.StateOf(id);
      if (!state) {
        RC_FAIL("accepted job is unknown: " + id + "\n" + cell.log.Lines(id));
      }
      const bool cancelled = cell.cancelled().count(id) > 0;
      const bool ended = *state == JobState::kCompleted ||
                         *state == JobState::kFailed ||
                         *state == JobState::kCancelled;
      if (!ended || (*state == JobState::kCancelled && !cancelled &&
                     cell.store.Find(CancelKey(id)) == nullptr)) {
        RC_FAIL("job " + id + " is " + std::string(JobStateName(*state)) +
                "\n" + cell.log.Lines(id));
      }
    }
    for (const JobId& id : cell.refused()) {
      if (cell.accepted().count(id) == 0 &&
          cell.executors.EverStarted(id + ".0.0.0") &&
          cell.store.Find(JobKey(id)) == nullptr) {
        RC_FAIL("refused job was started: " + id);
      }
    }
    RC_ASSERT(cell.executors.running() == 0);
  }

  FakeCell cell;
  util::Random random;
};

BOOST_AUTO_TEST_SUITE(ACellUnderFaults)

RC_BOOST_PROP(CompletesAllJobsWithoutFaults, (uint64_t seed)) {
  History history(seed);
  history.Run(0, false);
  history.Check();
  for (const JobId& id : history.cell.accepted()) {
    if (history.cell.cancelled().count(id) == 0) {
      RC_ASSERT(history.cell.StateOf(id) == JobState::kCompleted);
    }
  }
}

RC_BOOST_PROP(KeepsInvariantsUnderFaults, (uint64_t seed)) {
  History history(seed);
  history.Run(12, true);
  history.Check();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
