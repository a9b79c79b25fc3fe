// Tests of who may use an executor that is reserved for a step which does not
// fit yet: who waits for whom, and for how long.
#include "cell/reservations.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cell/testing/cell_fixture.h"
#include "chivedale/testing/fake_clock.h"

namespace chivedale::cell {
namespace {

using testing::MakeJobSpec;
using testing::MakeQueue;

constexpr int64_t kCpu = 32'000;

struct Fixture {
  explicit Fixture(int count = 2) {
    for (int i = 0; i < count; ++i) {
      ExecutorEntry entry;
      entry.id = "e" + std::to_string(i);
      entry.capacity = {kCpu, 64'000, 0, 0};
      executors.push_back(std::make_unique<Executor>(entry));
      all.push_back(executors.back().get());
    }
  }
  TimePoint Now() const { return clock.Now(); }
  static Resources Cpu(int64_t cpu) { return {cpu, 1'000, 0, 0}; }
  // A run that has begun now.
  void Run(size_t executor, int64_t cpu, Millis estimate, bool lasts = false) {
    JobRecord record;
    record.queue = MakeQueue(0);
    record.spec = MakeJobSpec(1, estimate, cpu);
    record.spec.steps[0].long_running = lasts;
    jobs.push_back(std::make_unique<Job>("j" + std::to_string(jobs.size()),
                                         std::move(record)));
    jobs.back()->OpenDueOccurrences(clock.WallNow(), Now());
    Step& step = jobs.back()->open().at(0).steps[0];
    auto& run = executors[executor]->AddRun(step.NameOf(0), 1, &step, Now());
    run.phase = RunPhase::kRunning;
    run.running_since = Now();
    reservations.OnStarted(*executors[executor], run.size);
  }
  void ReserveForGang(int64_t cpu) {
    reservations.Reserve(all, Cpu(cpu), static_cast<int>(all.size()), 0, Now());
  }
  bool Allows(size_t executor, int64_t cpu, Duration time) {
    return reservations.Allows(*executors[executor], Cpu(cpu), Now() + time);
  }
  bool AllowsLasting(size_t executor, int64_t cpu) {
    return reservations.Allows(*executors[executor], Cpu(cpu),
                               TimePoint::max());
  }

  chivedale::testing::FakeClock clock;
  std::vector<std::unique_ptr<Job>> jobs;
  std::vector<std::unique_ptr<Executor>> executors;
  std::vector<const Executor*> all;
  Reservations reservations;
};

BOOST_AUTO_TEST_SUITE(AReservationForAGang)

BOOST_AUTO_TEST_SUITE(ThatWaitsForLongRuns)

struct BehindLongRuns : Fixture {
  BehindLongRuns() {
    Run(0, 13'000, Millis(60'000));
    Run(1, 13'000, Millis(10'000));
    ReserveForGang(20'000);
  }
};

// Regression (review/8, LOST): a task of one core waited for 20 s with 18 cores
// free on each executor.
BOOST_FIXTURE_TEST_CASE(LeavesTheRoomThatTheGangDoesNotNeed, BehindLongRuns) {
  BOOST_TEST(AllowsLasting(0, 1'000));
  BOOST_TEST(AllowsLasting(0, 12'000));
  BOOST_TEST(!AllowsLasting(0, 12'001));
}

// Also where the room is there sooner: the gang begins as a whole.
BOOST_FIXTURE_TEST_CASE(LeavesTheTimeUntilItsLastMemberCanBegin,
                        BehindLongRuns) {
  BOOST_TEST(Allows(0, 18'000, Millis(60'000)));
  BOOST_TEST(Allows(1, 18'000, Millis(60'000)));
  BOOST_TEST(!Allows(1, 18'000, Millis(60'001)));
}

BOOST_FIXTURE_TEST_CASE(CountsWhatWasStartedMeanwhile, BehindLongRuns) {
  Run(0, 12'000, Millis(1'000), true);
  BOOST_TEST(!AllowsLasting(0, 1'000));
  BOOST_TEST(AllowsLasting(1, 1'000));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against tasks that delay a gang by a moment each, without an end.
BOOST_FIXTURE_TEST_CASE(AllowsNothingInItsRoomOnceItsRunsAreOverdue, Fixture) {
  Run(0, 13'000, Millis(1'000));
  clock.Advance(Millis(2'000));
  ReserveForGang(20'000);
  BOOST_TEST(!Allows(0, 18'000, Millis(100)));
  BOOST_TEST(Allows(0, 12'000, Millis(100)));
}

// Guards against tasks that take room which is there already, while the step
// waits for a ticket, as if overdue runs had ended.
BOOST_FIXTURE_TEST_CASE(KeepsTheRoomThatIsThere, Fixture) {
  Run(0, 10'000, Millis(1'000));
  clock.Advance(Millis(2'000));
  reservations.Reserve({all[0]}, Cpu(20'000), 1, 0, Now());
  BOOST_TEST(AllowsLasting(0, 2'000));
  BOOST_TEST(!Allows(0, 3'000, Millis(100)));
}

BOOST_FIXTURE_TEST_CASE(AllowsAllWhereATaskThatLastsIsInTheWay, Fixture) {
  Run(0, 13'000, Millis(1'000), true);
  ReserveForGang(20'000);
  BOOST_TEST(Allows(0, 19'000, Millis(1'000)));
}

BOOST_FIXTURE_TEST_CASE(KeepsRoomForSeveralMembers, Fixture) {
  reservations.Reserve(all, Cpu(10'000), 4, 0, Now());
  BOOST_TEST(AllowsLasting(0, 12'000));
  BOOST_TEST(!AllowsLasting(0, 13'000));
}

BOOST_FIXTURE_TEST_CASE(KeepsAllWhileOthersArePreempted, Fixture) {
  reservations.ReserveWhole(*all[0]);
  BOOST_TEST(reservations.Contains(*all[0]));
  BOOST_TEST(!reservations.Contains(*all[1]));
  BOOST_TEST(!Allows(0, 1'000, Millis(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
