#include "review/scenarios.h"

#include <algorithm>
#include <set>

namespace chivedale::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kSettleMs = 3'000;

// Number of runs of the job's tasks that are at work.
int AtWork(const Rig& rig, const std::string& job) {
  int count = 0;
  for (const auto& [id, executor] : rig.executors) {
    for (const auto& [task, run] : executor->runs()) {
      count += task.compare(0, job.size(), job) == 0 &&
                       executor->Percent(task) == 100
                   ? 1
                   : 0;
    }
  }
  return count;
}

Executor* Runner(Rig& rig, const std::string& task) {
  for (const auto& [id, executor] : rig.executors) {
    if (executor->runs().count(task) > 0) {
      return executor.get();
    }
  }
  return nullptr;
}

void RecordRuns(Rig& rig) {
  rig.on_start = [&rig](Executor& executor, const std::string& task) {
    rig.Record("executor " + executor.id() + " on " + executor.machine() +
               ": start of " + task + " run " +
               std::to_string(executor.runs().at(task).number));
  };
  rig.on_end = [&rig](Executor& executor, const std::string& task,
                      const Run& run, const std::string& how) {
    rig.Record("executor " + executor.id() + " on " + executor.machine() +
               ": end of " + task + " run " + std::to_string(run.number) + " " +
               how);
  };
}

json LastingStep(int count, int cpu) {
  return {{"count", count},
          {"cpu", cpu},
          {"mem_mb", 2'048},
          {"est_runtime_ms", 420},
          {"long_running", true}};
}

}  // namespace

