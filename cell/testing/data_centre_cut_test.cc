// Tests of a cell of seven members and six executors while some of both are cut
// off from the others: the leader's side, the other one, and which of them
// reaches the store. The fake executors report a task that runs twice.
#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/testing/large_cell.h"

namespace chivedale::cell {
namespace {

using testing::FakeCell;
using testing::kCutTime;
using testing::kHalfExecutor;
using testing::kJobId;
using testing::kRecoveryTime;
using testing::LargeCell;
using testing::MakeJobSpec;
using testing::MakeQueue;

BOOST_AUTO_TEST_SUITE(ACellThatIsCutInTwo)

BOOST_AUTO_TEST_SUITE(WithTheStoreOutOfTheLeadersReach)

// Regression (real processes): a leader that received heartbeats of
// one other member renewed its leases and started tasks beside its successor.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfOneMemberIsOnTheLeadersSide) {
  LargeCell cell;
  cell.SubmitJobs();
  const std::set<std::string> side = cell.LeaderAnd(1);
  cell.CutOff(side, {"e1", "e2"});
  cell.RunCut(side, kCutTime);
  cell.Reconnect();
  cell.ExpectAllJobsToEnd();
}

// Regression (real processes): likewise for a whole data centre.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfADataCentreIsOnTheLeadersSide) {
  LargeCell cell;
  cell.SubmitJobs();
  const std::set<std::string> side = cell.LeaderAnd(2);
  cell.CutOff(side, {"e1", "e2"});
  cell.RunCut(side, kCutTime);
  cell.Reconnect();
  cell.ExpectAllJobsToEnd();
}

// Regression (simulated cell): the leader and most members lost the
// store to one that kept it and was elected.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfAllMembersButOneAreOnTheLeadersSide) {
  LargeCell cell;
  cell.SubmitJobs();
  const std::set<std::string> side = cell.LeaderAnd(5);
  cell.CutOff(side, {"e1", "e2", "e3", "e4"});
  cell.RunCut(side, kCutTime);
  cell.Reconnect();
  cell.ExpectAllJobsToEnd();
}

// Regression (review/6): the leader took the refusals of a cut for the end of
// all other members and renewed its leases beside its successor.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfTheCutRefusesConnections) {
  for (const size_t beside : {0, 1, 2}) {
    LargeCell cell;
    cell.cuts_refuse = true;
    cell.SubmitJobs();
    const std::set<std::string> side = cell.LeaderAnd(beside);
    cell.CutOff(side, {"e1", "e2"});
    cell.RunCut(side, kCutTime);
    cell.Reconnect();
    cell.ExpectAllJobsToEnd();
  }
}

// Guards against a successor that is not on the roster and takes the refusals
// of a cut for the end of the leader that stored it.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfAnUnlistedSuccessorIsRefused) {
  int unlisted_led = 0;
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    LargeCell cell(seed);
    cell.cuts_refuse = true;
    cell.SubmitJobs();
    const std::set<std::string> side(cell.names.begin(), cell.names.end());
    cell.CutOff(side, {"e1", "e2", "e3", "e4"});
    cell.AddNode("new");
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
      cell.executors.links[{"new", id}].cut = true;
    }
    cell.RunFor(kCutTime);
    unlisted_led += cell.node("new")->leading() ? 1 : 0;
    cell.Reconnect();
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
      cell.executors.links.erase({"new", id});
    }
    cell.ExpectAllJobsToEnd();
  }
  BOOST_TEST(unlisted_led > 0);
}

