// Tests of reads from a store whose responses begin later than the time limit
// of the first attempt.
#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
using testing::MakeJobSpec;
using testing::MakeQueue;

constexpr Millis kElection{6'000};
constexpr Millis kRun{15'000};

struct Fixture : CellFixture {
  // Runs a job on the next leader, which starts with responses this late.
  void CheckNextLeaderRunsJobs(const std::string& key, Duration delay) {
    Submit(NonLeaderName(), kJobId, MakeJobSpec(2, Millis(300)), "q0");
    RunFor(Millis(50));
    store.faults.late_reads[key] = delay;
    Kill(LeaderName());
    RunFor(kElection);
    BOOST_REQUIRE(leader() != nullptr);
    RunFor(kRun);
    BOOST_TEST((StateOf(kJobId) == JobState::kCompleted));
  }
};

BOOST_AUTO_TEST_SUITE(ACellWithLateResponsesOfItsStore)

// Regression: each attempt had the same time limit, so that a leader started no
// task as long as its reads took longer.
BOOST_AUTO_TEST_SUITE(WithANewLeader)

BOOST_FIXTURE_TEST_CASE(ReadsTheExecutorsOfThePredecessor, Fixture) {
  CheckNextLeaderRunsJobs(kExecutorsKey, Millis(1'800));
}

BOOST_FIXTURE_TEST_CASE(ReadsTheJobs, Fixture) {
  CheckNextLeaderRunsJobs(kJobPrefix, Millis(3'500));
}

BOOST_FIXTURE_TEST_CASE(ReadsTheProgressOfTheJobs, Fixture) {
  CheckNextLeaderRunsJobs(kProgressPrefix, Millis(3'500));
}

BOOST_AUTO_TEST_SUITE_END()

// Regression: the leader never learnt how strong the other members are.
BOOST_FIXTURE_TEST_CASE(YieldsToAMuchStrongerMember, Fixture) {
  store.faults.late_reads[kMemberPrefix] = Millis(1'800);
  AddNode("strong", 4);
  RunFor(kRun);
  BOOST_TEST(node("strong")->leading());
}

// Regression: a list of the jobs that began before a completed job was removed
// added it again after that, and its tasks were run a second time.
BOOST_FIXTURE_TEST_CASE(DoesNotRunARemovedJobAgain, Fixture) {
  constexpr Millis kBeforeRemoval{118'000};
  Submit(LeaderName(), kJobId, MakeJobSpec(2, Millis(300)), "q0");
  while (StateOf(kJobId) != JobState::kCompleted) {
    RunFor(Millis(50));
  }
  const int64_t starts = executors.starts();
  RunFor(kBeforeRemoval);
  store.faults.late_reads[kJobPrefix] = Millis(1'500);
  store.CompactHistory();
  RunFor(kRun);
  BOOST_TEST((store.Find(JobKey(kJobId)) == nullptr));
  BOOST_TEST(executors.starts() == starts);
}

// Regression: a watch that failed for longer than a job is kept reported its
// record and its removal, and the job was run a second time.
BOOST_FIXTURE_TEST_CASE(DoesNotRunAJobThatTheWatchReportsWithItsRemoval,
                        Fixture) {
  constexpr Millis kPastRemoval{125'000};
  store.faults.watches_hang = true;
  RunFor(Millis(2'000));
  Submit(LeaderName(), kJobId, MakeJobSpec(2, Millis(300)), "q0");
  RunFor(kPastRemoval);
  BOOST_REQUIRE(store.Find(JobKey(kJobId)) == nullptr);
  const int64_t starts = executors.starts();
  store.faults.watches_hang = false;
  RunFor(kRun);
  BOOST_TEST(starts == 2);
  BOOST_TEST(executors.starts() == starts);
}

// Regression: a list that began before an executor was registered again after
// an outage of the store, and ended later, reported the executor as gone.
BOOST_FIXTURE_TEST_CASE(KeepsAnExecutorThatRegistersDuringAList, Fixture) {
  entries_down = true;
  RunFor(Millis(1'500));
  entries_down = false;
  lost_entries = {"e1"};
  RunFor(Millis(600));
  entries_time = Millis(2'200);
  RunFor(Millis(1'300));
  lost_entries.clear();
  RunFor(kRun);
  BOOST_TEST(log.Lines("executor_gone") == "");
}

// The notice of the accepting member may be lost, so the leader also watches
// the jobs.
BOOST_FIXTURE_TEST_CASE(RunsAJobThatOnlyTheWatchReports, Fixture) {
  const JobSpec spec = MakeJobSpec(2, Millis(300));
  JobRecord record;
  record.queue = MakeQueue(0);
  record.spec = spec;
  record.accepted = loop.clock().WallNow();
  executors.Expect(kJobId, spec, record.queue.max_attempts);
  store.faults.late_reads[kJobPrefix] = Millis(2'300);
  store.Put(JobKey(kJobId), EncodeJobRecord(record));
  RunFor(kRun);
  BOOST_TEST((StateOf(kJobId) == JobState::kCompleted));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
