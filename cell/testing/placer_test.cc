// Tests of placement by free resources, racks, spread and executor health, of
// Executor and ExecutorHealth, and of the distribution of advice calls over the
// members.
#include "cell/placer.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <vector>

#include "cell/advice_dispatcher.h"
#include "cell/executor_health.h"
#include "chivedale/testing/fake_clock.h"

namespace chivedale::cell {
namespace {

struct Fleet {
  explicit Fleet(int count, Resources size = {32'000, 64'000, 0, 0}) {
    all.reserve(static_cast<size_t>(count));
    executors.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      ExecutorEntry entry;
      entry.id = "e" + std::to_string(i);
      entry.capacity = size;
      entry.rack = "r" + std::to_string(i / 2);
      executors.push_back(
          std::make_unique<Executor>(entry, static_cast<size_t>(i)));
      all.push_back(executors.back().get());
    }
  }
  Step& Open(const StepSpec& spec) {
    JobRecord record;
    record.spec.steps = {spec};
    jobs.push_back(
        std::make_unique<Job>("j" + std::to_string(jobs.size()), record));
    jobs.back()->OpenDueOccurrences(clock.WallNow(), clock.Now());
    return *jobs.back()->FindStep(0, 0);
  }
  // Places the step's tasks and returns their executors.
  std::vector<std::string> Place(Step& step) {
    std::vector<int> tasks;
    tasks.reserve(static_cast<size_t>(step.spec->count));
    for (int i = 0; i < step.spec->count; ++i) {
      tasks.push_back(i);
    }
    std::vector<std::string> placed;
    Placer(PlacerOptions())
        .PlaceEach(step, tasks, all, clock.Now(),
                   [&](int task, Executor& executor) {
                     executor.AddRun(step.NameOf(task), 1, &step, clock.Now());
                     placed.push_back(executor.entry.id);
                   });
    return placed;
  }

