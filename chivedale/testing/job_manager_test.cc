// Guards against tasks that run in two places or not at all, gangs that run
// partially, and services that fall below their count, under crashes, pauses,
// store outages and lost answers.
#include "chivedale/job_manager.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "chivedale/testing/job_cell.h"
#include "rapidcheck/boost_test.h"

namespace chivedale {
namespace {

using testing::Chance;
using testing::EventCounts;
using testing::JobCell;
using testing::MakeRow;
using testing::PropertyRandom;

WorkRow JobRow(const std::string& kind, WorkShape shape) {
  WorkRow row = MakeRow(kind);
  row.shape = shape;
  row.size = {1000, 512, 0, 1};
  row.expected_run = Millis(shape == WorkShape::kService ? 100'000'000 : 3000);
  row.max_retries = 1000;
  return row;
}

JobSpec MakeSpec(const std::string& id, const std::string& kind, int64_t n) {
  JobSpec spec;
  spec.id = JobId(id);
  spec.kind = kind;
  spec.tasks = n;
  spec.payload = "{}";
  return spec;
}

struct ReadyCell {
  ReadyCell(util::Random& random, EventCounts& counts) : cell(random, counts) {
    cell.AddWorkers(12, 3);
    cell.SetRow(JobRow("batch", WorkShape::kTask));
    cell.SetRow(JobRow("gang", WorkShape::kGang));
    cell.SetRow(JobRow("service", WorkShape::kService));
    WorkRow once = JobRow("once", WorkShape::kTask);
    once.repeatable = false;
    cell.SetRow(once);
    for (int i = 0; i < 4; ++i) {
      cell.StartMember("m" + std::to_string(i));
    }
    cell.Run(Millis(3000));
  }

