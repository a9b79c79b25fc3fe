// What operators learn about tasks that wait: the view of a step, its page and
// the log. Each case brings about one reason to wait.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/status_page.h"
#include "cell/testing/cell_fixture.h"
#include "cell/testing/cell_leader_peer.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::CellLeaderPeer;
using testing::kJobId;
using testing::MakeJobSpec;
using testing::MakeQueue;

constexpr char kOtherJob[] = "00000000000000bb";
constexpr int64_t kWholeExecutor = 32'000;

struct WaitFixture : CellFixture {
  // The first step of the job.
  CellLeader::StepView View(const JobId& id = kJobId) {
    const auto views = leader()->leader()->DescribeSteps(id);
    BOOST_REQUIRE(!views.empty());
    return views[0];
  }
  std::string Page() {
    return *StatusPage(*leader(), std::string("/jobs/") + kJobId).body;
  }
  int64_t Count(const std::string& event) const {
    const std::string lines = log.Lines(event);
    return std::count(lines.begin(), lines.end(), '\n');
  }
  // Occupies all executors for the given time.
  void FillPool(Millis time) {
    Submit("a", kOtherJob, MakeJobSpec(4, time, kWholeExecutor), "q0");
    RunFor(Millis(100));
  }
  void RejectStarts(OrderResult result) {
    executors.start_result = [result](const StartOrder&) { return result; };
  }
  void CutExecutorsFromLeader() {
    executors.member_links[LeaderName()].cut = true;
  }
};

BOOST_AUTO_TEST_SUITE(AStepWithWaitingTasks)

BOOST_AUTO_TEST_SUITE(TellsWhatItWaitsFor)