  chivedale::testing::FakeClock clock;
  std::vector<std::unique_ptr<Executor>> executors;
  std::vector<Executor*> all;
  std::vector<std::unique_ptr<Job>> jobs;
};

StepSpec Tasks(int count, int64_t cpu) {
  StepSpec spec;
  spec.count = count;
  spec.size = {cpu, 1'000, 0, 0};
  spec.estimate = Millis(600);
  return spec;
}

BOOST_AUTO_TEST_SUITE(APlacer)

BOOST_AUTO_TEST_CASE(DoesNotOvercommitExecutors) {
  Fleet fleet(2);
  BOOST_TEST(fleet.Place(fleet.Open(Tasks(9, 10'000))).size() == 6u);
  for (const auto& executor : fleet.executors) {
    BOOST_TEST(executor->Free().IsValid());
  }
}

BOOST_AUTO_TEST_CASE(CommitsMemoryButNotCpuForFillingTasks) {
  Fleet fleet(1);
  StepSpec spec = Tasks(3, 30'000);
  spec.fills = true;
  spec.size.memory_mb = 30'000;
  BOOST_TEST(fleet.Place(fleet.Open(spec)).size() == 2u);
  BOOST_TEST(fleet.executors[0]->Free().cpu_milli == 32'000);
}

BOOST_AUTO_TEST_CASE(PacksTightlyToKeepExecutorsFreeForLargeTasks) {
  Fleet fleet(4);
  const auto placed = fleet.Place(fleet.Open(Tasks(3, 10'000)));
  BOOST_TEST(std::set<std::string>(placed.begin(), placed.end()).size() == 1u);
  BOOST_TEST(fleet.Place(fleet.Open(Tasks(3, 32'000))).size() == 3u);
}

BOOST_AUTO_TEST_CASE(RespectsMaxPerExecutor) {
  Fleet fleet(3);
  StepSpec spec = Tasks(9, 1'000);
  spec.max_per_executor = 2;
  BOOST_TEST(fleet.Place(fleet.Open(spec)).size() == 6u);
}

BOOST_AUTO_TEST_CASE(WaitsForTheRackOfTheDataForALimitedTime) {
  Fleet fleet(4);
  fleet.Place(fleet.Open(Tasks(2, 32'000)));  // fills rack r0
  StepSpec spec = Tasks(1, 8'000);
  spec.preferred_rack = "r0";
  Step& step = fleet.Open(spec);
  BOOST_TEST(fleet.Place(step).empty());
  // Above estimate x (remote_rack_factor - 1) / 2.
  fleet.clock.Advance(Millis(700));
  BOOST_TEST(fleet.Place(step).size() == 1u);
}

BOOST_AUTO_TEST_CASE(AvoidsTheExecutorThatTheTaskFailedOn) {
  Fleet fleet(2);
  Step& step = fleet.Open(Tasks(1, 1'000));
  step.tasks[0].failed_on.insert("e0");
  BOOST_TEST(fleet.Place(step) == std::vector<std::string>{"e1"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE(ForGangs)

BOOST_AUTO_TEST_CASE(PlacesAllMembersOrNone) {
  Fleet fleet(2);
  StepSpec spec = Tasks(3, 20'000);
  spec.gang = true;
  const Placer placer{PlacerOptions()};
  BOOST_TEST(
      placer.ForGang(fleet.Open(spec), fleet.all, fleet.clock.Now()).empty());
  spec.count = 2;
  BOOST_TEST(
      placer.ForGang(fleet.Open(spec), fleet.all, fleet.clock.Now()).size() ==
      2u);
}

BOOST_AUTO_TEST_CASE(PlacesThemOnOneRackIfTheStepRequiresIt) {
  Fleet fleet(4);
  fleet.Place(fleet.Open(Tasks(1, 32'000)));  // one executor of rack r0
  StepSpec spec = Tasks(2, 32'000);
  spec.gang = true;
  spec.same_rack = true;
  const auto members = Placer{PlacerOptions()}.ForGang(
      fleet.Open(spec), fleet.all, fleet.clock.Now());
  BOOST_REQUIRE_EQUAL(members.size(), 2u);
  BOOST_TEST(members[0]->entry.rack == "r1");
  BOOST_TEST(members[1]->entry.rack == "r1");
}

BOOST_AUTO_TEST_SUITE_END()

// A few executors are slow while jobs have many tasks, and a job is as late as
// its slowest task.
BOOST_AUTO_TEST_SUITE(UnderSlowExecutors)

BOOST_AUTO_TEST_CASE(PrefersOthersAsSoonAsRunsAreOverdue) {
  Fleet fleet(2);
  fleet.executors[0]->boot.health.SetOverdue(2, 2, 2, fleet.clock.Now());
  const auto placed = fleet.Place(fleet.Open(Tasks(2, 1'000)));
  BOOST_TEST(placed == (std::vector<std::string>{"e1", "e1"}),
             boost::test_tools::per_element());
  BOOST_TEST(fleet.executors[0]->boot.health.suspect());
}

BOOST_AUTO_TEST_CASE(DoesNotSuspectAnExecutorForOneLongTask) {
  chivedale::testing::FakeClock clock;
  ExecutorHealth health;
  health.SetOverdue(1, 1, 4, clock.Now());
  BOOST_TEST(!health.suspect());
}

// Regression: 50 tasks were moved although their jobs had merely declared run
// times that were too short.
BOOST_AUTO_TEST_CASE(DoesNotSuspectAnExecutorForTheTasksOfOneJob) {
  chivedale::testing::FakeClock clock;
  ExecutorHealth health;
  health.SetOverdue(4, 1, 4, clock.Now());
  BOOST_TEST(!health.suspect());
}

BOOST_AUTO_TEST_CASE(DoesNotSuspectAnExecutorWhoseOtherRunsEnd) {
  chivedale::testing::FakeClock clock;
  ExecutorHealth health;
  health.OnDone(clock.Now(), Millis(600), Millis(600), clock.Now());
  health.SetOverdue(2, 2, 4, clock.Now());
  BOOST_TEST(!health.suspect());
  clock.Advance(Millis(2'000));
  health.SetOverdue(2, 2, 4, clock.Now());
  BOOST_TEST(health.suspect());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnExecutor)

BOOST_AUTO_TEST_CASE(CommitsResourcesFromTheOrderToTheEnd) {
  Fleet fleet(1);
  Step& step = fleet.Open(Tasks(1, 8'000));
  Executor& executor = *fleet.all[0];
  executor.AddRun(step.NameOf(0), 1, &step, fleet.clock.Now());
  BOOST_TEST(executor.Free().cpu_milli == 24'000);
  BOOST_TEST(step.tasks[0].live == 1);
  executor.RemoveRun(step.NameOf(0).Text());
  BOOST_TEST(executor.Free().cpu_milli == 32'000);
  BOOST_TEST(step.tasks[0].live == 0);
  BOOST_TEST(step.live_on.empty());
}

BOOST_AUTO_TEST_CASE(AccountsForASlowClockInLeaseExpiry) {
  Fleet fleet(1);
  Executor& executor = *fleet.all[0];
  const TimePoint now = fleet.clock.Now();
  executor.boot.OnClock(Millis(10'000), now, now);
  executor.boot.OnDeadlineSent(Millis(13'500));
  // A lease of 3.5 s on a clock that runs 2% slow.
  BOOST_TEST((executor.boot.LeasesExpiredBy() - now >= Millis(3'570)));
  executor.boot.OnClock(Millis(12'000), now + Millis(2'000),
                        now + Millis(2'000));
  BOOST_TEST((executor.boot.LeasesExpiredBy() - now < Millis(3'700)));
}

BOOST_AUTO_TEST_SUITE_END()

// The advice service processes one call at a time for each VM.
BOOST_AUTO_TEST_SUITE(AnAdviceDispatcher)

AdviceRequest MakeRequest(const char* step,
                          int priority,
                          Millis expected_duration) {
  AdviceRequest request;
  request.step = step;
  request.priority = priority;
  request.expected_duration = expected_duration;
  return request;
}

BOOST_AUTO_TEST_CASE(SpreadsCallsOverTheMembers) {
  chivedale::testing::FakeClock clock;
  AdviceDispatcher dispatcher(clock);
  dispatcher.SetMembers({"a", "b"});
  for (int i = 0; i < 4; ++i) {
    dispatcher.Enqueue(MakeRequest("s", 0, Millis(500)));
  }
  std::set<std::string> used;
  while (const auto call = dispatcher.NextCall()) {
    used.insert(call->member);
  }
  BOOST_TEST(used.size() == 2u);
  BOOST_TEST(dispatcher.waiting() == 2u);
}

BOOST_AUTO_TEST_CASE(MakesTheMostUrgentCallFirst) {
  chivedale::testing::FakeClock clock;
  AdviceDispatcher dispatcher(clock);
  dispatcher.SetMembers({"a"});
  dispatcher.Enqueue(MakeRequest("heavy", 2, Millis(500)));
  dispatcher.Enqueue(MakeRequest("urgent", 0, Millis(20)));
  BOOST_TEST(dispatcher.NextCall()->request.step == "urgent");
}

BOOST_AUTO_TEST_CASE(MakesTheNextCallWhenAMemberIsFree) {
  chivedale::testing::FakeClock clock;
  AdviceDispatcher dispatcher(clock);
  dispatcher.SetMembers({"a"});
  dispatcher.Enqueue(MakeRequest("one", 0, Millis(500)));
  dispatcher.Enqueue(MakeRequest("two", 0, Millis(500)));
  const auto first = dispatcher.NextCall();
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(!dispatcher.NextCall().has_value());
  dispatcher.OnAnswer(first->request.id);
  BOOST_TEST(dispatcher.NextCall()->request.step == "two");
}

BOOST_AUTO_TEST_CASE(RemovesMembersThatHaveLeft) {
  chivedale::testing::FakeClock clock;
  AdviceDispatcher dispatcher(clock);
  dispatcher.SetMembers({"a"});
  dispatcher.SetMembers({});
  dispatcher.Enqueue(MakeRequest("one", 0, Millis(20)));
  BOOST_TEST(!dispatcher.NextCall().has_value());
  dispatcher.SetMembers({"b"});
  BOOST_TEST(dispatcher.NextCall()->member == "b");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
