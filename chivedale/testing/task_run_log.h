// Records what all workers of a test ran, by task id, and the violations of
// guarantees that follow from it. Written by the platform side only, never by
// the scheduler. The guarantees (P1, P2, ...) are listed in
// owner_history_test.cc.
#ifndef CHIVEDALE_TESTING_TASK_RUN_LOG_H_
#define CHIVEDALE_TESTING_TASK_RUN_LOG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chivedale/ids.h"
#include "util/clock.h"

namespace chivedale::testing {

struct TaskRun {
  WorkerId worker;
  uint32_t attempt = 0;
  util::TimePoint start;
  util::TimePoint end;
  bool ended = false;
  std::string outcome;  // "ok", or how it ended
};

struct Violations {
  // Starts above the worker's capacity that the owner could have avoided (P1).
  int64_t overload_attempts = 0;
  int64_t ran_in_two_places = 0;     // P2
  int64_t unrepeatable_reruns = 0;   // P5
  int64_t started_when_leaving = 0;  // accepted over 3 s after leaving (P6)
  // Descriptions of the first violations.
  std::vector<std::string> details;

  int64_t total() const {
    return overload_attempts + ran_in_two_places + unrepeatable_reruns +
           started_when_leaving;
  }
};

class TaskRunLog {
 public:
  // Commands.
  void OnStart(const WorkerId& worker,
               const TaskKey& key,
               bool repeatable,
               util::TimePoint at);
  void OnEnd(const WorkerId& worker,
             const TaskKey& key,
             const std::string& outcome,
             util::TimePoint at);
  void OnOverloadAttempt(const WorkerId& worker, const TaskKey& key);
  // Refused for lack of capacity that the owner could not know of.
  void OnExcusedOverload() { ++excused_overloads_; }
  void OnStartWhenLeaving(const WorkerId& worker, const TaskKey& key);

  // Queries.
  const Violations& violations() const { return violations_; }
  const std::map<std::string, std::vector<TaskRun>>& runs() const {
    return runs_;
  }
  int64_t excused_overloads() const { return excused_overloads_; }
  int64_t starts() const { return starts_; }
  int64_t running() const { return running_; }

 private:
  void AddDetail(const std::string& what,
                 const WorkerId& worker,
                 const TaskKey& key);

  std::map<std::string, std::vector<TaskRun>> runs_;
  Violations violations_;
  int64_t excused_overloads_ = 0;
  int64_t starts_ = 0;
  int64_t running_ = 0;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_TASK_RUN_LOG_H_
