// Tests of a cell in which a gang waits for room that long tasks hold: what
// others may do meanwhile, and that the gang is not delayed by it.
#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
using testing::MakeJobSpec;

constexpr int kExecutors = 4;
constexpr char kBatchJob[] = "00000000000000bb";
constexpr char kGangJob[] = "00000000000000cc";
const TaskName lasting_task{kJobId, 0, 0, 0};

struct WaitingGang : CellFixture {
  // Tasks of 13 of 32 cores on each executor, and a gang with 20 on each.
  void SubmitBatchAndGang(Millis batch_time) {
    JobSpec batch = MakeJobSpec(kExecutors, batch_time, 13'000);
    batch.steps[0].max_per_executor = 1;
    Submit("a", kBatchJob, batch, "q2");
    RunFor(Millis(300));
    JobSpec gang = MakeJobSpec(kExecutors, Millis(1'000), 20'000);
    gang.steps[0].gang = true;
    Submit("a", kGangJob, gang, "q0");
    RunFor(Millis(300));
    BOOST_REQUIRE(!GangRuns());
  }
  void StartLastingJob(int64_t cpu) {
    JobSpec spec = MakeJobSpec(2, Millis(1'000), cpu);
    spec.steps[0].long_running = true;
    Submit("a", kJobId, spec, "q2");
    RunFor(Millis(500));
    BOOST_REQUIRE(IsRunning(lasting_task));
  }
  bool IsRunning(const TaskName& task) const {
    for (int i = 1; i <= kExecutors; ++i) {
      if (executors.RunsOn(task, "e" + std::to_string(i))) {
        return true;
      }
    }
    return false;
  }
  bool GangRuns() const { return IsRunning({kGangJob, 0, 0, 0}); }
  Millis FailLastingTask() {
    executors.EndRun(lasting_task, RunEnd::kFailed);
    Millis waited{0};
    for (; waited < Millis(20'000) && !IsRunning(lasting_task);
         waited += Millis(20)) {
      RunFor(Millis(20));
    }
    return waited;
  }
};

BOOST_AUTO_TEST_SUITE(WhileAGangWaitsForLongTasks)

// Regression (review/8, LOST): the gang had reserved all executors.
BOOST_FIXTURE_TEST_CASE(ATaskThatLastsIsRestartedBesideIt, WaitingGang) {
  StartLastingJob(1'000);
  SubmitBatchAndGang(Millis(60'000));
  BOOST_TEST(FailLastingTask().count() < 1'000);
}

// It would delay the gang, but is owed its restart.
BOOST_FIXTURE_TEST_CASE(ALargeTaskThatLastsIsRestartedSoon, WaitingGang) {
  StartLastingJob(14'000);
  SubmitBatchAndGang(Millis(60'000));
  BOOST_TEST(FailLastingTask().count() < 4'500);
}

BOOST_FIXTURE_TEST_CASE(ShortTasksRunBesideIt, WaitingGang) {
  SubmitBatchAndGang(Millis(60'000));
  Submit("a", kJobId, MakeJobSpec(8, Millis(500), 6'000), "q2");
  RunFor(Millis(2'500));
  BOOST_TEST((StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(!GangRuns());
}

// Guards against a gang that waits without an end for less urgent tasks.
BOOST_FIXTURE_TEST_CASE(ItIsNotDelayedByThem, WaitingGang) {
  constexpr Millis kBatchTime{4'000};
  executors.run_time = [](const TaskName&, const StepSpec& spec) {
    return spec.estimate;
  };
  SubmitBatchAndGang(kBatchTime);
  Millis waited{600};
  for (int i = 0; i < 100 && !GangRuns(); ++i, waited += Millis(100)) {
    const std::string number = std::to_string(1'000 + i);
    Submit("a", std::string(12, 'd') + number,
           MakeJobSpec(4, Millis(900), 6'000), "q2");
    RunFor(Millis(100));
  }
  BOOST_TEST(GangRuns());
  BOOST_TEST(waited.count() < (kBatchTime + Millis(900)).count());
}

BOOST_AUTO_TEST_SUITE_END()

// Regression (caminho-agua-grown, recut-kill, LOST): more urgent steps took all
// room for half a minute.
BOOST_FIXTURE_TEST_CASE(ATaskThatLastsIsRestartedUnderALoadOfMoreUrgentTasks,
                        WaitingGang) {
  StartLastingJob(16'000);
  executors.run_time = [](const TaskName&, const StepSpec& spec) {
    return spec.estimate;
  };
  // About twice what the executors can do.
  int jobs = 0;
  const auto submit = [&] {
    const std::string number = std::to_string(1'000 + ++jobs);
    Submit("b", std::string(12, 'd') + number,
           MakeJobSpec(8, Millis(700), 8'000), "q0");
  };
  for (int i = 0; i < 40; ++i) {
    submit();
    RunFor(Millis(100));
  }
  executors.EndRun(lasting_task, RunEnd::kFailed);
  Millis waited{0};
  for (; waited < Millis(15'000) && !IsRunning(lasting_task);
       waited += Millis(100)) {
    submit();
    RunFor(Millis(100));
  }
  BOOST_TEST(waited.count() < 6'000);
}

}  // namespace
}  // namespace chivedale::cell