  JobResult Submit(const JobSpec& spec) {
    JobResult result;
    bool called = false;
    cell.manager(cell.live().front()).Submit(spec, [&](const JobResult& r) {
      called = true;
      result = r;
    });
    cell.RunUntil([&] { return called; }, Millis(10'000));
    RC_ASSERT(called);
    return result;
  }

  bool HasEnded(const std::string& id) const {
    const auto record = cell.Stored(JobId(id));
    return record && record->ended_ms > 0;
  }
  bool WaitForEnd(const std::string& id, Millis limit) {
    return cell.RunUntil([&] { return HasEnded(id); }, limit);
  }
  JobPhase PhaseOf(const std::string& id) const {
    return cell.Stored(JobId(id))->phase;
  }

  JobCell cell;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(JobManagerTest)

BOOST_AUTO_TEST_SUITE(UnderFaults)

// The cell checks at each start that no attempt of the task is running and that
// an unrepeatable task is started only once.
RC_BOOST_PROP(NoTaskInTwoPlacesAndAllJobsEnd, ()) {
  static EventCounts counts("jobs under faults");
  util::Random random = PropertyRandom();
  ReadyCell ready(random, counts);
  JobCell& cell = ready.cell;
  cell.faults.failing_percent = int(random.UniformInt(20));
  cell.faults.lost_percent = int(random.UniformInt(5));
  cell.faults.unknown_percent = int(random.UniformInt(15));
  cell.faults.lost_write_percent = int(random.UniformInt(20));
  ready.Submit(MakeSpec("b", "batch", 20));
  ready.Submit(MakeSpec("o", "once", 10));
  ready.Submit(MakeSpec("g", "gang", 6));
  ready.Submit(MakeSpec("s", "service", 5));
  int next = 10;
  for (int step = 0; step < 30; ++step) {
    cell.Run(Millis(random.UniformInt(2000)));
    const std::vector<MemberId> live = cell.live();
    const MemberId& victim = live[random.UniformInt(live.size())];
    switch (random.UniformInt(8)) {
      case 0:
        if (live.size() > 2) {
          cell.Crash(victim);
        }
        break;
      case 1:
        cell.Pause(victim, Millis(500 + int64_t(random.UniformInt(9000))));
        break;
      case 2:
        if (live.size() < 6) {
          cell.StartMember("m" + std::to_string(next++));
        }
        break;
      case 3:
        cell.faults.store_down = !cell.faults.store_down;
        counts.Add("store_outage_changes");
        break;
      case 4:
        if (Chance(random, 30)) {
          const std::string rack =
              "rack" + std::to_string(random.UniformInt(4));
          cell.FailRack(rack);
          cell.Run(Millis(4000));
          for (auto& [id, worker] : cell.workers) {
            worker.down = false;
          }
        }
        break;
      default:
        break;
    }
  }
  cell.faults = JobCell::Faults();
  for (const char* id : {"b", "o", "g"}) {
    if (!cell.Stored(JobId(id))) {
      continue;  // its submit was refused during the faults
    }
    RC_ASSERT(ready.WaitForEnd(id, Millis(240'000)));
    const JobRecord record = *cell.Stored(JobId(id));
    if (std::string(id) != "o") {
      RC_ASSERT(record.phase == JobPhase::kSucceeded);
    }
    for (size_t i = 0; i < record.tasks.size(); ++i) {
      if (record.tasks[i].phase == TaskPhase::kSucceeded) {
        RC_ASSERT(cell.StartsOf(JobTaskId(JobId(id), int64_t(i))) > 0);
      }
    }
  }
  if (cell.Stored(JobId("s"))) {
    RC_ASSERT(cell.RunUntil([&] { return cell.RunningOf(JobId("s")) == 5; },
                            Millis(120'000)));
  }
}

// Guards against a manager that was paused or considered dead and keeps a claim
// that another member took meanwhile. The job would have two managers, and its
// answers would go to the one that cannot write.
BOOST_AUTO_TEST_CASE(APausedManagerDropsItsClaim) {
  EventCounts counts("jobs, paused manager");
  util::Random random(8);
  ReadyCell ready(random, counts);
  JobCell& cell = ready.cell;
  ready.Submit(MakeSpec("s", "service", 3));
  BOOST_TEST(cell.RunUntil([&] { return cell.RunningOf(JobId("s")) == 3; },
                           Millis(20'000)));
  const MemberId first = cell.Stored(JobId("s"))->manager;
  cell.Pause(first, Millis(5000));
  BOOST_TEST(
      cell.RunUntil([&] { return cell.Stored(JobId("s"))->manager != first; },
                    Millis(20'000)));
  cell.Run(Millis(15'000));
  for (const MemberId& id : cell.live()) {
    const bool manages = !cell.manager(id).Managed().empty();
    BOOST_TEST(manages == (cell.Stored(JobId("s"))->manager == id));
  }
  BOOST_TEST(cell.RunningOf(JobId("s")) == 3);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(cell.StartsOf(JobTaskId(JobId("s"), i)) == 1);
  }
}

// Guards against a takeover that is delayed by the store and counts this delay
// as silence of the owners, which restarted running tasks.
BOOST_AUTO_TEST_CASE(ATakeoverDuringAnOutageKeepsRunningTasks) {
  EventCounts counts("jobs, takeover in an outage");
  // The outage must start between the read and the claim.
  for (int outage_ms = 1500; outage_ms < 4500; outage_ms += 100) {
    util::Random random(9);
    ReadyCell ready(random, counts);
    JobCell& cell = ready.cell;
    ready.Submit(MakeSpec("s", "service", 3));
    BOOST_TEST(cell.RunUntil([&] { return cell.RunningOf(JobId("s")) == 3; },
                             Millis(20'000)));
    const MemberId first = cell.Stored(JobId("s"))->manager;
    cell.Crash(first);
    cell.Run(Millis(outage_ms));
    cell.faults.store_down = true;
    cell.Run(Millis(40'000));
    cell.faults.store_down = false;
    cell.Run(Millis(40'000));
    BOOST_TEST(cell.Stored(JobId("s"))->manager != first);
    BOOST_TEST(cell.RunningOf(JobId("s")) == 3);
    for (int i = 0; i < 3; ++i) {
      BOOST_TEST(cell.StartsOf(JobTaskId(JobId("s"), i)) == 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Submits)

BOOST_AUTO_TEST_CASE(ARepeatedSubmitGetsTheSameAnswer) {
  EventCounts counts("jobs, submit twice");
  util::Random random(1);
  ReadyCell ready(random, counts);
  BOOST_TEST(ready.Submit(MakeSpec("a/b", "batch", 3)).ok);
  BOOST_TEST(ready.Submit(MakeSpec("a/b", "batch", 3)).ok);
  BOOST_TEST((ready.Submit(MakeSpec("a/b", "batch", 4)).error ==
              ErrorKind::kBadRequest));
  BOOST_TEST(
      (ready.Submit(MakeSpec("c", "none", 4)).error == ErrorKind::kNoRow));
  BOOST_TEST((ready.Submit(MakeSpec("c", "batch", 0)).error ==
              ErrorKind::kBadRequest));
  BOOST_TEST(ready.WaitForEnd("a/b", Millis(30'000)));
  BOOST_TEST((ready.PhaseOf("a/b") == JobPhase::kSucceeded));
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(ready.cell.StartsOf(JobTaskId(JobId("a/b"), i)) == 1);
  }
}

// Guards against one write per task: the store serves several hundred writes
// per second for the whole cell.
BOOST_AUTO_TEST_CASE(ManyTasksShareAWrite) {
  EventCounts counts("jobs, writes");
  util::Random random(1);
  ReadyCell ready(random, counts);
  ready.Submit(MakeSpec("b", "batch", 200));
  BOOST_TEST(ready.WaitForEnd("b", Millis(120'000)));
  counts.Add("writes", ready.cell.writes);
  BOOST_TEST(ready.cell.writes < 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Services)

// Guards against a service that the failure of one rack or data centre stops.
BOOST_AUTO_TEST_CASE(SpreadAndReplacedAfterARackFailure) {
  EventCounts counts("jobs, service spread");
  util::Random random(2);
  ReadyCell ready(random, counts);
  JobCell& cell = ready.cell;
  ready.Submit(MakeSpec("s", "service", 4));
  BOOST_TEST(cell.RunUntil([&] { return cell.RunningOf(JobId("s")) == 4; },
                           Millis(20'000)));
  std::map<std::string, int> in_rack;
  std::map<std::string, int> in_data_centre;
  for (const auto& [id, worker] : cell.workers) {
    in_rack[worker.rack] += int(worker.running.size());
    in_data_centre[worker.data_centre] += int(worker.running.size());
  }
  BOOST_TEST(in_data_centre["dc0"] >= 1);
  BOOST_TEST(in_data_centre["dc1"] >= 1);
  BOOST_TEST(std::count_if(in_rack.begin(), in_rack.end(),
                           [](const auto& r) { return r.second > 0; }) >= 3);
  cell.FailRack("rack0");
  cell.FailRack("rack1");
  cell.Run(Millis(10'000));
  for (auto& [id, worker] : cell.workers) {
    worker.down = false;  // back with no running tasks
  }
  BOOST_TEST(cell.RunUntil([&] { return cell.RunningOf(JobId("s")) == 4; },
                           Millis(40'000)));
}

BOOST_AUTO_TEST_CASE(ScaledUpAndDownAndCancelled) {
  EventCounts counts("jobs, service scale");
  util::Random random(3);
  ReadyCell ready(random, counts);
  JobCell& cell = ready.cell;
  ready.Submit(MakeSpec("s", "service", 2));
  for (const int64_t count : {5, 1, 3, 0}) {
    bool ok = false;
    cell.manager(cell.live().back())
        .SetCount(JobId("s"), count, [&](const JobResult& r) { ok = r.ok; });
    BOOST_TEST(
        cell.RunUntil([&] { return ok && cell.RunningOf(JobId("s")) == count; },
                      Millis(20'000)));
    cell.Run(Millis(3000));
    BOOST_TEST(cell.RunningOf(JobId("s")) == count);
  }
  bool ok = false;
  cell.manager(cell.live().back()).Cancel(JobId("s"), [&](const JobResult& r) {
    ok = r.ok;
  });
  BOOST_TEST(ready.WaitForEnd("s", Millis(20'000)));
  BOOST_TEST(ok);
  BOOST_TEST((ready.PhaseOf("s") == JobPhase::kCancelled));
}

// Guards against a change of the count of a running gang or batch job: the
// added tasks of a gang would wait forever, and the job would not end.
BOOST_AUTO_TEST_CASE(OnlyServicesAreScaled) {
  EventCounts counts("jobs, scale of others");
  util::Random random(3);
  ReadyCell ready(random, counts);
  JobCell& cell = ready.cell;
  ready.Submit(MakeSpec("g", "gang", 3));
  ready.Submit(MakeSpec("b", "batch", 3));
  for (const char* id : {"g", "b"}) {
    JobResult result;
    cell.manager(cell.live().back())
        .SetCount(JobId(id), 5, [&](const JobResult& r) { result = r; });
    BOOST_TEST(ready.WaitForEnd(id, Millis(30'000)));
    BOOST_TEST((result.error == ErrorKind::kBadRequest));
    BOOST_TEST((ready.PhaseOf(id) == JobPhase::kSucceeded));
    BOOST_TEST(cell.Stored(JobId(id))->tasks.size() == 3U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(StoreOutages)

// Guards against unrecorded starts during a store outage, and against running
// tasks that are stopped because of it.
BOOST_AUTO_TEST_CASE(NoNewStartsAndRunningTasksContinue) {
  EventCounts counts("jobs, store down");
  util::Random random(4);
  ReadyCell ready(random, counts);
  JobCell& cell = ready.cell;
  ready.Submit(MakeSpec("s", "service", 4));
  BOOST_TEST(cell.RunUntil([&] { return cell.RunningOf(JobId("s")) == 4; },
                           Millis(20'000)));
  ready.Submit(MakeSpec("b", "batch", 300));
  cell.Run(Millis(2000));
  cell.faults.store_down = true;
  cell.Run(Millis(5000));  // starts recorded before the outage still happen
  int64_t starts = 0;
  const auto all_starts = [&] {
    starts = 0;
    for (int64_t i = 0; i < 300; ++i) {
      starts += cell.StartsOf(JobTaskId(JobId("b"), i));
    }
    return starts;
  };
  int64_t before = -1;
  while (before != all_starts()) {
    before = starts;
    cell.Run(Millis(20'000));
  }
  BOOST_TEST(before <= 300);
  BOOST_TEST(cell.RunningOf(JobId("s")) == 4);
  bool answered = false;
  cell.manager(cell.live().front())
      .Submit(MakeSpec("x", "batch", 1), [&](const JobResult& r) {
        answered = r.error == ErrorKind::kStoreDown;
      });
  cell.Run(Millis(6000));
  BOOST_TEST(answered);
  cell.faults.store_down = false;
  BOOST_TEST(ready.WaitForEnd("b", Millis(120'000)));
  BOOST_TEST((ready.PhaseOf("b") == JobPhase::kSucceeded));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Failures)

BOOST_AUTO_TEST_CASE(RetriedUpToTheRowsLimit) {
  EventCounts counts("jobs, retries");
  util::Random random(5);
  ReadyCell ready(random, counts);
  WorkRow row = JobRow("batch", WorkShape::kTask);
  row.max_retries = 3;
  ready.cell.SetRow(row);
  ready.cell.faults.failing_percent = 100;
  ready.Submit(MakeSpec("b", "batch", 2));
  ready.Submit(MakeSpec("o", "once", 2));
  BOOST_TEST(ready.WaitForEnd("b", Millis(60'000)));
  BOOST_TEST(ready.WaitForEnd("o", Millis(60'000)));
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(ready.cell.StartsOf(JobTaskId(JobId("b"), i)) == 4);
    BOOST_TEST(ready.cell.StartsOf(JobTaskId(JobId("o"), i)) == 1);
  }
  BOOST_TEST((ready.PhaseOf("b") == JobPhase::kFailed));
  const std::string reason = ready.cell.Stored(JobId("b"))->reason;
  BOOST_TEST(reason.substr(reason.find(':')) ==
             ": The endpoint reported a failure");
}

BOOST_AUTO_TEST_CASE(AJobThatCanNeverRunEndsWithTheReason) {
  EventCounts counts("jobs, never fits");
  util::Random random(6);
  ReadyCell ready(random, counts);
  WorkRow row = JobRow("huge", WorkShape::kTask);
  row.size.cpu_milli = 64'000;
  ready.cell.SetRow(row);
  ready.Submit(MakeSpec("h", "huge", 1));
  ready.Submit(MakeSpec("g", "gang", 49));  // the cell holds 48
  BOOST_TEST(ready.WaitForEnd("h", Millis(60'000)));
  BOOST_TEST(ready.WaitForEnd("g", Millis(60'000)));
  BOOST_TEST(ready.cell.Stored(JobId("h"))->reason ==
             "a task of kind 'huge' is larger than every worker");
  BOOST_TEST(ready.cell.Stored(JobId("g"))->reason ==
             "the gang needs room for 49 tasks at once; the whole cell holds "
             "at most 48");
  BOOST_TEST(ready.cell.RunningOf(JobId("g")) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
