// Tests of what a new leader assumes about earlier ones: for how long they may
// act, what they ordered, and what they left on the executors.
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "cell/testing/large_cell.h"

namespace chivedale::cell {
namespace {

using testing::FakeCell;
using testing::kCutTime;
using testing::kHalfExecutor;
using testing::kJobId;
using testing::LargeCell;
using testing::MakeJobSpec;
using testing::MakeQueue;

// Two leaders that do not reach each other's executors, and a member beside the
// first one that stores jobs and does not learn of the elections.
struct TwoRegions : LargeCell {
  explicit TwoRegions(uint64_t seed) : LargeCell(seed), first(LeaderName()) {
    near = first == "a" ? "b" : "a";
    for (const std::string& name : names) {
      const bool is_near = name == first || name == near;
      for (const char* id : {"e1", "e2", "e3"}) {
        executors.links[{name, id}].cut = !is_near;
      }
      for (const char* id : {"e4", "e5", "e6"}) {
        executors.links[{name, id}].cut = is_near;
      }
    }
    store.faults_of[near].watches_hang = true;
    RunFor(Millis(1'500));
    store.faults_of[first].unresponsive = true;
    for (const std::string& name : names) {
      if (name != first && name != near) {
        CutLink(name, near, true);
        CutLink(near, name, true);
      }
    }
    RunFor(Millis(700));
    // It does not learn of its successor; the others learn from it that the
    // store does not answer it.
    CutLink(first, near, true);
    for (const std::string& name : names) {
      CutLink(name, first, name != near);
    }
  }
  std::string OtherLeader() {
    for (const std::string& name : names) {
      if (name != first && node(name) != nullptr && node(name)->leading()) {
        return name;
      }
    }
    return "";
  }
  std::string AwaitOtherLeader() {
    for (int i = 0; i < 400 && OtherLeader().empty(); ++i) {
      RunFor(Millis(5));
    }
    return OtherLeader();
  }

  const std::string first;
  std::string near;
};

BOOST_AUTO_TEST_SUITE(ANewLeader)

// Guards against a leader that takes the last one, which has ended, for the
// only one before it: jobs stored since were started at once, and by both.
BOOST_AUTO_TEST_CASE(WaitsForAllEarlierLeaders) {
  int played = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    TwoRegions cell(seed);
    const std::string second = cell.AwaitOtherLeader();
    if (second.empty() || second == cell.near) {
      continue;
    }
    ++played;
    cell.RunFor(Millis(50));
    cell.Kill(second);
    BOOST_TEST(cell.AwaitOtherLeader() != "");
    cell.RunFor(Millis(20));
    cell.Submit(cell.near, kJobId,
                MakeJobSpec(6, Millis(20'000), kHalfExecutor), "q0");
    cell.RunFor(Millis(1'500));
  }
  BOOST_TEST(played > 0);
}

// Guards against tasks that are started again because their ends are not among
// those that fit in an executor's first answer.
BOOST_AUTO_TEST_CASE(ReadsAllEndsBeforeItStartsTasksAgain) {
  constexpr int kTasks = 1'900;
  LargeCell cell;
  for (const char* id : {"e3", "e4", "e5", "e6"}) {
    cell.executors.Remove(id);
  }
  cell.RunFor(Millis(8'000));
  cell.Submit("a", kJobId, MakeJobSpec(kTasks, Millis(100), 1'000), "q0");
  cell.RunFor(Millis(100));
  cell.store.faults.unresponsive = true;
  cell.entries_down = true;
  cell.RunFor(Millis(29'000));
  BOOST_TEST(cell.executors.listed_ends() > 1'000u);
  cell.Kill(cell.LeaderName());
  cell.store.faults = testing::StoreFaults();
  cell.entries_down = false;
  cell.RunFor(Millis(20'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(cell.executors.starts() == kTasks);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
