// Guards the owner role step by step: a start that goes out without a lease, a
// refusal for work that runs, an answer that gets lost between worker and
// entry, a stop that interrupts work.
#include "chivedale/owner_agent.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

#include "chivedale/testing/owner_world.h"

namespace chivedale::testing {
namespace {

using Phase = OwnerWorld::TaskState::Phase;

Dispatch Work(int64_t cpu = 1'000) {
  Dispatch dispatch;
  dispatch.kind = "sort";
  dispatch.size = {cpu, 512, 0, 1};
  return dispatch;
}

std::string Takes(int run_ms) {
  return "{\"run_ms\":" + std::to_string(run_ms) + "}";
}

struct OneNode {
  static OwnerWorld::Options Options() {
    OwnerWorld::Options options;
    options.nodes = 1;
    options.workers = 1;
    return options;
  }
  OneNode() : world(Options()) {}
  Phase PhaseOf(const TaskId& task) { return world.task(task).phase; }
  OwnerWorld world;
};

struct TwoNodes {
  OwnerWorld world{OwnerWorld::Options()};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(OwnerAgents)

BOOST_AUTO_TEST_SUITE(OneOwnerAndOneWorker)

BOOST_FIXTURE_TEST_CASE(RunsATaskAndDeliversItsAnswer, OneNode) {
  const TaskId task = world.AddTask(Work(), Takes(300));
  world.Run(Millis(2'000));
  BOOST_TEST((PhaseOf(task) == Phase::kDone));
  BOOST_TEST(world.task(task).answer.ok);
  BOOST_TEST(world.Broken() == "");
  world.Run(Millis(2'000));
  BOOST_TEST(world.worker(0).unacknowledged() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RefusesWhatHasNoRoomAndRunsItLater, OneNode) {
  for (int i = 0; i < 12; ++i) {
    world.AddTask(Work(), Takes(200));
  }
  world.Run(Millis(4'000));
  BOOST_TEST(world.Unfinished() == "");
  BOOST_TEST(world.Broken() == "");
}

// Guards against entries that wait 200 ms for room that is there: the summary
// sent on OnRoom was a cached one from before, or had a lower sequence number
// than the one in an earlier refusal.
BOOST_FIXTURE_TEST_CASE(TheLatestSummaryShowsRoomAtOnce, OneNode) {
  for (int i = 0; i < 12; ++i) {
    world.AddTask(Work(), Takes(30 + 7 * i));
  }
  const Resources size = Work().size;
  uint64_t sequence = 0;
  int full = 0;
  for (int i = 0; i < 1'000; ++i) {
    world.Run(Millis(1));
    const bool room = world.agent(0).HasRoom(size);
    full += world.agent(0).owned_workers() == 1 && !room ? 1 : 0;
    const Summary latest = world.agent(0).LatestSummary();
    BOOST_REQUIRE((!room || size.FitsIn(latest.plain.largest)));
    BOOST_REQUIRE(latest.sequence >= sequence);
    sequence = latest.sequence;
    BOOST_REQUIRE(world.agent(0).CurrentSummary().sequence == sequence);
  }
  BOOST_TEST(full > 0);
}

BOOST_FIXTURE_TEST_CASE(ResolvesAStartWhoseAnswerWasLost, OneNode) {
  world.Run(Millis(100));
  world.worker(0).faults().lose_starts = 1;
  const TaskId task = world.AddTask(Work(), Takes(5'000));
  world.Run(Millis(1'500));
  // It runs, and nobody started it a second time.
  BOOST_TEST((PhaseOf(task) == Phase::kRunning));
  BOOST_TEST(world.workers().book().starts() == 1);
  world.Run(Millis(6'000));
  BOOST_TEST((PhaseOf(task) == Phase::kDone));
}

BOOST_FIXTURE_TEST_CASE(TakesNothingWhileItDrains, OneNode) {
  world.Run(Millis(100));
  world.DrainNode(0);
  world.AddTask(Work(), Takes(10));
  world.Run(Millis(1'000));
  BOOST_TEST(world.workers().book().starts() == 0);
  BOOST_TEST(world.agent(0).drained());
}

// The entry may have started it elsewhere by then.
BOOST_FIXTURE_TEST_CASE(AStartInDoubtIsNotSentAgainAfterAGapInTheLease,
                        OneNode) {
  world.Run(Millis(100));
  world.worker(0).faults().dead = true;
  const TaskId task = world.AddTask(Work(), Takes(100));
  world.Run(Millis(5'000));
  world.worker(0).faults().dead = false;
  world.Run(Millis(10'000));
  BOOST_TEST((PhaseOf(task) == Phase::kDone));
  BOOST_TEST(world.task(task).dispatch.key.attempt > 1U);
  for (const TaskRun& run : world.workers().book().runs().at(task.str())) {
    BOOST_TEST(run.attempt > 1U);
  }
}

BOOST_FIXTURE_TEST_CASE(TellsOfWorkLostUnderAnOwnerThatDiedAtOnce, OneNode) {
  const TaskId task = world.AddTask(Work(), Takes(1'500));
  world.Run(Millis(500));
  BOOST_TEST((PhaseOf(task) == Phase::kRunning));
  world.Reboot(0);
  world.workers().Lease(OwnerWorld::WorkerIdOf(0), MemberId("ghost/1"), {},
                        Millis(2'000), [](const LeaseResult&) {});
  world.Run(Millis(8'000));
  BOOST_TEST((PhaseOf(task) == Phase::kDone));
  BOOST_TEST(world.workers().book().starts() == 2);
}

BOOST_FIXTURE_TEST_CASE(StopsWorkThatIsCancelledOrTakesTooLong, OneNode) {
  Dispatch slow = Work();
  slow.longest_run = Millis(500);
  const TaskId late = world.AddTask(slow, Takes(60'000));
  const TaskId cancelled = world.AddTask(Work(), Takes(60'000));
  world.Run(Millis(300));
  world.Send(0, Cancel{world.task(cancelled).dispatch.key, false});
  world.Run(Millis(1'500));
  BOOST_TEST((world.task(late).answer.error == ErrorKind::kTimedOut));
  BOOST_TEST(
      (world.task(cancelled).answer.error == ErrorKind::kCancelledRunning));
}

BOOST_FIXTURE_TEST_CASE(MakesRoomForUrgentWorkByACheckpoint, OneNode) {
  Dispatch batch = Work(2'000);
  batch.urgency = Urgency::kBatch;
  batch.checkpoint = true;
  const TaskId first = world.AddTask(batch, Takes(20'000));
  world.Run(Millis(500));
  const TaskId second = world.AddTask(batch, Takes(20'000));
  world.Run(Millis(500));
  Dispatch urgent = Work(1'000);
  urgent.urgency = Urgency::kUrgent;
  const TaskId wanted = world.AddTask(urgent, Takes(100));
  world.Run(Millis(1'000));
  BOOST_TEST((PhaseOf(wanted) == Phase::kDone));
  BOOST_TEST(world.task(second).answer.checkpointed);
  BOOST_TEST((PhaseOf(first) == Phase::kRunning));
}

BOOST_FIXTURE_TEST_CASE(HoldsRoomForAGangUntilItExpires, OneNode) {
  world.Run(Millis(100));
  Hold hold;
  hold.hold = 5;
  hold.size = {3'000, 512, 0, 1};
  hold.count = 2;
  hold.ttl = Millis(2'000);
  world.agent(0).OnHold(world.entry_id(), hold);
  BOOST_TEST(!world.agent(0).HasRoom({2'000, 512, 0, 1}));
  world.Run(Millis(100));
  const auto reply = std::get<HoldReply>(world.other_messages().back().second);
  BOOST_TEST(reply.workers.size() == 1U);
  Dispatch member = Work(3'000);
  member.hold = 5;
  member.worker = reply.workers[0];
  const TaskId task = world.AddTask(member, Takes(100));
  world.Run(Millis(500));
  BOOST_TEST((PhaseOf(task) == Phase::kDone));
  hold.hold = 6;
  world.agent(0).OnHold(world.entry_id(), hold);
  BOOST_TEST(!world.agent(0).HasRoom({2'000, 512, 0, 1}));
  world.Run(Millis(2'600));
  BOOST_TEST(world.agent(0).HasRoom({2'000, 512, 0, 1}));
}

BOOST_FIXTURE_TEST_CASE(AdoptsTheWorkOfADeadEntry, OneNode) {
  const TaskId kept = world.AddTask(Work(), Takes(9'000));
  const TaskId stopped = world.AddTask(Work(), Takes(60'000));
  world.Run(Millis(500));
  world.agent(0).OnMemberDead(world.entry_id());
  const RequestId request("0");
  BOOST_TEST(world.agent(0).HasAdopted(request));
  RegisterReply confirmed;
  confirmed.request = request;
  confirmed.outcome = RegisterOutcome::kKnown;
  confirmed.entry = world.node_id(0);
  world.agent(0).OnRegisterReply(confirmed);
  world.agent(0).OnAttach({request, MemberId("entry/1"), AttachMode::kWait});
  world.Run(Millis(10'000));
  const auto& runs = world.workers().book().runs();
  BOOST_TEST(runs.at(kept.str())[0].outcome == "ok");
  // Nobody confirmed this one within orphan_ttl.
  BOOST_TEST(runs.at(stopped.str())[0].outcome == "stopped");
  int answers = 0;
  for (const auto& [to, message] : world.other_messages()) {
    const auto* answer = std::get_if<AttachAnswer>(&message);
    answers += answer != nullptr && answer->ok ? 1 : 0;
  }
  BOOST_TEST(answers == 1);
}

// Guards against answers that are kept for a dead entry while the entry, which
// was only paused, goes on under the same id and waits for them.
BOOST_FIXTURE_TEST_CASE(AnswersAnEntryThatWasCalledDeadAndIsBack, OneNode) {
  MemberInfo entry;
  entry.id = world.entry_id();
  entry.state = MemberState::kLive;
  const TaskId before = world.AddTask(Work(), Takes(300));
  world.Run(Millis(100));
  BOOST_TEST((PhaseOf(before) == Phase::kRunning));
  world.agent(0).OnMemberDead(entry.id);
  world.Run(Millis(1'000));
  BOOST_TEST((PhaseOf(before) == Phase::kRunning));  // ended, not told
  world.agent(0).SetMembers({entry});
  const TaskId after = world.AddTask(Work(), Takes(300));
  world.Run(Millis(2'000));
  BOOST_TEST((PhaseOf(before) == Phase::kDone));
  BOOST_TEST((PhaseOf(after) == Phase::kDone));
  BOOST_TEST(world.worker(0).unacknowledged() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TwoOwners)

BOOST_FIXTURE_TEST_CASE(ShareTheWorkersBetweenThem, TwoNodes) {
  world.Run(Millis(500));
  BOOST_TEST(world.owned() == 3);
}

BOOST_FIXTURE_TEST_CASE(HandOverWithinAFifthOfASecond, TwoNodes) {
  const TaskId task = world.AddTask(Work(), Takes(3'000));
  world.Run(Millis(500));
  world.DrainNode(0);
  world.Run(Millis(200));
  BOOST_TEST(world.agent(0).drained());
  BOOST_TEST(world.agent(1).owned_workers() == 3);
  world.Run(Millis(4'000));
  BOOST_TEST(world.task(task).answer.ok);
  BOOST_TEST(world.workers().book().starts() == 1);
}

BOOST_FIXTURE_TEST_CASE(TakeOverWithinFiveSecondsOfADeath, TwoNodes) {
  const TaskId task = world.AddTask(Work(), Takes(8'000));
  world.Run(Millis(500));
  world.CrashNode(0);
  world.Run(Millis(5'000));
  BOOST_TEST(world.agent(1).owned_workers() == 3);
  world.Run(Millis(5'000));
  BOOST_TEST(world.task(task).answer.ok);
  BOOST_TEST(world.workers().book().starts() == 1);
  BOOST_TEST(world.Broken() == "");
}

BOOST_FIXTURE_TEST_CASE(MoveWorkersToAMemberThatJoined, TwoNodes) {
  const TaskId task = world.AddTask(Work(), Takes(20'000));
  world.Run(Millis(500));
  world.AddNode();
  world.AddNode();
  world.Run(Millis(9'000));
  BOOST_TEST(world.agent(2).owned_workers() + world.agent(3).owned_workers() ==
             0);
  world.Run(Millis(3'000));
  BOOST_TEST(world.agent(2).owned_workers() + world.agent(3).owned_workers() >
             0);
  BOOST_TEST(world.owned() == 3);
  world.Run(Millis(10'000));
  BOOST_TEST(world.task(task).answer.ok);
  BOOST_TEST(world.workers().book().starts() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
