// Tests of a cell of unlike members in which the store turns away the leader,
// or everybody.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::FakeCell;
using testing::kJobId;
using testing::MakeJobSpec;
using testing::MakeQueue;
using testing::StoreFaults;

constexpr int kTasks = 4;
constexpr char kStrongest[] = "a";
// Weaker members let stronger ones be elected first, for this time at most, and
// observe the leader by its heartbeats.
constexpr Millis kMaxExtraTime{300 + 200};

struct UnlikeMembers : FakeCell {
  explicit UnlikeMembers(uint64_t seed = 1, double strength_of_others = 0.12)
      : FakeCell(seed) {
    AddNode(kStrongest, 0.5);
    RunFor(Millis(1'000));
    for (const char* name : {"b", "c", "d", "e"}) {
      AddNode(name, strength_of_others);
    }
    AddExecutors("pool", 4, {32'000, 64'000, 0, 0});
    SetQueue(MakeQueue(0));
    RunFor(Millis(20'000));
    JobSpec spec = MakeJobSpec(kTasks, Millis(1'000), 1'000);
    spec.steps[0].long_running = true;
    Submit("b", kJobId, spec, "q0");
    RunFor(Millis(1'000));
    BOOST_REQUIRE(node(kStrongest)->leading());
    BOOST_REQUIRE(executors.running() == kTasks);
  }
  ~UnlikeMembers() {
    for (const std::string& what : executors.violations()) {
      BOOST_ERROR(what);
    }
  }
  int64_t Term() {
    const CellNode* at = leader();
    return at == nullptr ? 0 : at->leader()->leadership().term;
  }
  void RefuseStrongest(bool silent) {
    StoreFaults faults;
    faults.refuses = !silent;
    faults.unresponsive = silent;
    store.faults_of[kStrongest] = faults;
  }
  Millis AwaitOtherLeader() {
    Millis waited{0};
    for (; waited < Millis(9'000) && node(kStrongest)->leading();
         waited += Millis(10)) {
      RunFor(Millis(10));
    }
    return waited;
  }
};

BOOST_AUTO_TEST_SUITE(ACellOfUnlikeMembers)

// Regression (review_refused_leader): each heartbeat of the leader ended the
// suspicion before weaker members became candidates, and all runs lapsed.
BOOST_AUTO_TEST_CASE(ReplacesALeaderThatTheStoreTurnsAway) {
  for (const bool silent : {false, true}) {
    Millis ordinary{0};
    Millis longest{0};
    for (uint64_t seed = 1; seed <= 12; ++seed) {
      UnlikeMembers equal(seed, 0.5);
      equal.RefuseStrongest(silent);
      ordinary = std::max(ordinary, equal.AwaitOtherLeader());
      UnlikeMembers cell(seed);
      const int64_t term = cell.Term();
      cell.RefuseStrongest(silent);
      longest = std::max(longest, cell.AwaitOtherLeader());
      BOOST_TEST(cell.Term() == term + 1);
      cell.RunFor(Millis(8'000));
      BOOST_TEST(cell.executors.running() == kTasks);
      BOOST_TEST(cell.executors.starts() == kTasks);
    }
    BOOST_TEST(longest.count() <= (ordinary + kMaxExtraTime).count());
    BOOST_TEST_MESSAGE("longest " << longest.count() << " ms, ordinary "
                                  << ordinary.count());
  }
}

// Guards against weak members that replace each other because they yield to a
// stronger one that the store turns away.
BOOST_AUTO_TEST_CASE(KeepsItsNewLeaderUntilTheStoreAnswersTheStrongest) {
  UnlikeMembers cell;
  const int64_t term = cell.Term();
  cell.RefuseStrongest(true);
  cell.RunFor(Millis(30'000));
  BOOST_TEST(cell.Term() == term + 1);
  cell.store.faults_of.clear();
  cell.RunFor(Millis(6'000));
  BOOST_TEST(cell.node(kStrongest)->leading());
  BOOST_TEST(cell.Term() == term + 2);
  BOOST_TEST(cell.executors.running() == kTasks);
  BOOST_TEST(cell.executors.starts() == kTasks);
}

BOOST_AUTO_TEST_CASE(KeepsWhatRunsWhileTheStoreTurnsAwayAllMembers) {
  for (const bool silent : {false, true}) {
    UnlikeMembers cell;
    const int64_t term = cell.Term();
    cell.store.faults.refuses = !silent;
    cell.store.faults.unresponsive = silent;
    cell.RunFor(Millis(30'000));
    BOOST_TEST(cell.Term() == term);
    BOOST_TEST(cell.executors.running() == kTasks);
    cell.store.faults = StoreFaults();
    cell.RunFor(Millis(3'000));
    BOOST_TEST(cell.Term() == term);
    BOOST_TEST(cell.executors.starts() == kTasks);
  }
}

// Guards against members that stay suspicious of the leader, and so give it no
// authority, once the store answers nobody.
BOOST_AUTO_TEST_CASE(KeepsWhatRunsIfTheStoreTurnsAwayTheLeaderFirst) {
  for (const int ms : {300, 500, 700, 900, 1'100}) {
    BOOST_TEST_CONTEXT(ms) {
      UnlikeMembers cell;
      cell.RefuseStrongest(true);
      cell.RunFor(Millis(ms));
      cell.store.faults.unresponsive = true;
      cell.RunFor(Millis(20'000));
      BOOST_TEST(cell.executors.running() == kTasks);
      cell.store.faults = StoreFaults();
      cell.store.faults_of.clear();
      cell.RunFor(Millis(3'000));
      BOOST_TEST(cell.executors.starts() == kTasks);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
