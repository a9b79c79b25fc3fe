// Fixture of tests with executors that join or start again shortly before the
// leader changes. The destructor reports each violation seen by the executors
// as a test failure.
//
//   JoiningCell cell;
//   cell.SubmitLastingTasks();
//   cell.Lose({"e1"});
//   cell.KillLeader();
//   cell.ExpectAllTasksToRunInTime();
#ifndef CELL_TESTING_JOINING_CELL_H_
#define CELL_TESTING_JOINING_CELL_H_

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell::testing {

inline constexpr Millis kLongestLease{10'000};
// The users' bound for a task that lasts: after 6 s without a run it may not
// stay without one for 3 s.
inline constexpr Millis kMostWithoutARun{9'000};
// Until the first leader has found and stored the executors.
inline constexpr Millis kFirstSeconds{2'000};
// Longer than any lease and any late call last.
inline constexpr Millis kAllExpired{25'000};
// Calls may be executed for this long, see kMaxCallDelay.
inline constexpr Millis kCallsOver{13'000};
inline constexpr int kTasks = 12;
inline constexpr int64_t kQuarterExecutor = 8'000;

using ExecutorIds = std::vector<ExecutorId>;

// Five members, six executors and a job whose tasks last. The executors left
// after a loss have room for all of its tasks.
struct JoiningCell : FakeCell {
  explicit JoiningCell(uint64_t seed = 1, double clock_speed = 1.0)
      : FakeCell(seed) {
    executors.clock_speed = clock_speed;
    executors.longest_lease = kLongestLease;
    for (const std::string& name : names) {
      AddNode(name);
    }
    AddExecutors("pool", 6, {32'000, 64'000, 0, 0});
    SetQueue(MakeQueue(0));
    RunFor(kFirstSeconds);
  }
  ~JoiningCell() {
    for (const std::string& what : executors.violations()) {
      BOOST_ERROR(what);
    }
  }
  std::string LeaderName() {
    for (const std::string& name : names) {
      if (node(name) != nullptr && node(name)->leading()) {
        return name;
      }
    }
    return "";
  }
  void SubmitLastingTasks() {
    JobSpec spec = MakeJobSpec(kTasks, Millis(0), kQuarterExecutor);
    spec.steps[0].long_running = true;
    Submit(names[0], kJobId, spec, "q0");
    RunFor(Millis(1'000));
    BOOST_TEST_REQUIRE(executors.running() == kTasks);
  }
  void Lose(const ExecutorIds& ids) {
    for (const ExecutorId& id : ids) {
      executors.Remove(id);
    }
  }
  // The executors go on and stay registered.
  void Cut(const ExecutorIds& ids, bool cut = true) {
    for (const std::string& name : names) {
      for (const ExecutorId& id : ids) {
        executors.links[{name, id}].cut = cut;
      }
    }
  }
  // Orders to the executor get no answer and are executed after 2 to 12 s.
  void MakeOrdersLate(const ExecutorId& id) {
    LinkFaults late;
    late.late_orders = 1;
    for (const std::string& name : names) {
      executors.links[{name, id}] = late;
    }
  }
  void KillLeader() { Kill(LeaderName()); }
  void StopLeader() {
    const std::string name = LeaderName();
    node(name)->StartShutdown();
    RunFor(Millis(100));
    Kill(name);
  }
  // Of the list that a successor reads; null if there is none.
  nlohmann::json RowOf(const ExecutorId& id) const {
    for (nlohmann::json& row :
         nlohmann::json::from_msgpack(store.Find(kExecutorsKey)->value)) {
      if (row[0] == id) {
        return row;
      }
    }
    return nullptr;
  }
  // Of executors that were not settled.
  void StoreListOfAnEarlierVersion() {
    auto list = nlohmann::json::array();
    for (const char* id : {"e1", "e2", "e3", "e4", "e5", "e6"}) {
      const nlohmann::json row = RowOf(id);
      list.push_back(nlohmann::json::array({row[0], row[1], row[2], 0}));
    }
    std::string bytes;
    nlohmann::json::to_msgpack(list, bytes);
    store.Put(kExecutorsKey, bytes);
  }
  void ExpectAllTasksToRunInTime() {
    RunFor(kMostWithoutARun);
    BOOST_TEST(executors.running() == kTasks,
               log.Lines("executors_unread") + log.Lines("executor_new"));
  }

  const std::vector<std::string> names = {"a", "b", "c", "d", "e"};
};

using EndLeader = void (JoiningCell::*)();
inline constexpr EndLeader kWaysToEnd[] = {&JoiningCell::KillLeader,
                                           &JoiningCell::StopLeader};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_JOINING_CELL_H_
