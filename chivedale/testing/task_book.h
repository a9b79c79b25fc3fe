// What all workers of a test ran, by task id, and the broken promises that
// follow from it. The book belongs to the platform's side: the scheduler never
// writes to it.
#ifndef CHIVEDALE_TESTING_TASK_BOOK_H_
#define CHIVEDALE_TESTING_TASK_BOOK_H_

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
  int64_t overload_attempts = 0;     // above capacity, the owner knew (P1)
  int64_t ran_in_two_places = 0;     // P2
  int64_t unrepeatable_reruns = 0;   // P5
  int64_t started_when_leaving = 0;  // accepted over 3 s after leaving (P6)
  // The first few, in words.
  std::vector<std::string> details;

  int64_t total() const {
    return overload_attempts + ran_in_two_places + unrepeatable_reruns +
           started_when_leaving;
  }
};

class TaskBook {
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
  // Refused for room where the owner could not know better.
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
  void Note(const std::string& what,
            const WorkerId& worker,
            const TaskKey& key);

  std::map<std::string, std::vector<TaskRun>> runs_;
  Violations violations_;
  int64_t excused_overloads_ = 0;
  int64_t starts_ = 0;
  int64_t running_ = 0;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_TASK_BOOK_H_
