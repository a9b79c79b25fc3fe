// Tests of a leader that has more work to start than it can start at once, or
// than its executors can run.
#include <boost/test/unit_test.hpp>
#include <iomanip>
#include <map>
#include <sstream>
#include <string>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::MakeJobSpec;

JobId IdOf(char kind, int number) {
  std::ostringstream id;
  id << kind << std::setw(15) << std::setfill('0') << number;
  return id.str();
}

// A cell whose urgent jobs are watched until they complete.
struct WatchedCell : CellFixture {
  static constexpr Millis kRunTime{600};
  // Objective of MakeQueue() for a job of one step.
  static constexpr Millis kObjective{900 + 300};

  void SubmitUrgent(int tasks) {
    const JobId id = IdOf('a', submitted++);
    Submit("b", id, MakeJobSpec(tasks, kRunTime), "q0");
    open[id] = loop.clock().Now();
  }

  // Submits an urgent job at each interval for a time.
  void SubmitUrgentEvery(Millis interval, Millis time, int tasks) {
    const TimePoint end = loop.clock().Now() + time;
    while (loop.clock().Now() < end) {
      SubmitUrgent(tasks);
      RunAndWatch(interval);
    }
  }

  void RunAndWatch(Millis time) {
    const TimePoint end = loop.clock().Now() + time;
    while (loop.clock().Now() < end) {
      RunFor(Millis(10));
      NoteCompleted();
    }
  }

  void NoteCompleted() {
    for (auto it = open.begin(); it != open.end();) {
      if (StateOf(it->first) != JobState::kCompleted) {
        ++it;
        continue;
      }
      const Duration took = loop.clock().Now() - it->second;
      in_time += took <= kObjective ? 1 : 0;
      longest = std::max(longest, took);
      it = open.erase(it);
    }
  }

  int submitted = 0;
  int in_time = 0;
  Duration longest{0};
  std::map<JobId, TimePoint> open;  // not completed, since when
};

