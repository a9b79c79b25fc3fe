#include "cell/testing/random_history.h"

#include <rapidcheck.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "cell/testing/random_jobs.h"

namespace chivedale::cell::testing {
namespace {

// Some clocks of new boots are ahead of the earlier ones, some are behind.
constexpr uint64_t kMaxRestartClock = 40'000;
const std::vector<std::string> node_names = {"a", "b", "c"};

std::string Name(util::Random& random) {
  return node_names[random.UniformInt(node_names.size())];
}

// Injects a random fault that is cleared after a random time.
void InjectFault(FakeCell& cell, util::Random& random) {
  const auto heal_after =
      Millis(300 + static_cast<int64_t>(random.UniformInt(4'000)));
  const std::string name = Name(random);
  const std::string executor = "e" + std::to_string(1 + random.UniformInt(8));
  switch (random.UniformInt(13)) {
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
      StoreFaults down;
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
        cell.store.faults = StoreFaults();
        cell.entries_down = false;
      });
      return;
    }
    case 5:
      cell.store.faults.lost_answers = 0.4;
      cell.store.faults.late_writes = 0.2;
      cell.loop.After(heal_after,
                      [&cell] { cell.store.faults = StoreFaults(); });
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
      LinkFaults cut;
      cut.cut = true;
      cell.executors.links[{name, executor}] = cut;
      cell.loop.After(heal_after, [&cell, name, executor] {
        cell.executors.links.erase({name, executor});
      });
      return;
    }
    case 9: {
      LinkFaults cut;
      cut.cut = true;
      cell.executors.member_links[name] = cut;
      cell.loop.After(heal_after, [&cell, name] {
        cell.executors.member_links.erase(name);
      });
      return;
    }
    case 10: {
      LinkFaults late;
      late.late_orders = 0.15;
      late.lost_answers = 0.15;
      late.late_holds = 0.05;
      for (const std::string& member : node_names) {
        cell.executors.member_links[member] = late;
      }
      cell.loop.After(heal_after,
                      [&cell] { cell.executors.member_links.clear(); });
      return;
    }
    case 11:
      cell.RestartAndCut(executor, heal_after / 5,
                         Millis(random.UniformInt(2'500)), 2 * heal_after);
      return;
    default:
      // All members fail at the same time.
      for (const std::string& member : node_names) {
        cell.Kill(member);
        cell.loop.After(heal_after, [&cell, member] { cell.Restart(member); });
      }
      return;
  }
}

// Cuts one member and half of the executors off from the others for some time.
// The store stays on one side.
void CutRegions(FakeCell& cell, util::Random& random, Duration heal_after) {
  const std::string alone = Name(random);
  LinkFaults cut;
  cut.cut = true;
  std::vector<std::pair<std::string, ExecutorId>> links;
  for (const ExecutorEntry& entry : cell.executors.Entries()) {
    const bool beside = random.UniformInt(2) == 0;
    for (const std::string& name : node_names) {
      if (beside != (name == alone)) {
        links.emplace_back(name, entry.id);
        cell.executors.links[links.back()] = cut;
      }
    }
  }
  const bool store_beside = random.UniformInt(3) == 0;
  for (const std::string& name : node_names) {
    if (store_beside != (name == alone)) {
      cell.store.faults_of[name].unresponsive = true;
    }
  }
  cell.Partition({alone});
  cell.loop.After(heal_after, [&cell, links] {
    for (const auto& link : links) {
      cell.executors.links.erase(link);
    }
    cell.store.faults_of.clear();
    cell.Partition({});
  });
}

}  // namespace

void RandomHistory::Run(int faults, bool fail_sometimes) {
  const bool narrow = random_.UniformInt(2) == 0;
  cell_.advised_share = narrow ? 0.7 : 1;
  cell_.executors.clock_speed = random_.UniformInt(3) == 0 ? 0.98 : 1.0;
  cell_.executors.restart_clock = [this] {
    return Millis(random_.UniformInt(kMaxRestartClock));
  };
  cell_.executors.run_time = [this](const TaskName&, const StepSpec& spec) {
    return std::chrono::duration_cast<Duration>(spec.estimate *
                                                (0.5 + random_.UniformReal()));
  };
  if (fail_sometimes) {
    cell_.executors.fails = [this](const TaskName&, const ExecutorId&) {
      return random_.UniformInt(25) == 0;
    };
  }
  for (const std::string& name : node_names) {
    cell_.AddNode(name);
  }
  cell_.AddExecutors(kRandomPool, 8, {32'000, 64'000, 0, 0});
  cell_.SetQueue(UrgentQueue());
  cell_.SetQueue(HeavyQueue());
  cell_.RunFor(Millis(2'000));
  int job = 0;
  const int rounds = 60;
  for (int round = 0; round < rounds; ++round) {
    const JobId id = JobIdOf(++job);
    const JobSpec spec = RandomJob(random_, narrow);
    const std::string queue = random_.UniformInt(3) == 0 ? "heavy" : "urgent";
    cell_.Submit(Name(random_), id, spec, queue);
    if (random_.UniformInt(4) == 0) {
      // The caller also submits the job to another member.
      cell_.Submit(Name(random_), id, spec, queue);
    }
    if (random_.UniformInt(12) == 0) {
      cell_.Cancel(Name(random_),
                   JobIdOf(1 + static_cast<int>(random_.UniformInt(
                                   static_cast<uint64_t>(job)))));
    } else if (random_.UniformInt(12) == 0) {
      // The caller gives up before the submission is answered.
      cell_.Cancel(Name(random_), id);
    }
    if (static_cast<int>(random_.UniformInt(rounds)) < faults) {
      InjectFault(cell_, random_);
    }
    cell_.RunFor(Millis(50 + static_cast<int64_t>(random_.UniformInt(300))));
  }
  cell_.RunFor(Millis(40'000));
}

void RandomHistory::RunWide(bool cut_regions) {
  wide_ = true;
  const bool narrow = random_.UniformInt(2) == 0;
  cell_.advised_share = narrow ? 0.5 : 1;
  cell_.executors.clock_speed = random_.UniformInt(3) == 0 ? 0.98 : 1.0;
  cell_.executors.restart_clock = [this] {
    return Millis(random_.UniformInt(kMaxRestartClock));
  };
  cell_.executors.run_time = [this](const TaskName&, const StepSpec& spec) {
    return std::chrono::duration_cast<Duration>(spec.estimate *
                                                (0.5 + random_.UniformReal()));
  };
  cell_.executors.fails = [this](const TaskName&, const ExecutorId& id) {
    return failing_.count(id) > 0 || (faulty_ && random_.UniformInt(40) == 0);
  };
  for (const std::string& name : node_names) {
    cell_.AddNode(name);
  }
  cell_.AddExecutors(kRandomPool, 12, {32'000, 64'000, 0, 0});
  cell_.AddExecutors(kRandomPool, 8, {48'000, 128'000, 4, 0});
  cell_.SetQueue(UrgentQueue());
  cell_.SetQueue(HeavyQueue());
  cell_.RunFor(Millis(2'000));
  for (int round = 0; round < 50; ++round) {
    SubmitWide(narrow);
    if (random_.UniformInt(3) == 0) {
      InjectWideFault(cut_regions);
    }
    cell_.RunFor(Millis(50 + static_cast<int64_t>(random_.UniformInt(300))));
  }
  cell_.RunFor(kLongestFault);
  faulty_ = false;
  Quiet(SettleTime(), narrow, nullptr);
  LivenessCheck check(cell_);
  Quiet(Millis(15'000), narrow, &check);
  for (int i = 0; i < 900 && !check.all_over(); ++i) {
    cell_.RunFor(kObserveInterval);
    check.Observe();
  }
  cell_.RunFor(Millis(2'000));  // the last ends are stored
  if (check.violation()) {
    RC_FAIL(*check.violation());
  }
  waves_.Check();
}

void RandomHistory::Check() {
  CheckHistory(cell_, wide_);
}

void RandomHistory::SubmitWide(bool narrow) {
  const JobId id = JobIdOf(++jobs_);
  cell_.Submit(Name(random_), id, RandomWideJob(random_, narrow),
               random_.UniformInt(2) == 0 ? "heavy" : "urgent");
  if (random_.UniformInt(15) == 0) {
    const auto last = static_cast<uint64_t>(jobs_);
    cell_.Cancel(Name(random_),
                 JobIdOf(1 + static_cast<int>(random_.UniformInt(last))));
  }
}

void RandomHistory::Quiet(Duration time, bool narrow, LivenessCheck* check) {
  const TimePoint end = cell_.loop.clock().Now() + time;
  while (cell_.loop.clock().Now() < end) {
    if (random_.UniformInt(10) == 0) {
      SubmitWide(narrow);
    }
    cell_.RunFor(kObserveInterval);
    if (check != nullptr) {
      check->Observe();
    }
  }
}

void RandomHistory::InjectWideFault(bool cut_regions) {
  const auto heal_after = Millis(
      1'000 + static_cast<int64_t>(random_.UniformInt(
                  static_cast<uint64_t>(kLongestFault.count() - 1'000))));
  const std::vector<ExecutorEntry> up = cell_.executors.Entries();
  const ExecutorId executor =
      up.empty() ? "e1" : up[random_.UniformInt(up.size())].id;
  switch (random_.UniformInt(14)) {
    case 0:
      failing_.insert(executor);
      cell_.loop.After(heal_after,
                       [this, executor] { failing_.erase(executor); });
      return;
    case 1:
    case 2: {
      // The executor executes orders late, or loses most answers.
      LinkFaults late;
      (random_.UniformInt(2) == 0 ? late.late_orders : late.lost_answers) = 0.9;
      for (const std::string& name : node_names) {
        cell_.executors.links[{name, executor}] = late;
      }
      cell_.loop.After(heal_after, [this, executor] {
        for (const std::string& name : node_names) {
          cell_.executors.links.erase({name, executor});
        }
      });
      return;
    }
    case 3:
      cell_.executors.Drain(executor);
      cell_.loop.After(heal_after, [this, executor] {
        cell_.ReplaceExecutor(executor, Millis(500));
      });
      return;
    case 4:
      cell_.ReplaceExecutor(executor, Millis(1'500));
      return;
    case 5:
      waves_.Announce();
      return;
    case 6:
      cell_.SetQueue(ChangedQueue(random_));
      return;
    case 7:
    case 8:
      if (cut_regions) {
        CutRegions(cell_, random_, heal_after);
      }
      return;
    default:
      InjectFault(cell_, random_);
      return;
  }
}

}  // namespace chivedale::cell::testing
