// Guards the owner role step by step: a start that goes out without a lease, a
// refusal for work that runs, an answer that gets lost between worker and
// entry, a stop that interrupts work.
#include "chivedale/owner_agent.h"

#include <boost/test/unit_test.hpp>
#include <string>

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

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