// Likewise, with members that order scheduling passes by cost.
struct CostCell : WatchedCell {
  CostCell() {
    leader_options.shortage_order = ShortageOrder::kCost;
    for (const char* name : {"a", "b", "c"}) {
      Kill(name);
    }
    RunFor(Millis(1'000));
    for (const char* name : {"a", "b", "c"}) {
      Restart(name);
    }
    RunFor(Millis(6'000));
  }
};

// A large pool, and a leader that can order 5,000 starts a second if it does
// nothing else.
struct BusyCell : WatchedCell {
  static constexpr int kJobs = 40;
  static constexpr int kTasks = 50;

  BusyCell() {
    AddExecutors("pool", 500, {32'000, 64'000, 0, 0});
    RunFor(Millis(2'000));
    executors.start_cost = std::chrono::microseconds(200);
  }

  void SubmitBacklog() {
    for (int i = 0; i < kJobs; ++i) {
      Submit("a", IdOf('b', i), MakeJobSpec(kTasks, Millis(30'000)), "q2");
    }
  }

  int StartedOfBacklog() const {
    int started = 0;
    for (int i = 0; i < kJobs; ++i) {
      for (int task = 0; task < kTasks; ++task) {
        const std::string name = IdOf('b', i) + ".0.0." + std::to_string(task);
        started += executors.EverStarted(name) ? 1 : 0;
      }
    }
    return started;
  }
};

BOOST_AUTO_TEST_SUITE(ALeaderWithABacklog)

BOOST_AUTO_TEST_SUITE(OfStarts)

// Regression (kowa-consult-large, SHORT): an urgent job that arrived during a
// scheduling pass waited until all tasks of all queues had been started, and
// then three times as long for the next pass.
BOOST_AUTO_TEST_CASE(ServesUrgentJobsInTime) {
  BusyCell cell;
  cell.SubmitBacklog();
  cell.SubmitUrgentEvery(Millis(20), Millis(1'000), 4);
  cell.RunAndWatch(Millis(2'000));
  BOOST_TEST(cell.open.empty());
  BOOST_TEST(cell.in_time == cell.submitted);
  BOOST_TEST_MESSAGE("longest "
                     << std::chrono::duration_cast<Millis>(cell.longest).count()
                     << " ms");
}

// Regression (kowa-consult-large, SHORT): the starts of a pass were sent when
// their tickets had expired, as they are sent when the pass ends.
BOOST_AUTO_TEST_CASE(EndsAPassBeforeItsTicketsExpire) {
  BusyCell cell;
  cell.SubmitBacklog();
  cell.RunFor(Millis(3'000));
  BOOST_TEST(cell.StartedOfBacklog() == BusyCell::kJobs * BusyCell::kTasks);
  std::istringstream lines(cell.log.Lines("leader_load"));
  constexpr char kField[] = "longest_pass_ms=";
  int longest = 0;
  for (std::string line; std::getline(lines, line);) {
    const size_t at = line.find(kField);
    BOOST_REQUIRE(at != std::string::npos);
    longest = std::max(longest, std::stoi(line.substr(at + sizeof kField - 1)));
  }
  BOOST_TEST(longest > 0);
  // 80 ms before they expire tickets are not used any more.
  BOOST_TEST(longest < 80);
}

// Guards against a backlog that waits as long as urgent jobs keep the leader
// busy: these would need all of the time that it gives to starts.
BOOST_AUTO_TEST_CASE(StartsTheBacklogBesideUrgentJobs) {
  BusyCell cell;
  cell.SubmitBacklog();
  cell.SubmitUrgentEvery(Millis(10), Millis(3'000), 20);
  BOOST_TEST(cell.StartedOfBacklog() == BusyCell::kJobs * BusyCell::kTasks);
}

// Guards against a leader that considers each of many late steps too seldom to
// start it before its tickets expire, and renews them for ever.
BOOST_AUTO_TEST_CASE(StartsLateStepsWhileTheirTicketsAreValid) {
  WatchedCell cell;
  cell.AddExecutors("pool", 300, {32'000, 64'000, 0, 0});
  for (const char* name : {"d", "e", "f", "g", "h", "i"}) {
    cell.AddNode(name);
  }
  QueuePolicy advised = testing::MakeQueue(0);
  advised.advice = AdvicePolicy{Millis(5), Millis(0), Millis(400)};
  cell.advice_time = Millis(5);
  cell.ticket_validity = Millis(400);
  cell.SetQueue(advised);
  cell.RunFor(Millis(2'000));
  cell.loop.reading_time = std::chrono::microseconds(40);
  cell.executors.start_cost = std::chrono::microseconds(100);
  for (int i = 0; i < 1'000; ++i) {
    cell.SubmitUrgent(2);
  }
  cell.RunAndWatch(Millis(10'000));
  BOOST_TEST(cell.open.empty(), cell.open.size() << " jobs are not completed");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfRuns)

// Regression (kowa-consult-large, SHORT): each job waited until it could only
// be late, because jobs that could not be in time any more had the earliest
// objectives and so were first.
BOOST_AUTO_TEST_CASE(RunsJobsThatCanBeInTimeFirst) {
  WatchedCell cell;
  // The pool runs 32 tasks, so 53 a second; 80 a second arrive.
  cell.SubmitUrgentEvery(Millis(100), Millis(8'000), 8);
  cell.RunAndWatch(Millis(10'000));
  BOOST_TEST(cell.open.empty());
  BOOST_TEST(2 * cell.in_time >= cell.submitted,
             cell.in_time << " of " << cell.submitted << " in time");
}

// Guards against an order by cost in which jobs are started when they can only
// just be in time, and end late: 27 of 80 in time without the margin for
// starts.
BOOST_AUTO_TEST_CASE(RunsJobsThatCanBeInTimeFirstByCost) {
  CostCell cell;
  BOOST_REQUIRE(cell.leader() != nullptr);
  cell.SubmitUrgentEvery(Millis(100), Millis(8'000), 8);
  cell.RunAndWatch(Millis(10'000));
  BOOST_TEST(cell.open.empty());
  BOOST_TEST(2 * cell.in_time >= cell.submitted,
             cell.in_time << " of " << cell.submitted << " in time");
  BOOST_TEST_MESSAGE(cell.in_time << " of " << cell.submitted << " in time");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
