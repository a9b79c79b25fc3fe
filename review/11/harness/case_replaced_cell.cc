// All daemons lose power for good, and others come at other addresses. None of
// those is on the roster of the last leader, so their leader takes that one's
// authority as possible for ten minutes and acknowledges no end meanwhile. An
// executor lists 500 ends at a time (FakeExecutors, as PROTOCOL.md has it), so
// that the leader never sees the later ones.
#include <cstdint>
#include <string>
#include <vector>

#include "review/11/harness/cases.h"

namespace chivedale::review {
namespace {

using nlohmann::json;

constexpr int kOldDaemons = 3;
constexpr Millis kStartTime{10'000};
constexpr Millis kSettleTime{4'000};
constexpr Millis kDownTime{1'000};
constexpr Millis kTask{100};
constexpr int kJobs = 40;
constexpr int kTasksPerJob = 40;
constexpr Millis kSubmitInterval{100};
constexpr Millis kCallLimit{3'000};
// Bounds of the deployment: finish_s, and the 3 s of the rule.
constexpr Millis kFinishTime{14'000};
constexpr Millis kIdleTime{3'000};
constexpr int kOk = 200;
constexpr char kQueue[] = "tally";

// Hands in jobs at one daemon after the other.
std::vector<std::string> SubmitJobs(Lab& lab, int first, int last) {
  std::vector<std::string> accepted;
  constexpr uint64_t kFirstJob = 0x20000;
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = JobId(kFirstJob + static_cast<uint64_t>(i));
    lab.Submit(first + i % (last - first), kQueue, job,
               OneStep(kTasksPerJob, kTask), [&accepted, job](int status) {
                 if (status == kOk) {
                   accepted.push_back(job);
                 }
               });
    lab.RunFor(kSubmitInterval);
  }
  lab.RunFor(kCallLimit);
  return accepted;
}

// Jobs with nothing running and a task that has not ended `done`.
std::vector<std::string> IdleJobs(Lab& lab,
                                  const std::vector<std::string>& jobs) {
  std::vector<std::string> idle;
  for (const std::string& job : jobs) {
    bool done = true;
    for (int i = 0; i < kTasksPerJob; ++i) {
      done = done && lab.executors().IsDone({job, 0, 0, i});
    }
    if (!done && !lab.executors().RunsAnyOf(job)) {
      idle.push_back(job);
    }
  }
  return idle;
}

// Whether under half of the service's capacity is in use.
bool HasRoom(Lab& lab) {
  Resources capacity;
  Resources used;
  for (const auto& [entry, use] : lab.executors().Use()) {
    capacity += entry->capacity;
    used += use;
  }
  return 2 * used.cpu_milli < capacity.cpu_milli &&
         2 * used.memory_mb < capacity.memory_mb;
}

int CountCompleted(Lab& lab, int daemon, const std::vector<std::string>& jobs) {
  int completed = 0;
  int answers = 0;
  for (const std::string& job : jobs) {
    lab.Call(daemon, "GET", std::string("/") + kQueue + "/" + job, "",
             kCallLimit, [&](int status, const json& answer) {
               ++answers;
               completed += status == kOk && answer.is_object() &&
                                    answer.value("state", "") == "completed"
                                ? 1
                                : 0;
             });
  }
  lab.WaitFor(kCallLimit + Millis(500),
              [&] { return answers == static_cast<int>(jobs.size()); });
  return completed;
}

}  // namespace

int RunReplacedCell(Lab& lab, bool trouble) {
  lab.executors().run_time = [](const cell::TaskName&,
                                const cell::StepSpec& spec) {
    return cell::Duration(spec.estimate);
  };
  for (const char* id : {"e1", "e2"}) {
    lab.AddExecutor(id, "pool", {4'000, 16'000, 0, 0});
  }
  lab.WriteTable({kQueue});
  for (int i = 0; i < kOldDaemons; ++i) {
    lab.Start(i);
  }
  if (!lab.WaitFor(kStartTime, [&] { return lab.Leader() >= 0; })) {
    return kCannotRun;
  }
  lab.RunFor(kSettleTime);
  int first = 0;
  int last = kOldDaemons;
  if (trouble) {
    for (int i = 0; i < kOldDaemons; ++i) {
      lab.Kill(i);
    }
    lab.Record("all daemons are gone for good, others come");
    lab.RunFor(kDownTime);
    first = kOldDaemons;
    last = lab.daemons();
    for (int i = first; i < last; ++i) {
      lab.Start(i);
    }
    if (!lab.WaitFor(kStartTime, [&] { return lab.Leader() >= first; })) {
      return kCannotRun;
    }
    lab.RunFor(kSettleTime);
  }
  const std::vector<std::string> accepted = SubmitJobs(lab, first, last);
  lab.Record("accepted: " + std::to_string(accepted.size()));
  if (accepted.size() < kJobs / 2) {
    return kCannotRun;
  }
  lab.RunFor(kFinishTime);
  const std::vector<std::string> before = IdleJobs(lab, accepted);
  const int running = lab.executors().running();
  const bool had_room = HasRoom(lab);
  lab.RunFor(kIdleTime);
  const std::vector<std::string> after = IdleJobs(lab, accepted);
  lab.Record(
      "completed: " + std::to_string(CountCompleted(lab, first, accepted)) +
      "; with nothing running and tasks to do, at finish_s: " +
      std::to_string(before.size()) +
      ", 3 s later: " + std::to_string(after.size()) +
      "; tasks running on all executors: " + std::to_string(running) +
      ", then " + std::to_string(lab.executors().running()));
  for (const std::string& job : after) {
    lab.Record("BROKEN: job " + job + " has nothing running");
  }
  const bool broken =
      !before.empty() && !after.empty() && had_room && HasRoom(lab);
  return broken ? kRuleBroken : kRuleHeld;
}

}  // namespace chivedale::review
