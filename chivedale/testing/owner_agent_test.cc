// Tests the owner role step by step. Guards against a start without a lease, a
// refusal of work that is running, an answer lost between worker and entry, and
// a stop that interrupts other work.
#include "chivedale/owner_agent.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

#include "chivedale/testing/owner_fixture.h"

namespace chivedale::testing {
namespace {

using Phase = OwnerFixture::TaskState::Phase;

Dispatch Work(int64_t cpu = 1'000) {
  Dispatch dispatch;
  dispatch.kind = "sort";
  dispatch.size = {cpu, 512, 0, 1};
  return dispatch;
}

std::string RunScript(int run_ms) {
  return "{\"run_ms\":" + std::to_string(run_ms) + "}";
}

struct OneNode {
  static OwnerFixture::Options Options() {
    OwnerFixture::Options options;
    options.nodes = 1;
    options.workers = 1;
    return options;
  }
  OneNode() : fixture(Options()) {}
  Phase PhaseOf(const TaskId& task) { return fixture.task(task).phase; }
  OwnerFixture fixture;
};

struct TwoNodes {
  OwnerFixture fixture{OwnerFixture::Options()};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(OwnerAgents)

BOOST_AUTO_TEST_SUITE(OneOwnerAndOneWorker)

BOOST_FIXTURE_TEST_CASE(RunsATaskAndDeliversItsAnswer, OneNode) {
  const TaskId task = fixture.AddTask(Work(), RunScript(300));
  fixture.Run(Millis(2'000));
  BOOST_TEST((PhaseOf(task) == Phase::kDone));
  BOOST_TEST(fixture.task(task).answer.ok);
  BOOST_TEST(fixture.FirstViolation() == "");
  fixture.Run(Millis(2'000));
  BOOST_TEST(fixture.worker(0).unacknowledged() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RefusesTasksWithoutCapacityAndRunsThemLater, OneNode) {
  for (int i = 0; i < 12; ++i) {
    fixture.AddTask(Work(), RunScript(200));
  }
  fixture.Run(Millis(4'000));
  BOOST_TEST(fixture.Unfinished() == "");
  BOOST_TEST(fixture.FirstViolation() == "");
}

// Guards against entries that wait 200 ms for capacity that is already free:
// the summary sent on OnCapacityFreed was cached before, or had a lower
// sequence number than the one in an earlier refusal.
BOOST_FIXTURE_TEST_CASE(TheLatestSummaryShowsFreedCapacity, OneNode) {
  for (int i = 0; i < 12; ++i) {
    fixture.AddTask(Work(), RunScript(30 + 7 * i));
  }
  const Resources size = Work().size;
  uint64_t sequence = 0;
  int full = 0;
  for (int i = 0; i < 1'000; ++i) {
    fixture.Run(Millis(1));
    const bool room = fixture.agent(0).HasCapacity(size);
    full += fixture.agent(0).owned_workers() == 1 && !room ? 1 : 0;
    const Summary latest = fixture.agent(0).LatestSummary();
    BOOST_REQUIRE((!room || size.FitsIn(latest.plain.largest)));
    BOOST_REQUIRE(latest.sequence >= sequence);
    sequence = latest.sequence;
    BOOST_REQUIRE(fixture.agent(0).CachedSummary().sequence == sequence);
  }
  BOOST_TEST(full > 0);
}

BOOST_FIXTURE_TEST_CASE(ResolvesAStartWhoseAnswerWasLost, OneNode) {
  fixture.Run(Millis(100));
  fixture.worker(0).faults().lose_starts = 1;
  const TaskId task = fixture.AddTask(Work(), RunScript(5'000));
  fixture.Run(Millis(1'500));
  // It is running and was not started a second time.
  BOOST_TEST((PhaseOf(task) == Phase::kRunning));
  BOOST_TEST(fixture.workers().task_runs().starts() == 1);
  fixture.Run(Millis(6'000));
  BOOST_TEST((PhaseOf(task) == Phase::kDone));
}

BOOST_FIXTURE_TEST_CASE(RefusesDispatchesWhileDraining, OneNode) {
  fixture.Run(Millis(100));
  fixture.DrainNode(0);
  fixture.AddTask(Work(), RunScript(10));
  fixture.Run(Millis(1'000));
  BOOST_TEST(fixture.workers().task_runs().starts() == 0);
  BOOST_TEST(fixture.agent(0).drained());
}

// The entry may have started it elsewhere by then.
BOOST_FIXTURE_TEST_CASE(AnUnknownStartIsNotResentAfterAGapInTheLease, OneNode) {
  fixture.Run(Millis(100));
  fixture.worker(0).faults().dead = true;
  const TaskId task = fixture.AddTask(Work(), RunScript(100));
  fixture.Run(Millis(5'000));
  fixture.worker(0).faults().dead = false;
  fixture.Run(Millis(10'000));
  BOOST_TEST((PhaseOf(task) == Phase::kDone));
  BOOST_TEST(fixture.task(task).dispatch.key.attempt > 1U);
  for (const TaskRun& run :
       fixture.workers().task_runs().runs().at(task.str())) {
    BOOST_TEST(run.attempt > 1U);
  }
}

BOOST_FIXTURE_TEST_CASE(ReportsWorkLostUnderAShortLivedOwner, OneNode) {
  const TaskId task = fixture.AddTask(Work(), RunScript(1'500));
  fixture.Run(Millis(500));
  BOOST_TEST((PhaseOf(task) == Phase::kRunning));
  fixture.Reboot(0);
  fixture.workers().Lease(OwnerFixture::WorkerIdOf(0), MemberId("ghost/1"), {},
                          Millis(2'000), [](const LeaseResult&) {});
  fixture.Run(Millis(8'000));
  BOOST_TEST((PhaseOf(task) == Phase::kDone));
  BOOST_TEST(fixture.workers().task_runs().starts() == 2);
}

BOOST_FIXTURE_TEST_CASE(StopsWorkThatIsCancelledOrTakesTooLong, OneNode) {
  Dispatch slow = Work();
  slow.longest_run = Millis(500);
  const TaskId late = fixture.AddTask(slow, RunScript(60'000));
  const TaskId cancelled = fixture.AddTask(Work(), RunScript(60'000));
  fixture.Run(Millis(300));
  fixture.Send(0, Cancel{fixture.task(cancelled).dispatch.key, false});
  fixture.Run(Millis(1'500));
  BOOST_TEST((fixture.task(late).answer.error == ErrorKind::kTimedOut));
  BOOST_TEST(
      (fixture.task(cancelled).answer.error == ErrorKind::kCancelledRunning));
}

BOOST_FIXTURE_TEST_CASE(PreemptsByCheckpointForUrgentWork, OneNode) {
  Dispatch batch = Work(2'000);
  batch.urgency = Urgency::kBatch;
  batch.checkpoint = true;
  const TaskId first = fixture.AddTask(batch, RunScript(20'000));
  fixture.Run(Millis(500));
  const TaskId second = fixture.AddTask(batch, RunScript(20'000));
  fixture.Run(Millis(500));
  Dispatch urgent = Work(1'000);
  urgent.urgency = Urgency::kUrgent;
  const TaskId wanted = fixture.AddTask(urgent, RunScript(100));
  fixture.Run(Millis(1'000));
  BOOST_TEST((PhaseOf(wanted) == Phase::kDone));
  BOOST_TEST(fixture.task(second).answer.checkpointed);
  BOOST_TEST((PhaseOf(first) == Phase::kRunning));
}

BOOST_FIXTURE_TEST_CASE(HoldsCapacityForAGangUntilItExpires, OneNode) {
  fixture.Run(Millis(100));
  Hold hold;
  hold.hold = 5;
  hold.size = {3'000, 512, 0, 1};
  hold.count = 2;
  hold.ttl = Millis(2'000);
  fixture.agent(0).OnHold(fixture.entry_id(), hold);
  BOOST_TEST(!fixture.agent(0).HasCapacity({2'000, 512, 0, 1}));
  fixture.Run(Millis(100));
  const auto reply =
      std::get<HoldReply>(fixture.other_messages().back().second);
  BOOST_TEST(reply.workers.size() == 1U);
  Dispatch member = Work(3'000);
  member.hold = 5;
  member.worker = reply.workers[0];
  const TaskId task = fixture.AddTask(member, RunScript(100));
  fixture.Run(Millis(500));
  BOOST_TEST((PhaseOf(task) == Phase::kDone));
  hold.hold = 6;
  fixture.agent(0).OnHold(fixture.entry_id(), hold);
  BOOST_TEST(!fixture.agent(0).HasCapacity({2'000, 512, 0, 1}));
  fixture.Run(Millis(2'600));
  BOOST_TEST(fixture.agent(0).HasCapacity({2'000, 512, 0, 1}));
}

BOOST_FIXTURE_TEST_CASE(AdoptsTheWorkOfADeadEntry, OneNode) {
  const TaskId kept = fixture.AddTask(Work(), RunScript(9'000));
  const TaskId stopped = fixture.AddTask(Work(), RunScript(60'000));
  fixture.Run(Millis(500));
  fixture.agent(0).OnMemberDead(fixture.entry_id());
  const RequestId request("0");
  BOOST_TEST(fixture.agent(0).HasAdopted(request));
  RegisterReply confirmed;
  confirmed.request = request;
  confirmed.outcome = RegisterOutcome::kKnown;
  confirmed.entry = fixture.node_id(0);
  fixture.agent(0).OnRegisterReply(confirmed);
  fixture.agent(0).OnAttach({request, MemberId("entry/1"), AttachMode::kWait});
  fixture.Run(Millis(10'000));
  const auto& runs = fixture.workers().task_runs().runs();
  BOOST_TEST(runs.at(kept.str())[0].outcome == "ok");
  // This one was not confirmed within orphan_ttl.
  BOOST_TEST(runs.at(stopped.str())[0].outcome == "stopped");
  int answers = 0;
  for (const auto& [to, message] : fixture.other_messages()) {
    const auto* answer = std::get_if<AttachAnswer>(&message);
    answers += answer != nullptr && answer->ok ? 1 : 0;
  }
  BOOST_TEST(answers == 1);
}

// Guards against answers that are kept for an entry considered dead that was
// only paused: it continues under the same id and waits for them.
BOOST_FIXTURE_TEST_CASE(AnswersAnEntryThatReturnsAfterBeingDeclaredDead,
                        OneNode) {
  MemberInfo entry;
  entry.id = fixture.entry_id();
  entry.state = MemberState::kLive;
  const TaskId before = fixture.AddTask(Work(), RunScript(300));
  fixture.Run(Millis(100));
  BOOST_TEST((PhaseOf(before) == Phase::kRunning));
  fixture.agent(0).OnMemberDead(entry.id);
  fixture.Run(Millis(1'000));
  // Ended, but not reported yet.
  BOOST_TEST((PhaseOf(before) == Phase::kRunning));
  fixture.agent(0).SetMembers({entry});
  const TaskId after = fixture.AddTask(Work(), RunScript(300));
  fixture.Run(Millis(2'000));
  BOOST_TEST((PhaseOf(before) == Phase::kDone));
  BOOST_TEST((PhaseOf(after) == Phase::kDone));
  BOOST_TEST(fixture.worker(0).unacknowledged() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TwoOwners)

BOOST_FIXTURE_TEST_CASE(ShareTheWorkersBetweenThem, TwoNodes) {
  fixture.Run(Millis(500));
  BOOST_TEST(fixture.owned() == 3);
}

BOOST_FIXTURE_TEST_CASE(HandOverWithinAFifthOfASecond, TwoNodes) {
  const TaskId task = fixture.AddTask(Work(), RunScript(3'000));
  fixture.Run(Millis(500));
  fixture.DrainNode(0);
  fixture.Run(Millis(200));
  BOOST_TEST(fixture.agent(0).drained());
  BOOST_TEST(fixture.agent(1).owned_workers() == 3);
  fixture.Run(Millis(4'000));
  BOOST_TEST(fixture.task(task).answer.ok);
  BOOST_TEST(fixture.workers().task_runs().starts() == 1);
}

BOOST_FIXTURE_TEST_CASE(TakeOverWithinFiveSecondsOfADeath, TwoNodes) {
  const TaskId task = fixture.AddTask(Work(), RunScript(8'000));
  fixture.Run(Millis(500));
  fixture.CrashNode(0);
  fixture.Run(Millis(5'000));
  BOOST_TEST(fixture.agent(1).owned_workers() == 3);
  fixture.Run(Millis(5'000));
  BOOST_TEST(fixture.task(task).answer.ok);
  BOOST_TEST(fixture.workers().task_runs().starts() == 1);
  BOOST_TEST(fixture.FirstViolation() == "");
}

BOOST_FIXTURE_TEST_CASE(MoveWorkersToAMemberThatJoined, TwoNodes) {
  const TaskId task = fixture.AddTask(Work(), RunScript(20'000));
  fixture.Run(Millis(500));
  fixture.AddNode();
  fixture.AddNode();
  fixture.Run(Millis(9'000));
  BOOST_TEST(
      fixture.agent(2).owned_workers() + fixture.agent(3).owned_workers() == 0);
  fixture.Run(Millis(3'000));
  BOOST_TEST(
      fixture.agent(2).owned_workers() + fixture.agent(3).owned_workers() > 0);
  BOOST_TEST(fixture.owned() == 3);
  fixture.Run(Millis(10'000));
  BOOST_TEST(fixture.task(task).answer.ok);
  BOOST_TEST(fixture.workers().task_runs().starts() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
