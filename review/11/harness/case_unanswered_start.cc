// An executor is lost for good. A task that lasts is sent to it before the
// leader notices, and is not started elsewhere while another boot of that
// executor might still carry out the start: 12.5 s.
#include <algorithm>
#include <string>
#include <vector>

#include "platform/names.h"
#include "review/11/harness/cases.h"

namespace chivedale::review {
namespace {

constexpr int kExecutors = 8;
constexpr char kLost[] = "e3";
constexpr Millis kStartTime{10'000};
constexpr Millis kSettleTime{14'000};
// From the loss to the job.
constexpr Millis kSubmitDelay{500};
// Three ping intervals of silence, after which the entry is removed.
constexpr Millis kEntryTime{4'500};
// The disruption is taken to last as long as srv_crash does in the site file.
constexpr Millis kCrashTime{4'500};
// Of the rule: a task that lasts is owed from 6 s on, and the 3 s that are
// looked at and the 4 s before them have to be calm.
constexpr Millis kOwedTime{6'000};
constexpr Millis kCalmTime{4'000};
constexpr Millis kIdleTime{3'000};
constexpr Millis kWatchTime{25'000};
constexpr Millis kLookInterval{50};
constexpr Millis kEstimate{1'000};
constexpr int kOk = 200;
constexpr char kQueue[] = "tally";

bool IsRunning(Lab& lab, const std::string& job, int task) {
  for (int i = 0; i < kExecutors; ++i) {
    const std::string id = "e" + std::to_string(i);
    if (lab.executors().IsUp(id) &&
        lab.executors().RunsOn({job, 0, 0, task}, id)) {
      return true;
    }
  }
  return false;
}

}  // namespace

int RunUnansweredStart(Lab& lab, bool trouble) {
  for (int i = 0; i < kExecutors; ++i) {
    lab.AddExecutor("e" + std::to_string(i), "pool", {32'000, 64'000, 0, 0});
  }
  lab.WriteTable({kQueue});
  lab.StartAll();
  if (!lab.WaitFor(kStartTime, [&] { return lab.Leader() >= 0; })) {
    return kCannotRun;
  }
  // Until the executors are settled, so that only the start counts.
  lab.RunFor(kSettleTime);
  const cell::TimePoint lost = lab.loop().clock().Now();
  if (trouble) {
    lab.Record(std::string("executor lost for good: ") + kLost);
    lab.executors().Remove(kLost);
    lab.loop().After(kEntryTime, [&lab] {
      lab.store().Remove(std::string(platform::kServersPrefix) + kLost);
    });
  }
  lab.RunFor(kSubmitDelay);
  cell::JobSpec spec = OneStep(kExecutors, kEstimate);
  spec.steps[0].long_running = true;
  const std::string job = JobId(0x70000);
  bool accepted = false;
  lab.Submit(0, kQueue, job, spec,
             [&](int status) { accepted = status == kOk; });
  if (!lab.WaitFor(kStartTime, [&] { return accepted; })) {
    return kCannotRun;
  }
  const cell::TimePoint handed_in = lab.loop().clock().Now();
  const cell::TimePoint owed = std::max<cell::TimePoint>(
      handed_in + kOwedTime, lost + kCrashTime + kCalmTime);
  // Since when each task has not been running, from when it is owed.
  std::vector<cell::TimePoint> idle_since(kExecutors, owed);
  Millis longest{0};
  const cell::TimePoint end = handed_in + kWatchTime;
  while (lab.loop().clock().Now() < end) {
    lab.RunFor(kLookInterval);
    const cell::TimePoint now = lab.loop().clock().Now();
    for (int i = 0; now > owed && i < kExecutors; ++i) {
      cell::TimePoint& since = idle_since.at(static_cast<size_t>(i));
      if (IsRunning(lab, job, i)) {
        since = now;
      }
      longest =
          std::max(longest, std::chrono::duration_cast<Millis>(now - since));
    }
  }
  int running = 0;
  for (int i = 0; i < kExecutors; ++i) {
    running += IsRunning(lab, job, i) ? 1 : 0;
  }
  lab.Record("tasks running at the end: " + std::to_string(running) +
             "; longest time without a run of an owed task, in ms: " +
             std::to_string(longest.count()));
  if (longest >= kIdleTime) {
    lab.Record("BROKEN: a task that lasts does not run, with room for it");
    return kRuleBroken;
  }
  return running == kExecutors ? kRuleHeld : kCannotRun;
}

}  // namespace chivedale::review
