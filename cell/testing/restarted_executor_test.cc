// Tests of executors that start again under their IDs while a leader has not
// noticed, and are cut off soon after. The fake executors report a task that
// runs twice.
#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
using testing::LinkFaults;
using testing::MakeJobSpec;

constexpr char kRestarted[] = "e1";
constexpr Millis kLongestLease{10'000};
// Longer than an executor is silent before its runs are lost.
constexpr Millis kCutTime{15'000};

struct RestartFixture : CellFixture {
  RestartFixture() {
    executors.longest_lease = kLongestLease;
    AddExecutors("pool", 2, {32'000, 64'000, 0, 0});
    // The clock of each first boot is far ahead of that of a second one.
    RunFor(Millis(60'000));
  }

  // The executor is down for less than the interval in which its entry is read.
  void Restart() {
    executors.Crash(kRestarted);
    RunFor(Millis(300));
    executors.Restart(kRestarted);
  }
  // A task for each executor, which has no room for a second one.
  void SubmitLongTasks() {
    Submit(LeaderName(), kJobId, MakeJobSpec(6, Millis(40'000), 32'000), "q2");
  }
  void SetLink(const LinkFaults& faults) {
    for (const char* name : {"a", "b", "c"}) {
      links()[{name, kRestarted}] = faults;
    }
  }
  void Cut() {
    LinkFaults cut;
    cut.cut = true;
    SetLink(cut);
  }
  // Cuts the executor off and gives its task room on another one, for longer
  // than any lease lasts.
  void CutWithRoomElsewhere() {
    Cut();
    AddExecutors("pool", 2, {32'000, 64'000, 0, 0});
    RunFor(kCutTime);
    links().clear();
    RunFor(Millis(5'000));
  }
  bool RunsOnRestarted() {
    for (int i = 0; i < 6; ++i) {
      if (executors.RunsOn({kJobId, 0, 0, i}, kRestarted)) {
        return true;
      }
    }
    return false;
  }
  void RunUntilItRuns() {
    for (int i = 0; i < 400 && !RunsOnRestarted(); ++i) {
      RunFor(Millis(5));
    }
    BOOST_REQUIRE(RunsOnRestarted());
  }
  std::map<std::pair<std::string, ExecutorId>, LinkFaults>& links() {
    return executors.links;
  }
};

BOOST_FIXTURE_TEST_SUITE(AnExecutorThatStartsAgainUnnoticed, RestartFixture)

BOOST_AUTO_TEST_SUITE(AndIsCutOffSoonAfter)

// Guards against a leader that forgets deadlines on the clock of an earlier
// boot: the new boot has taken one as a lease of the maximum.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceAfterAStartOnItsEarlierClock) {
  Restart();
  SubmitLongTasks();
  RunUntilItRuns();
  RunFor(Millis(1'500));
  CutWithRoomElsewhere();
}

// Guards against a leader that takes an answered start for one that was
// executed by the last boot that answered a hold call.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfOnlyTheStartWasAnswered) {
  Restart();
  SubmitLongTasks();
  RunUntilItRuns();
  RunFor(Millis(1));
  CutWithRoomElsewhere();
}

// Guards against the same if no answer arrives at all.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfNothingWasAnswered) {
  Restart();
  LinkFaults lost;
  lost.lost_answers = 1;
  SetLink(lost);
  SubmitLongTasks();
  RunUntilItRuns();
  CutWithRoomElsewhere();
}

// Guards against a lease that a call without a trace has granted: a start that
// the new boot rejects for want of room.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceAfterARejectedStartOnItsEarlierClock) {
  bool reject = true;
  executors.start_result = [&](const StartOrder& order) {
    return reject && order.executor == kRestarted
               ? OrderResult::kInsufficientCapacity
               : OrderResult::kOk;
  };
  Restart();
  SubmitLongTasks();
  RunFor(Millis(600));
  reject = false;
  RunUntilItRuns();
  RunFor(Millis(300));
  CutWithRoomElsewhere();
}

// Guards against starts that a later boot carries out seconds after they were
// sent to an earlier one.
BOOST_AUTO_TEST_CASE(CarriesOutNoStartThatWasSentToItsEarlierBoot) {
  LinkFaults late;
  late.late_orders = 1;
  SetLink(late);
  SubmitLongTasks();
  RunFor(Millis(300));
  Restart();
  links().clear();
  RunFor(Millis(1'900));
  AddExecutors("pool", 2, {32'000, 64'000, 0, 0});
  RunFor(Millis(12'000));
  CutWithRoomElsewhere();
}

// Guards against hold calls that a later boot carries out seconds after they
// were sent to an earlier one.
BOOST_AUTO_TEST_CASE(TakesNoLateLeaseOfItsEarlierBoot) {
  SubmitLongTasks();
  RunUntilItRuns();
  LinkFaults late;
  late.late_holds = 1;
  SetLink(late);
  RunFor(Millis(900));
  Restart();
  links().clear();
  RunUntilItRuns();
  RunFor(Millis(9'000));
  CutWithRoomElsewhere();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileItsLeaderChanges)

// Guards against a successor that counts a lease of the usual length for an
// executor that its predecessor has granted more.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceAfterItAnsweredTheSuccessor) {
  Restart();
  SubmitLongTasks();
  RunUntilItRuns();
  RunFor(Millis(20));
  const std::string leader = LeaderName();
  Kill(leader);
  for (int i = 0; i < 400 && (LeaderName().empty() || LeaderName() == leader);
       ++i) {
    RunFor(Millis(5));
  }
  RunFor(Millis(300));
  CutWithRoomElsewhere();
  BOOST_TEST(!LeaderName().empty());
}

// Guards against the same if the executor never answers the successor.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfItNeverAnswersTheSuccessor) {
  Restart();
  SubmitLongTasks();
  RunUntilItRuns();
  RunFor(Millis(20));
  Kill(LeaderName());
  CutWithRoomElsewhere();
  BOOST_TEST(!LeaderName().empty());
}

// Guards against a successor that counts leases from the end of its
// predecessor's authority, though a call of the predecessor may be executed,
// and grant one, seconds later.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceIfACallOfThePredecessorIsExecutedLate) {
  for (int round = 0; round < 8; ++round) {
    LinkFaults late;
    late.late_orders = 1;
    SetLink(late);
    SubmitLongTasks();
    RunFor(Millis(200));
    Restart();
    Kill(LeaderName());
    CutWithRoomElsewhere();
    RunFor(Millis(15'000));
    Cancel("a", kJobId);
    for (const char* name : {"a", "b", "c"}) {
      FakeCell::Restart(name);
    }
    RunFor(Millis(30'000));
  }
}

// An executor that has not started again for long is replaced as soon as the
// usual lease has ended.
BOOST_AUTO_TEST_CASE(ASuccessorDoesNotWaitLongerForOthers) {
  SubmitLongTasks();
  RunFor(Millis(2'000));
  const std::string leader = LeaderName();
  Kill(leader);
  RunFor(Millis(3'000));
  BOOST_REQUIRE(!LeaderName().empty());
  Cut();
  AddExecutors("pool", 2, {32'000, 64'000, 0, 0});
  const int64_t starts = executors.starts();
  RunFor(Millis(5'000));
  BOOST_TEST(executors.starts() == starts + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileTheStoreIsDown)

// Guards against a call every 30 ms to an executor that gets no lease until the
// store has issued a new fence.
BOOST_AUTO_TEST_CASE(IsCalledSeldomUntilItsBootIsConfirmed) {
  Restart();
  SubmitLongTasks();
  RunUntilItRuns();
  store.faults.refuses = true;
  entries_down = true;
  RunFor(Millis(500));
  const int64_t holds = executors.holds();
  RunFor(Millis(2'000));
  // Twice a second, and once a second to each of the others.
  BOOST_TEST(executors.holds() - holds < 20);
  store.faults = testing::StoreFaults();
  entries_down = false;
  RunFor(Millis(5'000));
  BOOST_TEST(RunsOnRestarted());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileTheStoreTakesNoWrites)

// Guards against retries of the write for a new fence that add up.
BOOST_AUTO_TEST_CASE(IsWrittenForTwiceASecondAtMost) {
  SubmitLongTasks();
  RunUntilItRuns();
  Restart();
  store.faults.refuses = true;
  RunFor(Millis(3'000));
  const int64_t calls = store.writes();
  RunFor(Millis(10'000));
  // Also the list of executors, about once a second.
  BOOST_TEST(store.writes() - calls < 40);
  store.faults = testing::StoreFaults();
  RunFor(Millis(5'000));
  BOOST_TEST(RunsOnRestarted());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AsAnotherKind)

// Guards against labels of an earlier boot (ROUTE): the new one is of another
// kind.
BOOST_AUTO_TEST_CASE(GetsNoTaskBeforeItsNewEntryIsRead) {
  // A task on each executor, so that hold calls show the restart.
  JobSpec spread = MakeJobSpec(6, Millis(60'000), 8'000);
  spread.steps[0].max_per_executor = 1;
  Submit(LeaderName(), kJobId, spread, "q2");
  RunUntilItRuns();
  executors.Crash(kRestarted);
  ExecutorEntry entry = executors.EntryOf(kRestarted);
  entry.labels = {"other", entry.rack};
  executors.Add(entry);
  entries_time = Millis(4'000);
  RunFor(Millis(1'000));  // a list begins that shows the earlier entry
  executors.Restart(kRestarted);
  RunFor(Millis(1'500));
  JobSpec spec = MakeJobSpec(6, Millis(5'000), 20'000);
  spec.steps[0].label = "b";  // of e1 and e4 before the restart
  const JobId labelled = "00000000000000bb";
  Submit(LeaderName(), labelled, spec, "q0");
  RunFor(Millis(9'000));
  BOOST_TEST(!executors.RunsOn({labelled, 0, 0, 0}, kRestarted));
  BOOST_TEST(executors.EverStarted(labelled + ".0.0.0"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
