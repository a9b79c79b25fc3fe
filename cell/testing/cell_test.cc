// Tests of a cell under single faults: which part fails, which member takes
// over and how long that takes. Includes a regression test for each failure
// found by the benchmarks.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cell/status_page.h"
#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::FakeCell;
using testing::kJobId;
using testing::MakeJobSpec;
using testing::MakeQueue;

BOOST_AUTO_TEST_SUITE(ACell)

BOOST_AUTO_TEST_CASE(RunsAJobAndReportsItsState) {
  CellFixture cell;
  cell.Submit(cell.NonLeaderName(), kJobId, MakeJobSpec(6, Millis(600)), "q0");
  cell.RunFor(Millis(100));
  BOOST_TEST(cell.accepted().count(kJobId) == 1u);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kRunning));
  cell.RunFor(Millis(700));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

// Operators need to see why a job does not complete.
BOOST_AUTO_TEST_CASE(ReportsWhatEachStepWaitsFor) {
  CellFixture cell;
  JobSpec spec = MakeJobSpec(2, Millis(5'000), 32'000);
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].depends_on = {0};
  cell.Submit("a", "00000000000000bb", MakeJobSpec(3, Millis(5'000), 32'000),
              "q0");
  cell.RunFor(Millis(100));
  cell.Submit("a", kJobId, spec, "q0");
  cell.RunFor(Millis(300));
  const auto steps = cell.leader()->leader()->DescribeSteps(kJobId);
  BOOST_REQUIRE(steps.size() == 2U);
  BOOST_TEST(steps[0].running == 1);
  BOOST_TEST(steps[0].waits_for == "room");
  BOOST_TEST(steps[1].waits_for == "the steps before it");
  const HttpResponse page =
      StatusPage(*cell.leader(), std::string("/jobs/") + kJobId);
  BOOST_TEST(page.status == 200);
  BOOST_TEST(page.body->find("\"waits_for\":\"room\"") != std::string::npos);
  BOOST_TEST(StatusPage(*cell.leader(), "/jobs/none").status == 404);
}

BOOST_AUTO_TEST_CASE(MeasuresWaitsAndRunTimesByQueue) {
  CellFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(2, Millis(300)), "q0");
  cell.RunFor(Millis(1'000));
  const double run = cell.metrics.QuantileSeconds(Timer::kRun, "q0", 0.5);
  BOOST_TEST(run > 0.2);
  BOOST_TEST(run < 0.5);
  BOOST_TEST(cell.metrics.QuantileSeconds(Timer::kWait, "q0", 1) < 0.1);
  BOOST_TEST(cell.metrics.QuantileSeconds(Timer::kTotal, "q0", 1) >= run);
}

BOOST_AUTO_TEST_CASE(AcceptsEachJobIdOnce) {
  CellFixture cell;
  for (const char* name : {"a", "b", "c", "a"}) {
    cell.Submit(name, kJobId, MakeJobSpec(6, Millis(300)), "q0");
  }
  cell.RunFor(Millis(2'000));
  BOOST_TEST(cell.executors.starts() == 6);
}

BOOST_AUTO_TEST_CASE(StopsTheTasksOfACancelledJob) {
  CellFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(6, Millis(20'000)), "q0");
  cell.RunFor(Millis(500));
  cell.Cancel("b", kJobId);
  cell.RunFor(Millis(600));
  BOOST_TEST(cell.executors.running() == 0);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCancelled));
}

BOOST_AUTO_TEST_CASE(FailsAJobThatFailsAsOftenAsItMay) {
  CellFixture cell;
  cell.executors.fails = [](const TaskName&, const ExecutorId&) {
    return true;
  };
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100)), "q0");
  cell.RunFor(Millis(3'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kFailed));
  BOOST_TEST(cell.executors.starts() == 2);
}

BOOST_AUTO_TEST_CASE(RunsARecurringJobEachTimeItIsDue) {
  CellFixture cell;
  JobSpec spec = MakeJobSpec(2, Millis(100));
  spec.occurrences = 3;
  spec.first_start = cell.loop.clock().WallNow() + Millis(1'000);
  spec.interval = Millis(500);
  cell.Submit("a", kJobId, spec, "q0");
  cell.RunFor(Millis(900));
  BOOST_TEST(cell.executors.starts() == 0);
  cell.RunFor(Millis(300));
  BOOST_TEST(cell.executors.starts() == 2);
  cell.RunFor(Millis(2'000));
  BOOST_TEST(cell.executors.starts() == 6);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

BOOST_AUTO_TEST_CASE(RestartsALongRunningTaskAfterCrashes) {
  CellFixture cell;
  JobSpec spec = MakeJobSpec(1, Millis(500));
  spec.steps[0].long_running = true;
  cell.Submit("a", kJobId, spec, "q0");
  cell.RunFor(Millis(500));
  BOOST_TEST(cell.executors.running() == 1);
  for (int i = 1; i <= 4; ++i) {
    cell.executors.Crash("e" + std::to_string(i));
    cell.executors.Restart("e" + std::to_string(i));
  }
  cell.RunFor(Millis(3'000));
  BOOST_TEST(cell.executors.running() == 1);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kRunning));
}

BOOST_AUTO_TEST_CASE(StartsNothingThatAnUnreadableRowMayHide) {
  CellFixture cell;
  // Leaves an empty executor that a second start would prefer.
  cell.Submit("a", "00000000000000bb", MakeJobSpec(1, Millis(400), 32'000),
              "q0");
  cell.RunFor(Millis(100));
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(20'000), 32'000), "q0");
  cell.RunFor(Millis(600));
  cell.executors.change_hold = [](HoldReply& reply) {
    if (!reply.running.empty()) {
      reply.running.clear();
      reply.running_complete = false;
      reply.unreadable_row = "running: 7";
    }
  };
  cell.RunFor(Millis(6'000));
  const std::string lines = cell.log.Lines("executor_row_rejected");
  BOOST_TEST(std::count(lines.begin(), lines.end(), '\n') == 1);
  BOOST_TEST(cell.executors.starts() == 2);
  cell.Kill(cell.LeaderName());
  cell.RunFor(Millis(10'000));
  BOOST_TEST(cell.executors.starts() == 3);  // once its lease has expired
}

BOOST_AUTO_TEST_SUITE(WhoseLeaderFails)

BOOST_AUTO_TEST_CASE(StartsTasksWithinASecondOfTheFailure) {
  CellFixture cell;
  cell.Kill(cell.LeaderName());
  cell.RunFor(Millis(50));
  const std::string other = cell.node("a") != nullptr ? "a" : "b";
  cell.Submit(other, kJobId, MakeJobSpec(2, Millis(300)), "q0");
  cell.RunFor(Millis(1'000));
  BOOST_TEST(cell.executors.EverStarted(std::string(kJobId) + ".0.0.0"));
}

BOOST_AUTO_TEST_CASE(ResumesAfterAPauseWithoutDuplicateStarts) {
  CellFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(6, Millis(4'000)), "q0");
  cell.RunFor(Millis(200));
  cell.Freeze(cell.LeaderName(), Millis(3'000));
  cell.RunFor(Millis(8'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(cell.executors.starts() == 6);
}

// Regression (scenario trouble-1): a new leader waited for an executor that was
// long gone and started nothing for 5 s.
BOOST_AUTO_TEST_CASE(DoesNotWaitForExecutorsThatLeftLongAgo) {
  CellFixture cell;
  cell.executors.Crash("e4");
  cell.RunFor(Millis(15'000));
  for (const char* name : {"a", "b", "c"}) {
    cell.Kill(name);
  }
  cell.RunFor(Millis(500));
  for (const char* name : {"a", "b", "c"}) {
    cell.Restart(name);
  }
  cell.RunFor(Millis(1'500));
  cell.Submit("a", kJobId, MakeJobSpec(2, Millis(100)), "q0");
  cell.RunFor(Millis(700));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

// Regression (scenario scale-2, grown site): a leader elected soon after seven
// executors had been drained and removed started nothing for 5 s.
BOOST_AUTO_TEST_CASE(DoesNotWaitForExecutorsThatDrainedBeforeItsElection) {
  CellFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(8, Millis(200), 16'000), "q0");
  cell.RunFor(Millis(600));
  cell.executors.Drain("e4");
  cell.RunFor(Millis(1'500));
  cell.executors.Crash("e4");
  cell.RunFor(Millis(500));
  const std::string before = cell.LeaderName();
  const std::string other = cell.NonLeaderName();
  const std::string late = "00000000000000bb";
  cell.Freeze(before, Millis(5'000));
  cell.Submit(other, late, MakeJobSpec(2, Millis(100)), "q0");
  cell.RunFor(Millis(1'800));
  BOOST_TEST((cell.StateOf(late) == JobState::kCompleted));
}

// A predecessor learns that it is fenced within kFencingDelay. It cannot have
// started a job accepted later, so the job need not wait for the executors'
// leases to expire.
BOOST_AUTO_TEST_CASE(StartsNewJobsWhileAnExecutorIsOutOfReach) {
  CellFixture cell;
  const std::string before = cell.LeaderName();
  const std::string other = cell.NonLeaderName();
  cell.executors.Crash("e4");
  cell.Freeze(before, Millis(10'000));
  cell.RunFor(Millis(4'400));
  cell.Submit(other, kJobId, MakeJobSpec(2, Millis(100)), "q0");
  cell.RunFor(Millis(400));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

// Regression (scenario scale-1): executors known from the predecessor's list
// were taken for restarted ones, so their active runs were started again.
BOOST_AUTO_TEST_CASE(AdoptsActiveRunsInsteadOfStartingThemAgain) {
  CellFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(6, Millis(3'000)), "q0");
  cell.RunFor(Millis(200));
  for (const char* name : {"a", "b", "c"}) {
    cell.Kill(name);
  }
  cell.RunFor(Millis(300));
  for (const char* name : {"a", "b", "c"}) {
    cell.Restart(name);
  }
  cell.RunFor(Millis(6'000));
  BOOST_TEST(cell.executors.starts() == 6);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

BOOST_AUTO_TEST_CASE(IsReplacedWhenTheStoreFailsOnlyForIt) {
  CellFixture cell;
  const std::string before = cell.LeaderName();
  cell.store.faults_of[before].refuses = true;
  cell.RunFor(Millis(2'000));
  BOOST_TEST(cell.LeaderName() != before);
  BOOST_TEST(cell.LeaderName() != "");
}

BOOST_AUTO_TEST_CASE(KeepsLeadingWhenTheStoreIsDownForAll) {
  CellFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(12, Millis(1'500), 20'000), "q0");
  cell.RunFor(Millis(200));
  const std::string before = cell.LeaderName();
  cell.store.faults.unresponsive = true;
  cell.entries_down = true;
  cell.RunFor(Millis(6'000));
  BOOST_TEST(cell.LeaderName() == before);
  // Starting a task needs no store call.
  BOOST_TEST(cell.executors.starts() == 12);
  cell.store.faults = testing::StoreFaults();
  cell.entries_down = false;
  cell.RunFor(Millis(3'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

// Regression (random search, site kowa-consult-grown, scenario trouble-2, seed
// 805491429551): members restarted in turn received no heartbeats and took over
// the leadership one after the other.
BOOST_AUTO_TEST_CASE(KeepsLeadingWhileOtherMembersAreRestarted) {
  CellFixture cell;
  const std::string before = cell.LeaderName();
  const std::string other = cell.NonLeaderName();
  // Pauses that are not aligned with the interval at which the leader lists the
  // members.
  for (const int pause : {1'300, 1'700, 1'100, 1'500, 1'900, 1'200}) {
    cell.node(other)->StartShutdown();
    cell.RunFor(Millis(2'300));
    cell.Kill(other);
    cell.Restart(other);
    cell.RunFor(Millis(pause));
  }
  BOOST_TEST(cell.LeaderName() == before);
  BOOST_TEST(cell.node(before)->leader()->leadership().term == 1);
}

// Regression (incident at site caminho-agua): the member that reached the
// recovered store first replaced a healthy leader.
BOOST_AUTO_TEST_CASE(KeepsLeadingWhenTheStoreRecoversForOthersFirst) {
  CellFixture cell;
  const std::string before = cell.LeaderName();
  cell.store.faults.refuses = true;
  cell.RunFor(Millis(3'000));
  cell.store.faults_of[before].refuses = true;
  cell.store.faults = testing::StoreFaults();
  cell.RunFor(Millis(250));
  cell.store.faults_of.clear();
  cell.RunFor(Millis(1'000));
  BOOST_TEST(cell.LeaderName() == before);
  BOOST_TEST(cell.node(before)->leader()->leadership().term == 1);
}

BOOST_AUTO_TEST_CASE(YieldsToAMuchStrongerMember) {
  FakeCell cell(3);
  cell.AddNode("weak", 0.12);
  cell.RunFor(Millis(2'000));
  BOOST_TEST(cell.node("weak")->leading());
  cell.AddNode("strong", 0.5);
  cell.RunFor(Millis(6'000));
  BOOST_TEST(cell.node("strong")->leading());
  BOOST_TEST(!cell.node("weak")->leading());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseStoreMisbehaves)

// Regression (scenario scale-2): a VM to which the store was unavailable
// refused jobs although the leader could have stored them.
BOOST_AUTO_TEST_CASE(StoresJobsAtTheLeaderForAMemberWithoutTheStore) {
  CellFixture cell;
  const std::string member = cell.NonLeaderName();
  cell.store.faults_of[member].refuses = true;
  cell.RunFor(Millis(600));
  BOOST_TEST(cell.node(member)->ready());
  cell.Submit(member, kJobId, MakeJobSpec(2, Millis(100)), "q0");
  cell.RunFor(Millis(1'000));
  BOOST_TEST(cell.accepted().count(kJobId) == 1u);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

// Regression (scenario scale-1, grown site): the leader saw no new jobs for 1.3
// s after the store had compacted its history. Its pending watch reported that
// only when the watch ended, and then all jobs were listed again.
BOOST_AUTO_TEST_CASE(LearnsOfNewJobsWhileWatchesHang) {
  CellFixture cell;
  cell.store.faults.watches_hang = true;
  cell.RunFor(Millis(1'500));
  const std::string member = cell.NonLeaderName();
  cell.Submit(member, kJobId, MakeJobSpec(2, Millis(100)), "q0");
  cell.RunFor(Millis(100));
  BOOST_TEST(cell.executors.EverStarted(std::string(kJobId) + ".0.0.0"));
  const std::string lasting = "00000000000000bb";
  cell.Submit(member, lasting, MakeJobSpec(2, Millis(60'000)), "q0");
  cell.RunFor(Millis(200));
  cell.Cancel(member, lasting);
  cell.RunFor(Millis(400));
  BOOST_TEST(cell.executors.running() == 0);
}

// Regression (scenario trouble-3, grown site): jobs submitted while the store
// did not answer got the result `unknown`, so their callers could not retry.
BOOST_AUTO_TEST_CASE(RefusesJobsDefinitelyWhileTheStoreIsDown) {
  CellFixture cell;
  cell.store.faults.unresponsive = true;
  cell.RunFor(Millis(2'500));
  const char* const names[] = {"a", "b", "c"};
  for (const char* name : names) {
    cell.Submit(name, std::string("00000000000000c") + name,
                MakeJobSpec(1, Millis(100)), "q0");
  }
  cell.RunFor(Millis(1'200));
  BOOST_TEST(cell.refused().size() == 3);
  // A job that waits is stored as soon as the store answers.
  for (const char* name : names) {
    cell.Submit(name, std::string("00000000000000b") + name,
                MakeJobSpec(1, Millis(100)), "q0");
  }
  cell.RunFor(Millis(300));
  cell.store.faults.unresponsive = false;
  cell.RunFor(Millis(500));
  BOOST_TEST(cell.accepted().size() == 3);
}

BOOST_AUTO_TEST_CASE(RefusesOnlyWhatIsCertainlyNotStored) {
  CellFixture cell;
  cell.store.faults.late_writes = 1;
  cell.Submit("a", kJobId, MakeJobSpec(2, Millis(100)), "q0");
  cell.RunFor(Millis(2'000));
  BOOST_TEST(cell.refused().count(kJobId) == 0u);
  cell.store.faults = testing::StoreFaults();
  cell.RunFor(Millis(6'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
