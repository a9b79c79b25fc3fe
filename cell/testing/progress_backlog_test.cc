// Tests of a cell in which more jobs change than one write of their progress
// holds: the ends of hundreds of small jobs a second on a large pool.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::MakeJobSpec;

constexpr Millis kRunTime{300};
// Stretch and slack of an urgent queue: 1.5 x run time + 300 ms.
constexpr Duration kObjective = Millis(750);

// A pool on which 600 short jobs a second run and end, and a store that takes
// 60 ms for a call.
struct Fixture : CellFixture {
  Fixture() {
    AddExecutors("pool", 60, {32'000, 64'000, 0, 0});
    store.faults.latency = Millis(60);
    RunFor(Millis(2'000));
  }

  // Submits jobs of one task at this rate. Returns how long each one took until
  // it was shown as completed, in order of submission.
  std::vector<Duration> CompletionTimes(int jobs_per_10_ms, Duration time) {
    std::vector<std::pair<JobId, TimePoint>> open;
    std::vector<Duration> times;
    const TimePoint end = loop.clock().Now() + time;
    while (loop.clock().Now() < end || !open.empty()) {
      for (int i = 0; i < jobs_per_10_ms && loop.clock().Now() < end; ++i) {
        // A permutation, as callers choose IDs at random.
        std::string id = std::to_string(++submitted_ * 7'919 % 10'007);
        id.insert(0, 16 - id.size(), '0');
        const std::string member(1, static_cast<char>('a' + submitted_ % 3));
        Submit(member, id, MakeJobSpec(1, kRunTime, 1'000), "q0");
        open.emplace_back(id, loop.clock().Now());
      }
      RunFor(Millis(10));
      const TimePoint now = loop.clock().Now();
      const auto done =
          std::remove_if(open.begin(), open.end(), [&](const auto& job) {
            if (StateOf(job.first) != JobState::kCompleted) {
              return false;
            }
            times.push_back(now - job.second);
            return true;
          });
      open.erase(done, open.end());
      if (now > end + Millis(20'000)) {
        BOOST_ERROR(open.size() << " jobs are not completed");
        break;
      }
    }
    return times;
  }

  int submitted_ = 0;
};

BOOST_AUTO_TEST_SUITE(ACellWhereMoreJobsChangeThanOneWriteHolds)

// Regression (kowa-consult-large): no end was acknowledged while more jobs had
// changed than one write holds, so that executors with ends could not be waited
// on, and jobs were written in the order of their IDs, not of their changes.
BOOST_FIXTURE_TEST_CASE(ShowsEachJobAsCompletedWithinItsObjective, Fixture) {
  std::vector<Duration> times = CompletionTimes(6, Millis(4'000));
  BOOST_REQUIRE(times.size() == 2'400U);
  std::sort(times.begin(), times.end());
  const auto at = [&](size_t percent) {
    return std::chrono::duration_cast<Millis>(
               times[(times.size() - 1) * percent / 100])
        .count();
  };
  BOOST_TEST_MESSAGE("completed after " << at(50) << " ms (median), " << at(99)
                                        << " ms (99%), " << at(100)
                                        << " ms (all)");
  BOOST_TEST((times.back() <= kObjective));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
