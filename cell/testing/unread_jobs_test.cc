// Tests of a leader that reads runs and ends of jobs that it has not read yet:
// its predecessor started them after it had listed the jobs.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
using testing::MakeJobSpec;

// A handover in which the old leader acts on: the store turns it away, and no
// message reports the election to it. The new leader's reads of
// the jobs show the past, as their answers arrive late.
struct Handover : CellFixture {
  explicit Handover(Duration late_by, Duration progress_late_by = {}) {
    store.faults_of[old_leader].refuses = true;
    for (const std::string name : {"a", "b", "c"}) {
      if (name != old_leader) {
        store.faults_of[name].late_reads = {
            {kJobPrefix, late_by}, {kProgressPrefix, progress_late_by}};
      }
    }
    const TimePoint give_up = loop.clock().Now() + Millis(5'000);
    while (successor.empty() && loop.clock().Now() < give_up) {
      RunFor(Millis(1));
      for (const std::string name : {"a", "b", "c"}) {
        if (name != old_leader && node(name)->leading()) {
          successor = name;
        }
      }
    }
    BOOST_REQUIRE(!successor.empty());
    third = std::string("abc").erase(std::string("abc").find(old_leader), 1);
    third.erase(third.find(successor), 1);
    CutLink(successor, old_leader, true);
    CutLink(third, successor, true);
    // The store has answered the list of the jobs.
    RunFor(Millis(20));
    BOOST_REQUIRE(node(old_leader)->leading());
  }

  // Stores a job, of which only the old leader is notified.
  void SubmitToOldLeader(const JobSpec& spec) {
    Submit(third, kJobId, spec, "q0");
    RunFor(Millis(10));
    const StoreItem* record = store.Find(JobKey(kJobId));
    BOOST_REQUIRE(record != nullptr);
    JobNotice notice;
    notice.job = kJobId;
    notice.record = std::make_shared<const std::string>(record->value);
    notice.revision = record->revision;
    node(old_leader)->OnMessage(MemberId(third), notice);
  }

  void EndFaults() {
    store.faults = {};
    store.faults_of.clear();
    CutLink(successor, old_leader, false);
    CutLink(third, successor, false);
  }

  std::optional<JobState> StateAtSuccessor() {
    const CellLeader* leader = node(successor)->leader();
    return leader == nullptr ? std::nullopt : leader->Find(kJobId);
  }

  const std::string old_leader = LeaderName();
  std::string successor;
  std::string third;
};

std::string FirstTaskOf(const JobId& id) {
  return TaskName{id, 0, 0, 0}.Text();
}

BOOST_AUTO_TEST_SUITE(ALeaderThatHasNotReadAJob)

// Regression (review/1, TWICE): a new leader stopped the runs of a job that it
// had not read yet, and started the job's tasks again beside them.
BOOST_AUTO_TEST_CASE(KeepsItsRuns) {
  Handover cell(Millis(200));
  cell.executors.stop_time = Millis(900);
  cell.SubmitToOldLeader(MakeJobSpec(6, Millis(2'000)));
  cell.RunFor(Millis(150));
  BOOST_REQUIRE(cell.executors.EverStarted(FirstTaskOf(kJobId)));
  BOOST_REQUIRE(!cell.StateAtSuccessor());
  cell.RunFor(Millis(1'000));
  cell.EndFaults();
  cell.RunFor(Millis(3'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(cell.executors.starts() == 6);
  BOOST_TEST(cell.log.Lines("run not needed") == "");
}

// Regression (review/1, TWICE): a new leader acknowledged the ends of a job
// that it had not read yet, and started the job's completed tasks again.
BOOST_AUTO_TEST_CASE(KeepsItsEnds) {
  Handover cell(Millis(400));
  cell.SubmitToOldLeader(MakeJobSpec(6, Millis(100)));
  cell.RunFor(Millis(300));
  BOOST_REQUIRE(cell.executors.running() == 0);
  BOOST_REQUIRE(!cell.StateAtSuccessor());
  cell.RunFor(Millis(1'000));
  cell.EndFaults();
  cell.RunFor(Millis(3'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(cell.executors.starts() == 6);
}

// Regression (caminho-agua and kowa-consult on real processes, TWICE): the new
// leader read the jobs at once and their progress 1.4 s later. It called the
// executors only then, and acknowledged all ends of a job that had run in
// between.
BOOST_AUTO_TEST_CASE(KeepsEndsThatItReadsLongAfterTheListOfJobs) {
  Handover cell(Millis(60), Millis(1'400));
  cell.executors.run_time = [](const TaskName& name, const StepSpec&) {
    return Duration(Millis(200 + 10 * name.index));
  };
  cell.SubmitToOldLeader(MakeJobSpec(18, Millis(250)));
  cell.RunFor(Millis(1'200));
  BOOST_REQUIRE(cell.executors.listed_ends() == 18U);
  cell.RunFor(Millis(1'000));
  cell.EndFaults();
  cell.RunFor(Millis(2'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(cell.executors.starts() == 18);
  BOOST_TEST(cell.executors.listed_ends() == 0U);
}

// Regression (review/1, BUDGET): a new leader acknowledged failed ends of a job
// that it had not read yet, and counted none of them.
BOOST_AUTO_TEST_CASE(CountsItsFailedRuns) {
  Handover cell(Millis(400));
  cell.executors.fails = [](const TaskName& name, const ExecutorId&) {
    return name.index == 0;
  };
  cell.SubmitToOldLeader(MakeJobSpec(6, Millis(50)));
  cell.RunFor(Millis(1'300));
  cell.EndFaults();
  cell.RunFor(Millis(3'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kFailed));
}

BOOST_AUTO_TEST_SUITE(WhileTheStoreIsDown)

// The wait for the job's record ends with the outage, and the executors are
// used again.
BOOST_AUTO_TEST_CASE(KeepsItsRunsUntilTheStoreAnswers) {
  Handover cell(Millis(200));
  testing::StoreFaults& faults = cell.store.faults_of[cell.successor];
  faults.watches_hang = true;
  faults.late_reads[JobKey(kJobId)] = Millis(60'000);
  cell.SubmitToOldLeader(MakeJobSpec(6, Millis(1'000)));
  cell.store.faults_of[cell.third].refuses = true;
  cell.RunFor(Millis(3'000));
  BOOST_TEST(cell.executors.starts() == 6);
  BOOST_TEST(cell.executors.running() == 0);
  BOOST_TEST(cell.node(cell.successor)->leader()->unread_jobs() == 1U);
  BOOST_TEST(cell.executors.listed_ends() == 6U);
  cell.EndFaults();
  cell.RunFor(Millis(3'500));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(cell.executors.starts() == 6);
  cell.Submit(cell.third, "00000000000000bb",
              MakeJobSpec(4, Millis(300), 32'000), "q0");
  cell.RunFor(Millis(2'000));
  BOOST_TEST((cell.StateOf("00000000000000bb") == JobState::kCompleted));
}

BOOST_AUTO_TEST_SUITE_END()

// A run whose job is not in the store must not keep its executor from other
// work.
BOOST_AUTO_TEST_CASE(StopsARunOfAJobThatIsNotStored) {
  constexpr char kRemoved[] = "00000000000000cc";
  CellFixture cell;
  cell.executors.Expect(kRemoved, MakeJobSpec(1, Millis(60'000)), 1);
  const std::unique_ptr<ExecutorPort> port = cell.executors.ViewOf("a");
  StartOrder order;
  order.executor = cell.executors.Entries().front().id;
  order.address = cell.executors.EntryOf(order.executor).address;
  order.task = FirstTaskOf(kRemoved);
  order.run = 1;
  order.payload = "p";
  order.start_deadline = Millis(8'000);
  order.fence = cell.leader()->leader()->leadership().fence;
  port->Start(order, [](OrderReply) {});
  // The leader calls an executor only while it has runs there.
  cell.Submit("a", kJobId, MakeJobSpec(4, Millis(1'000), 20'000), "q0");
  cell.RunFor(Millis(1'500));
  BOOST_TEST(!cell.executors.RunsAnyOf(kRemoved));
  cell.Submit("a", "00000000000000bb", MakeJobSpec(4, Millis(300), 32'000),
              "q0");
  cell.RunFor(Millis(1'500));
  BOOST_TEST((cell.StateOf("00000000000000bb") == JobState::kCompleted));
}

// Regression (found with review/1): the clock of a leader's predecessor was
// ahead; the leader stopped the runs of an occurrence that was not due yet by
// its own clock, and started them again when it was.
BOOST_AUTO_TEST_CASE(KeepsTheRunsOfAnOccurrenceThatIsNotDue) {
  CellFixture cell;
  JobSpec spec = MakeJobSpec(1, Millis(4'000));
  spec.occurrences = 2;
  spec.first_start = cell.loop.clock().WallNow();
  spec.interval = Millis(2'000);
  cell.Submit("a", kJobId, spec, "q0");
  cell.RunFor(Millis(500));
  const TaskName next{kJobId, 1, 0, 0};
  const std::unique_ptr<ExecutorPort> port = cell.executors.ViewOf("a");
  for (const ExecutorEntry& entry : cell.executors.Entries()) {
    if (!cell.executors.RunsOn({kJobId, 0, 0, 0}, entry.id)) {
      continue;
    }
    StartOrder order;
    order.executor = entry.id;
    order.address = entry.address;
    order.task = next.Text();
    order.run = 1;
    order.payload = "p";
    order.start_deadline = Millis(8'000);
    order.fence = cell.leader()->leader()->leadership().fence;
    port->Start(order, [](OrderReply) {});
  }
  cell.RunFor(Millis(7'000));
  BOOST_TEST(cell.executors.starts() == 2);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
