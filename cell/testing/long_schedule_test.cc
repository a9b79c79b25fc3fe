// Tests of a cell with a job whose progress is large: a schedule of which many
// times are due, or a job whose progress the store rejects.
#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
using testing::MakeJobSpec;

// Submits 20 short jobs, which `cell` has room for.
void SubmitShortJobs(CellFixture& cell) {
  for (int i = 10; i < 30; ++i) {
    cell.Submit("a", "00000000000000" + std::to_string(i),
                MakeJobSpec(2, Millis(200)), "q0");
    cell.RunFor(Millis(100));
  }
}

int CompletedShortJobs(const CellFixture& cell) {
  int completed = 0;
  for (int i = 10; i < 30; ++i) {
    completed += cell.StateOf("00000000000000" + std::to_string(i)) ==
                 JobState::kCompleted;
  }
  return completed;
}

// A schedule of one task a second, of which all times are due.
JobSpec MakeSchedule(CellFixture& cell, int times, Millis run_time) {
  JobSpec spec = MakeJobSpec(1, run_time);
  spec.occurrences = times;
  spec.interval = Millis(1'000);
  spec.first_start = cell.loop.clock().WallNow() - times * spec.interval;
  return spec;
}

BOOST_AUTO_TEST_SUITE(ACellWithALongSchedule)

// Regression (review/5, Acks): the progress of the schedule was larger than a
// value of the store, and no end of any job was acknowledged any more.
BOOST_AUTO_TEST_CASE(AcknowledgesTheEndsOfAllJobs) {
  CellFixture cell;
  cell.Submit("a", kJobId, MakeSchedule(cell, 120'000, Millis(500)), "q2");
  SubmitShortJobs(cell);
  cell.RunFor(Millis(2'000));
  BOOST_TEST(CompletedShortJobs(cell) == 20);
  BOOST_TEST(cell.store.rejected_writes() == 0);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kRunning));
  // Only ends of the last second are still listed: 32 of the schedule's tasks
  // run at a time, for half a second.
  BOOST_TEST(cell.executors.listed_ends() < 100U);
}

// All times are served once, also by later leaders.
BOOST_AUTO_TEST_CASE(ServesEachTimeOnce) {
  constexpr int kTimes = 4'000;
  CellFixture cell;
  cell.Submit("a", kJobId, MakeSchedule(cell, kTimes, Millis(50)), "q2");
  for (int i = 0; i < 3; ++i) {
    cell.RunFor(Millis(2'500));
    const std::string leader = cell.LeaderName();
    cell.Kill(leader);
    cell.RunFor(Millis(500));
    cell.Restart(leader);
  }
  for (int i = 0; i < 60 && cell.StateOf(kJobId) != JobState::kCompleted; ++i) {
    cell.RunFor(Millis(1'000));
  }
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
  for (int i = 0; i < kTimes; ++i) {
    if (!cell.executors.IsDone({kJobId, i, 0, 0})) {
      BOOST_ERROR("time " << i << " was not served");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ACellWithAJobWhoseProgressTheStoreRejects)

// The other jobs are shown as completed meanwhile; the wait of the job ends
// when the store accepts its progress.
BOOST_AUTO_TEST_CASE(StoresTheProgressOfAllOtherJobs) {
  CellFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(2'000, Millis(50)), "q2");
  cell.store.faults.max_value_bytes = 1'500;
  SubmitShortJobs(cell);
  cell.RunFor(Millis(3'000));
  BOOST_TEST(CompletedShortJobs(cell) == 20);
  BOOST_TEST(cell.store.rejected_writes() > 0);
  // Not repeated without a pause.
  BOOST_TEST(cell.store.rejected_writes() < 20);
  BOOST_TEST(cell.log.Lines("store_write_rejected") != "");
  cell.store.faults.max_value_bytes = kDefaultMaxValueBytes;
  cell.RunFor(Millis(8'000));
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(cell.executors.listed_ends() == 0U);
}

// Regression (found with review/5): a job that cannot be stored held up the
// jobs accepted with it, and was refused as if it might be accepted later.
BOOST_AUTO_TEST_CASE(RejectsAJobThatCannotBeStoredAtOnce) {
  CellFixture cell;
  JobSpec spec = MakeJobSpec(1, Millis(200));
  spec.payload = std::string(kDefaultMaxValueBytes + 1, 'p');
  std::optional<SubmitResult> result;
  cell.node("a")->Submit(testing::MakeQueue(0), {}, "00000000000000bb", spec,
                         cell.loop.clock().Now() + Millis(1'500),
                         [&](SubmitResult r, int64_t) { result = r; });
  cell.RunFor(Millis(10));
  BOOST_TEST((result == SubmitResult::kInvalid));
  // The store's limit is lower than this member assumes.
  cell.store.faults.max_value_bytes = 600;
  spec.payload = std::string(1'000, 'p');
  result.reset();
  for (const char* id : {"00000000000000c1", "00000000000000cc",
                         "00000000000000c2", "00000000000000c3"}) {
    if (id != std::string("00000000000000cc")) {
      cell.Submit("a", id, MakeJobSpec(1, Millis(200)), "q0");
      continue;
    }
    cell.node("a")->Submit(testing::MakeQueue(0), {}, id, spec,
                           cell.loop.clock().Now() + Millis(1'500),
                           [&](SubmitResult r, int64_t) { result = r; });
  }
  cell.RunFor(Millis(200));
  BOOST_TEST((result == SubmitResult::kInvalid));
  BOOST_TEST(cell.accepted().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