BOOST_AUTO_TEST_CASE(Room) {
  WaitFixture cell;
  cell.FillPool(Millis(20'000));
  cell.Submit("a", kJobId, MakeJobSpec(2, Millis(100), kWholeExecutor), "q0");
  cell.RunFor(Millis(2'000));
  const auto view = cell.View();
  BOOST_TEST(view.waits_for == "room");
  BOOST_TEST(view.queued);
  BOOST_TEST(view.waiting == 2);
  BOOST_TEST((view.waits_for_time > Millis(1'800)));
  BOOST_TEST((view.waits_for_time <= view.waiting_time));
  BOOST_TEST((view.waiting_time < Millis(2'000)));
  BOOST_TEST(view.last_pass > 0);
  BOOST_TEST((view.last_pass_age < Millis(600)));
  BOOST_TEST(view.starts == 0);
}

BOOST_AUTO_TEST_CASE(RoomBehindMoreUrgentSteps) {
  WaitFixture cell;
  cell.FillPool(Millis(20'000));
  for (int i = 1; i <= 4; ++i) {
    cell.Submit("a", "000000000000000" + std::to_string(i),
                MakeJobSpec(1, Millis(100), kWholeExecutor), "q0");
  }
  cell.RunFor(Millis(100));
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100), kWholeExecutor), "q2");
  cell.RunFor(Millis(300));
  BOOST_TEST(cell.View().waits_for == "room, behind more urgent steps");
}

BOOST_AUTO_TEST_CASE(RoomBeyondTheHeadroom) {
  WaitFixture cell;
  cell.Submit("a", kOtherJob, MakeJobSpec(8, Millis(8'000)), "q0");
  cell.RunFor(Millis(4'000));
  cell.Submit("a", kJobId, MakeJobSpec(40, Millis(20'000)), "q2");
  cell.RunFor(Millis(500));
  const auto view = cell.View();
  BOOST_TEST(view.running > 0);
  BOOST_TEST(view.waits_for == "room beyond the headroom for urgent jobs");
}

BOOST_AUTO_TEST_CASE(AMatchingExecutor) {
  WaitFixture cell;
  JobSpec spec = MakeJobSpec(1, Millis(100));
  spec.steps[0].label = "none";
  cell.Submit("a", kJobId, spec, "q0");
  cell.RunFor(Millis(300));
  BOOST_TEST(cell.View().waits_for ==
             "a usable executor that matches its label and size");
}

BOOST_AUTO_TEST_CASE(Advice) {
  WaitFixture cell;
  QueuePolicy advised = MakeQueue(1);
  advised.advice = AdvicePolicy{Millis(10), Millis(0), Millis(2'000)};
  cell.advised_share = 0;
  cell.SetQueue(advised);
  cell.RunFor(Millis(300));
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100)), "q1");
  cell.RunFor(Millis(300));
  BOOST_TEST(cell.View().waits_for == "advice, or executors it allows");
}

BOOST_AUTO_TEST_CASE(ItsRetryTime) {
  WaitFixture cell;
  cell.RejectStarts(OrderResult::kRejected);
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100)), "q0");
  cell.RunFor(Millis(50));
  const auto view = cell.View();
  BOOST_TEST(view.waits_for == "its retry time");
  BOOST_TEST(view.starts == 1);
  BOOST_TEST(view.rejected == 1);
  BOOST_TEST(view.unanswered == 0);
  BOOST_TEST(view.last_result == "rejected");
  BOOST_TEST(view.last_executor.substr(0, 1) == "e");
}

// Repeated starts do not make the wait look short.
BOOST_AUTO_TEST_CASE(SinceItsTasksLastRan) {
  WaitFixture cell;
  cell.RejectStarts(OrderResult::kRejected);
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100)), "q0");
  cell.RunFor(Millis(3'000));
  const auto view = cell.View();
  BOOST_TEST((view.waiting_time > Millis(2'900)));
  BOOST_TEST(view.rejected > 3);
  BOOST_TEST(view.rejected == view.starts);
}

BOOST_AUTO_TEST_CASE(TheAnswerToAStart) {
  WaitFixture cell;
  cell.CutExecutorsFromLeader();
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100)), "q0");
  cell.RunFor(Millis(100));
  auto view = cell.View();
  BOOST_TEST(view.waiting == 0);
  BOOST_TEST(view.unconfirmed == 1);
  BOOST_TEST(view.starts == 1);
  BOOST_TEST(view.waits_for == "the answer to a start");
  cell.RunFor(Millis(1'500));
  view = cell.View();
  BOOST_TEST(view.unanswered == 1);
  BOOST_TEST(view.last_result == "unknown");
}

BOOST_AUTO_TEST_CASE(TheEndOfARunThatIsStopped) {
  WaitFixture cell;
  JobSpec spec = MakeJobSpec(4, Millis(20'000), kWholeExecutor);
  spec.steps[0].checkpoints = true;
  cell.Submit("a", kJobId, spec, "q2");
  cell.RunFor(Millis(1'000));
  BOOST_TEST(cell.View().waits_for.empty());
  cell.executors.stop_time = Millis(500);
  cell.Submit("a", kOtherJob, MakeJobSpec(1, Millis(100)), "q0");
  cell.RunFor(Millis(200));
  const auto view = cell.View();
  BOOST_TEST(view.stopping == 1);
  BOOST_TEST(view.waits_for == "the end of runs that are being stopped");
}

BOOST_AUTO_TEST_CASE(TheStepsBeforeIt) {
  WaitFixture cell;
  JobSpec spec = MakeJobSpec(1, Millis(5'000));
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].depends_on = {0};
  cell.Submit("a", kJobId, spec, "q0");
  cell.RunFor(Millis(1'000));
  const auto views = cell.leader()->leader()->DescribeSteps(kJobId);
  BOOST_REQUIRE(views.size() == 2U);
  BOOST_TEST(views[1].waits_for == "the steps before it");
  BOOST_TEST((views[1].waits_for_time > Millis(900)));
  BOOST_TEST(views[1].last_pass == 0);
}

BOOST_AUTO_TEST_CASE(OnThePageOfItsJob) {
  WaitFixture cell;
  cell.FillPool(Millis(20'000));
  cell.Submit("a", kJobId, MakeJobSpec(2, Millis(100), kWholeExecutor), "q0");
  cell.RunFor(Millis(1'000));
  const std::string page = cell.Page();
  for (const char* field :
       {"\"passes\":", "\"waits_for\":\"room\"",
        "\"waits_for_ms\":", "\"waiting_ms\":", "\"queued\":true",
        "\"last_pass\":", "\"last_pass_age_ms\":", "\"starts\":0",
        "\"rejected\":0", "\"unanswered\":0", "\"unconfirmed\":0",
        "\"stopping\":0"}) {
    BOOST_TEST(page.find(field) != std::string::npos, field << " in " << page);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsLogged)

BOOST_AUTO_TEST_CASE(AfterThreeSecondsAndThenLessAndLessOften) {
  WaitFixture cell;
  cell.FillPool(Millis(30'000));
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100), kWholeExecutor), "q0");
  cell.RunFor(Millis(2'800));
  BOOST_TEST(cell.Count("step_waiting") == 0);
  cell.RunFor(Millis(900));
  BOOST_TEST(cell.Count("step_waiting") == 1);
  const std::string line = cell.log.Lines("step_waiting");
  for (const char* field :
       {"1206 ", "step=00000000000000aa.0.0 ", "queue=q0 ", "waiting=1 ",
        "of=1 ", "waits_for=room ", "waiting_ms=3", "waits_for_ms=3",
        "last_pass=", "last_pass_age_ms=", "pool=pool ", "usable=4 ",
        "free=0m/252000MB/", "capacity=128000m/256000MB/", "starts=0 "}) {
    BOOST_TEST(line.find(field) != std::string::npos, field << " in " << line);
  }
  cell.RunFor(Millis(20'000));
  BOOST_TEST(cell.Count("step_waiting") == 3);
}

BOOST_AUTO_TEST_CASE(AlsoWhileItsStartsAreRejected) {
  WaitFixture cell;
  cell.RejectStarts(OrderResult::kRejected);
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100)), "q0");
  cell.RunFor(Millis(4'000));
  const std::string line = cell.log.Lines("step_waiting");
  BOOST_TEST(cell.Count("step_waiting") == 1);
  BOOST_TEST(line.find("last_result=rejected") != std::string::npos, line);
}

// The members that were started do not make the gang run.
BOOST_AUTO_TEST_CASE(AlsoWhileAMemberOfItsGangIsRejected) {
  WaitFixture cell;
  cell.executors.start_result = [](const StartOrder& order) {
    return order.task.back() == '1' ? OrderResult::kRejected : OrderResult::kOk;
  };
  JobSpec spec = MakeJobSpec(2, Millis(300));
  spec.steps[0].gang = true;
  cell.Submit("a", kJobId, spec, "q0");
  cell.RunFor(Millis(4'000));
  BOOST_TEST(cell.Count("step_waiting") == 1);
  cell.executors.start_result = nullptr;
  cell.RunFor(Millis(2'000));
  BOOST_TEST(cell.Count("step_wait_ended") == 1);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

BOOST_AUTO_TEST_CASE(AndItsStartAfterwards) {
  WaitFixture cell;
  cell.FillPool(Millis(5'000));
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100), kWholeExecutor), "q0");
  cell.RunFor(Millis(7'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(cell.Count("step_wait_ended step=00000000000000aa.0.0") == 1);
}

BOOST_AUTO_TEST_CASE(NotIfItsTasksStartSoon) {
  WaitFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(8, Millis(10'000)), "q0");
  JobSpec gang = MakeJobSpec(4, Millis(10'000));
  gang.steps[0].gang = true;
  cell.Submit("a", kOtherJob, gang, "q0");
  cell.RunFor(Millis(8'000));
  BOOST_TEST(cell.executors.running() == 12);
  BOOST_TEST(cell.Count("step_wait") == 0);
}

BOOST_AUTO_TEST_CASE(WithABoundedNumberOfLines) {
  WaitFixture cell;
  cell.FillPool(Millis(20'000));
  for (int i = 100; i < 150; ++i) {
    cell.Submit("a", "0000000000000" + std::to_string(i),
                MakeJobSpec(1, Millis(100), kWholeExecutor), "q0");
  }
  cell.RunFor(Millis(3'600));
  BOOST_TEST(cell.Count("step_waiting") >= 20);
  BOOST_TEST(cell.Count("step_waiting") <= 40);
  cell.RunFor(Millis(1'500));
  BOOST_TEST(cell.Count("step_waiting") == 50);
  const std::string metrics = *StatusPage(*cell.leader(), "/metrics").body;
  BOOST_TEST(metrics.find("chivedale_steps_waiting_long 50\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsLeftOutOfThePasses)

// Guards against a loss of work that neither the log nor the page shows.
BOOST_AUTO_TEST_CASE(IsReportedAndNotRepaired) {
  WaitFixture cell;
  cell.FillPool(Millis(20'000));
  cell.Submit("a", kJobId, MakeJobSpec(2, Millis(100), kWholeExecutor), "q0");
  cell.RunFor(Millis(300));
  BOOST_TEST(cell.Count("step_not_queued") == 0);
  CellLeaderPeer::ClearWaitingSteps(*cell.leader()->leader());
  cell.RunFor(Millis(600));
  auto view = cell.View();
  BOOST_TEST(!view.queued);
  BOOST_TEST(view.waits_for == "nothing: not queued for scheduling");
  BOOST_TEST(cell.Count("1208 step_not_queued step=00000000000000aa.0.0") == 1);
  const std::string metrics = *StatusPage(*cell.leader(), "/metrics").body;
  BOOST_TEST(metrics.find("chivedale_steps_not_queued 1\n") !=
             std::string::npos);
  const int64_t last_pass = view.last_pass;
  cell.RunFor(Millis(2'000));
  view = cell.View();
  BOOST_TEST(!view.queued);
  BOOST_TEST(view.last_pass == last_pass);
  BOOST_TEST((view.last_pass_age > Millis(2'000)));
  cell.RunFor(Millis(8'000));
  BOOST_TEST(cell.Count("step_not_queued") == 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AfterATakeover)

BOOST_AUTO_TEST_CASE(IsNotLoggedIfAllExecutorsAnswerSoon) {
  WaitFixture cell;
  cell.FillPool(Millis(3'000));
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100), kWholeExecutor), "q0");
  cell.RunFor(Millis(200));
  cell.Kill(cell.LeaderName());
  cell.RunFor(Millis(5'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(cell.Count("executors_unread") == 0);
}

BOOST_AUTO_TEST_CASE(NamesTheExecutorsThatAreNotReadYet) {
  WaitFixture cell;
  // By then all boots are settled, see ExecutorBoot.
  cell.RunFor(cell.executors.longest_lease + Millis(2'000));
  cell.FillPool(Millis(3'000));
  cell.Submit("a", kJobId, MakeJobSpec(1, Millis(100), kWholeExecutor), "q0");
  cell.RunFor(Millis(200));
  cell.executors.Crash("e4");
  cell.Kill(cell.LeaderName());
  cell.RunFor(Millis(3'500));
  BOOST_REQUIRE(cell.leader() != nullptr);
  BOOST_TEST(cell.View().waits_for ==
             "executors that have not listed their runs to this leader");
  BOOST_TEST(cell.Count("1308 executors_unread") == 1);
  const std::string line = cell.log.Lines("1308 executors_unread");
  BOOST_TEST(
      line.find("unread=1 pools=pool:1 executors=e4 ") != std::string::npos,
      line);
  BOOST_TEST(line.find("at_most_ms=") != std::string::npos, line);
  BOOST_TEST(cell.Count("executors_unread_end") == 0);
  cell.RunFor(Millis(4'000));
  BOOST_TEST(cell.Count("1309 executors_unread_end") == 1);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
