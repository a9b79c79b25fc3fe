// Tests of a cell whose leader is cut off from all other members and from the
// store, together with some of the executors.
#include <boost/test/unit_test.hpp>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
using testing::MakeJobSpec;

BOOST_AUTO_TEST_SUITE(ACellWhoseLeaderIsCutOff)

// Regression (random history): the old leader renewed the leases of the
// executors on its side, and the new one started their tasks again.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwice) {
  CellFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(4, Millis(20'000), 20'000), "q0");
  cell.RunFor(Millis(300));
  BOOST_TEST(cell.executors.running() == 4);
  const std::string old = cell.LeaderName();
  testing::LinkFaults cut;
  cut.cut = true;
  for (const std::string name : {"a", "b", "c"}) {
    for (const std::string executor : {"e1", "e2", "e3", "e4"}) {
      if ((name == old) != (executor == "e1")) {
        cell.executors.links[{name, executor}] = cut;
      }
    }
  }
  cell.Partition({old});
  cell.store.faults_of[old].unresponsive = true;
  cell.AddExecutors("pool", 2, {32'000, 64'000, 0, 0});
  cell.executors.links[{old, "e5"}] = cut;
  cell.executors.links[{old, "e6"}] = cut;
  cell.RunFor(Millis(15'000));
}

// Members whose processes have ended are off the roster soon, as long as the
// store answers.
BOOST_AUTO_TEST_CASE(KeepsItsTasksIfTheOtherMembersHaveEnded) {
  CellFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(4, Millis(20'000), 20'000), "q0");
  cell.RunFor(Millis(300));
  const std::string leader = cell.LeaderName();
  for (const std::string name : {"a", "b", "c"}) {
    if (name != leader) {
      cell.Kill(name);
    }
  }
  cell.RunFor(Millis(4'500));
  cell.store.faults.unresponsive = true;
  cell.RunFor(Millis(10'000));
  BOOST_TEST(cell.executors.running() == 4);
  BOOST_TEST(cell.executors.starts() == 4);
}

// The leader goes on once it reaches the other members again.
BOOST_AUTO_TEST_CASE(StartsTasksAgainAfterAShortCut) {
  CellFixture cell;
  const std::string leader = cell.LeaderName();
  cell.store.faults_of[leader].unresponsive = true;
  cell.Partition({leader});
  cell.RunFor(Millis(1'000));
  cell.Partition({});
  cell.store.faults_of.clear();
  cell.RunFor(Millis(1'500));
  cell.Submit(cell.NonLeaderName(), kJobId, MakeJobSpec(4, Millis(300)), "q0");
  cell.RunFor(Millis(2'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
