// Fixture of the cell tests: three members, four executors and two queues. The
// destructor reports each violation seen by the executors as a test failure.
//
//   CellFixture cell;
//   cell.Submit("a", kJobId, MakeJobSpec(2, Millis(300)), "q0");
#ifndef CELL_TESTING_CELL_FIXTURE_H_
#define CELL_TESTING_CELL_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/testing/fake_cell.h"

namespace chivedale::cell::testing {

inline constexpr char kJobId[] = "00000000000000aa";

inline QueuePolicy MakeQueue(int priority = 0) {
  QueuePolicy queue;
  queue.name = "q" + std::to_string(priority);
  queue.pool = "pool";
  queue.priority = priority;
  queue.max_attempts = 2;
  queue.objective_factor = 1.5;
  queue.objective_slack = Millis(300);
  return queue;
}

inline JobSpec MakeJobSpec(int count, Millis estimate, int64_t cpu = 4'000) {
  JobSpec spec;
  spec.payload = "p";
  StepSpec step;
  step.count = count;
  step.size = {cpu, 1'000, 0, 0};
  step.estimate = estimate;
  spec.steps = {step};
  return spec;
}

struct CellFixture : FakeCell {
  CellFixture() : FakeCell(1) {
    for (const char* name : {"a", "b", "c"}) {
      AddNode(name);
    }
    AddExecutors("pool", 4, {32'000, 64'000, 0, 0});
    SetQueue(MakeQueue(0));
    SetQueue(MakeQueue(2));
    RunFor(Millis(2'000));
  }
  ~CellFixture() {
    for (const std::string& what : executors.violations()) {
      BOOST_ERROR(what);
    }
  }
  std::string LeaderName() {
    for (const char* name : {"a", "b", "c"}) {
      if (node(name) != nullptr && node(name)->leading()) {
        return name;
      }
    }
    return "";
  }
  std::string NonLeaderName() { return LeaderName() == "a" ? "b" : "a"; }
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_CELL_FIXTURE_H_