// Guards against a leader that resumes after a pause as if nobody had been
// elected meanwhile.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfTheLeaderStandsStillMeanwhile) {
  LargeCell cell;
  cell.SubmitJobs();
  const std::set<std::string> side = cell.LeaderAnd(2);
  const std::string leader = cell.LeaderName();
  cell.CutOff(side, {"e1", "e2"});
  cell.RunCut(side, Millis(2'000));
  cell.Freeze(leader, Millis(4'000));
  cell.RunCut(side, kCutTime);
  cell.Reconnect();
  cell.ExpectAllJobsToEnd();
}

// Guards against orders that executors carry out seconds after a successor has
// begun.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfOrdersAreCarriedOutLate) {
  LargeCell cell;
  cell.SubmitJobs();
  const std::set<std::string> side = cell.LeaderAnd(2);
  testing::LinkFaults late;
  late.late_orders = 0.3;
  late.lost_answers = 0.2;
  for (const std::string& name : cell.names) {
    cell.executors.member_links[name] = late;
  }
  cell.RunFor(Millis(2'000));
  cell.CutOff(side, {"e1", "e2"});
  cell.RunCut(side, kCutTime);
  cell.Reconnect();
  cell.executors.member_links.clear();
  cell.ExpectAllJobsToEnd();
}

// Guards against a second cut that begins before the first successor has
// waited for the leases of its predecessor.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceInTwoCutsInARow) {
  LargeCell cell;
  cell.SubmitJobs();
  for (int i = 0; i < 3; ++i) {
    const std::set<std::string> side = cell.LeaderAnd(2);
    cell.CutOff(side, i % 2 == 0 ? std::set<ExecutorId>{"e1", "e2"}
                                 : std::set<ExecutorId>{"e2", "e3"});
    cell.RunCut(side, Millis(4'000));
    cell.Reconnect();
    cell.RunFor(Millis(100));
  }
  cell.ExpectAllJobsToEnd();
}

// Guards against a pause between the check of a leader's authority and its
// starts: they count from the end of the authority and arrive too late.
BOOST_AUTO_TEST_CASE(StartsNothingInAPassThatOutlastsItsAuthority) {
  LargeCell cell;
  const std::string leader = cell.LeaderName();
  cell.Submit(leader, kJobId, MakeJobSpec(4, Millis(20'000)), "q0");
  // The last of four starts is ordered 2.1 s after the pass has begun, and
  // arrives less than the validity of a start later.
  cell.executors.start_cost = Millis(700);
  cell.RunFor(Millis(20));
  cell.executors.start_cost = Duration(0);
  BOOST_TEST(cell.node(leader)->leader()->counts().starts == 4);
  cell.RunFor(Millis(5));
  BOOST_TEST(cell.executors.starts() == 0);
  cell.ExpectAllJobsToEnd();
}

// A member that joined after the leader had lost the store is elected by the
// store, and the leader cannot ask it.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfANewMemberIsElected) {
  LargeCell cell;
  cell.SubmitJobs();
  std::set<std::string> side(cell.names.begin(), cell.names.end());
  const std::string leader = cell.LeaderName();
  cell.CutOff(side, {"e1", "e2", "e3", "e4"});
  cell.AddNode("new");
  cell.executors.links[{"new", "e1"}].cut = true;
  cell.executors.links[{"new", "e2"}].cut = true;
  cell.executors.links[{"new", "e3"}].cut = true;
  cell.executors.links[{"new", "e4"}].cut = true;
  cell.RunFor(kCutTime);
  BOOST_TEST(cell.node("new")->leading());
  BOOST_TEST(cell.node(leader)->leading());
  // Its predecessor goes on, as all members on its roster follow it.
  BOOST_TEST(cell.executors.running() == 6);
  cell.Reconnect();
  cell.executors.links.clear();
  cell.ExpectAllJobsToEnd();
}

// Guards against a successor that acknowledges an end while its predecessor,
// which does not reach the executor and has not read the end, may still start
// the task again elsewhere.
BOOST_AUTO_TEST_CASE(StartsNoTaskAfterASuccessorHasAcknowledgedItsEnd) {
  LargeCell cell;
  const std::string leader = cell.LeaderName();
  cell.Submit(leader, kJobId, MakeJobSpec(1, Millis(2'500)), "q0");
  cell.RunFor(Millis(200));
  ExecutorId executor;
  std::set<ExecutorId> others;
  for (const ExecutorEntry& entry : cell.executors.Entries()) {
    if (cell.executors.RunsOn({kJobId, 0, 0, 0}, entry.id)) {
      executor = entry.id;
    } else {
      others.insert(entry.id);
    }
  }
  BOOST_TEST(others.size() == 5);
  cell.executors.links[{leader, executor}].cut = true;
  // The leader takes the lease as expired 2 s after the begin of the cut.
  cell.RunFor(Millis(2'800));
  cell.CutOff({leader}, others);
  // The store answers the leader until it is about to be replaced.
  cell.store.faults_of.erase(leader);
  cell.RunFor(Millis(900));
  cell.store.faults_of[leader].unresponsive = true;
  cell.RunFor(kCutTime);
  cell.Reconnect();
  cell.executors.links.clear();
  cell.ExpectAllJobsToEnd();
}

// Guards against a new leader that takes the end of its predecessor's process
// as the end of the authority of all earlier leaders. The predecessor led for a
// few milliseconds only, and the leader before it does not know of either.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfTheFirstSuccessorEndsAtOnce) {
  LargeCell cell;
  const std::string leader = cell.LeaderName();
  cell.CutOff({leader}, {"e1", "e2", "e3", "e4", "e5"});
  cell.store.faults_of.erase(leader);
  cell.RunFor(Millis(900));
  // The leader can store jobs, and does not learn of its successors.
  for (const char* key : {"c/", kLeaderKey}) {
    cell.store.faults_of[leader].late_reads[key] = std::chrono::seconds(5);
  }
  for (int successors = 0; successors < 2; ++successors) {
    std::string successor;
    for (int i = 0; i < 100 && successor.empty(); ++i) {
      cell.RunFor(Millis(10));
      for (const std::string& name : cell.names) {
        if (name != leader && cell.node(name) != nullptr &&
            cell.node(name)->leading()) {
          successor = name;
        }
      }
    }
    BOOST_TEST(successor != "");
    if (successors == 0) {
      cell.Kill(successor);
    }
  }
  cell.Submit(leader, kJobId, MakeJobSpec(1, Millis(5'000)), "q0");
  cell.RunFor(Millis(4'000));
  cell.Reconnect();
  cell.store.faults_of.clear();
  cell.ExpectAllJobsToEnd();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithTheStoreOnTheLeadersSide)

BOOST_AUTO_TEST_CASE(KeepsItsLeaderAndRunsNoTaskTwice) {
  LargeCell cell;
  cell.SubmitJobs();
  const std::string leader = cell.LeaderName();
  const std::set<std::string> side = cell.LeaderAnd(2);
  cell.CutOff(side, {"e1", "e2"}, true);
  cell.RunCut(side, kCutTime);
  BOOST_TEST(cell.LeaderName() == leader);
  cell.Reconnect();
  cell.ExpectAllJobsToEnd();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ACellWhoseStoreIsDown)

struct LargeCellWithoutStore : LargeCell {
  LargeCellWithoutStore() { SubmitJobs(); }
  void StopStore() {
    store.faults.unresponsive = true;
    entries_down = true;
  }
  void RestoreStore() {
    store.faults = testing::StoreFaults();
    entries_down = false;
  }
};

// The store is not needed to run what was accepted, for any length of time.
BOOST_AUTO_TEST_CASE(GoesOnWhileAllMembersAreThere) {
  LargeCellWithoutStore cell;
  // More tasks than fit at a time.
  cell.Submit("a", "00000000000000bb", MakeJobSpec(24, Millis(5'000), 16'000),
              "q0");
  cell.RunFor(Millis(200));
  const int64_t before = cell.executors.starts();
  const std::string leader = cell.LeaderName();
  cell.StopStore();
  cell.RunFor(Millis(29'000));
  BOOST_TEST(cell.LeaderName() == leader);
  BOOST_TEST(cell.executors.starts() > before);
  BOOST_TEST(cell.executors.starts() == 6 + 4 + 24);
  cell.RestoreStore();
  cell.ExpectAllJobsToEnd();
  BOOST_TEST(cell.executors.starts() == 6 + 4 + 24);
}

BOOST_AUTO_TEST_CASE(GoesOnWhileProcessesOfOtherMembersAreReplaced) {
  LargeCellWithoutStore cell;
  const std::string leader = cell.LeaderName();
  cell.StopStore();
  cell.RunFor(Millis(2'000));
  for (const std::string& name : cell.names) {
    if (name != leader) {
      cell.Kill(name);
      cell.RunFor(Millis(700));
      cell.Restart(name);
      cell.RunFor(Millis(300));
    }
  }
  cell.RunFor(Millis(10'000));
  BOOST_TEST(cell.executors.running() == 6);
  cell.RestoreStore();
  cell.ExpectAllJobsToEnd();
  BOOST_TEST(cell.executors.starts() == 6 + 4);
}

// The end of a process looks like a cut behind which it is elected.
// The leader stops until the store answers, and starts each task again once.
BOOST_AUTO_TEST_CASE(WaitsForTheStoreOnceAMemberHasEnded) {
  LargeCellWithoutStore cell;
  const std::string leader = cell.LeaderName();
  cell.StopStore();
  cell.RunFor(Millis(2'000));
  cell.Kill(leader == "g" ? "f" : "g");
  cell.RunFor(Millis(10'000));
  BOOST_TEST(cell.executors.running() == 0);
  BOOST_TEST(cell.executors.starts() == 6 + 4);
  cell.RestoreStore();
  cell.RunFor(Millis(1'500));
  BOOST_TEST(cell.LeaderName() == leader);
  BOOST_TEST(cell.executors.running() == 6);
  cell.ExpectAllJobsToEnd();
  BOOST_TEST(cell.executors.starts() == 6 + 4 + 6);
}

BOOST_AUTO_TEST_CASE(GoesOnIfAMemberHasEndedBefore) {
  LargeCellWithoutStore cell;
  const std::string leader = cell.LeaderName();
  cell.Kill(leader == "g" ? "f" : "g");
  cell.RunFor(Millis(4'500));
  cell.StopStore();
  cell.RunFor(Millis(12'000));
  BOOST_TEST(cell.executors.running() == 6);
  cell.RestoreStore();
  cell.ExpectAllJobsToEnd();
  BOOST_TEST(cell.executors.starts() == 6 + 4);
}

BOOST_AUTO_TEST_CASE(GoesOnIfAMemberHasBeenWithoutPowerForLong) {
  LargeCellWithoutStore cell;
  const std::string leader = cell.LeaderName();
  cell.PowerOff(leader == "g" ? "f" : "g");
  cell.RunFor(Millis(13'000));
  cell.StopStore();
  cell.RunFor(Millis(12'000));
  BOOST_TEST(cell.executors.running() == 6);
  cell.RestoreStore();
  cell.ExpectAllJobsToEnd();
  BOOST_TEST(cell.executors.starts() == 6 + 4);
}

// Guards against members that no longer follow a weak leader, although no
// stronger one can be elected.
BOOST_AUTO_TEST_CASE(DoesNotYieldToAStrongerMember) {
  FakeCell cell(3);
  cell.AddNode("weak", 0.12);
  cell.AddExecutors("pool", 4, {32'000, 64'000, 0, 0});
  cell.SetQueue(MakeQueue(0));
  cell.RunFor(Millis(2'000));
  cell.Submit("weak", kJobId, MakeJobSpec(4, Millis(60'000)), "q0");
  cell.AddNode("strong", 0.5);
  cell.RunFor(Millis(1'200));
  BOOST_TEST(cell.executors.running() == 4);
  cell.store.faults.unresponsive = true;
  cell.entries_down = true;
  cell.RunFor(Millis(15'000));
  BOOST_TEST(cell.executors.running() == 4);
  cell.store.faults = testing::StoreFaults();
  cell.entries_down = false;
  cell.RunFor(Millis(5'000));
  BOOST_TEST(cell.node("strong")->leading());
  BOOST_TEST(cell.executors.running() == 4);
  BOOST_TEST(cell.executors.starts() == 4);
  for (const std::string& what : cell.executors.violations()) {
    BOOST_ERROR(what);
  }
}

// Guards against a leader that was not on the roster when it was elected and
// has no authority without the store for as long as it leads.
BOOST_AUTO_TEST_CASE(GoesOnIfItsLeaderWasElectedAsANewMemberLongAgo) {
  LargeCellWithoutStore cell;
  const std::set<std::string> all(cell.names.begin(), cell.names.end());
  cell.CutOff(all, {});
  cell.AddNode("new");
  cell.RunFor(Millis(5'000));
  cell.Reconnect();
  cell.RunFor(kUnlistedFencingDelay + kRecoveryTime);
  BOOST_TEST(cell.node("new")->leading());
  cell.Submit("new", "00000000000000bb",
              MakeJobSpec(6, Millis(20'000), kHalfExecutor), "q0");
  cell.RunFor(Millis(500));
  BOOST_TEST(cell.executors.running() == 6);
  const int64_t before = cell.executors.starts();
  cell.StopStore();
  cell.RunFor(Millis(12'000));
  BOOST_TEST(cell.executors.running() == 6);
  cell.RestoreStore();
  cell.RunFor(kRecoveryTime);
  BOOST_TEST(cell.executors.starts() == before);
  BOOST_TEST((cell.StateOf("00000000000000bb") == JobState::kCompleted));
}

// Guards against members that no longer follow a leader which is being stopped,
// although no other one can be elected.
BOOST_AUTO_TEST_CASE(KeepsItsTasksWhileItsLeaderIsBeingStopped) {
  LargeCellWithoutStore cell;
  const std::string leader = cell.LeaderName();
  cell.StopStore();
  cell.RunFor(Millis(2'000));
  const int64_t before = cell.executors.starts();
  cell.node(leader)->StartShutdown();
  cell.RunFor(Millis(8'000));
  BOOST_TEST(cell.executors.running() == 6);
  cell.RestoreStore();
  cell.RunFor(Millis(3'000));
  BOOST_TEST(!cell.node(leader)->leading());
  cell.ExpectAllJobsToEnd();
  BOOST_TEST(cell.executors.starts() == before);
}

// A member that loses its power during the outage may as well be cut off with
// the store, so the leader stops; accepted jobs end once the store is back.
BOOST_AUTO_TEST_CASE(LosesNoJobIfAMemberLosesItsPowerMeanwhile) {
  LargeCellWithoutStore cell;
  const std::string leader = cell.LeaderName();
  cell.StopStore();
  cell.RunFor(Millis(2'000));
  cell.PowerOff(leader == "g" ? "f" : "g");
  cell.RunFor(Millis(10'000));
  cell.RestoreStore();
  cell.ExpectAllJobsToEnd();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ACellThatLosesMembers)

// Any number of members may lose their power while the store is there.
BOOST_AUTO_TEST_CASE(GoesOnWithTheLastMember) {
  LargeCell cell;
  cell.SubmitJobs();
  while (true) {
    const std::string leader = cell.LeaderName();
    int alive = 0;
    for (const std::string& name : cell.names) {
      alive += cell.node(name) != nullptr ? 1 : 0;
    }
    if (alive == 1) {
      break;
    }
    cell.PowerOff(leader);
    cell.RunFor(Millis(2'500));
    BOOST_TEST(cell.LeaderName() != "");
    cell.SubmitShortJob(cell.LeaderName());
  }
  cell.ExpectAllJobsToEnd();
}

// All lose their power at once, and executors stay out of reach; the time
// until their tasks start again is that of a single lost leader.
BOOST_AUTO_TEST_CASE(
    StartsTasksOfUnreachableExecutorsAgainSoonAfterALossOfAll) {
  LargeCell cell;
  cell.SubmitJobs();
  cell.RunFor(Millis(12'000));
  const std::string leader = cell.LeaderName();
  for (const std::string& name : cell.names) {
    cell.PowerOff(name);
  }
  cell.executors.Crash("e1");
  cell.RunFor(Millis(2'000));
  for (const std::string& name : cell.names) {
    if (name != leader) {
      cell.Restart(name);
    }
  }
  cell.RunFor(Millis(8'500));
  BOOST_TEST(cell.executors.running() == 6);
  cell.ExpectAllJobsToEnd();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
