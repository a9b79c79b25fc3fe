// Checks that no job waits while it could run, as seen by the executors: a task
// whose dependencies are done, no run of its job on any executor, room for the
// task (or gang) twice over and less than half of each resource of the pool in
// use.
//
//   LivenessCheck check(cell);
//   check.Observe();  // every kObserveInterval
//   if (check.violation()) ...
#ifndef CELL_TESTING_LIVENESS_CHECK_H_
#define CELL_TESTING_LIVENESS_CHECK_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell/testing/fake_cell.h"

namespace chivedale::cell::testing {

inline constexpr Millis kObserveInterval{100};
// The longest time that the users' contract lets such a job wait.
inline constexpr Millis kMaxIdleWait{3'000};

class LivenessCheck {
 public:
  explicit LivenessCheck(FakeCell& cell) : cell_(cell) {}

  // Commands.
  void Observe();

  // Queries.
  // The first violation, with the log of its job.
  const std::optional<std::string>& violation() const { return violation_; }
  // Whether all accepted jobs were over at the last observation, except those
  // that cannot run at all.
  bool all_over() const { return all_over_; }
  // Whether each step of the job has room on the pool if nothing else runs.
  bool FitsOnEmptyPool(const JobId& id) const;

 private:
  struct Row {
    const ExecutorEntry* entry;
    Resources free;
  };

  void ObserveJob(const JobId& id, const std::vector<Row>& rows);
  // `stored` is the job with its progress in the store.
  bool StepDone(Job& stored, int step) const;
  // Whether a step that is not done may start and has room twice over.
  bool MayStart(Job& stored, int step, const std::vector<Row>& rows) const;
  bool HasPlaces(const std::string& step,
                 const StepSpec& spec,
                 const std::vector<Row>& rows,
                 int wanted) const;
  std::string Describe(const JobId& id, int step, TimePoint since) const;

  FakeCell& cell_;
  std::set<JobId> over_;
  bool all_over_ = false;
  std::map<JobId, std::map<int, TimePoint>> since_;  // by job and step
  std::optional<std::string> violation_;
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_LIVENESS_CHECK_H_