bool LastingTaskEndsDone(Rig& rig) {
  // Of the rule: a task that lasts runs again within 6 s after its last run,
  // and a gap of 3 s more breaks it.
  constexpr int kMostGapMs = 6'000 + 3'000;
  constexpr int kTasks = 6;
  for (int i = 1; i <= 4; ++i) {
    rig.AddMachine("m" + std::to_string(i), "dossier");
  }
  rig.WriteManifest({"dossier-feed"});
  rig.StartDaemons(3);
  rig.WaitUntilReady();
  RecordRuns(rig);
  const std::string job = rig.Submit(
      "dossier-feed",
      {{"task_spec", "feed"}, {"steps", {LastingStep(kTasks, 2'000)}}});
  if (!rig.RunUntil(20'000, [&] { return AtWork(rig, job) == kTasks; })) {
    throw SetUpError("the job is not at work");
  }
  rig.RunFor(5'000);
  // An end `failed` first, for comparison, then an end `done`.
  bool held = true;
  for (const auto& [index, how] : {std::pair<int, const char*>(1, "failed"),
                                   std::pair<int, const char*>(2, "done")}) {
    if (std::string(how) == "done" && !rig.trouble()) {
      break;
    }
    const std::string task = job + ".0.0." + std::to_string(index);
    Runner(rig, task)->EndRun(task, how);
    const auto began = steady_clock::now();
    const bool again =
        rig.RunUntil(kMostGapMs, [&] { return Runner(rig, task) != nullptr; });
    const auto gap =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - began)
            .count();
    rig.Record(task + (again ? " runs again " : " does not run ") +
               std::to_string(gap) + " ms after its end " + how);
    held = held && again;
    rig.RunFor(3'000);
  }
  rig.RunFor(10'000);
  rig.AskState("dossier-feed", job);
  rig.RunFor(500);
  int there = 0;
  for (int i = 0; i < kTasks; ++i) {
    there += Runner(rig, job + ".0.0." + std::to_string(i)) == nullptr ? 0 : 1;
  }
  rig.Record(std::to_string(there) + " of " + std::to_string(kTasks) +
             " tasks run at the end");
  return held;
}

bool WaveNamesNewMachine(Rig& rig) {
  for (int i = 1; i <= 4; ++i) {
    rig.AddMachine("m" + std::to_string(i), "dossier");
  }
  rig.WriteManifest({"dossier-feed"});
  rig.StartDaemons(3);
  rig.WaitUntilReady();
  rig.RunFor(kSettleMs);
  rig.WriteWave(1, {"m1", "m2"}, 30, 1);
  if (!rig.RunUntil(40'000, [&] { return rig.WaveState(1) == "completed"; })) {
    throw SetUpError("the first wave is not completed");
  }
  rig.Record("status/wave/1 is completed");
  rig.RunFor(kSettleMs);
  std::vector<std::string> named = {"m3", "m4"};
  if (rig.trouble()) {
    rig.AddMachine("m5", "dossier");
    named = {"m3", "m5"};
  }
  rig.RunFor(10'000);
  rig.WriteWave(2, named, 30, 1);
  const bool completed =
      rig.RunUntil(40'000, [&] { return rig.WaveState(2) == "completed"; });
  rig.Record("status/wave/2 is " + rig.WaveState(2));
  bool held = true;
  for (const std::string& name : named) {
    const bool begun = rig.machines.at(name).upkeeps.count(2) > 0;
    rig.Record(
        "machine " + name + " is " + rig.machines.at(name).state +
        (begun ? ", its upkeep has begun" : ", its upkeep has not begun"));
    held = held && (begun || !completed);
  }
  rig.RunFor(5'000);
  return held;
}

bool LeaderKilledInWave(Rig& rig) {
  constexpr int kMostAtOnce = 1;
  for (int i = 1; i <= 5; ++i) {
    rig.AddMachine("m" + std::to_string(i), "dossier");
  }
  rig.WriteManifest({"dossier-feed"});
  rig.StartDaemons(3);
  rig.WaitUntilReady();
  rig.RunFor(kSettleMs);
  bool held = true;
  bool killed = false;
  rig.on_upkeep = [&](const std::string& machine, int64_t,
                      const std::string& holder) {
    int down = 0;
    for (const auto& [name, other] : rig.machines) {
      down += other.state == "upkeep" ? 1 : 0;
    }
    rig.Record("as the upkeep of " + machine + " begins, " +
               std::to_string(down) + " are down for theirs");
    held = held && down < kMostAtOnce;
    if (rig.trouble() && !killed) {
      killed = true;
      rig.After(200, [&rig, holder] { rig.KillDaemon(holder, 1'000); });
    }
  };
  rig.WriteWave(1, {"m1", "m2", "m3", "m4", "m5"}, 60, kMostAtOnce);
  const bool completed =
      rig.RunUntil(70'000, [&] { return rig.WaveState(1) == "completed"; });
  rig.Record("status/wave/1 is " + rig.WaveState(1));
  if (!completed) {
    throw SetUpError("the wave is not completed");
  }
  return held;
}

bool WaveStopsTooMany(Rig& rig) {
  constexpr int kTasks = 4;
  constexpr int kMayMiss = 1;
  rig.startup_ms = 800;
  for (int i = 1; i <= 6; ++i) {
    rig.AddMachine("m" + std::to_string(i), "dossier");
  }
  rig.WriteManifest({"dossier-feed"});
  rig.StartDaemons(3);
  rig.WaitUntilReady();
  json step = LastingStep(kTasks, 20'000);
  step["may_miss"] = kMayMiss;
  const std::string job =
      rig.Submit("dossier-feed", {{"task_spec", "feed"}, {"steps", {step}}});
  if (!rig.RunUntil(20'000, [&] { return AtWork(rig, job) == kTasks; })) {
    throw SetUpError("the job is not at work");
  }
  rig.RunFor(5'000);
  RecordRuns(rig);
  const auto record_end = rig.on_end;
  bool held = true;
  // Tasks that an order has ended, until they are at work again.
  std::set<std::string> ended_by_order;
  rig.on_end = [&](Executor& executor, const std::string& task, const Run& run,
                   const std::string& how) {
    record_end(executor, task, run, how);
    int away = 0;
    std::string names;
    for (auto it = ended_by_order.begin(); it != ended_by_order.end();) {
      Executor* const runner = Runner(rig, *it);
      if (runner != nullptr && runner->Percent(*it) == 100) {
        it = ended_by_order.erase(it);
        continue;
      }
      if (*it != task) {
        ++away;
        names += " " + *it + " at " +
                 (runner == nullptr
                      ? std::string("no executor")
                      : std::to_string(runner->Percent(*it)) + " percent");
      }
      ++it;
    }
    const auto ran = std::chrono::duration_cast<milliseconds>(
                         steady_clock::now() - run.began)
                         .count();
    if (ran >= run.startup_ms && away >= kMayMiss) {
      held = false;
      rig.Record("that task was at work, and away were already:" + names);
    }
    ended_by_order.insert(task);
  };
  if (rig.trouble()) {
    rig.WriteWave(1, {"m1", "m2", "m3", "m4", "m5", "m6"}, 60, 2);
    rig.RunUntil(70'000, [&] { return rig.WaveState(1) == "completed"; });
    rig.Record("status/wave/1 is " + rig.WaveState(1));
  } else {
    rig.RunFor(20'000);
  }
  rig.RunFor(3'000);
  rig.on_end = nullptr;
  rig.on_start = nullptr;
  return held;
}

bool LongSchedule(Rig& rig) {
  constexpr int kAckMs = 4'000;
  constexpr int kTimes = 120'000;
  for (int i = 1; i <= 4; ++i) {
    rig.AddMachine("m" + std::to_string(i), "dossier");
    rig.AddMachine("n" + std::to_string(i), "watch");
  }
  rig.WriteManifest({"dossier-check", "watch-feed"});
  rig.StartDaemons(3);
  rig.WaitUntilReady();
  RecordRuns(rig);
  rig.RunFor(kSettleMs);
  std::vector<std::string> sent;
  const auto send_for = [&](int ms) {
    for (int at = 0; at < ms; at += 250) {
      sent.push_back(
          rig.Submit("dossier-check", {{"task_spec", "check"},
                                       {"steps",
                                        {{{"count", 2},
                                          {"cpu", 3'000},
                                          {"mem_mb", 256},
                                          {"est_runtime_ms", 300}}}}}));
      rig.RunFor(250);
    }
  };
  send_for(5'000);
  const int64_t now = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  // A time each second, all of them due: what a schedule of a second is after
  // 33 hours.
  const int64_t times = rig.trouble() ? kTimes : 100;
  rig.Submit("watch-feed", {{"task_spec", "feed"},
                            {"steps",
                             {{{"count", 1},
                               {"cpu", 32'000},
                               {"mem_mb", 256},
                               {"est_runtime_ms", 500}}}},
                            {"repeat_count", times},
                            {"start_at_ms", now - times * 1'000},
                            {"interval_ms", 1'000}});
  send_for(25'000);
  rig.RunFor(kAckMs + 14'000);
  int64_t ends = 0;
  int64_t unnoted = 0;
  for (const auto& [id, executor] : rig.executors) {
    ends += executor->ends();
    unnoted += executor->UnnotedFor(kAckMs);
  }
  int completed = 0;
  for (const std::string& id : sent) {
    rig.AskState("dossier-check", id);
    rig.RunFor(20);
  }
  rig.on_start = nullptr;
  rig.on_end = nullptr;
  rig.RunFor(4'000);
  for (const std::string& id : sent) {
    completed += rig.jobs.at(id).state == "completed" ? 1 : 0;
  }
  rig.Record(std::to_string(ends) + " ends listed, " + std::to_string(unnoted) +
             " not taken note of after " + std::to_string(kAckMs) +
             " ms; the store refused " +
             std::to_string(rig.store->refused_for_size) +
             " writes for their size; " + std::to_string(completed) + " of " +
             std::to_string(sent.size()) + " short jobs shown as completed");
  return unnoted * 5 <= ends;
}

}  // namespace chivedale::review
